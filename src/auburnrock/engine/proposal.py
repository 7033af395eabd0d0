"""Writes one operator's change set into the store and finds its outcome.

Each attempt is computed from the latest accepted configuration, so a conflict
with an operator who changed other files is no failure. After a lost answer the
next attempt shows the outcome. If its compare succeeds, the lost write did not
take effect and never can. If it fails, it returns the current value, which
shows whether the change was accepted.
"""

import msgspec
import result

from auburnrock import errors
from auburnrock import records
from auburnrock.engine import actions
from auburnrock.engine import configuration
from auburnrock.engine import record_writer
from auburnrock.store import base as platform_base

PART = "proposal"

Outcome = result.Result[records.Configuration, errors.Failure]


class Proposal:
    """One change set that is being written into the store.

    The shell calls `begin` and then `tick` about ten times a second until
    `outcome` is set, and `give_up` when the operator stops waiting.

    Attributes:
      change: the requested changes.
      min_revision: revision in force at this node; the accepted revision must
        be higher.
      outcome: the accepted configuration or the failure; None while the
        outcome is open.
    """

    def __init__(
        self,
        change: configuration.ChangeSet,
        incarnation: int,
        min_revision: int,
    ):
        self.change = change
        self.min_revision = min_revision
        self.outcome: Outcome | None = None
        self._latest: platform_base.Value | None = None
        self._has_read = False
        self._read_at_ms: int | None = None
        self._unresolved = False
        part = f"{PART}-{change.writer}"
        self._writer = record_writer.RecordWriter(part, incarnation)
        self._read_token = f"{part}:read"

    def begin(self) -> list[actions.Action]:
        """Reads the latest configuration."""
        return [actions.Read(self._read_token, records.CONFIGURATION_KEY)]

    def tick(self, now_ms: int) -> list[actions.Action]:
        """Retries calls to the store that have had no effect so far."""
        key = records.CONFIGURATION_KEY
        if self.outcome is not None:
            return []
        if self._read_at_ms is not None and now_ms >= self._read_at_ms:
            self._read_at_ms = None
            return self.begin()
        if not self._has_read or not self._writer.is_idle():
            return []
        proposed = self._propose()
        if proposed is None or not self._writer.may_write(key, now_ms):
            return []
        data = records.encode_json(proposed)
        revision = self._latest.revision if self._latest else 0
        return [self._writer.swap(key, data, revision)]

    def on_store_result(
        self, store_result: actions.StoreResult, now_ms: int
    ) -> list[actions.Action]:
        """Handles the result of a store call; ignores results of others."""
        if store_result.token == self._read_token:
            return self._on_read(store_result, now_ms)
        if self._writer.on_result(store_result, now_ms) is None:
            return []
        if self.outcome is not None:
            return []
        if store_result.outcome == actions.StoreOutcome.UNKNOWN:
            self._unresolved = True
        elif store_result.outcome != actions.StoreOutcome.UNAVAILABLE:
            # The store has answered with the current value, so no earlier
            # write can take effect any more.
            self._unresolved = False
            self._latest = store_result.current
        return self.tick(now_ms)

    def give_up(self) -> errors.Failure | None:
        """Ends the proposal; returns the failure, None if it had ended."""
        if self.outcome is not None:
            return None
        failure = errors.Failure(
            errors.ErrorKind.STORE_UNAVAILABLE,
            "the platform's key-value service gave no answer; nothing was"
            " changed, try again later",
        )
        if self._unresolved or not self._writer.is_idle():
            failure = errors.Failure(
                errors.ErrorKind.OUTCOME_UNKNOWN,
                "the platform's key-value service did not say whether the"
                " change was accepted, and it may still be; show the"
                " configuration before you try again",
            )
        self.outcome = result.Err(failure)
        return failure

    def _on_read(
        self, store_result: actions.StoreResult, now_ms: int
    ) -> list[actions.Action]:
        if self.outcome is not None or self._has_read:
            return []
        if store_result.outcome != actions.StoreOutcome.DONE:
            self._read_at_ms = now_ms + record_writer.FIRST_WAIT_MS
            return []
        self._has_read = True
        self._latest = store_result.current
        return self.tick(now_ms)

    def _propose(self) -> records.Configuration | None:
        """Computes what to write; None once `outcome` is set."""
        try:
            current = self._decoded()
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            self.outcome = result.Err(
                errors.Failure(
                    errors.ErrorKind.INTERNAL,
                    "the accepted configuration in the platform's key-value"
                    f" service is not readable: {error}",
                )
            )
            return None
        proposed = configuration.propose(current, self.change)
        if isinstance(proposed, result.Err):
            self.outcome = proposed
            return None
        accepted = proposed.ok_value
        if current is not None and accepted is current:
            self.outcome = proposed
            return None
        if accepted.revision <= self.min_revision:
            accepted.revision = self.min_revision + 1
        return accepted

    def _decoded(self) -> records.Configuration | None:
        if self._latest is None or self._latest.data is None:
            return None
        return records.decode_configuration(self._latest.data)
