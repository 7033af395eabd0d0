"""The nodes' records and key tables, as this node last saw them."""

import zlib

import msgspec

from auburnrock.engine.mesh import coordination_store
from auburnrock.engine.mesh import key_table as table_module
from auburnrock.engine.mesh import model
from auburnrock.engine.mesh import peer_messages
from auburnrock.engine.mesh import store_restore

BASES_KEPT = 4
"""Earlier versions of a table kept, to tell peers of the change only; a reader
may have written the last few itself before its watch shows them."""

COMPRESSION_MARKER = b"z"
"""Begins a compressed item; no message of MessagePack begins with it here."""

COMPRESSED_BYTES = 1_024
"""Longer items are compressed: a table goes through the store with each change,
and to each node that starts."""

COMPRESSION_LEVEL = 1
"""Owners and tokens repeat; higher levels of zlib take longer for little."""

TABLE_MAX_BYTES = 4 << 20
"""Far above any table; bounds what a broken item can take."""

_ENCODER = msgspec.msgpack.Encoder()
_MEMBER = msgspec.msgpack.Decoder(model.Member)
_TABLE = msgspec.msgpack.Decoder(table_module.KeyTable)


class UnreadableItemError(Exception):
    """An item of the store that is no record or table of this version."""


def encode(message: model.Member | table_module.KeyTable) -> bytes:
    """Encodes a record or a table for the store."""
    data = _ENCODER.encode(message)
    if len(data) <= COMPRESSED_BYTES:
        return data
    return COMPRESSION_MARKER + zlib.compress(data, COMPRESSION_LEVEL)


def decompressed(data: bytes) -> bytes:
    """The encoded message of an item of the store.

    Raises:
      UnreadableItemError: it is broken, or longer than any table.
    """
    if not data.startswith(COMPRESSION_MARKER):
        return data
    reader = zlib.decompressobj()
    try:
        message = reader.decompress(
            data[len(COMPRESSION_MARKER) :], TABLE_MAX_BYTES
        )
    except zlib.error as error:
        raise UnreadableItemError(str(error)) from error
    if not reader.eof:
        raise UnreadableItemError("longer than a table, or cut short")
    return message


def decode_member(data: bytes) -> model.Member:
    """Decodes a node's record.

    Raises:
      UnreadableItemError: it is none.
    """
    try:
        return _MEMBER.decode(data)
    except msgspec.DecodeError as error:
        raise UnreadableItemError(str(error)) from error


def decode_table(data: bytes) -> table_module.KeyTable:
    """Decodes a key table.

    Raises:
      UnreadableItemError: it is none.
    """
    try:
        return _TABLE.decode(decompressed(data))
    except msgspec.DecodeError as error:
        raise UnreadableItemError(str(error)) from error


class StoreCache:
    """The nodes' records and key tables as last seen in the store.

    Attributes:
      prefix: begins the keys of all items.
      members: record and revision by name.
      tables: table and revision by service.
      lost_tables: newest known tables by service that a restored store does
        not have; those in `tables` are what it says.
      bases: the last few earlier tables and revisions by service.
      raw_items: every item but the tables as read, by key.
    """

    def __init__(self, prefix: str):
        self.prefix = prefix
        self.members: dict[str, tuple[model.Member, int]] = {}
        self.tables: dict[str, tuple[table_module.KeyTable, int]] = {}
        self.lost_tables: dict[str, table_module.KeyTable] = {}
        self.bases: dict[str, list[tuple[table_module.KeyTable, int]]] = {}
        self.raw_items: dict[str, coordination_store.Item] = {}

    def items(self) -> list[coordination_store.Item]:
        """All items; tables are encoded only here, as they change often."""
        tables = [
            coordination_store.Item(
                self.table_key(service), encode(table), revision
            )
            for service, (table, revision) in self.tables.items()
        ]
        raw = [
            item for item in self.raw_items.values() if item.value is not None
        ]
        return raw + tables

    def revisions(self) -> dict[str, int]:
        """Revision of every item that is not known to be removed."""
        found = {
            item.key: item.revision
            for item in self.raw_items.values()
            if item.value is not None
        }
        for name, (_, revision) in self.members.items():
            found[self.member_key(name)] = revision
        for service, (_, revision) in self.tables.items():
            found[self.table_key(service)] = revision
        return found

    def item(self, key: str) -> coordination_store.Item | None:
        """One item; None if it is not known or was removed."""
        kind, name = self.parse_key(key)
        if kind == "k" and name in self.tables:
            table, revision = self.tables[name]
            return coordination_store.Item(key, encode(table), revision)
        if kind == "m" and name in self.members:
            member, revision = self.members[name]
            return coordination_store.Item(key, encode(member), revision)
        item = self.raw_items.get(key)
        return item if item is not None and item.value is not None else None

    def member_records(self) -> dict[str, model.Member]:
        """Records by name."""
        return {name: entry[0] for name, entry in self.members.items()}

    def member_key(self, name: str) -> str:
        """Key of a node's record."""
        return f"{self.prefix}m/{name}"

    def table_key(self, service: str) -> str:
        """Key of a service's table."""
        return f"{self.prefix}k/{service}"

    def parse_key(self, key: str) -> tuple[str, str]:
        """Kind of an item, `m` or `k`, and whose it is."""
        kind, _, name = key.removeprefix(self.prefix).partition("/")
        return kind, name

    def known_revision(self, key: str) -> int:
        """Revision of an item as known; 0 for one that is not."""
        kind, name = self.parse_key(key)
        known = (self.members if kind == "m" else self.tables).get(name)
        return known[1] if known else 0

    def update_table(
        self, service: str, table: table_module.KeyTable, revision: int
    ) -> bool:
        """Takes a version of a table; False if a later one is known."""
        known = self.tables.get(service)
        if known is not None:
            if known[1] >= revision:
                return False
            bases = self.bases.setdefault(service, [])
            bases.append(known)
            del bases[:-BASES_KEPT]
        self.tables[service] = (table, revision)
        return True

    def table_predates_era(self, service: str, era: int) -> bool:
        """Whether a table was not yet written in this era of the store."""
        known = self.tables.get(service)
        return store_restore.table_predates_era(
            known and known[0], self.lost_tables.get(service), era
        )

    def mark_table_lost(self, service: str) -> None:
        """A restored store has no table of this service."""
        known = self.tables.pop(service, None)
        self.bases.pop(service, None)
        if known is not None:
            self.lost_tables.setdefault(service, known[0])

    def table_update_for(
        self, item: coordination_store.Item
    ) -> peer_messages.TableUpdate | None:
        """A table's change for peers; None if they need the whole item.

        Raises:
          UnreadableItemError: the item is no table.
        """
        kind, service = self.parse_key(item.key)
        if kind != "k" or item.value is None:
            return None
        known = [*self.bases.get(service, ())]
        if service in self.tables:
            known.append(self.tables[service])
        earlier = [base for base in known if base[1] < item.revision]
        if not earlier:
            return None
        before, base = earlier[-1]
        after = decode_table(item.value)
        change = table_module.difference(before, after)
        if change is None:
            return None
        return peer_messages.TableUpdate(service, base, item.revision, change)

    def apply_table_update(
        self, told: peer_messages.TableUpdate
    ) -> table_module.KeyTable | None:
        """The table that a change tells of; None if its base isn't known."""
        known = self.tables.get(told.service)
        if known is None or known[1] != told.base_revision:
            return None
        return table_module.apply_change(known[0], told.change)
