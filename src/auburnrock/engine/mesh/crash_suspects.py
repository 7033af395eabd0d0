"""Detection of requests that crash the targets that run them.

A request is identified by its fingerprint, so that a retry by the caller counts
as the same request. All requests that a target was running when it crashed are
suspects; a complete answer clears a request. A request that reaches the limit
of crashes is refused, for longer after each further crash.

Nodes send each other the crashes that they know, and each node counts them. The
crashes of a request are a two-phase set (Shapiro et al., 2011) of incarnations
of targets: nodes that observe crashes at the same time lose none of them, a
crash that is reported more than once counts once, and one that an answer has
cleared remains cleared everywhere.
"""

from collections.abc import Iterable

import msgspec
import xxhash

from auburnrock.engine.mesh import model

CRASHES_MAX = 3
"""Number of crashes at which a request is refused. At three, a request that
twice ran at the same time as the one that causes the crashes is still
accepted."""

RETRY_CRASHES_MAX = 1
"""Crashes that a request may have caused and still be retried by a node. Below
`CRASHES_MAX`."""

FORGOTTEN_AFTER_MS = 60_000.0
"""Time after a request's latest crash, and after the time for which it is
refused, at which its crashes are forgotten, in milliseconds."""

FIRST_REFUSAL_MS = 60_000.0
"""Time after the latest of `CRASHES_MAX` crashes for which a request is
refused, in milliseconds. Each further crash doubles it."""

LONGEST_REFUSAL_MS = 600_000.0
"""Longest time after a crash for which a request is refused, in
milliseconds."""

SUSPECTS_MAX = 1_024
"""Maximum number of suspects, which bounds the memory. Those with the fewest
crashes are evicted first."""

CRASHES_KEPT_MAX = 8
"""Maximum number of crashes that are kept for one suspect, the latest ones."""


class Crash(msgspec.Struct, frozen=True, array_like=True):
    """A crash of a target.

    Attributes:
      target: identifies the incarnation of the target, see `crash_id`.
      age_ms: time since the crash, in milliseconds.
      cleared: whether the request was completed later, so that it is not the
        cause.
    """

    target: int
    age_ms: int
    cleared: bool = False


class ObservedCrash(msgspec.Struct, frozen=True):
    """A crash as this node keeps it.

    Attributes:
      crashed_ms: time of the crash.
      cleared: whether the suspected request was completed later.
    """

    crashed_ms: float
    cleared: bool


class Suspicion(msgspec.Struct, frozen=True, array_like=True):
    """Crashes of targets that were running a request.

    Attributes:
      fingerprint: fingerprint of the request.
      crashes: the crashes.
    """

    fingerprint: str
    crashes: list[Crash]


def fingerprint(
    method: bytes, host: bytes, path: bytes, caller: str, body: bytes
) -> str:
    """Returns the fingerprint by which two requests count as the same.

    It is the 64-bit XXH3 hash of the arguments, in hexadecimal.
    """
    parts = []
    for part in (method, host, path, caller.encode()):
        parts += (len(part).to_bytes(4, "big"), part)
    parts.append(len(body).to_bytes(4, "big"))
    digest = xxhash.xxh3_64(b"".join(parts))
    # The body may be long, and is not copied.
    digest.update(body)
    return digest.hexdigest()


def crash_id(incarnation: model.Incarnation) -> int:
    """Returns a short identifier of the crash that ended an incarnation."""
    text = f"{incarnation.node} {incarnation.target} {incarnation.started_ms}"
    # 48 bits take fewer bytes in MessagePack than a string.
    return xxhash.xxh64_intdigest(text.encode()) & 0xFFFFFFFFFFFF


