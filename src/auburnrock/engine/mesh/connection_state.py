"""Decides when a connection to another node is opened, pinged and closed.

It is made for hundreds of nodes, each of which occasionally sends requests to
the targets beside most others. Connections to neighbours and witnesses are kept
open. Any other connection is opened for a request, pinged while a request waits
for its outcome, and closed after IDLE_MS without use.
"""

import enum
import math

PING_MS = 300.0
"""Interval between pings in fleets of up to FULL_MESH_NODES_MAX nodes, in
milliseconds: a lost node is detected within a part of the objectives, and load
reports are recent."""

WITNESS_PING_MS = 450.0
"""Interval between pings to witnesses and while a request waits, in
milliseconds. Renewals (lease.RENEW_EVERY_MS) are sent as pings besides
these."""

NEIGHBOUR_PING_MS = 1_000.0
"""Interval between pings to neighbours in fleets of more than
FULL_MESH_NODES_MAX nodes, in milliseconds."""

FULL_MESH_NODES_MAX = 24
"""Number of nodes up to which all nodes are neighbours and ping each other
every PING_MS."""

PING_TIMEOUT_MS = 900.0
"""Time in milliseconds without an answer to a ping after which a connection is
considered lost; PING_TIMEOUT_INTERVALS extends it where pings are rare."""

PING_TIMEOUT_INTERVALS = 2.0
"""Number of ping intervals without an answer to a ping after which a connection
is considered lost, if that is longer than PING_TIMEOUT_MS."""

STALL_THRESHOLD_MS = 250.0
"""Delay in milliseconds of the periodic check of the connections that shows
that this process was frozen or starved; it is five times the check's
interval."""

IDLE_MS = 12_000.0
"""Time in milliseconds after which an unused connection is closed that is not
kept open: at seven requests a second over 190 targets, the next request to most
targets comes later than that."""

INBOUND_IDLE_TIMEOUT_MS = 2.0 * IDLE_MS
"""Time in milliseconds without a received message after which a connection that
another node has opened is closed. It is longer than IDLE_MS: the other node
pings on the connection or closes it sooner."""

RECONNECT_BACKOFF_MS = 50.0
"""Time in milliseconds between the first two attempts to connect; later ones
are further apart. The nodes of a fleet that is started all at once begin to
listen within a tenth of a second of each other."""

RECONNECT_BACKOFF_MAX_MS = 500.0
"""Longest time between two attempts to connect, in milliseconds."""


def is_inbound_idle(now_ms: float, received_ms: float) -> bool:
    """Whether a connection that another node has opened is to be closed.

    Args:
      now_ms: the current time.
      received_ms: when the last message was received on the connection.
    """
    return now_ms - received_ms > INBOUND_IDLE_TIMEOUT_MS


class ConnectionAction(enum.Enum):
    """Next action to perform on a connection."""

    NOTHING = enum.auto()
    CONNECT = enum.auto()
    PING = enum.auto()
    ABORT = enum.auto()
    CLOSE = enum.auto()


