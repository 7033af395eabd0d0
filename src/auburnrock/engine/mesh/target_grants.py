"""What the target beside a node may hold, and what it has let go.

A target learns of its keys only from the replies to its heartbeats. So the
node knows the latest moment until which the target may hold a key: the last
reply that named it, plus the hold time, plus the drift of the target's clock.
A key goes to another target only when this one has reported it freed, when
that moment has passed, or when this start of the target has ended.
"""

import msgspec

from auburnrock.engine.mesh import key_table as table_module
from auburnrock.engine.mesh import model

CLOCK_DRIFT_FACTOR = 1.025
"""A target's clock may run 2% slow; the rest is for its timers."""

LEAST_HOLD_MS = 150.0
"""A shorter hold would lapse before the next reply."""

REPLY_BYTES = 3_900
"""A heartbeat's reply may have 4 KiB; the rest is for what frames the rows."""

ROW_BYTES = 8
"""A row without its token and handover: two keys and what frames them."""

STALE_REPLY_MS = 800.0
"""A target takes a reply within a second; the rest is for the way there."""


class TargetGrants:
    """The grants of one target.

    Attributes:
      member: name of this node.
      hold_ms: wanted hold time.
      incarnation: the present start of the target; None without one.
      last_ended: the last start that is known to have ended.
      sequence: of its latest heartbeat.
      last_heartbeat_ms: when that came.
      draining: whether it takes no new work.
      table: the latest known ownership; None before it is known.
      owned: the stripes of a life in a version of the table, as looked up.
      until_ms: the latest moment at which the target may hold each stripe.
      served_until_ms: stripes of the last reply, and until when they may be
        served.
      reported_fences: fence of each stripe that the target reports whole.
      partly_reported: stripes of which the target reports a part.
      releasing: new owner of the stripes that are being given away.
      pending: moves of a change whose outcome is not known. The target gets
        none of these back until the change can no longer take effect.
      uncertain: whether an answer on these moves was lost; the change may be
        made at any later moment.
      handovers: what the target gave for the stripes that it freed.
      grants_reported_only: whether only what the target reports is granted: the
        rest may be given to others, by a lost version of the table or by a
        change that an earlier process has sent.
      reported_ranges: what the last heartbeat reported.
      unknown_until_ms: an earlier process may have granted until then.
    """

    __slots__ = (
        "draining",
        "grants_reported_only",
        "handovers",
        "hold_ms",
        "incarnation",
        "last_ended",
        "last_heartbeat_ms",
        "member",
        "owned",
        "partly_reported",
        "pending",
        "releasing",
        "reported_fences",
        "reported_ranges",
        "sequence",
        "served_until_ms",
        "table",
        "uncertain",
        "unknown_until_ms",
        "until_ms",
    )

    def __init__(self, member: str, hold_ms: float, now_ms: float):
        self.member = member
        self.hold_ms = hold_ms
        self.incarnation: model.Incarnation | None = None
        self.last_ended: model.Incarnation | None = None
        self.sequence = -1
        self.last_heartbeat_ms = now_ms
        self.draining = False
        self.table: table_module.KeyTable | None = None
        self.owned: tuple[tuple | None, list[int]] = (None, [])
        self.until_ms: dict[int, float] = {}
        self.served_until_ms: dict[int, float] = {}
        self.reported_fences: dict[int, int] = {}
        self.partly_reported: set[int] = set()
        self.releasing: dict[int, model.Incarnation] = {}
        self.handovers: dict[int, str] = {}
        self.pending: dict[int, tuple[model.Incarnation, str]] = {}
        self.uncertain = False
        self.grants_reported_only = False
        self.reported_ranges: list[model.HeldRange] = []
        self.unknown_until_ms = now_ms + hold_ms * CLOCK_DRIFT_FACTOR

    def on_heartbeat(self, now_ms: float, beat: model.Heartbeat) -> bool:
        """Takes a heartbeat; False if it is older than what is known."""
        life = model.Incarnation(self.member, beat.target, beat.started_ms)
        if self.incarnation != life:
            newest = self.incarnation or self.last_ended
            if newest and beat.started_ms < newest.started_ms:
                return False
            self._begin_life(now_ms, life)
        elif beat.sequence <= self.sequence:
            return False
        self.sequence = beat.sequence
        self.last_heartbeat_ms = now_ms
        self.draining = self.draining or (
            beat.state is model.TargetState.DRAINING
        )
        self.reported_ranges = beat.held_ranges
        if self.table is not None:
            self._note_reported(beat.held_ranges)
            self._note_freed(beat.freed_ranges)
        return True

    def on_target_ended(self) -> None:
        """This start of the target has ended for certain; it holds nothing."""
        self.last_ended = self.incarnation or self.last_ended
        self.incarnation = None
        self.draining = False
        self._forget_holds()
        self.unknown_until_ms = 0.0

    def on_leaving(self) -> None:
        """The target said that it leaves."""
        self.draining = True

    def update_table(self, table: table_module.KeyTable) -> None:
        """Takes a version of the table; older ones are ignored."""
        if self.table is not None and table.version <= self.table.version:
            return
        if self.table is None:
            self.table = table
            self._note_reported(self.reported_ranges)
        self.table = table
        # A change is made under the version before it, so none is open now.
        self.change_failed()
        own = set(self.own_stripes())
        for stripe in [index for index in self.releasing if index not in own]:
            del self.releasing[stripe]
        for stripe in [index for index in self.handovers if index not in own]:
            del self.handovers[stripe]

    def own_stripes(self) -> list[int]:
        """Stripes that the table gives to the target's present start."""
        if self.table is None or self.incarnation is None:
            return []
        mark = (self.table.version, self.incarnation)
        if self.owned[0] != mark:
            self.owned = (mark, self.table.owned_by(self.incarnation))
        return self.owned[1]

    def former_incarnation_stripes(self) -> list[int]:
        """Stripes of earlier starts of a target beside this node."""
        if self.table is None:
            return []
        former = {
            place
            for place, life in enumerate(self.table.owners)
            if life.node == self.member and life != self.incarnation
        }
        if not former:
            return []
        return [
            index
            for index, stripe in enumerate(self.table.stripes)
            if stripe.owner in former
        ]

    def begin_release(self, moves: dict[int, model.Incarnation]) -> None:
        """Begins to give away stripes of this node, and only these."""
        own = set(self.own_stripes())
        self.releasing = {
            stripe: life for stripe, life in moves.items() if stripe in own
        }

    def grant_ranges(self) -> list[model.HeldRange]:
        """Everything that the target is to hold, within a reply's size.

        Neighbours share a row. What it holds already comes first: it would
        let go of what is left out.
        """
        rows = _joined([self._row(index) for index in self._stripes_to_grant()])
        excess = _size(rows) - REPLY_BYTES
        if excess <= 0:
            return rows
        dropped = [row for row in rows if self._is_held(row)]
        dropped += [row for row in rows if not self._is_held(row)]
        while excess > 0:
            row = dropped.pop()
            rows.remove(row)
            excess -= _size([row])
        return rows

    def _stripes_to_grant(self) -> list[int]:
        """Stripes of the target that are not given away."""
        return [
            index
            for index in self.own_stripes()
            if index not in self.releasing
            and index not in self.pending
            and (not self.grants_reported_only or self._is_reported(index))
        ]

    def withholds_unreported(self) -> bool:
        """Whether it would grant more if it did not only grant what is held."""
        return self.grants_reported_only and any(
            not self._is_reported(index)
            for index in self.own_stripes()
            if index not in self.releasing and index not in self.pending
        )

    def _row(self, index: int) -> model.HeldRange:
        first, last = self.table.span(index)
        stripe = self.table.stripes[index]
        if self._is_reported(index):
            # After a restore it may be above the table's.
            fence = max(stripe.fence, self.reported_fences[index])
            return model.HeldRange(first, last, fence)
        fence = max(stripe.fence, self.table.fence_floor)
        return model.HeldRange(first, last, fence, stripe.handover)

    def _is_held(self, row: model.HeldRange) -> bool:
        return any(map(self._is_reported, self._stripes_in(row)))

    def _stripes_in(self, row: model.HeldRange) -> range:
        return range(
            self.table.stripe_of(row.first), self.table.stripe_of(row.last) + 1
        )

    def reply(
        self, now_ms: float, asked_ms: float, lease_ends_ms: float
    ) -> model.HeartbeatReply:
        """The reply to a heartbeat, at the moment when it is sent.

        Args:
          now_ms: when it is sent.
          asked_ms: when the heartbeat came.
          lease_ends_ms: end of this node's lease.
        """
        if self.table is None or self.incarnation is None:
            return model.HeartbeatReply()
        left_ms = (lease_ends_ms - now_ms) / CLOCK_DRIFT_FACTOR
        hold_ms = min(self.hold_ms, left_ms)
        if hold_ms < LEAST_HOLD_MS or now_ms - asked_ms > STALE_REPLY_MS:
            return model.HeartbeatReply()
        rows = self.grant_ranges()
        until_ms = now_ms + hold_ms * CLOCK_DRIFT_FACTOR
        serve_until_ms = asked_ms + hold_ms / CLOCK_DRIFT_FACTOR
        self.served_until_ms = {}
        for row in rows:
            for stripe in self._stripes_in(row):
                self.until_ms[stripe] = until_ms
                self.served_until_ms[stripe] = serve_until_ms
                self.handovers.pop(stripe, None)
        return model.HeartbeatReply(rows, int(hold_ms))

    def has_grant_changes(self) -> bool:
        """Whether a reply now would change what the target holds."""
        if self.table is None or self.incarnation is None:
            return False
        return set(self._stripes_to_grant()) != set(self.served_until_ms)

    def may_serve(self, now_ms: float, key: int) -> bool:
        """Whether the target holds a key and will for a little longer."""
        if self.table is None:
            return False
        stripe = self.table.stripe_of(key)
        return now_ms < self.served_until_ms.get(stripe, 0.0)

    def released(
        self, now_ms: float
    ) -> dict[int, tuple[model.Incarnation, str]]:
        """Stripes that can go to their new owners now, with handovers."""
        if self.pending:
            return dict(self.pending)
        return {
            stripe: (life, self.handovers.get(stripe, ""))
            for stripe, life in self.releasing.items()
            if self._is_free(now_ms, stripe)
        }

    def begin_change(
        self, moves: dict[int, tuple[model.Incarnation, str]]
    ) -> None:
        """A change of the table that gives these stripes away is sent."""
        self.pending = dict(moves)

    def change_unanswered(self) -> None:
        """The change was sent and may take effect at any later moment."""
        self.uncertain = True

    def change_not_sent(self) -> None:
        """The change had no effect, this time; an earlier try may have."""
        if not self.uncertain:
            self.pending.clear()

    def change_failed(self) -> None:
        """The change can no longer take effect, however often it was sent."""
        self.pending.clear()
        self.uncertain = False

    def heartbeat_overdue(self, now_ms: float) -> bool:
        """Whether the target has not renewed what it held in time."""
        return (
            now_ms - self.last_heartbeat_ms > self.hold_ms * CLOCK_DRIFT_FACTOR
        )

    def _begin_life(self, now_ms: float, life: model.Incarnation) -> None:
        if self.incarnation is not None:
            self.last_ended = self.incarnation
            self._forget_holds()
            self.unknown_until_ms = 0.0
        self.incarnation = life
        self.sequence = -1
        self.draining = False

    def _forget_holds(self) -> None:
        self.until_ms.clear()
        self.served_until_ms.clear()
        self.releasing.clear()
        self.handovers.clear()
        self.reported_ranges = []
        self.reported_fences.clear()
        self.partly_reported.clear()

    def _is_free(self, now_ms: float, stripe: int) -> bool:
        if stripe in self.handovers:
            return True
        until_ms = max(self.until_ms.get(stripe, 0.0), self.unknown_until_ms)
        return until_ms <= now_ms

    def _is_reported(self, index: int) -> bool:
        # Also under an earlier token: a crowded target's rows get a new one.
        return index in self.reported_fences

    def _note_reported(self, holds: list[model.HeldRange]) -> None:
        """Takes what the target holds or still works on."""
        self.reported_fences.clear()
        self.partly_reported.clear()
        for row in holds:
            low = self.table.stripe_of(row.first)
            high = self.table.stripe_of(row.last)
            self.partly_reported.update(range(low, high + 1))
            for index in range(low, high + 1):
                first, last = self.table.span(index)
                if row.first <= first and last <= row.last:
                    self.reported_fences[index] = row.fence

    def _note_freed(self, freed: list[model.FreedRange]) -> None:
        """Takes what the target has let go, unless it still holds a part."""
        for part in freed:
            low = self.table.stripe_of(part.first)
            high = self.table.stripe_of(part.last)
            for index in range(low, high + 1):
                first, last = self.table.span(index)
                whole = part.first <= first and last <= part.last
                if whole and index not in self.partly_reported:
                    self.handovers[index] = part.handover
                    self.until_ms.pop(index, None)
                    self.served_until_ms.pop(index, None)


def _size(rows: list[model.HeldRange]) -> int:
    """Bytes that the rows take in a reply."""
    return sum(
        ROW_BYTES + _token_bytes(row.fence) + len(row.handover) for row in rows
    )


def _token_bytes(token: int) -> int:
    """Bytes of a fencing token in MessagePack."""
    if token < 1 << 7:
        return 1
    if token < 1 << 8:
        return 2
    return 3 if token < 1 << 16 else 5


def _joined(rows: list[model.HeldRange]) -> list[model.HeldRange]:
    """The same keys in fewer rows, where token and handover are the same."""
    joined: list[model.HeldRange] = []
    for row in rows:
        before = joined[-1] if joined else None
        if (
            before is not None
            and before.last + 1 == row.first
            and before.fence == row.fence
            and before.handover == row.handover
        ):
            joined[-1] = msgspec.structs.replace(before, last=row.last)
        else:
            joined.append(row)
    return joined
