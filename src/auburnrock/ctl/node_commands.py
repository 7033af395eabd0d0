"""Commands that ask the nodes: status, owner, wait, drain, confirm-end."""

import asyncio

import msgspec
import result

from auburnrock import errors
from auburnrock.control import views
from auburnrock.ctl import node_access
from auburnrock.ctl import options as options_module
from auburnrock.ctl import report
from auburnrock.platform import base as platform_base
from auburnrock.shells import clock

WAIT_TIMEOUT_S = 20.0
WAIT_POLL_S = 0.2

Ended = result.Result[report.Report, errors.Failure]


class NodeAnswer(msgspec.Struct):
    """One node and its answer.

    Attributes:
      node: the node as recorded.
      status: its own view; None if it gave no answer.
      problem: why it gave none.
    """

    node: node_access.Node
    status: views.Status | None = None
    problem: str = ""


class FleetStatus(msgspec.Struct):
    """All recorded nodes.

    Attributes:
      nodes: their answers.
      unreadable: keys of records that are nonsense.
    """

    nodes: list[NodeAnswer]
    unreadable: list[str] = []


class Waited(msgspec.Struct):
    """How far a revision is in force.

    Attributes:
      revision: the revision waited for.
      in_force: names of the nodes that apply it or a later one.
      missing: names of the nodes that don't, or gave no answer, and keys of
        node records that are nonsense.
    """

    revision: int
    in_force: list[str] = []
    missing: list[str] = []

    def is_complete(self) -> bool:
        """Whether it is in force on every node; never without any node."""
        return bool(self.in_force) and not self.missing


async def status(
    options: options_module.Options, platform: platform_base.Platform | None
) -> Ended:
    """Shows one node, or all nodes of the store."""
    if options.node:
        answer = await node_access.call(
            options.node, lambda client: client.status()
        )
        return answer.map(_one_status)
    found = await node_access.find_nodes(options, platform)
    if isinstance(found, result.Err):
        return found
    fleet = FleetStatus(
        await _ask_statuses(found.ok_value.nodes), found.ok_value.unreadable
    )
    is_complete = not fleet.unreadable and all(
        answer.status or not answer.node.may_serve() for answer in fleet.nodes
    )
    code = report.ExitCode.DONE
    if not is_complete:
        code = report.ExitCode.UNREACHABLE
    return result.Ok(report.Report(fleet, _fleet_lines(fleet), code))


async def owner(
    options: options_module.Options, platform: platform_base.Platform | None
) -> Ended:
    """Shows who owns a key and why."""
    service, key = options.words[1:]
    found = await node_access.find_nodes(options, platform)
    if isinstance(found, result.Err):
        return found
    answer = await node_access.call_first(
        found.ok_value.may_serve(),
        lambda client: client.explain(service, key),
    )
    return answer.map(
        lambda view: report.Report(view, _explanation_lines(view))
    )


async def wait(
    options: options_module.Options, platform: platform_base.Platform | None
) -> Ended:
    """Waits until every node that may serve applies a revision."""
    revision = _number(options.words[1])
    if revision is None:
        return _bad_number("revision", options.words[1])
    timeout_s = options.timeout_s
    if timeout_s is None:
        timeout_s = WAIT_TIMEOUT_S
    ends_at_ms = clock.now_ms() + round(timeout_s * 1_000)
    applied: set[int] = set()
    while True:
        found = await node_access.find_nodes(options, platform)
        is_last = clock.now_ms() >= ends_at_ms
        if isinstance(found, result.Ok):
            waited = await _compare(revision, found.ok_value, applied)
            if waited.is_complete() or is_last:
                return result.Ok(_waited_report(waited))
        elif is_last:
            return found
        await asyncio.sleep(WAIT_POLL_S)