class ConnectionState:
    """State of the connection to one node.

    Attributes:
      keep_open: whether the connection is kept open without a request.
      ping_ms: interval between pings while the connection is kept open.
      connected: whether the connection is open.
      connect_requested: whether a request was refused for lack of a connection,
        so that one more attempt to connect is due.
      connecting: whether an attempt to connect is in progress.
      in_flight: number of requests without an outcome.
      used_ms: when a request last used the connection.
      pinged_ms: when a ping was last sent on this connection.
      unanswered_since_ms: when the first unanswered ping was sent, or when part
        of an answer was last received since then; 0 without an unanswered ping.
        Pauses of this process are added to it.
      failures: number of consecutive failed attempts to connect.
      refused: whether the last failed attempt was refused, as no process
        listened on the port.
      retry_at_ms: earliest time of the next attempt to connect.
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
        """Returns the action to perform now."""
        is_needed = self.keep_open or self.in_flight > 0
        if self.connecting:
            return ConnectionAction.NOTHING
        if not self.connected:
            if (
                is_needed or self.connect_requested
            ) and now_ms >= self.retry_at_ms:
                self.connect_requested = False
                return ConnectionAction.CONNECT
            if not is_needed and now_ms - self.used_ms > IDLE_MS:
                return ConnectionAction.CLOSE
            return ConnectionAction.NOTHING
        if self.unanswered_since_ms:
            unanswered_ms = now_ms - self.unanswered_since_ms
            if unanswered_ms > self._ping_timeout_ms():
                return ConnectionAction.ABORT
        if not is_needed:
            if now_ms - self.used_ms > IDLE_MS:
                return ConnectionAction.CLOSE
            return ConnectionAction.NOTHING
        if now_ms - self.pinged_ms >= self.interval_ms():
            return ConnectionAction.PING
        return ConnectionAction.NOTHING

    def due_ms(self, now_ms: float) -> float:
        """Returns when `next_action` has to be called again without an event.

        A node of a large fleet has tens of open connections, so it should not
        check each of them at every tick.
        """
        if self.connecting or not self.connected:
            return now_ms
        times = []
        if self.unanswered_since_ms:
            times.append(self.unanswered_since_ms + self._ping_timeout_ms())
        if self.keep_open or self.in_flight > 0:
            times.append(self.pinged_ms + self.interval_ms())
        else:
            times.append(self.used_ms + IDLE_MS)
        return min(times)

    def _ping_timeout_ms(self) -> float:
        return max(PING_TIMEOUT_MS, PING_TIMEOUT_INTERVALS * self.interval_ms())

    def is_connect_failing(self) -> bool:
        """Whether the last attempt to connect failed.

        Requests should not wait for the connection then.
        """
        return not self.connected and self.failures > 0

    def is_gone(self) -> bool:
        """Whether the other process has ended: its port refuses connections.

        A process that does not answer in time may be behind a congested link.
        """
        return self.is_connect_failing() and self.refused

    def interval_ms(self) -> float:
        """Returns the current interval between pings."""
        if self.in_flight > 0:
            return min(WITNESS_PING_MS, self.ping_ms)
        return self.ping_ms

    def on_opened(self) -> None:
        """Handles the opening of the connection."""
        self.connecting = False
        self.connected = True
        self.failures = 0
        self.refused = False
        self.unanswered_since_ms = 0.0
        self.pinged_ms = -math.inf

    def on_failed(self, now_ms: float, refused: bool = False) -> None:
        """Handles a failed attempt to connect.

        Args:
          now_ms: the current time.
          refused: whether the other host refused the connection.
        """
        self.connecting = False
        self.failures += 1
        self.refused = refused
        backoff_ms = min(
            RECONNECT_BACKOFF_MAX_MS,
            RECONNECT_BACKOFF_MS * 1.5 ** (self.failures - 1),
        )
        self.retry_at_ms = now_ms + backoff_ms

    def on_lost(self, now_ms: float) -> None:
        """Handles the end of the open connection."""
        self.connected = False
        self.unanswered_since_ms = 0.0
        self.retry_at_ms = now_ms

    def on_pinged(self, now_ms: float) -> None:
        """Records that a ping was sent."""
        self.pinged_ms = now_ms
        self.unanswered_since_ms = self.unanswered_since_ms or now_ms

    def on_answer(self) -> None:
        """Handles any answer of the other node."""
        self.unanswered_since_ms = 0.0

    def on_stall(self, now_ms: float, stall_ms: float) -> None:
        """Handles a pause of this process, in which it received nothing.

        Args:
          now_ms: the current time.
          stall_ms: duration of the pause.
        """
        if self.unanswered_since_ms:
            self.unanswered_since_ms = min(
                now_ms, self.unanswered_since_ms + stall_ms
            )

    def on_progress(self, now_ms: float) -> None:
        """Handles received data that does not complete an answer yet.

        The answer to a ping may be queued behind it.
        """
        if self.unanswered_since_ms:
            self.unanswered_since_ms = now_ms
