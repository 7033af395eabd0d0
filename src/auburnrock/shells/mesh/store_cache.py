"""Cache of the nodes' records and key tables, and their encoding."""

import zlib

import msgspec

from auburnrock.engine.mesh import coordination_store
from auburnrock.engine.mesh import key_table as table_module
from auburnrock.engine.mesh import lease as lease_module
from auburnrock.engine.mesh import model
from auburnrock.engine.mesh import peer_messages
from auburnrock.engine.mesh import store_restore
from auburnrock.shells.mesh import wire_protocol

BASES_MAX = 4
"""Number of earlier versions of a table that are kept, so that peers are sent
the difference only. A store watcher may have written the last few versions
itself before its watch returns them."""

COMPRESSION_MARKER = b"z"
"""First byte of a compressed item. No MessagePack message of a record or table
begins with it."""

COMPRESSION_THRESHOLD_BYTES = 1_024
"""Size in bytes above which an item is compressed. A table is written to the
store with each change, and sent to each node that starts."""

COMPRESSION_LEVEL = 1
"""Level of zlib. Owners and tokens repeat, so higher levels take longer and
save little."""

TABLE_MAX_BYTES = 4 << 20
"""Limit of a decompressed item in bytes. It is far above the size of any table,
and bounds the memory that a corrupt item can take."""

_ENCODER = msgspec.msgpack.Encoder()
_MEMBER_DECODER = msgspec.msgpack.Decoder(model.Member)
_TABLE_DECODER = msgspec.msgpack.Decoder(table_module.KeyTable)


class UnreadableItemError(Exception):
    """An item of the store is not a record or table of this version."""


def encode(message: model.Member | table_module.KeyTable) -> bytes:
    """Encodes a record or a table for the store."""
    data = _ENCODER.encode(message)
    if len(data) <= COMPRESSION_THRESHOLD_BYTES:
        return data
    return COMPRESSION_MARKER + zlib.compress(data, COMPRESSION_LEVEL)


