"""Key ranges that a node has granted to its target, and when they are free.

A target receives its keys only in the replies to its heartbeats. The node
therefore knows the latest time until which the target may hold a key: the last
reply that granted it, plus the hold time, plus the drift of the target's clock.
A key moves to another target only after this target has reported it freed,
that time has passed, or this incarnation of the target has ended.

A heartbeat may come from another writer. So the heartbeat of another
incarnation ends no hold of the known one (see incarnation_claims).
"""

import math

from auburnrock.engine.mesh import incarnation_claims
from auburnrock.engine.mesh import key_table as table_module
from auburnrock.engine.mesh import model

CLOCK_DRIFT_FACTOR = 1.025
"""Factor by which a target may stretch a hold time: its clock may run 2% slow,
and the rest allows for late timers."""

MIN_HOLD_MS = 150.0
"""Shortest hold time that is granted, in milliseconds. A shorter hold would
expire before the next reply."""

REPLY_BYTES_MAX = 3_900
"""Bytes of key ranges in a heartbeat reply. The reply may take 4 KiB; the rest
is for the encoding around the ranges."""

RANGE_BYTES = 8
"""Encoded bytes of a key range without its fencing token and handover: two keys
and the encoding around them."""

REPLY_DELAY_MAX_MS = 800.0
"""Longest time in milliseconds from receiving a heartbeat to replying with
grants. A target accepts a reply within a second; the rest is for the
network."""


SEQUENCE_STEP_MAX = 100
"""Largest step between the sequence numbers of two heartbeats. Targets send ten
a second at most, and each is answered."""

NO_SEQUENCE = -2
"""Stands for no sequence number."""

HEARTBEAT_MS = 1_000.0
"""Longest usual interval between heartbeats in milliseconds, unless it is
given."""


