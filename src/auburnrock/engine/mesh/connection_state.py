"""When a connection to another node is opened, pinged, given up and closed.

Load answered: hundreds of nodes, each of which asks targets beside most others
now and then. A connection is kept to nodes with a duty: neighbours and
witnesses. Any other is opened for a request, pinged while one waits for its
outcome, and closed when it has not been used for a while.
"""

import enum
import math

PING_MS = 300.0
"""Pings in small fleets: a lost node is noticed within a part of the
objectives, and reports of load are fresh."""

WITNESS_PING_MS = 450.0
"""Pings to witnesses, beside the renewals (lease.RENEW_EVERY_MS), which are
pings too; and while a request waits."""

NEIGHBOUR_PING_MS = 1_000.0
"""Pings to neighbours in large fleets."""

FULL_MESH_NODES_MAX = 24
"""Up to so many nodes all are neighbours of all, at the fast rate."""

PING_TIMEOUT_MS = 900.0
"""A connection without an answer to a ping for this long is lost."""

SILENT_PINGS = 2.0
"""The same in pings, where they are rarer."""

STALL_THRESHOLD_MS = 250.0
"""A look at the connections that is this late means that the process was frozen
or starved; five looks fit into it."""

IDLE_MS = 12_000.0
"""A connection without a duty is closed after this: at seven requests a second
over 190 targets, most are asked again later than that."""

INBOUND_IDLE_TIMEOUT_MS = 2.0 * IDLE_MS
"""A connection that another node has opened is closed if nothing has come on it
for this long: that node pings on it, or closes it sooner."""

RECONNECT_BACKOFF_MS = 50.0
"""Between the first two attempts to connect: the nodes of a fleet that starts
at once are there a tenth of a second apart. Later pauses are longer."""

RECONNECT_BACKOFF_MAX_MS = 500.0
"""The same to a node that has not answered many attempts."""


def is_inbound_idle(now_ms: float, heard_ms: float) -> bool:
    """Whether the node that has opened a connection no longer knows of it."""
    return now_ms - heard_ms > INBOUND_IDLE_TIMEOUT_MS


class ConnectionAction(enum.Enum):
    """What to do with a connection now."""

    NOTHING = enum.auto()
    CONNECT = enum.auto()
    PING = enum.auto()
    ABORT = enum.auto()
    CLOSE = enum.auto()


class ConnectionState:
    """State of one connection, for the decision.

    Attributes:
      keep_open: whether it is kept without a request.
      ping_ms: time between pings while it has a duty.
      connected: whether it is open.
      connect_requested: whether a request was refused for the lack of a
        connection, so that one more attempt is due.
      connecting: whether an attempt is under way.
      in_flight: requests without an outcome.
      used_ms: when a request last used it.
      pinged_ms: when it was last pinged on this connection.
      unanswered_since_ms: when the first ping without an answer went, or a part
        of an answer came since; 0 for none. Later by the time in which this
        process stood still.
      failures: attempts to connect that failed in a row.
      refused: whether nobody listened at the last of them.
      retry_at_ms: no attempt before.
    """

    __slots__ = (
        "connect_requested",
        "connected",
        "connecting",
        "failures",
        "in_flight",
        "keep_open",
        "ping_ms",
        "pinged_ms",
        "refused",
        "retry_at_ms",
        "unanswered_since_ms",
        "used_ms",
    )

    def __init__(self, now_ms: float):
        self.keep_open = False
        self.ping_ms = PING_MS
        self.connected = False
        self.connecting = False
        self.connect_requested = False
        self.in_flight = 0
        self.used_ms = now_ms
        self.pinged_ms = -math.inf
        self.unanswered_since_ms = 0.0
        self.failures = 0
        self.refused = False
        self.retry_at_ms = 0.0

    def next_action(self, now_ms: float) -> ConnectionAction:
        """What to do now."""
        wanted = self.keep_open or self.in_flight > 0
        if self.connecting:
            return ConnectionAction.NOTHING
        if not self.connected:
            if (
                wanted or self.connect_requested
            ) and now_ms >= self.retry_at_ms:
                self.connect_requested = False
                return ConnectionAction.CONNECT
            if not wanted and now_ms - self.used_ms > IDLE_MS:
                return ConnectionAction.CLOSE
            return ConnectionAction.NOTHING
        if self.unanswered_since_ms:
            silent_ms = now_ms - self.unanswered_since_ms
            if silent_ms > self._silent_limit_ms():
                return ConnectionAction.ABORT
        if not wanted:
            if now_ms - self.used_ms > IDLE_MS:
                return ConnectionAction.CLOSE
            return ConnectionAction.NOTHING
        if now_ms - self.pinged_ms >= self.interval_ms():
            return ConnectionAction.PING
        return ConnectionAction.NOTHING

    def due_ms(self, now_ms: float) -> float:
        """When there may be something to do, if nothing happens before.

        A node of a large fleet keeps tens of connections, and looks at most of
        them once a second.
        """
        if self.connecting or not self.connected:
            return now_ms
        times = []
        if self.unanswered_since_ms:
            times.append(self.unanswered_since_ms + self._silent_limit_ms())
        if self.keep_open or self.in_flight > 0:
            times.append(self.pinged_ms + self.interval_ms())
        else:
            times.append(self.used_ms + IDLE_MS)
        return min(times)

    def _silent_limit_ms(self) -> float:
        return max(PING_TIMEOUT_MS, SILENT_PINGS * self.interval_ms())

    def is_connect_failing(self) -> bool:
        """Whether the last attempt has failed: no request should wait."""
        return not self.connected and self.failures > 0

    def is_gone(self) -> bool:
        """Whether the other process has ended.

        One that does not answer in time may be behind a full link.
        """
        return self.is_connect_failing() and self.refused

    def interval_ms(self) -> float:
        """Time between pings now."""
        if self.in_flight > 0:
            return min(WITNESS_PING_MS, self.ping_ms)
        return self.ping_ms

    def on_opened(self) -> None:
        """The connection was opened."""
        self.connecting = False
        self.connected = True
        self.failures = 0
        self.refused = False
        self.unanswered_since_ms = 0.0
        self.pinged_ms = -math.inf

    def on_failed(self, now_ms: float, refused: bool = False) -> None:
        """An attempt to connect has failed."""
        self.connecting = False
        self.failures += 1
        self.refused = refused
        pause_ms = min(
            RECONNECT_BACKOFF_MAX_MS,
            RECONNECT_BACKOFF_MS * 1.5 ** (self.failures - 1),
        )
        self.retry_at_ms = now_ms + pause_ms

    def on_lost(self, now_ms: float) -> None:
        """The open connection has ended."""
        self.connected = False
        self.unanswered_since_ms = 0.0
        self.retry_at_ms = now_ms

    def on_pinged(self, now_ms: float) -> None:
        """A ping was sent."""
        self.pinged_ms = now_ms
        self.unanswered_since_ms = self.unanswered_since_ms or now_ms

    def on_answer(self) -> None:
        """The other node has answered something."""
        self.unanswered_since_ms = 0.0

    def on_stall(self, now_ms: float, for_ms: float) -> None:
        """This process heard nothing, since it did not listen."""
        if self.unanswered_since_ms:
            self.unanswered_since_ms = min(
                now_ms, self.unanswered_since_ms + for_ms
            )

    def on_progress(self, now_ms: float) -> None:
        """A part of an answer has come; the rest may be held up behind it."""
        if self.unanswered_since_ms:
            self.unanswered_since_ms = now_ms
