"""Writes the request traces of the demonstration, from a fixed seed.

Keys follow a Zipf distribution; arrivals are a Poisson process. A share of the
requests is for one hot key, which changes after the first third.
"""

import pathlib

import numpy as np

from auburnrock_standins import request_trace

SEED = 20261204
FOLDER = pathlib.Path("traces/requests")
DURATION_MS = 12_000
REQUESTS_PER_SECOND = 120
KEYS = 400
ZIPF_EXPONENT = 1.4
HOT_SHARE = 0.25


def tiha_voda(generator: np.random.Generator) -> list:
    """Returns requests of the families and funeral homes of Tiha Voda."""
    return [
        _tiha_voda_request(generator, at_ms) for at_ms in _arrivals(generator)
    ]


def korsordshjalpen(generator: np.random.Generator) -> list:
    """Returns requests of Korsordshjalpen's solvers on a Sunday morning."""
    return [
        _korsordshjalpen_request(generator, at_ms)
        for at_ms in _arrivals(generator)
    ]


def _arrivals(generator: np.random.Generator) -> list[int]:
    mean_gap_ms = 1_000 / REQUESTS_PER_SECOND
    count = DURATION_MS * REQUESTS_PER_SECOND // 1_000
    gaps = generator.exponential(mean_gap_ms, count)
    times = np.cumsum(gaps)
    return [int(time) for time in times if time < DURATION_MS]


def _key(generator: np.random.Generator, at_ms: int, prefix: str) -> str:
    if generator.random() < HOT_SHARE:
        hot = 0 if at_ms < DURATION_MS // 3 else 1
        return f"{prefix}-hot-{hot}"
    rank = min(int(generator.zipf(ZIPF_EXPONENT)), KEYS)
    return f"{prefix}-{rank}"


def _tiha_voda_request(generator: np.random.Generator, at_ms: int):
    choice = generator.random()
    if choice < 0.6:
        return request_trace.TracedRequest(
            at_ms=at_ms,
            service="harbour-portal",
            method="GET",
            path="/sailings",
            key=_key(generator, at_ms, "sailing"),
        )
    if choice < 0.75:
        return request_trace.TracedRequest(
            at_ms=at_ms,
            service="harbour-portal",
            method="POST",
            path="/confirmations",
            key=_key(generator, at_ms, "sailing"),
            body="confirm",
            at_most_once=True,
        )
    if choice < 0.9:
        return request_trace.TracedRequest(
            at_ms=at_ms,
            service="voyage-booker",
            method="GET",
            path="/slots",
        )
    return request_trace.TracedRequest(
        at_ms=at_ms,
        service="memorial-archive",
        method="GET",
        path="/certificates",
    )


def _korsordshjalpen_request(generator: np.random.Generator, at_ms: int):
    choice = generator.random()
    if choice < 0.7:
        return request_trace.TracedRequest(
            at_ms=at_ms,
            service="hintsvc",
            method="GET",
            path="/hints",
            key=_key(generator, at_ms, "solver"),
        )
    if choice < 0.85:
        return request_trace.TracedRequest(
            at_ms=at_ms, service="gridsvc", method="GET", path="/grids"
        )
    return request_trace.TracedRequest(
        at_ms=at_ms,
        service="unlocksvc",
        method="POST",
        path="/unlocks",
        body="unlock",
        at_most_once=True,
    )


def main() -> None:
    """Writes the traces of both organisations."""
    FOLDER.mkdir(parents=True, exist_ok=True)
    for name, make in (
        ("tiha-voda", tiha_voda),
        ("korsordshjalpen", korsordshjalpen),
    ):
        generator = np.random.default_rng(SEED)
        request_trace.write(FOLDER / f"{name}.jsonl", make(generator))


if __name__ == "__main__":
    main()