class TargetGrants:
    """Grants of the target beside this node.

    Attributes:
      member: name of this node.
      hold_ms: hold time to grant, in milliseconds, if the lease lasts as long.
      incarnation: current incarnation of the target; None without one.
      last_ended: latest incarnation of the target that is known to have ended.
      sequence: sequence number of the target's latest heartbeat.
      skipped_from: sequence number before the latest one, if numbers between
        them were left out; NO_SEQUENCE if not.
      latest_is_older: whether the number of the latest heartbeat is not above
        that of the one before. The reply to that one may be another writer's.
      last_heartbeat_ms: when the latest heartbeat was received.
      draining: whether the target accepts no new work.
      table: latest known key table; None before one is known.
      own_stripes_cache: a version of the table with an incarnation, and the
        stripes of that incarnation in it.
      until_ms: latest time at which the target may hold a stripe, by stripe.
      served_until_ms: time until which requests for a stripe may be sent to the
        target, by stripe; only stripes of the last reply.
      reported_fences: fencing token of each stripe that the target reports as
        held completely.
      partly_reported: stripes of which the target reports any part as held.
      releasing: new owner of each stripe that is being released.
      pending: moves of a table change whose outcome is unknown. Their stripes
        are not granted again until the change can no longer take effect.
      uncertain: whether the answer to the pending change was lost; the change
        may take effect at any later time.
      handovers: handover that the target returned for each stripe it freed.
      grants_reported_only: whether only stripes that the target reports as held
        are granted. The others may belong to another target, by a lost version
        of the table or by a change that an earlier process of this node sent.
      reported_ranges: ranges that the last heartbeat reported as held.
      unknown_until_ms: time until which grants of an earlier process of this
        node may last.
      former_until_ms: time until which earlier incarnations of the target may
        hold keys; 0 if they have certainly ended.
      began_ms: when the first heartbeat of the current incarnation was
        received.
      former_is_unheard: whether earlier incarnations of the target are known
        only from the table, and not by a heartbeat to this process.
      claims: heartbeats that contradict the current incarnation or sequence.
    """

    __slots__ = (
        "began_ms",
        "claims",
        "draining",
        "former_is_unheard",
        "former_until_ms",
        "grants_reported_only",
        "handovers",
        "hold_ms",
        "incarnation",
        "last_ended",
        "last_heartbeat_ms",
        "latest_is_older",
        "member",
        "own_stripes_cache",
        "partly_reported",
        "pending",
        "releasing",
        "reported_fences",
        "reported_ranges",
        "sequence",
        "served_until_ms",
        "skipped_from",
        "table",
        "uncertain",
        "unknown_until_ms",
        "until_ms",
    )

    def __init__(
        self,
        member: str,
        hold_ms: float,
        now_ms: float,
        heartbeat_ms: float = HEARTBEAT_MS,
    ):
        self.member = member
        self.hold_ms = hold_ms
        self.incarnation: model.Incarnation | None = None
        self.last_ended: model.Incarnation | None = None
        self.sequence = -1
        self.skipped_from = NO_SEQUENCE
        self.latest_is_older = False
        self.last_heartbeat_ms = now_ms
        self.draining = False
        self.table: table_module.KeyTable | None = None
        self.own_stripes_cache: tuple[tuple | None, list[int]] = (None, [])
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
        self.former_until_ms = self.unknown_until_ms
        self.began_ms = now_ms
        self.former_is_unheard = True
        self.claims = incarnation_claims.IncarnationClaims(heartbeat_ms)

    def on_heartbeat(self, now_ms: float, heartbeat: model.Heartbeat) -> bool:
        """Handles a heartbeat of the target.

        Returns:
          Whether it was applied; a heartbeat older than the latest one, or of
          another incarnation than the known one, is a claim until further ones
          follow.
        """
        incarnation = self.incarnation_of(heartbeat)
        if not self._is_expected(incarnation, heartbeat.sequence):
            self.claims.add(now_ms, incarnation, heartbeat.sequence)
            if not self.claims.holds(
                now_ms,
                self.incarnation or self.last_ended,
                self.last_heartbeat_ms,
                self.table.owners if self.table is not None else (),
            ):
                return False
        if self.incarnation != incarnation:
            self._begin_incarnation(now_ms, incarnation)
        elif self.claims.claim is not None:
            # The claimant may be the target that the table names.
            self.began_ms = now_ms
        elif self.former_is_unheard:
            interval_ms = self.claims.interval_ms
            span_ms = incarnation_claims.SPAN_FACTOR * interval_ms
            if now_ms - self.began_ms >= span_ms:
                self.on_former_ended()
        self.claims.clear()
        is_older = heartbeat.sequence <= self.sequence
        is_step = heartbeat.sequence - self.sequence <= 1
        self.skipped_from = NO_SEQUENCE if is_step else self.sequence
        self.sequence = heartbeat.sequence
        self.latest_is_older = is_older
        self.last_heartbeat_ms = now_ms
        if is_older:
            # It may be a late one: it is answered, and says nothing new.
            return True
        self.draining = self.draining or (
            heartbeat.state is model.TargetState.DRAINING
        )
        self.reported_ranges = heartbeat.held_ranges
        if self.table is not None:
            self._record_reported_ranges(heartbeat.held_ranges)
            self._record_freed_ranges(heartbeat.freed_ranges)
        return True

    def incarnation_of(self, heartbeat: model.Heartbeat) -> model.Incarnation:
        """Returns the incarnation that a heartbeat names."""
        return model.Incarnation(
            self.member, heartbeat.target, heartbeat.started_ms
        )

    def rivals_of(self, heartbeat: model.Heartbeat) -> set[str]:
        """Returns the known targets beside this node other than a heartbeat's.

        They have not certainly ended, so a target of another name has its
        address only if they have.
        """
        rivals = set()
        if self.incarnation is not None:
            rivals.add(self.incarnation.target)
        elif self.table is not None and self.former_until_ms > 0.0:
            rivals.update(
                owner.target
                for owner in self.table.owners
                if owner.node == self.member
            )
        return rivals - {heartbeat.target}

    def on_former_ended(self) -> None:
        """Handles the certain end of all earlier incarnations."""
        self.former_until_ms = 0.0
        self.former_is_unheard = False

    def on_drain_revoked(self) -> None:
        """Handles that the target accepts work, contrary to another writer."""
        self.draining = False

    def _is_expected(
        self, incarnation: model.Incarnation, sequence: int
    ) -> bool:
        """Whether a heartbeat contradicts nothing that is known."""
        if incarnation == self.incarnation:
            # Another writer may have used the same number, or left some out.
            is_next = 0 <= sequence - self.sequence <= SEQUENCE_STEP_MAX
            is_first = self.sequence < 0
            return is_next or is_first or sequence == self.skipped_from + 1
        if self.incarnation is not None:
            return False
        newest = self.last_ended
        return newest is None or incarnation.started_ms >= newest.started_ms

    def on_target_ended(self) -> None:
        """Handles the certain end of the target's process: it holds nothing."""
        self.last_ended = self.incarnation or self.last_ended
        self.incarnation = None
        self.draining = False
        self._clear_holds()
        self.unknown_until_ms = 0.0
        self.claims.clear()
        self.on_former_ended()

    def on_leaving(self) -> None:
        """Handles the target's announcement that it is leaving."""
        self.draining = True

    def update_table(self, table: table_module.KeyTable) -> None:
        """Applies a version of the key table; older versions are ignored."""
        if self.table is not None and table.version <= self.table.version:
            return
        if self.table is None:
            self.table = table
            self._record_reported_ranges(self.reported_ranges)
        self.table = table
        # A pending change requires the previous version of the table, so it can
        # no longer take effect.
        self.change_failed()
        own = set(self.own_stripes())
        for stripe in [index for index in self.releasing if index not in own]:
            del self.releasing[stripe]
        for stripe in [index for index in self.handovers if index not in own]:
            del self.handovers[stripe]

    def own_stripes(self) -> list[int]:
        """Returns the stripes that the target's current incarnation owns."""
        if self.table is None or self.incarnation is None:
            return []
        cache_key = (self.table.version, self.incarnation)
        if self.own_stripes_cache[0] != cache_key:
            self.own_stripes_cache = (
                cache_key,
                self.table.owned_by(self.incarnation),
            )
        return self.own_stripes_cache[1]

    def former_incarnation_stripes(self) -> list[int]:
        """Returns the stripes of earlier incarnations beside this node."""
        if self.table is None:
            return []
        former_owners = {
            index
            for index, owner in enumerate(self.table.owners)
            if owner.node == self.member and owner != self.incarnation
        }
        if not former_owners:
            return []
        return [
            index
            for index, stripe in enumerate(self.table.stripes)
            if stripe.owner in former_owners
        ]

    def begin_release(self, moves: dict[int, model.Incarnation]) -> None:
        """Replaces the set of stripes that this node releases.

        Args:
          moves: new owner by stripe; stripes of other targets are ignored.
        """
        own = set(self.own_stripes())
        self.releasing = {
            stripe: owner for stripe, owner in moves.items() if stripe in own
        }

    def grant_ranges(self) -> list[model.HeldRange]:
        """Returns the ranges to grant, limited to REPLY_BYTES_MAX.

        Adjacent stripes share a range where possible. Ranges that the target
        does not hold yet are left out first, since a target stops serving
        ranges that are missing from a reply.
        """
        ranges = self._merged_ranges(self._stripes_to_grant())
        excess = _encoded_bytes(ranges) - REPLY_BYTES_MAX
        if excess <= 0:
            return ranges
        drop_order = [
            key_range for key_range in ranges if self._is_range_held(key_range)
        ]
        drop_order += [
            key_range
            for key_range in ranges
            if not self._is_range_held(key_range)
        ]
        while excess > 0:
            key_range = drop_order.pop()
            ranges.remove(key_range)
            excess -= _encoded_bytes([key_range])
        return ranges

    def _stripes_to_grant(self) -> list[int]:
        """Returns the target's stripes that are not being moved away."""
        if not (self.releasing or self.pending or self.grants_reported_only):
            # Usual, and a target may own thousands of stripes.
            return self.own_stripes()
        return [
            index
            for index in self.own_stripes()
            if index not in self.releasing
            and index not in self.pending
            and (not self.grants_reported_only or self._is_reported(index))
        ]

    def withholds_unreported(self) -> bool:
        """Whether `grants_reported_only` withholds any stripe."""
        return self.grants_reported_only and any(
            not self._is_reported(index)
            for index in self.own_stripes()
            if index not in self.releasing and index not in self.pending
        )

    def _merged_ranges(self, stripes: list[int]) -> list[model.HeldRange]:
        """Returns the ranges of stripes, in the order of their keys.

        Adjacent stripes with the same token and handover share a range. A
        target may own thousands of stripes in a few ranges, so no range is
        created for a single stripe.
        """
        # Each run has the first and the last stripe, the token and handover.
        runs: list[list] = []
        after = -1
        grant = None
        for index in stripes:
            stripe = self.table.stripes[index]
            fence = self.reported_fences.get(index)
            handover = ""
            if fence is None:
                fence = self.table.fence_floor
                handover = stripe.handover
            # After a restore the reported token may be above the table's.
            if stripe.fence > fence:
                fence = stripe.fence
            if index == after and (fence, handover) == grant:
                runs[-1][1] = index
            else:
                grant = (fence, handover)
                runs.append([index, index, fence, handover])
            after = index + 1
        return [
            model.HeldRange(
                self.table.span(first)[0],
                self.table.span(last)[1],
                fence,
                handover,
            )
            for first, last, fence, handover in runs
        ]

    def _is_range_held(self, held_range: model.HeldRange) -> bool:
        return any(map(self._is_reported, self._stripes_in_range(held_range)))

    def _stripes_in_range(self, held_range: model.HeldRange) -> range:
        return range(
            self.table.stripe_of(held_range.first),
            self.table.stripe_of(held_range.last) + 1,
        )

    def reply(
        self, now_ms: float, received_ms: float, lease_ends_ms: float
    ) -> model.HeartbeatReply:
        """Builds the reply to a heartbeat and records what it grants.

        Args:
          now_ms: time at which the reply is sent.
          received_ms: when the heartbeat was received.
          lease_ends_ms: end of this node's lease.

        Returns:
          The reply; it renews nothing without a table or a target, near the
          end of the lease, or if it is late.
        """
        if self.table is None or self.incarnation is None:
            return model.HeartbeatReply()
        remaining_ms = (lease_ends_ms - now_ms) / CLOCK_DRIFT_FACTOR
        hold_ms = min(self.hold_ms, remaining_ms)
        if hold_ms < MIN_HOLD_MS or now_ms - received_ms > REPLY_DELAY_MAX_MS:
            return model.HeartbeatReply()
        ranges = self.grant_ranges()
        until_ms = now_ms + hold_ms * CLOCK_DRIFT_FACTOR
        serve_until_ms = received_ms + hold_ms / CLOCK_DRIFT_FACTOR
        self.served_until_ms = {}
        for key_range in ranges:
            stripes = self._stripes_in_range(key_range)
            self.until_ms.update(dict.fromkeys(stripes, until_ms))
            self.served_until_ms.update(dict.fromkeys(stripes, serve_until_ms))
        for stripe in self.handovers.keys() & self.served_until_ms.keys():
            del self.handovers[stripe]
        return model.HeartbeatReply(ranges, int(hold_ms))

    def has_grant_changes(self) -> bool:
        """Whether the stripes to grant differ from those of the last reply."""
        if self.table is None or self.incarnation is None:
            return False
        return self.served_until_ms.keys() != set(self._stripes_to_grant())

    def must_renew(self, now_ms: float) -> bool:
        """Whether less than half of the hold time is left for some stripe."""
        until_ms = min(self.served_until_ms.values(), default=math.inf)
        return until_ms - now_ms < self.hold_ms / 2

    def may_serve(self, now_ms: float, key: int) -> bool:
        """Whether a request for a key may be sent to the target now."""
        if self.table is None:
            return False
        stripe = self.table.stripe_of(key)
        return now_ms < self.served_until_ms.get(stripe, 0.0)

    def released(
        self, now_ms: float
    ) -> dict[int, tuple[model.Incarnation, str]]:
        """Returns the stripes that can be moved now.

        Returns:
          The new owner and the handover by stripe; the moves of the pending
          change while there is one.
        """
        if self.pending:
            return dict(self.pending)
        return {
            stripe: (owner, self.handovers.get(stripe, ""))
            for stripe, owner in self.releasing.items()
            if self._is_free(now_ms, stripe)
        }

    def begin_change(
        self, moves: dict[int, tuple[model.Incarnation, str]]
    ) -> None:
        """Records the moves of a table change that is about to be sent."""
        self.pending = dict(moves)

    def change_unanswered(self) -> None:
        """Records that the change was sent and may take effect at any time."""
        self.uncertain = True

    def change_not_sent(self) -> None:
        """Records that this attempt at the change had no effect.

        The moves stay pending if an earlier attempt may take effect.
        """
        if not self.uncertain:
            self.pending.clear()

    def change_failed(self) -> None:
        """Records that no attempt at the change can take effect any more."""
        self.pending.clear()
        self.uncertain = False

    def heartbeat_overdue(self, now_ms: float) -> bool:
        """Whether no heartbeat came within the hold time and clock drift."""
        return (
            now_ms - self.last_heartbeat_ms > self.hold_ms * CLOCK_DRIFT_FACTOR
        )

    def _begin_incarnation(
        self, now_ms: float, incarnation: model.Incarnation
    ) -> None:
        if self.incarnation is not None:
            # Its end is likely, and not certain: its keys are free once all
            # grants have run out.
            self.former_until_ms = max(
                self.former_until_ms,
                self.unknown_until_ms,
                *self.until_ms.values(),
            )
            self.former_is_unheard = False
            self.last_ended = self.incarnation
            self._clear_holds()
        self.incarnation = incarnation
        self.began_ms = now_ms
        self.sequence = -1
        self.draining = False

    def _clear_holds(self) -> None:
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
        # The token is not compared: the stripe is held under an earlier token
        # too, and gets a new one where a target has too many ranges.
        return index in self.reported_fences

    def _record_reported_ranges(
        self, held_ranges: list[model.HeldRange]
    ) -> None:
        """Records the ranges that the target holds or still works on."""
        self.reported_fences.clear()
        self.partly_reported.clear()
        for key_range in held_ranges:
            low = self.table.stripe_of(key_range.first)
            high = self.table.stripe_of(key_range.last)
            self.partly_reported.update(range(low, high + 1))
            # Only the outermost stripes may be reported in part.
            whole_low = low + (self.table.span(low)[0] < key_range.first)
            whole_high = high - (self.table.span(high)[1] > key_range.last)
            self.reported_fences.update(
                dict.fromkeys(range(whole_low, whole_high + 1), key_range.fence)
            )

    def _record_freed_ranges(
        self, freed_ranges: list[model.FreedRange]
    ) -> None:
        """Records freed stripes, unless the target still holds part of one."""
        for freed in freed_ranges:
            low = self.table.stripe_of(freed.first)
            high = self.table.stripe_of(freed.last)
            for index in range(low, high + 1):
                first, last = self.table.span(index)
                is_whole = freed.first <= first and last <= freed.last
                # A target frees only what the last reply has left out.
                is_granted = index in self.served_until_ms
                if (
                    is_whole
                    and not is_granted
                    and index not in self.partly_reported
                ):
                    self.handovers[index] = freed.handover
                    self.until_ms.pop(index, None)
                    self.served_until_ms.pop(index, None)


def _encoded_bytes(ranges: list[model.HeldRange]) -> int:
    """Returns the encoded size of ranges in a reply."""
    return sum(
        RANGE_BYTES + _token_bytes(key_range.fence) + len(key_range.handover)
        for key_range in ranges
    )


def _token_bytes(token: int) -> int:
    """Returns the encoded size of a fencing token in MessagePack."""
    if token < 1 << 7:
        return 1
    if token < 1 << 8:
        return 2
    return 3 if token < 1 << 16 else 5
