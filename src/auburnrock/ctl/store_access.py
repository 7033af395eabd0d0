"""Reads and changes records in the store on behalf of auburnctl."""

import asyncio
import uuid

import msgspec
import result

from auburnrock import errors
from auburnrock import records
from auburnrock.engine import actions
from auburnrock.engine import configuration
from auburnrock.engine import proposal as proposal_module
from auburnrock.shells import clock
from auburnrock.shells import store_calls
from auburnrock.store import base as platform_base

STORE_TIMEOUT_MS = 2_000
"""Time limit of one call to the store, in milliseconds."""

POLL_INTERVAL_S = 0.05
"""Pause between two calls of `Proposal.tick`, in seconds."""

NO_INCARNATION = 0
"""Incarnation in the proposals of auburnctl, which is not a node."""


class Nodes(msgspec.Struct):
    """The nodes recorded in the store.

    Attributes:
      readable: the records that can be decoded, sorted by name and
        incarnation.
      unreadable: store keys of the records that cannot be decoded.
    """

    readable: list[records.NodeRecord] = []
    unreadable: list[str] = []


async def read_configuration(
    platform: platform_base.Platform,
) -> result.Result[records.Configuration | None, errors.Failure]:
    """Reads the accepted configuration; None if the store contains none."""
    try:
        value = await platform.get(records.CONFIGURATION_KEY)
    except platform_base.StoreError as error:
        return result.Err(_unavailable_failure(error))
    if value is None or value.data is None:
        return result.Ok(None)
    try:
        return result.Ok(records.decode_configuration(value.data))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return result.Err(
            errors.Failure(
                errors.ErrorKind.INTERNAL,
                f"the store's key {records.CONFIGURATION_KEY!r} (revision"
                f" {value.revision}) holds no configuration: {error}; find out"
                " with the platform's own tools who wrote it",
            )
        )


async def read_nodes(
    platform: platform_base.Platform,
) -> result.Result[Nodes, errors.Failure]:
    """Reads the records of all nodes from the store."""
    try:
        snapshot = await platform.list(records.NODES_PREFIX)
    except platform_base.StoreError as error:
        return result.Err(_unavailable_failure(error))
    nodes = Nodes()
    for value in snapshot.values:
        record = records.try_decode_node(value.data)
        if record is None:
            nodes.unreadable.append(value.key)
        else:
            nodes.readable.append(record)
    return result.Ok(nodes)


async def propose(
    platform: platform_base.Platform,
    changes: list[configuration.FileChange],
    min_revision: int,
    timeout_s: float,
) -> result.Result[records.Configuration, errors.Failure]:
    """Submits changes that are accepted together, and awaits the outcome.

    Args:
      platform: client of the store.
      changes: the changes, at most one for each file.
      min_revision: newest revision that the operator has read; the accepted
        revision is higher even if the store has lost its content.
      timeout_s: time limit for retries while the store does not respond, in
        seconds.
    """
    writer = f"auburnctl-{uuid.uuid4().hex}"
    change_set = configuration.ChangeSet(changes, writer)
    proposal = proposal_module.Proposal(
        change_set, NO_INCARNATION, min_revision
    )
    deadline_ms = clock.now_ms() + round(timeout_s * 1_000)
    calls = proposal.begin()
    while proposal.outcome is None:
        if calls:
            calls = await _perform_calls(platform, proposal, calls)
        elif clock.now_ms() >= deadline_ms:
            proposal.give_up()
        else:
            await asyncio.sleep(POLL_INTERVAL_S)
            calls = proposal.tick(clock.now_ms())
    return proposal.outcome


async def _perform_calls(
    platform: platform_base.Platform,
    proposal: proposal_module.Proposal,
    calls: list[actions.Action],
) -> list[actions.Action]:
    next_calls = []
    for action in calls:
        store_result = await store_calls.call(platform, action)
        next_calls += proposal.on_store_result(store_result, clock.now_ms())
    return next_calls


def _unavailable_failure(error: platform_base.StoreError) -> errors.Failure:
    return errors.Failure(
        errors.ErrorKind.STORE_UNAVAILABLE,
        f"the platform's key-value service gave no answer ({error}); nothing"
        " was changed; check --platform or try again later",
    )
