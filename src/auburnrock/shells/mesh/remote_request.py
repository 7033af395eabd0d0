"""A request that another node has sent to the target beside this node."""

import asyncio

from auburnrock import errors
from auburnrock.engine.mesh import byte_budget
from auburnrock.engine.mesh import peer_messages
from auburnrock.engine.mesh import target_selection
from auburnrock.shells.mesh import frames

OVER_BUDGET_RETRY_MS = 500.0
"""Retry delay for a request that the process has no memory for."""


class RemoteRequest(byte_budget.DroppableHolder):
    """A request of another node that runs at this node's target.

    Attributes:
      connection: connection on which its outcome is sent.
      run: the request message.
      sent: whether the target may have begun to run the request.
      orphaned: whether the request was cancelled because its node had not
        reconnected.
      resent_until_ms: time until which its node may send the request again.
      task: task that runs the request; None once there is an outcome.
      outcome: outcome of the request; None before its end.
    """

    __slots__ = (
        "connection",
        "orphaned",
        "outcome",
        "resent_until_ms",
        "run",
        "sent",
        "task",
    )

    def __init__(
        self,
        connection: frames.FrameConnection,
        run: peer_messages.RunRequest,
        resent_until_ms: float,
    ):
        super().__init__()
        self.connection = connection
        self.run = run
        self.resent_until_ms = resent_until_ms
        self.sent = False
        self.orphaned = False
        self.task: asyncio.Task | None = None
        self.outcome: peer_messages.RunOutcome | None = None

    def mark_sent(self) -> None:
        """Records that the request is being sent to the target."""
        self.sent = True

    def drop(self) -> None:
        """Drops the response that is retained in case it is asked for again.

        Whoever asks learns that the request may have run.
        """
        self.outcome = peer_messages.Lost(
            self.run.number,
            errors.ErrorKind.OUTCOME_UNKNOWN.value,
            target_selection.NO_TARGET,
        )


def refusal(
    number: int, report: target_selection.LoadReport
) -> peer_messages.Refused:
    """Returns the refusal of a request that there is no memory for.

    Args:
      number: number of the request.
      report: load of the target.
    """
    return peer_messages.Refused(
        number,
        errors.ErrorKind.OVERLOADED.value,
        OVER_BUDGET_RETRY_MS,
        False,
        report,
    )


def kept_bytes(run: peer_messages.RunRequest) -> int:
    """Returns the bytes that are kept for a request while it runs."""
    headers_bytes = byte_budget.HEADER_OVERHEAD_BYTES * len(run.headers)
    return byte_budget.REQUEST_BYTES + headers_bytes + len(run.body)