async def drain(
    options: options_module.Options, platform: platform_base.Platform | None
) -> Ended:
    """Begins the planned stop of the latest node of a name."""
    name = options.words[1]
    found = await node_access.find_nodes(options, platform)
    if isinstance(found, result.Err):
        return found
    nodes = found.ok_value.may_serve()
    named = [node for node in nodes if node.name == name]
    if not named:
        known = ", ".join(node.name for node in nodes) or "none"
        return result.Err(
            errors.Failure(
                errors.ErrorKind.BAD_REQUEST,
                f"no node {name!r} that could be stopped; there are: {known}",
            )
        )
    answer = await node_access.call(
        named[-1].address, lambda client: client.drain()
    )
    return answer.map(_done)


async def confirm_end(
    options: options_module.Options, platform: platform_base.Platform | None
) -> Ended:
    """Gives the word that the target beside an incarnation has ended."""
    incarnation = _number(options.words[1])
    if incarnation is None:
        return _bad_number("incarnation", options.words[1])
    found = await node_access.find_nodes(options, platform)
    if isinstance(found, result.Err):
        return found
    others = [
        node
        for node in found.ok_value.may_serve()
        if node.incarnation != incarnation
    ]
    answer = await node_access.call_first(
        others, lambda client: client.confirm_end(incarnation)
    )
    return answer.map(_done)


async def _ask_statuses(nodes: list[node_access.Node]) -> list[NodeAnswer]:
    # An ended incarnation answers no more, or its successor would.
    asked = [node for node in nodes if node.may_serve()]
    answers = await node_access.call_all(
        asked, lambda client: client.status(brief=True)
    )
    by_incarnation = dict(
        zip((node.incarnation for node in asked), answers, strict=True)
    )
    return [
        _node_answer(node, by_incarnation.get(node.incarnation))
        for node in nodes
    ]


def _node_answer(
    node: node_access.Node,
    answer: result.Result[views.Status, errors.Failure] | None,
) -> NodeAnswer:
    if answer is None:
        return NodeAnswer(node, problem="ended")
    if isinstance(answer, result.Err):
        return NodeAnswer(node, problem=answer.err_value.message)
    status_view = answer.ok_value
    if status_view.incarnation != node.incarnation:
        problem = f"another incarnation answers: {status_view.incarnation}"
        return NodeAnswer(node, problem=problem)
    return NodeAnswer(node, status_view)


async def _compare(
    revision: int, found: node_access.Found, applied: set[int]
) -> Waited:
    """Asks the nodes that did not yet apply a revision.

    Args:
      revision: the revision.
      found: the recorded nodes.
      applied: incarnations that apply it, which they never undo; added to.
    """
    nodes = found.may_serve()
    asked = [node for node in nodes if node.incarnation not in applied]
    for answer in await _ask_statuses(asked):
        status_view = answer.status
        if status_view and status_view.configuration_revision >= revision:
            applied.add(answer.node.incarnation)
    waited = Waited(revision, missing=list(found.unreadable))
    for node in nodes:
        is_applied = node.incarnation in applied
        names = waited.in_force if is_applied else waited.missing
        names.append(node.name)
    return waited


def _waited_report(waited: Waited) -> report.Report:
    if waited.is_complete():
        count = len(waited.in_force)
        line = f"revision {waited.revision} is in force on all {count} nodes"
        return report.Report(waited, [line])
    missing = ", ".join(waited.missing) or "any node, as none is recorded"
    line = f"revision {waited.revision} is not in force on: {missing}"
    return report.Report(waited, [line], report.ExitCode.REFUSED)


def _done(done: views.Done) -> report.Report:
    return report.Report(done, [done.note or "accepted"])


def _number(text: str) -> int | None:
    is_number = text.isascii() and text.isdecimal() and len(text) <= 20
    number = int(text) if is_number else 2**64
    return number if number < 2**64 else None


def _bad_number(what: str, text: str) -> Ended:
    return result.Err(
        errors.Failure(
            errors.ErrorKind.BAD_REQUEST,
            f"{what}: got {text!r}, expected a decimal number of 64 bits as"
            " `status` shows it",
        )
    )


