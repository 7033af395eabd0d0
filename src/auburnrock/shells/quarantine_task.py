"""Spreads the records of requests that crashed targets.

They go to the nodes of the service at once and to the store, which tells them
to nodes that could not be reached or start later.
"""

import asyncio

import msgspec

from auburnrock import messages
from auburnrock import records
from auburnrock.engine import actions
from auburnrock.engine import owner_choice
from auburnrock.engine import quarantine as quarantine_lib
from auburnrock.engine import record_writer
from auburnrock.shells import action_runner
from auburnrock.shells import clock
from auburnrock.shells import frames
from auburnrock.shells import logs
from auburnrock.shells import store_sync

PART = "quarantine"
SPREAD_LIMIT_S = 0.2
EXPIRE_INTERVAL_MS = 10_000


class QuarantineTask(store_sync.ChangeListener, action_runner.Part):
    """Writes this node's records and takes in the others'.

    Attributes:
      quarantine: this node's knowledge.
      incarnation: this node's incarnation.
      sync: owner of the replica.
      runner: carries out actions.
      peers: connections to the other nodes.
      event_log: where events go.
      unwritten: latest own record of each fingerprint that is not written.
    """

    def __init__(
        self,
        quarantine: quarantine_lib.Quarantine,
        incarnation: int,
        sync: store_sync.StoreSync,
        runner: action_runner.ActionRunner,
        peers: frames.PeerConnections,
        event_log: logs.EventLog,
    ):
        self.quarantine = quarantine
        self.incarnation = incarnation
        self.sync = sync
        self.runner = runner
        self.peers = peers
        self.event_log = event_log
        self.unwritten: dict[str, records.QuarantineRecord] = {}
        self._writer = record_writer.RecordWriter(PART, incarnation)
        self._expire_at_ms = 0

    def on_replica_changed(self, changed: list[str]) -> None:
        """Takes in other nodes' records."""
        for key in changed:
            if not key.startswith(records.QUARANTINE_PREFIX):
                continue
            value = self.sync.view.replica.get(key)
            record = _decode(value.data) if value is not None else None
            if record is not None:
                self.quarantine.merge(clock.wall_ms(), record)

    def on_store_result(self, result: actions.StoreResult) -> None:
        """Takes the result of a write."""
        key = self._writer.on_result(result, clock.now_ms())
        if key is not None and result.outcome is actions.StoreOutcome.DONE:
            self.unwritten.pop(key, None)

    def tick(self, now_ms: int) -> None:
        """Writes what is left, forgets and removes what has expired."""
        self._take_news()
        for key, record in list(self.unwritten.items()):
            if self._writer.may_write(key, now_ms):
                self._write(key, records.encode_json(record))
        if now_ms >= self._expire_at_ms:
            self._expire_at_ms = now_ms + EXPIRE_INTERVAL_MS
            self.quarantine.expire(clock.wall_ms())
            self._remove_expired(now_ms)

    def on_told(self, data: bytes) -> None:
        """Takes in records that another node sent."""
        try:
            told = msgspec.msgpack.decode(
                data, type=list[records.QuarantineRecord]
            )
        except msgspec.DecodeError as error:
            self.event_log.write("peer_garbage", reason=str(error))
            return
        for record in told:
            self.quarantine.merge(clock.wall_ms(), record)

    async def spread(self, crashed: list[records.QuarantineRecord]) -> None:
        """Tells the nodes of this service; returns at the latest after a time.

        The caller reports the loss of the requests afterwards, so whoever
        sends one of them again meets nodes that know of the crash.
        """
        for record in crashed:
            self.event_log.write(
                "request_suspected",
                fingerprint=record.fingerprint,
                crashes=record.crashes,
            )
        self.tick(clock.now_ms())
        data = msgspec.msgpack.encode(crashed)
        told = [
            asyncio.create_task(self._tell(node, data))
            for node in self._nodes_of_service()
        ]
        if told and crashed:
            await asyncio.wait(told, timeout=SPREAD_LIMIT_S)

    def _nodes_of_service(self) -> list[records.NodeRecord]:
        members = self.sync.view.members
        own = members.get(self.incarnation)
        return [
            record
            for record in members.active()
            if record.incarnation != self.incarnation
            and (own is None or record.service == own.service)
        ]

    async def _tell(self, node: records.NodeRecord, data: bytes) -> None:
        try:
            await self.peers.exchange(
                node.address,
                node.peer_port,
                messages.Suspects(0, data),
                SPREAD_LIMIT_S,
            )
        except frames.PeerError as error:
            self.event_log.write(
                "suspects_not_told", node=node.name, reason=str(error)
            )

    def _take_news(self) -> None:
        for record in self.quarantine.take_unsent():
            key = records.QUARANTINE_PREFIX + record.fingerprint
            self.unwritten[key] = record

    def _remove_expired(self, now_ms: int) -> None:
        """Deletes expired records of the store that fall to this node."""
        replica = self.sync.view.replica
        active = [node.incarnation for node in self.sync.view.members.active()]
        wall_ms = clock.wall_ms()
        for value in replica.with_prefix(records.QUARANTINE_PREFIX):
            record = _decode(value.data)
            if record is not None and not quarantine_lib.is_obsolete(
                record, wall_ms
            ):
                continue
            rank = owner_choice.rendezvous_rank(
                value.key, self.incarnation, active
            )
            if rank == 0 and self._writer.may_write(value.key, now_ms):
                swap = self._writer.swap(value.key, None, value.revision)
                self.runner.run(self, [swap])

    def _write(self, key: str, data: bytes) -> None:
        value = self.sync.view.replica.get(key)
        revision = value.revision if value is not None else 0
        self.runner.run(self, [self._writer.swap(key, data, revision)])


def _decode(data: bytes) -> records.QuarantineRecord | None:
    try:
        return msgspec.json.decode(data, type=records.QuarantineRecord)
    except msgspec.DecodeError:
        return None
