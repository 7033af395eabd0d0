"""One node's roles in the ownership protocol: holder, witness and sealer.

The participant routes events to the three roles and starts the sealings that
are due. It never acts for the node's shards; code that does must check
`holder.live` at that time.
"""

import msgspec

from auburnrock import messages
from auburnrock import records
from auburnrock.engine import actions
from auburnrock.engine import backoff
from auburnrock.engine import lease
from auburnrock.engine import sealing as sealing_module
from auburnrock.engine import timing as timing_module
from auburnrock.engine import witness as witness_module
from auburnrock.store import base as platform_base

WITNESS_CHOICE_INTERVAL_MS = 1_000
"""Minimum time between two searches of all nodes for better witnesses."""


class KnownNode(msgspec.Struct, frozen=True):
    """The latest known record of a node, decoded and as stored."""

    record: records.NodeRecord
    value: platform_base.Value


class Participant:
    """One incarnation of a node among its peers.

    The shell passes in datagrams, store results, node records as they appear
    in the replica and, at least every 50 ms, the time.

    Attributes:
      holder: holds this node's lease.
      witness: renews the leases of other nodes.
      sealings: unfinished sealings of other nodes, by incarnation.
      known: the node records by incarnation.
      namesakes: known incarnations with this node's own name.
      targets_ended: incarnation of the target whose end is confirmed, by the
        incarnation of its node.
      nodes_ended: nodes whose end an operator has confirmed.
    """

    __slots__ = (
        "backoff",
        "choice_is_stale",
        "holder",
        "known",
        "namesakes",
        "next_choice_ms",
        "nodes_ended",
        "retry_at_ms",
        "sealings",
        "sealings_begun",
        "targets_ended",
        "timing",
        "was_live",
        "witness",
    )

    def __init__(
        self,
        record: records.NodeRecord,
        timing: timing_module.Timing,
        now_ms: int,
        nodes: list[platform_base.Value],
    ):
        """Prepares a new incarnation.

        Args:
          record: this node's record, without witnesses.
          timing: the time limits of the fleet.
          now_ms: the boot-time clock in milliseconds.
          nodes: all node records of the store.
        """
        self.timing = timing
        self.witness = witness_module.Witness(
            record.name, record.incarnation, timing, now_ms
        )
        self.known: dict[int, KnownNode] = {}
        self.namesakes: set[int] = set()
        self.sealings: dict[int, sealing_module.Sealing] = {}
        self.sealings_begun = 0
        self.retry_at_ms = now_ms
        self.backoff = backoff.Backoff(
            timing.store_retry_ms, f"{record.name} sealing"
        )
        self.targets_ended: dict[int, str] = {}
        self.nodes_ended: set[int] = set()
        self.choice_is_stale = False
        self.next_choice_ms = now_ms
        self.was_live = False
        for value in nodes:
            self._apply_record(now_ms, value)
        self.holder = lease.Holder(
            record, timing, now_ms, self._known_records()
        )

    def set_watermark(self, revision: int) -> None:
        """Sets the revision that this node's replica has reached."""
        self.holder.watermark = revision
        self.witness.watermark = revision

    def tick(self, now_ms: int) -> list[actions.Action]:
        """Runs everything that is due at this time."""
        self._update_witness_choice(now_ms)
        requested = self.holder.tick(now_ms)
        requested += self.witness.tick(now_ms)
        for sealing in list(self.sealings.values()):
            requested += sealing.tick(now_ms)
        requested += self._confirm_ends(now_ms)
        requested += self._begin_due_sealings(now_ms)
        requested += self._drop_finished_sealings(now_ms)
        return requested + self._log_lease(now_ms)

    def on_datagram(
        self, now_ms: int, message: messages.Datagram
    ) -> list[actions.Action]:
        """Handles a datagram; ignores kinds that belong to other parts."""
        if isinstance(message, messages.Renew):
            return [actions.Reply(self.witness.on_renew(now_ms, message))]
        if isinstance(message, messages.RenewAnswer):
            return self.holder.on_renew_answer(now_ms, message)
        if isinstance(message, messages.Seal):
            answer = self.witness.on_seal(now_ms, message)
            return [] if answer is None else [actions.Reply(answer)]
        if isinstance(message, messages.SealAnswer):
            sealing = self.sealings.get(message.node)
            if sealing is not None:
                return sealing.on_seal_answer(now_ms, message)
        if isinstance(message, messages.Suspect):
            self.witness.on_suspect(now_ms, message)
        return []

    def owns(self, token: str) -> bool:
        """Whether a store result's token belongs to this part."""
        return self.holder.owns(token) or any(
            sealing.owns(token) for sealing in self.sealings.values()
        )

    def on_result(
        self, now_ms: int, result: actions.StoreResult
    ) -> list[actions.Action]:
        """Handles the result of a call to the store."""
        if self.holder.owns(result.token):
            return self.holder.on_result(now_ms, result)
        requested: list[actions.Action] = []
        for sealing in list(self.sealings.values()):
            requested += sealing.on_result(now_ms, result)
        return requested + self._drop_finished_sealings(now_ms)

    def on_record(
        self, now_ms: int, value: platform_base.Value
    ) -> list[actions.Action]:
        """Handles a node's record that is new, changed or deleted."""
        named = records.parse_node_key(value.key)
        if named is None:
            # Not a valid node key; the replica's view logs it.
            return []
        _, incarnation = named
        known = self.known.get(incarnation)
        if known is not None and value.revision <= known.value.revision:
            return []
        self._apply_record(now_ms, value)
        if incarnation == self.holder.record.incarnation:
            self.holder.on_record(now_ms, value)
        if self._is_own_witness(incarnation):
            self.next_choice_ms = now_ms
        self.choice_is_stale = True
        sealing = self.sealings.get(incarnation)
        if sealing is None:
            return []
        requested = sealing.on_record(now_ms, value)
        return requested + self._drop_finished_sealings(now_ms)

    def on_target_ended(
        self, now_ms: int, incarnation: int, target_incarnation: str
    ) -> list[actions.Action]:
        """Handles the confirmed end of the target beside a node.

        The confirmation is stored for a sealing that has not started, but is
        valid only as long as the node's record names no other target.
        """
        if incarnation not in self.known:
            return []
        self.targets_ended[incarnation] = target_incarnation
        sealing = self.sealings.get(incarnation)
        if sealing is None:
            return []
        return sealing.on_target_ended(now_ms, target_incarnation)

    def unconfirmed(self) -> list[records.NodeRecord]:
        """Nodes whose lease has ended, but whose target may still work."""
        return [
            sealing.record
            for sealing in self.sealings.values()
            if sealing.state == "confirming"
        ]

    def on_node_ended(
        self, now_ms: int, incarnation: int
    ) -> list[actions.Action]:
        """Handles an operator's confirmation of a node's and target's end."""
        if incarnation not in self.known:
            return []
        self.nodes_ended.add(incarnation)
        sealing = self.sealings.get(incarnation)
        if sealing is None:
            return self._begin_if_due(now_ms, incarnation)
        return sealing.on_node_ended(now_ms)

    def _confirm_ends(self, now_ms: int) -> list[actions.Action]:
        """Confirms ends of former targets that successors' records prove."""
        requested: list[actions.Action] = []
        for record in self.unconfirmed():
            later = [
                known.record
                for incarnation, known in self.known.items()
                if incarnation > record.incarnation
                and known.record.name == record.name
            ]
            if any(_confirms_end(record, other) for other in later):
                sealing = self.sealings[record.incarnation]
                target = record.target_incarnation
                requested += sealing.on_target_ended(now_ms, target)
        return requested

    def _apply_record(self, now_ms: int, value: platform_base.Value) -> None:
        named = records.parse_node_key(value.key)
        if named is None:
            return
        _, incarnation = named
        if value.data is None:
            self.known.pop(incarnation, None)
            self.namesakes.discard(incarnation)
            self.witness.on_record_deleted(incarnation)
            self._drop_confirmations(incarnation)
            return
        record = records.try_decode_node(value.data)
        if record is None or (record.name, record.incarnation) != named:
            # Invalid; the replica's view logs it. The known record stays.
            return
        if record.state is records.NodeState.ENDED:
            self._drop_confirmations(incarnation)
        self.known[incarnation] = KnownNode(record, value)
        if record.name == self.witness.name:
            self.namesakes.add(incarnation)
        self.witness.on_record(now_ms, record)

    def _drop_confirmations(self, incarnation: int) -> None:
        self.targets_ended.pop(incarnation, None)
        self.nodes_ended.discard(incarnation)

    def _known_records(self) -> list[records.NodeRecord]:
        return [known.record for known in self.known.values()]

    def _is_own_witness(self, incarnation: int) -> bool:
        return any(
            witness.incarnation == incarnation
            for witness in self.holder.record.witnesses
        )

    def _update_witness_choice(self, now_ms: int) -> None:
        if not self.choice_is_stale or now_ms < self.next_choice_ms:
            return
        self.choice_is_stale = False
        self.next_choice_ms = now_ms + WITNESS_CHOICE_INTERVAL_MS
        self.holder.set_nodes(self._known_records())

    def _former_incarnations(self) -> list[int]:
        """Earlier incarnations of this node that have not ended.

        There are none until this node's own record exists: an incarnation
        without a record must not take part.
        """
        own = self.holder.record.incarnation
        if self.holder.revision == 0 or self.holder.ended:
            return []
        return [
            incarnation
            for incarnation in self.namesakes
            if incarnation < own
            and self.known[incarnation].record.state
            is not records.NodeState.ENDED
        ]

    def _begin_due_sealings(self, now_ms: int) -> list[actions.Action]:
        due = {
            *self.witness.due(now_ms),
            *self._former_incarnations(),
            *self.nodes_ended,
        }
        requested: list[actions.Action] = []
        for incarnation in sorted(due - set(self.sealings)):
            requested += self._begin_if_due(now_ms, incarnation)
        return requested

    def _begin_if_due(
        self, now_ms: int, incarnation: int
    ) -> list[actions.Action]:
        """Starts a sealing, unless the delay after the last one still runs."""
        if now_ms < self.retry_at_ms:
            return []
        self.sealings_begun += 1
        own = self.holder.record.incarnation
        known = self.known[incarnation]
        sealing = sealing_module.Sealing(
            f"{own:x}.{self.sealings_begun}", known.value, self.timing
        )
        self.sealings[incarnation] = sealing
        requested = [_log("sealing_started", known.record, [])]
        requested += sealing.start(now_ms)
        if incarnation in self.targets_ended:
            target = self.targets_ended[incarnation]
            requested += sealing.on_target_ended(now_ms, target)
        if incarnation in self.nodes_ended:
            requested += sealing.on_node_ended(now_ms)
        return requested

    def _drop_finished_sealings(self, now_ms: int) -> list[actions.Action]:
        requested: list[actions.Action] = []
        for incarnation, sealing in list(self.sealings.items()):
            if not sealing.finished:
                continue
            del self.sealings[incarnation]
            self._apply_sealing_record(now_ms, sealing)
            if not sealing.store_failed:
                self.backoff.reset()
            self.retry_at_ms = now_ms + self.backoff.delay_ms()
            outcome = [("outcome", sealing.state)]
            requested.append(_log("sealing_finished", sealing.record, outcome))
        return requested

    def _apply_sealing_record(
        self, now_ms: int, sealing: sealing_module.Sealing
    ) -> None:
        """Applies a sealing's record, which the replica may not contain yet."""
        record = sealing.record
        known = self.known.get(record.incarnation)
        if known is None or known.value.revision >= sealing.revision:
            return
        key = records.node_key(record.name, record.incarnation)
        data = records.encode_json(record)
        self._apply_record(
            now_ms, platform_base.Value(key, data, sealing.revision)
        )
        self.choice_is_stale = True

    def _log_lease(self, now_ms: int) -> list[actions.Action]:
        """Logs when the lease becomes live or ends."""
        is_live = self.holder.live(now_ms)
        if is_live == self.was_live:
            return []
        self.was_live = is_live
        event = "lease_live" if is_live else "lease_lost"
        state = [("state", self.holder.state)]
        return [_log(event, self.holder.record, state)]


def _confirms_end(
    former: records.NodeRecord, successor: records.NodeRecord
) -> bool:
    """Whether a successor's record proves that a former target has ended.

    Another target at the same address has replaced the former one. If the same
    target is now beside the successor, its shards are assigned only to the
    successor (see Members.live_target_node), so it may continue its work.
    """
    if not successor.target_incarnation:
        return False
    if successor.target_incarnation == former.target_incarnation:
        return not successor.checks_grants
    return successor.target_address == former.target_address


def _log(
    event: str, record: records.NodeRecord, fields: list[tuple[str, str]]
) -> actions.LogEvent:
    node = [
        ("node", record.name),
        ("incarnation", f"{record.incarnation:x}"),
    ]
    return actions.LogEvent(event, node + fields)
