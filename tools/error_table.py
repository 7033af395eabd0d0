"""Writes docs/operators/errors.md from the table in auburnrock/errors.py.

python -m tools.error_table
"""

import pathlib

from auburnrock import errors

PAGE = pathlib.Path("docs/operators/errors.md")

MEANINGS: dict[errors.ErrorKind, str] = {
    errors.ErrorKind.BAD_REQUEST: (
        "Malformed request or command. Mend it as the message says."
    ),
    errors.ErrorKind.REQUEST_TOO_LARGE: (
        "The body is longer than `largest_body_bytes`."
    ),
    errors.ErrorKind.UNKNOWN_SERVICE: "No operators' file describes it.",
    errors.ErrorKind.MISSING_KEY: (
        "The service is divided by key: send `Auburnrock-Key`."
    ),
    errors.ErrorKind.MISSING_IDEMPOTENCY_KEY: (
        "The route runs at most once: send `Idempotency-Key` with a UUIDv7."
    ),
    errors.ErrorKind.NO_OWNER: "Nobody owns the key's shard yet.",
    errors.ErrorKind.NOT_OWNER: (
        "The node that was asked does not own the shard, or not any more."
    ),
    errors.ErrorKind.MOVING: "The shard is on its way to its next owner.",
    errors.ErrorKind.NO_TARGET: "No target of the service can run it now.",
    errors.ErrorKind.OVERLOADED: (
        "The target's slots and the queue are full; the load was shed."
    ),
    errors.ErrorKind.DRAINING: "The node or target is stopping.",
    errors.ErrorKind.DEADLINE_EXCEEDED: (
        "The deadline passed before anything was sent to a target."
    ),
    errors.ErrorKind.OUTCOME_UNKNOWN: (
        "It was sent and no whole answer came. Find out before sending the"
        " work again under another idempotency key."
    ),
    errors.ErrorKind.IN_PROGRESS: (
        "Work of the same idempotency key is running; ask again for its result."
    ),
    errors.ErrorKind.QUARANTINED: (
        "The same request crashed targets; it is refused for a while."
    ),
    errors.ErrorKind.TARGET_REFUSED: (
        "The target refused it without running it."
    ),
    errors.ErrorKind.PEER_UNREACHABLE: (
        "The node that should run or answer it could not be reached."
    ),
    errors.ErrorKind.CONFIGURATION_REJECTED: (
        "The operators' files are not accepted; the message names file,"
        " field, what was got and what is accepted."
    ),
    errors.ErrorKind.STORE_UNAVAILABLE: (
        "The platform's key-value service gave no answer; nothing changed."
    ),
    errors.ErrorKind.CONFLICT: (
        "Another operator changed the same first, or the state forbids it."
    ),
    errors.ErrorKind.INTERNAL: (
        "A fault of the system, or a record of the store that is nonsense."
    ),
}

HEAD = """# Errors

Written by `python -m tools.error_table`; change that, not this page.

Every error is one of this closed list. Callers get the kind in the header
`Auburnrock-Error` and in the JSON body, whether a target ran the request in
`Auburnrock-Ran` (`no` is certain, `unknown` is not), and, where trying again
can help, when: `Retry-After` in whole seconds and `Auburnrock-Retry-After-Ms`.
Some answers carry a time of their own in place of the table's.

| kind | status | ran | retry after | meaning |
| --- | ---: | --- | ---: | --- |
"""


def page() -> str:
    """Returns the text of the page."""
    return HEAD + "".join(map(_row, errors.ErrorKind))


def _row(kind: errors.ErrorKind) -> str:
    answer = errors.ANSWERS[kind]
    retry = "-"
    if answer.retry_after_ms is not None:
        retry = f"{answer.retry_after_ms:,} ms"
    cells = (
        f"`{kind.value}`",
        str(answer.status),
        answer.ran.value,
        retry,
        MEANINGS[kind],
    )
    return f"| {' | '.join(cells)} |\n"


def main() -> None:
    """Writes the page."""
    PAGE.write_text(page())


if __name__ == "__main__":
    main()
