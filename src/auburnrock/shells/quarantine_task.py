"""Spreads the records of requests that crashed targets through the store."""

import asyncio

import msgspec

from auburnrock import records
from auburnrock.engine import actions
from auburnrock.engine import quarantine as quarantine_lib
from auburnrock.engine import record_writer
from auburnrock.shells import action_runner
from auburnrock.shells import clock
from auburnrock.shells import logs
from auburnrock.shells import store_sync

PART = "quarantine"
SPREAD_LIMIT_S = 0.2
POLL_S = 0.01
EXPIRE_INTERVAL_MS = 10_000


class QuarantineTask(store_sync.ChangeListener, action_runner.Part):
    """Writes this node's records and takes in the others'.

    Attributes:
      quarantine: this node's knowledge.
      sync: owner of the replica.
      runner: carries out actions.
      event_log: where events go.
      unwritten: latest own record of each fingerprint that is not written.
    """

    def __init__(
        self,
        quarantine: quarantine_lib.Quarantine,
        incarnation: int,
        sync: store_sync.StoreSync,
        runner: action_runner.ActionRunner,
        event_log: logs.EventLog,
    ):
        self.quarantine = quarantine
        self.sync = sync
        self.runner = runner
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
                self.quarantine.learn(clock.wall_ms(), record)

    def on_store_result(self, result: actions.StoreResult) -> None:
        """Takes the result of a write."""
        key = self._writer.on_result(result, clock.now_ms())
        if key is not None and result.outcome is actions.StoreOutcome.DONE:
            self.unwritten.pop(key, None)

    def tick(self, now_ms: int) -> None:
        """Writes what is left, forgets and removes what has expired."""
        for record in self.quarantine.records_to_spread():
            key = records.QUARANTINE_PREFIX + record.fingerprint
            self.unwritten[key] = record
        for key, record in list(self.unwritten.items()):
            if self._writer.may_write(key, now_ms):
                self._write(key, records.encode_json(record))
        if now_ms >= self._expire_at_ms:
            self._expire_at_ms = now_ms + EXPIRE_INTERVAL_MS
            self.quarantine.expire(clock.wall_ms())

    async def spread(self, crashed: list[records.QuarantineRecord]) -> None:
        """Writes the records of a crash; returns at the latest after a time.

        The caller reports the loss of the requests afterwards, so an entry
        that sends one of them again finds its record in the store.
        """
        for record in crashed:
            self.event_log.write(
                "request_suspected",
                fingerprint=record.fingerprint,
                crashes=record.crashes,
            )
        self.tick(clock.now_ms())
        loop = asyncio.get_running_loop()
        end_s = loop.time() + SPREAD_LIMIT_S
        while self.unwritten and loop.time() < end_s:
            await asyncio.sleep(POLL_S)
        await self.sync.caught_up()

    def _write(self, key: str, data: bytes) -> None:
        value = self.sync.view.replica.get(key)
        revision = value.revision if value is not None else 0
        self.runner.run(self, [self._writer.swap(key, data, revision)])


def _decode(data: bytes) -> records.QuarantineRecord | None:
    try:
        return msgspec.json.decode(data, type=records.QuarantineRecord)
    except msgspec.DecodeError:
        return None
