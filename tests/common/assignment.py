"""Builders for tests of assignment and configuration."""

import json

from auburnrock import records
from auburnrock.engine import actions
from auburnrock.engine import configuration
from auburnrock.engine import replica as replica_lib
from auburnrock.engine import view as view_lib
from auburnrock.store import base as platform_base

SERVICE = "hintsvc"


def node(incarnation, name="", state=records.NodeState.ACTIVE, **fields):
    """Builds the record of a node that has a target of SERVICE."""
    values = {
        "name": name or f"host{incarnation}",
        "incarnation": incarnation,
        "region": "se-mid",
        "zone": "se-mid-a",
        "address": "127.0.0.1",
        "peer_port": 1,
        "http_port": 2,
        "service": SERVICE,
        "target_address": "127.0.0.1:3",
        "target_incarnation": f"target-of-{incarnation}",
        "state": state,
    }
    return records.NodeRecord(**(values | fields))


def services(shards=4, hot_keys=(), revision=1):
    """Builds a configuration with SERVICE divided by key.

    Its request timeout is 200 ms.
    """
    settings = records.ServiceSettings(
        divided_by_key=True,
        shards=shards,
        hot_keys=list(hot_keys),
        timeout_ms=200,
    )
    return records.Configuration(
        revision=revision, services={SERVICE: settings}
    )


def page(owners, epoch=1, number=0, moving=None):
    """Builds a page of SERVICE."""
    entries = [records.ShardEntry(owner, epoch) for owner in owners]
    return records.AssignmentPage(
        service=SERVICE, page=number, entries=entries, moving=moving or {}
    )


def file_text(shards=4, service=SERVICE, **fields):
    """Builds an operators' file with one service divided by key."""
    settings = {"divided_by_key": True, "shards": shards} | fields
    return json.dumps({"services": {service: settings}})


def change(writer="operator", base=None, **texts):
    """Builds changes to files `NAME.json` whose base is `base`."""
    files = base.files if base else {}
    return configuration.ChangeSet(
        [
            configuration.FileChange(
                f"{name}.json",
                text,
                configuration.content_hash(files.get(f"{name}.json")),
            )
            for name, text in texts.items()
        ],
        writer,
    )


class MemoryStore:
    """A store in memory with the platform's swaps and revisions."""

    def __init__(self):
        self.revision = 0
        self.values: dict[str, platform_base.Value] = {}

    def put(self, key, data):
        """Writes a value without a compare."""
        self.revision += 1
        self.values[key] = platform_base.Value(key, data, self.revision)

    def put_node(self, record):
        """Writes a node's record."""
        key = records.node_key(record.name, record.incarnation)
        self.put(key, records.encode_json(record))

    def put_page(self, record):
        """Writes a page."""
        key = records.page_key(record.service, record.page)
        self.put(key, records.encode_page(record))

    def get(self, key):
        """The value of a key; None if it does not exist."""
        value = self.values.get(key)
        return value if value and value.data is not None else None

    def swap(self, call):
        """Executes a Swap and returns its result."""
        current = self.get(call.key)
        if (current.revision if current else 0) != call.expected_revision:
            outcome = actions.StoreOutcome.CONFLICT
            return actions.StoreResult(call.token, outcome, current)
        self.put(call.key, call.data)
        outcome = actions.StoreOutcome.DONE
        return actions.StoreResult(call.token, outcome, self.get(call.key))

    def read(self, call):
        """Executes a Read and returns its result."""
        outcome = actions.StoreOutcome.DONE
        return actions.StoreResult(call.token, outcome, self.get(call.key))

    def snapshot(self):
        """A complete snapshot of all existing values."""
        values = [
            each for each in self.values.values() if each.data is not None
        ]
        return platform_base.Snapshot(self.revision, values, True)

    def page(self, number=0):
        """A page of SERVICE, decoded; None if it does not exist."""
        value = self.get(records.page_key(SERVICE, number))
        return records.decode_page(value.data) if value else None


def new_view(store):
    """Builds a view of all values in the store."""
    view = view_lib.View(replica_lib.Replica())
    view.apply_snapshot(store.snapshot())
    return view


def swaps(requested):
    """The swaps among actions."""
    return [each for each in requested if isinstance(each, actions.Swap)]


def events(requested):
    """Names of the log events among actions."""
    return [e.event for e in requested if isinstance(e, actions.LogEvent)]