def _one_status(view: views.Status) -> report.Report:
    lines = [
        f"node {view.name} incarnation {view.incarnation}",
        f"region {view.region}, zone {view.zone}, record {view.state.value}",
        f"lease {view.lease.state.value}, {view.lease.left_ms} ms left",
        f"witnesses {_witness_names(view)}",
        f"store {'reachable' if view.store_reachable else 'not reachable'},"
        f" replica at revision {view.replica_revision}",
        f"configuration revision {view.configuration_revision} in force",
        _target_line(view.target),
    ]
    lines += [f"not tolerated: {loss}" for loss in view.not_tolerated]
    lines += [
        f"leader of {leader.service}: {leader.name} ({leader.incarnation})"
        for leader in view.leaders
    ]
    rows = [["NODE", "INCARNATION", "ZONE", "RECORD", "SERVICE", "SHARDS"]]
    rows += [
        [
            member.name,
            str(member.incarnation),
            member.zone,
            member.state.value,
            member.service or "-",
            str(member.shards_owned),
        ]
        for member in view.members
    ]
    return report.Report(view, [*lines, "", *report.table(rows)])


def _fleet_lines(fleet: FleetStatus) -> list[str]:
    heading = "NODE INCARNATION ZONE RECORD LEASE CONFIG STORE TARGET SHARDS"
    rows = [heading.split()]
    rows += [_fleet_row(answer) for answer in fleet.nodes]
    lines = report.table(rows)
    problems = {
        loss
        for answer in fleet.nodes
        if answer.status
        for loss in answer.status.not_tolerated
    }
    lines += [f"not tolerated: {loss}" for loss in sorted(problems)]
    lines += [
        f"no answer from {answer.node.name}: {answer.problem}"
        for answer in fleet.nodes
        if answer.status is None and answer.node.may_serve()
    ]
    lines += [f"nonsense record: {key}" for key in fleet.unreadable]
    return lines


def _fleet_row(answer: NodeAnswer) -> list[str]:
    node = answer.node
    row = [node.name, str(node.incarnation), node.zone, node.state.value]
    view = answer.status
    if view is None:
        return [*row, "-", "-", "-", "-", "-"]
    owned = [
        member.shards_owned
        for member in view.members
        if member.incarnation == node.incarnation
    ]
    target = view.target
    return [
        *row,
        view.lease.state.value,
        str(view.configuration_revision),
        "up" if view.store_reachable else "down",
        f"{target.service} {target.state}".rstrip() if target else "none",
        str(sum(owned)),
    ]


def _witness_names(view: views.Status) -> str:
    names = [f"{witness.name} ({witness.zone})" for witness in view.witnesses]
    return ", ".join(names) or "none"


def _target_line(target: views.Target | None) -> str:
    if target is None:
        return "target: none has announced itself"
    checks = "checks grants" if target.checks_grants else "checks no grants"
    return (
        f"target of {target.service} at {target.address}, incarnation"
        f" {target.incarnation}, {checks}, {target.state},"
        f" {target.running} requests running"
    )


def _explanation_lines(view: views.Explanation) -> list[str]:
    why = "it is a hot key" if view.why is views.ShardReason.HOT else "hashed"
    lines = [
        f"service {view.service}, key {view.key!r}: shard {view.shard} ({why})",
        f"page {view.page_key}: owner {view.owner}, epoch {view.epoch}",
    ]
    if not view.owner:
        lines.append("it has no owner yet")
    elif not view.owner_name:
        lines.append("the owner has no record: it has ended")
    else:
        state = view.owner_state.value if view.owner_state else "unknown"
        lines.append(
            f"owner node {view.owner_name}, record {state},"
            f" lease {view.lease_state.value}"
        )
    if view.moving_to:
        lines.append(f"moving to incarnation {view.moving_to}")
    return lines