class CrashSuspects:
    """Crashes of requests, as far as this node knows them.

    Attributes:
      crashes: crashes by `crash_id`, by fingerprint.
    """

    __slots__ = ("crashes",)

    def __init__(self):
        self.crashes: dict[str, dict[int, ObservedCrash]] = {}

    def crash_count(self, now_ms: float, suspect: str) -> int:
        """Number of crashes that a request may have caused.

        Args:
          now_ms: the time.
          suspect: fingerprint of the request.
        """
        crashes = self.crashes.get(suspect)
        if crashes is None:
            return 0
        if _is_forgotten(now_ms, crashes):
            del self.crashes[suspect]
            return 0
        return _count(crashes)

    def refused_for_ms(self, now_ms: float, suspect: str) -> float:
        """How long a request must not run, since it crashes targets.

        Args:
          now_ms: the time.
          suspect: fingerprint of the request.

        Returns:
          The time in milliseconds; 0 if the request may run.
        """
        count = self.crash_count(now_ms, suspect)
        if count < CRASHES_MAX:
            return 0.0
        until_ms = _latest_ms(self.crashes[suspect]) + _refusal_ms(count)
        return max(0.0, until_ms - now_ms)

    def on_crash(
        self,
        now_ms: float,
        incarnation: model.Incarnation,
        suspects: Iterable[str],
    ) -> list[Suspicion]:
        """Records a crash of a target.

        Args:
          now_ms: the time.
          incarnation: the incarnation of the target that has crashed.
          suspects: fingerprints of the requests that the target was running.

        Returns:
          What was not known before.
        """
        crash = Crash(crash_id(incarnation), 0)
        news = (
            self.merge(now_ms, Suspicion(suspect, [crash]))
            for suspect in suspects
        )
        return [each for each in news if each is not None]

    def merge(self, now_ms: float, suspicion: Suspicion) -> Suspicion | None:
        """Merges the crashes of a request that another node knows.

        Returns:
          What was not known before; None if all was.
        """
        suspect = suspicion.fingerprint
        # Crashes are forgotten together.
        self.crash_count(now_ms, suspect)
        crashes = dict(self.crashes.get(suspect, {}))
        news = [each for each in suspicion.crashes if _is_news(crashes, each)]
        for crash in news:
            crashes[crash.target] = ObservedCrash(
                now_ms - crash.age_ms, crash.cleared
            )
        while len(crashes) > CRASHES_KEPT_MAX:
            del crashes[min(crashes, key=lambda each: crashes[each].crashed_ms)]
        news = [crash for crash in news if crash.target in crashes]
        if not news or _is_forgotten(now_ms, crashes):
            return None
        if suspect not in self.crashes:
            self._make_room()
        self.crashes[suspect] = crashes
        return Suspicion(suspect, news)

    def on_answer(self, now_ms: float, suspect: str) -> Suspicion | None:
        """Clears a request that was completed, since it crashes no target.

        Returns:
          What was not known before; None if nothing was suspected.
        """
        if not self.crash_count(now_ms, suspect):
            return None
        crashes = [
            Crash(target, round(now_ms - crash.crashed_ms), True)
            for target, crash in self.crashes[suspect].items()
            if not crash.cleared
        ]
        return self.merge(now_ms, Suspicion(suspect, crashes))

    def known(self, now_ms: float, limit: int) -> list[Suspicion]:
        """Returns up to `limit` suspicions, those with most crashes first."""
        counts = {
            suspect: self.crash_count(now_ms, suspect)
            for suspect in list(self.crashes)
        }
        suspects = sorted(self.crashes, key=lambda each: -counts[each])
        return [
            Suspicion(
                suspect,
                [
                    Crash(
                        target, round(now_ms - crash.crashed_ms), crash.cleared
                    )
                    for target, crash in self.crashes[suspect].items()
                ],
            )
            for suspect in suspects[:limit]
        ]

    def _make_room(self) -> None:
        """Evicts the least suspected request if there are too many."""
        if len(self.crashes) < SUSPECTS_MAX:
            return

        def suspicion(suspect: str) -> tuple[int, float]:
            crashes = self.crashes[suspect]
            return _count(crashes), _latest_ms(crashes)

        del self.crashes[min(self.crashes, key=suspicion)]


def _latest_ms(crashes: dict[int, ObservedCrash]) -> float:
    return max(crash.crashed_ms for crash in crashes.values())


def _count(crashes: dict[int, ObservedCrash]) -> int:
    return sum(not crash.cleared for crash in crashes.values())


def _refusal_ms(count: int) -> float:
    """Time after the latest crash for which a request is refused."""
    if count < CRASHES_MAX:
        return 0.0
    doubled = FIRST_REFUSAL_MS * 2.0 ** (count - CRASHES_MAX)
    return min(LONGEST_REFUSAL_MS, doubled)


def _is_forgotten(now_ms: float, crashes: dict[int, ObservedCrash]) -> bool:
    kept_ms = FORGOTTEN_AFTER_MS + _refusal_ms(_count(crashes))
    return now_ms - _latest_ms(crashes) > kept_ms


def _is_news(known: dict[int, ObservedCrash], crash: Crash) -> bool:
    """Whether a crash is not known, or was not known to be cleared."""
    observed = known.get(crash.target)
    return observed is None or (crash.cleared and not observed.cleared)