def decompress(data: bytes) -> bytes:
    """Returns the encoded message of an item of the store.

    Raises:
      UnreadableItemError: the item is corrupt or longer than any table.
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
        raise UnreadableItemError("item longer than any table, or truncated")
    return message


def decode_member(name: str, data: bytes) -> model.Member:
    """Decodes a node's record.

    Args:
      name: name of the node, as in the item's key.
      data: the item's value.

    Raises:
      UnreadableItemError: the data is not a record of this node that another
        node can use.
    """
    try:
        member = _MEMBER_DECODER.decode(data)
    except wire_protocol.DECODER_ERRORS as error:
        raise UnreadableItemError(str(error)) from error
    if member.name != name:
        raise UnreadableItemError(f"expected a record of {name}, got another")
    if not model.is_address(member.address):
        raise UnreadableItemError(
            "expected a host and a port from 1 to 65535, got"
            f" {member.address[:64]!r}"
        )
    if member.state not in tuple(model.MemberState):
        raise UnreadableItemError(f"unknown state {member.state}")
    if len(member.witnesses) > lease_module.WITNESSES_MAX:
        raise UnreadableItemError(
            f"expected at most {lease_module.WITNESSES_MAX} witnesses, got"
            f" {len(member.witnesses)}"
        )
    return member


def decode_table(data: bytes) -> table_module.KeyTable:
    """Decodes a key table.

    Raises:
      UnreadableItemError: the data is not a key table.
    """
    try:
        table = _TABLE_DECODER.decode(decompress(data))
    except wire_protocol.DECODER_ERRORS as error:
        raise UnreadableItemError(str(error)) from error
    largest = max(
        table.version,
        table.fence_floor,
        max((stripe.fence for stripe in table.stripes), default=0),
    )
    if largest > model.NUMBER_MAX:
        raise UnreadableItemError(f"version or token {largest} is too large")
    least = min(
        table.version,
        table.era,
        table.fence_floor,
        min((stripe.fence for stripe in table.stripes), default=0),
    )
    if least < 0:
        raise UnreadableItemError(f"version, era or token {least} is negative")
    if not 0 < len(table.stripes) <= table_module.STRIPES_MAX:
        raise UnreadableItemError(
            f"expected 1 to {table_module.STRIPES_MAX} stripes, got"
            f" {len(table.stripes)}"
        )
    if table.stripes_per_run < 1:
        raise UnreadableItemError("expected one or more stripes in a run")
    owners = range(len(table.owners))
    if not all(stripe.owner in owners for stripe in table.stripes):
        raise UnreadableItemError("a stripe has an owner that is not listed")
    return table


class StoreCache:
    """Caches the nodes' records and key tables as last read from the store.

    Attributes:
      prefix: prefix of the keys of all items.
      members: record of a node and its revision, by the node's name.
      tables: key table and its revision, by service.
      lost_tables: newest known tables that a restored store does not have, by
        service; `tables` has the versions of the restored store.
      bases: the last few earlier tables and their revisions, by service.
      raw_items: undecoded items other than tables, by key.
      unreadable: revisions of the items that another writer has overwritten,
        by key; the record or table known before is still in force.
    """

    def __init__(self, prefix: str):
        self.prefix = prefix
        self.members: dict[str, tuple[model.Member, int]] = {}
        self.tables: dict[str, tuple[table_module.KeyTable, int]] = {}
        self.lost_tables: dict[str, table_module.KeyTable] = {}
        self.bases: dict[str, list[tuple[table_module.KeyTable, int]]] = {}
        self.raw_items: dict[str, coordination_store.Item] = {}
        self.unreadable: dict[str, int] = {}

    def items(self) -> list[coordination_store.Item]:
        """Returns all items.

        Tables are encoded only here, as they change often.
        """
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
        """Returns the revision of every item that is not removed, by key."""
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
        """Returns one item; None if it is unknown or was removed."""
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
        """Returns the nodes' records by name."""
        return {name: entry[0] for name, entry in self.members.items()}

    def member_key(self, name: str) -> str:
        """Returns the key of a node's record."""
        return f"{self.prefix}m/{name}"

    def table_key(self, service: str) -> str:
        """Returns the key of a service's table."""
        return f"{self.prefix}k/{service}"

    def parse_key(self, key: str) -> tuple[str, str]:
        """Returns the kind of an item and the name in its key.

        The kind is `m` for a node's record and `k` for a service's table.
        """
        kind, _, name = key.removeprefix(self.prefix).partition("/")
        return kind, name

    def known_revision(self, key: str) -> int:
        """Returns the cached revision of an item; 0 if it is not cached."""
        kind, name = self.parse_key(key)
        known = (self.members if kind == "m" else self.tables).get(name)
        return known[1] if known else 0

    def stored_revision(self, key: str) -> int:
        """Returns an item's revision in the store, also of an unreadable one.

        A change that is conditional on it replaces what another writer wrote.
        """
        return max(self.known_revision(key), self.unreadable.get(key, 0))

    def mark_unreadable(self, key: str, revision: int) -> None:
        """Records that the store has an unreadable item."""
        self.unreadable[key] = max(revision, self.unreadable.get(key, 0))

    def mark_readable(self, key: str, revision: int) -> None:
        """Records that the store has a readable item or none."""
        if revision > self.unreadable.get(key, 0):
            self.unreadable.pop(key, None)

    def update_table(
        self, service: str, table: table_module.KeyTable, revision: int
    ) -> bool:
        """Caches a version of a table; returns False if it is not newer."""
        known = self.tables.get(service)
        if known is not None:
            if known[1] >= revision:
                return False
            bases = self.bases.setdefault(service, [])
            bases.append(known)
            del bases[:-BASES_MAX]
        self.tables[service] = (table, revision)
        return True

    def table_predates_era(self, service: str, era: int) -> bool:
        """Whether a service's table was not yet written in an era."""
        known = self.tables.get(service)
        return store_restore.table_predates_era(
            known and known[0], self.lost_tables.get(service), era
        )

    def mark_table_lost(self, service: str) -> None:
        """Moves a table that a restored store lacks to the lost tables."""
        known = self.tables.pop(service, None)
        self.bases.pop(service, None)
        if known is not None:
            self.lost_tables.setdefault(service, known[0])

    def table_update_for(
        self, item: coordination_store.Item
    ) -> peer_messages.TableUpdate | None:
        """Returns a table's change since a version that peers may have.

        Returns:
          The change; None if peers need the whole item.

        Raises:
          UnreadableItemError: the item is not a key table.
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
        self, update: peer_messages.TableUpdate
    ) -> table_module.KeyTable | None:
        """Returns the table after a change; None if its base is not cached."""
        known = self.tables.get(update.service)
        if known is None or known[1] != update.base_revision:
            return None
        return table_module.apply_change(known[0], update.change)
