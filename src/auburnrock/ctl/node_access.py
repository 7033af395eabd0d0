"""Finds the recorded nodes and calls their control ports."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

import msgspec
import result

from auburnrock import errors
from auburnrock import records
from auburnrock.control import client as control_client
from auburnrock.control import views
from auburnrock.ctl import options as options_module
from auburnrock.ctl import store_access
from auburnrock.store import base as platform_base

MAX_CONCURRENT_CALLS = 64
"""Largest number of nodes that are called at the same time."""

ViewT = TypeVar("ViewT")
Call = Callable[
    [control_client.ControlClient],
    Awaitable[result.Result[ViewT, errors.Failure]],
]


class Node(msgspec.Struct, frozen=True):
    """A node with the address of its control port.

    Attributes:
      name: name of the host's daemon.
      incarnation: id of this start of the daemon.
      zone: availability zone of the host.
      state: state of the node's record in the store.
      address: host:port of the node's control port.
    """

    name: str
    incarnation: int
    zone: str
    state: records.NodeState
    address: str

    def may_serve(self) -> bool:
        """Whether the node may still act on a configuration."""
        return self.state is not records.NodeState.ENDED


class FoundNodes(msgspec.Struct, frozen=True):
    """The recorded nodes.

    Attributes:
      nodes: the nodes, sorted by name and incarnation.
      unreadable: store keys of the records that cannot be decoded; each may
        belong to a running node.
    """

    nodes: list[Node]
    unreadable: list[str] = []

    def nodes_that_may_serve(self) -> list[Node]:
        """Returns the nodes that may still act on a configuration."""
        return [node for node in self.nodes if node.may_serve()]


class NodeAnswer(msgspec.Struct):
    """One node and its response to a status request.

    Attributes:
      node: the node as recorded.
      status: status that the node reported; None if it did not respond.
      problem: why there is no status; empty if there is one.
    """

    node: Node
    status: views.Status | None = None
    problem: str = ""


class FleetStatus(msgspec.Struct):
    """The status of all recorded nodes.

    Attributes:
      nodes: the nodes with their responses.
      unreadable: store keys of the node records that cannot be decoded.
    """

    nodes: list[NodeAnswer]
    unreadable: list[str] = []


async def find_nodes(
    options: options_module.Options, platform: platform_base.Platform | None
) -> result.Result[FoundNodes, errors.Failure]:
    """Finds the recorded nodes.

    They are read from the node that --node gives or, without it, from the
    store.
    """
    if options.node:
        return await _find_members(options.node)
    assert platform is not None, "the command line was not checked"
    found = await store_access.read_nodes(platform)
    if isinstance(found, result.Err):
        return found
    nodes = _sort_nodes(map(_node_from_record, found.ok_value.readable))
    return result.Ok(FoundNodes(nodes, found.ok_value.unreadable))


async def call(
    address: str, method: Call[ViewT]
) -> result.Result[ViewT, errors.Failure]:
    """Calls the node whose control port is at this address."""
    client = control_client.connect(address)
    try:
        return await method(client)
    finally:
        client.close()


async def call_all(
    nodes: list[Node], method: Call[ViewT]
) -> list[result.Result[ViewT, errors.Failure]]:
    """Calls nodes concurrently; the results are in the order of the nodes."""
    limit = asyncio.Semaphore(MAX_CONCURRENT_CALLS)

    async def limited(node: Node) -> result.Result[ViewT, errors.Failure]:
        async with limit:
            return await call(node.address, method)

    return list(await asyncio.gather(*map(limited, nodes)))


async def call_first(
    nodes: list[Node], method: Call[ViewT]
) -> result.Result[ViewT, errors.Failure]:
    """Calls the nodes in order until one is reachable."""
    answer: result.Result[ViewT, errors.Failure] = result.Err(
        errors.Failure(
            errors.ErrorKind.PEER_UNREACHABLE,
            "no node is recorded that could be called; start one, or name one"
            " with --node",
        )
    )
    for node in nodes:
        answer = await call(node.address, method)
        if isinstance(answer, result.Ok):
            return answer
        if answer.err_value.kind is not errors.ErrorKind.PEER_UNREACHABLE:
            return answer
    return answer


async def fetch_statuses(nodes: list[Node]) -> list[NodeAnswer]:
    """Requests a brief status from the nodes that may still serve."""
    # An ended incarnation does not respond; at its address the next
    # incarnation may.
    queried = [node for node in nodes if node.may_serve()]
    answers = await call_all(queried, lambda client: client.status(brief=True))
    by_incarnation = dict(
        zip((node.incarnation for node in queried), answers, strict=True)
    )
    return [
        _node_answer(node, by_incarnation.get(node.incarnation))
        for node in nodes
    ]


async def _find_members(
    address: str,
) -> result.Result[FoundNodes, errors.Failure]:
    answer = await call(address, lambda client: client.status())
    if isinstance(answer, result.Err):
        return answer
    status = answer.ok_value
    members = {
        member.incarnation: _node_from_member(member)
        for member in status.members
    }
    # A node without a record is missing from its own list of members.
    members[status.incarnation] = Node(
        status.name, status.incarnation, status.zone, status.state, address
    )
    return result.Ok(FoundNodes(_sort_nodes(members.values())))


def _node_from_member(member: views.Member) -> Node:
    return Node(
        member.name,
        member.incarnation,
        member.zone,
        member.state,
        member.control_address,
    )


def _node_from_record(record: records.NodeRecord) -> Node:
    return Node(
        record.name,
        record.incarnation,
        record.zone,
        record.state,
        f"{record.address}:{record.control_port}",
    )


def _sort_nodes(nodes) -> list[Node]:
    return sorted(nodes, key=lambda node: (node.name, node.incarnation))


def _node_answer(
    node: Node,
    answer: result.Result[views.Status, errors.Failure] | None,
) -> NodeAnswer:
    if answer is None:
        return NodeAnswer(node, problem="ended")
    if isinstance(answer, result.Err):
        return NodeAnswer(node, problem=answer.err_value.message)
    status_view = answer.ok_value
    if status_view.incarnation != node.incarnation:
        problem = f"another incarnation answers: {status_view.incarnation:016x}"
        return NodeAnswer(node, problem=problem)
    return NodeAnswer(node, status_view)
