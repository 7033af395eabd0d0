"""Removals of rules about a restored store, which the search must detect."""

import base64
from collections.abc import Callable

import msgspec
import pytest

from auburnrock.engine.mesh import coordination_store
from auburnrock.engine.mesh import key_table as table_module
from auburnrock.engine.mesh import lease as lease_module
from auburnrock.engine.mesh import store_confirmation
from auburnrock.engine.mesh import store_restore
from auburnrock.engine.mesh import target_grants as holder_module
from auburnrock.platform import codec
from auburnrock.platform import store_client as platform_store
from auburnrock.shells.mesh import own_record


def eras_are_not_compared(monkeypatch: pytest.MonkeyPatch) -> None:
    """Ignores the era in the store's responses."""
    monkeypatch.setattr(
        platform_store.StoreClient, "_apply_era", lambda self, answer: None
    )


def _confirm_no_records(monkeypatch: pytest.MonkeyPatch) -> None:
    """Leaves leases to their witnesses, as on nodes that confirm no record.

    The confirmation bounds the same leases as some of the rules.
    """

    async def confirm(self, now_ms):
        pass

    monkeypatch.setattr(own_record.OwnRecord, "confirm_if_due", confirm)
    monkeypatch.setattr(
        store_confirmation.StoreConfirmation, "ends_ms", lambda self: 1e12
    )


def changes_go_across_eras(monkeypatch: pytest.MonkeyPatch) -> None:
    """Makes changes without era markers and without comparing eras."""
    _confirm_no_records(monkeypatch)

    async def change(self, expected, puts, removes):
        message = platform_store._Change(
            [
                platform_store._Expected(
                    key, coordination_store.number_of(revision)
                )
                for key, revision in expected.items()
            ],
            [
                platform_store._Put(key, base64.b64encode(value).decode())
                for key, value in puts.items()
            ],
            removes,
        )
        answer = await self._exchange(
            *(b"POST", "/auburnrock/kv-txn", codec.encode(message)),
            platform_store.CALL_TIMEOUT_S,
        )
        if answer.status == 412:
            conflict = self._decode(platform_store._Conflict, answer, 412)
            return coordination_store.Conflict(self._items(conflict.items))
        made = self._decode(platform_store._Changed, answer, 200)
        return coordination_store.revision_of(self.era, made.rev)

    monkeypatch.setattr(platform_store.StoreClient, "compare_and_swap", change)


def tokens_have_no_step(monkeypatch: pytest.MonkeyPatch) -> None:
    """Continues a table's version from that of the copy."""
    monkeypatch.setattr(
        table_module,
        "advanced_to_era",
        lambda table, era: msgspec.structs.replace(
            table, version=table.version + 1, era=era
        ),
    )
    monkeypatch.setattr(table_module, "initial_version", lambda first, era: 1)


def settled_tables_have_no_floor(monkeypatch: pytest.MonkeyPatch) -> None:
    """Grants with the fencing tokens of the copy."""
    settled = table_module.advanced_to_era
    monkeypatch.setattr(
        table_module,
        "advanced_to_era",
        lambda table, era: msgspec.structs.replace(
            settled(table, era), fence_floor=0
        ),
    )


def grants_come_before_the_wait(monkeypatch: pytest.MonkeyPatch) -> None:
    """Advances a table to a new era at once and grants all of its keys."""
    _confirm_no_records(monkeypatch)
    monkeypatch.setattr(
        store_restore, "may_advance_to_era", lambda *values: True
    )
    monkeypatch.setattr(
        holder_module.TargetGrants,
        "grants_reported_only",
        property(lambda self: False, lambda self, value: None),
        raising=False,
    )


def lost_deals_are_not_waited_for(monkeypatch: pytest.MonkeyPatch) -> None:
    """Writes an initial table as soon as the store has none."""
    _confirm_no_records(monkeypatch)
    monkeypatch.setattr(
        store_restore, "may_rewrite_initial_table", lambda *values: True
    )
    monkeypatch.setattr(
        store_restore,
        "is_restoring",
        lambda now_ms, era_ms, unsettled: unsettled,
    )


def witnesses_know_no_era(monkeypatch: pytest.MonkeyPatch) -> None:
    """Witnesses continue terms of the previous era."""
    _confirm_no_records(monkeypatch)
    monkeypatch.setattr(
        lease_module.Witness, "on_era", lambda self, now_ms, era: None
    )


def the_wait_begins_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """A further restore does not restart the wait for a new era."""
    may_settle = store_restore.may_advance_to_era
    monkeypatch.setattr(
        store_restore,
        "may_advance_to_era",
        lambda now_ms, unsettled_ms, era_ms, *values: may_settle(
            now_ms, unsettled_ms, unsettled_ms, *values
        ),
    )


RULES: dict[str, Callable[[pytest.MonkeyPatch], None]] = {
    rule.__name__: rule
    for rule in (
        eras_are_not_compared,
        changes_go_across_eras,
        tokens_have_no_step,
        settled_tables_have_no_floor,
        grants_come_before_the_wait,
        lost_deals_are_not_waited_for,
        witnesses_know_no_era,
        the_wait_begins_once,
    )
}
