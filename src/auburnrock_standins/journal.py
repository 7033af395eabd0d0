"""What a target ran, for oracles."""

import msgspec

LINE_PREFIX = "event=execution "
"""Begins each line of a target's output that holds an Execution as JSON."""


class Execution(msgspec.Struct, kw_only=True):
    """One execution; times are boot-time milliseconds.

    Attributes:
      request_id: identifier of the request.
      idempotency_key: the caller's name for the work, if any.
      key: the key, empty for none.
      shard: shard of the key, -1 for none.
      epoch: epoch that the request carried.
      incarnation: incarnation of the target.
      started_ms: when it began.
      ended_ms: when it ended; None while it runs.
      cancelled: whether it was cancelled before its end.
    """

    request_id: str
    idempotency_key: str
    key: str
    shard: int
    epoch: int
    incarnation: str
    started_ms: int
    ended_ms: int | None = None
    cancelled: bool = False


class Journal(msgspec.Struct):
    """All executions of one target, in the order of their starts."""

    incarnation: str
    executions: list[Execution]


class WorkResult(msgspec.Struct):
    """The stand-in target's answer to work.

    Attributes:
      key: the request's key.
      incarnation: incarnation of the target.
      execution: how many executions the target had begun with this one.
      body_bytes: size of the request's body.
    """

    key: str
    incarnation: str
    execution: int
    body_bytes: int


class Refusal(msgspec.Struct):
    """Body of a refusal."""

    error: str
    message: str


def read_lines(output: str) -> list[Execution]:
    """The executions that a target printed when they began, in order.

    A last line that a kill cut short is left out.
    """
    decoder = msgspec.json.Decoder(Execution)
    whole, _, _ = output.rpartition("\n")
    return [
        decoder.decode(line.removeprefix(LINE_PREFIX))
        for line in whole.splitlines()
        if line.startswith(LINE_PREFIX)
    ]
