"""Commands that call nodes: status, owner, wait, drain, confirm-end."""

import asyncio
import re

import msgspec
import result

from auburnrock import errors
from auburnrock.control import views
from auburnrock.ctl import node_access
from auburnrock.ctl import node_lines
from auburnrock.ctl import options as options_module
from auburnrock.ctl import report
from auburnrock.shells import clock
from auburnrock.store import base as platform_base

WAIT_TIMEOUT_S = 20.0
"""Default time limit of `wait`, in seconds."""

WAIT_POLL_INTERVAL_S = 0.2
"""Pause of `wait` between two rounds of status requests, in seconds."""

_HEX = re.compile("[0-9a-f]*")

CommandResult = result.Result[report.Report, errors.Failure]


class Waited(msgspec.Struct):
    """The nodes on which a revision is and is not in force.

    Attributes:
      revision: the awaited revision of the configuration.
      in_force: names of the nodes that apply this or a later revision.
      missing: names of the nodes that do not apply it or did not respond, and
        store keys of node records that cannot be decoded.
    """

    revision: int
    in_force: list[str] = []
    missing: list[str] = []

    def is_complete(self) -> bool:
        """Whether the revision is in force on every node.

        False if no node is recorded.
        """
        return bool(self.in_force) and not self.missing


async def status(
    options: options_module.Options, platform: platform_base.Platform | None
) -> CommandResult:
    """Shows the node that --node gives, or all recorded nodes."""
    if options.node:
        answer = await node_access.call(
            options.node, lambda client: client.status()
        )
        return answer.map(_status_report)
    found = await node_access.find_nodes(options, platform)
    if isinstance(found, result.Err):
        return found
    fleet = node_access.FleetStatus(
        await node_access.fetch_statuses(found.ok_value.nodes),
        found.ok_value.unreadable,
    )
    is_complete = not fleet.unreadable and all(
        answer.status or not answer.node.may_serve() for answer in fleet.nodes
    )
    code = report.ExitCode.DONE
    if not is_complete:
        code = report.ExitCode.UNREACHABLE
    return result.Ok(report.Report(fleet, node_lines.of_fleet(fleet), code))


async def owner(
    options: options_module.Options, platform: platform_base.Platform | None
) -> CommandResult:
    """Shows who owns a key and why."""
    service, key = options.words[1:]
    found = await node_access.find_nodes(options, platform)
    if isinstance(found, result.Err):
        return found
    answer = await node_access.call_first(
        found.ok_value.nodes_that_may_serve(),
        lambda client: client.explain(service, key),
    )
    return answer.map(
        lambda view: report.Report(view, node_lines.of_explanation(view))
    )


async def wait(
    options: options_module.Options, platform: platform_base.Platform | None
) -> CommandResult:
    """Waits until every node that may still serve applies a revision."""
    revision = _parse_number(options.words[1])
    if revision is None:
        return _bad_number_failure("revision", options.words[1])
    timeout_s = options.timeout_s
    if timeout_s is None:
        timeout_s = WAIT_TIMEOUT_S
    deadline_ms = clock.now_ms() + round(timeout_s * 1_000)
    applied: set[int] = set()
    while True:
        found = await node_access.find_nodes(options, platform)
        is_last = clock.now_ms() >= deadline_ms
        if isinstance(found, result.Ok):
            waited = await _check_revision(revision, found.ok_value, applied)
            if waited.is_complete() or is_last:
                return result.Ok(_waited_report(waited))
        elif is_last:
            return found
        await asyncio.sleep(WAIT_POLL_INTERVAL_S)


async def drain(
    options: options_module.Options, platform: platform_base.Platform | None
) -> CommandResult:
    """Starts the planned stop of the latest incarnation of a node."""
    name = options.words[1]
    found = await node_access.find_nodes(options, platform)
    if isinstance(found, result.Err):
        return found
    nodes = found.ok_value.nodes_that_may_serve()
    matching = [node for node in nodes if node.name == name]
    if not matching:
        known = ", ".join(node.name for node in nodes) or "none"
        return result.Err(
            errors.Failure(
                errors.ErrorKind.BAD_REQUEST,
                f"no node {name!r} that could be stopped; there are: {known}",
            )
        )
    answer = await node_access.call(
        matching[-1].address, lambda client: client.drain()
    )
    return answer.map(_done_report)


async def confirm_end(
    options: options_module.Options, platform: platform_base.Platform | None
) -> CommandResult:
    """Confirms to another node that a node and its target have ended.

    Other nodes then take over its keys without waiting for its lease to end. A
    false confirmation would give keys two owners, so the command refuses to
    confirm the end of a node that responds.
    """
    incarnation = _parse_incarnation(options.words[1])
    if incarnation is None:
        return _bad_number_failure("incarnation", options.words[1])
    found = await node_access.find_nodes(options, platform)
    if isinstance(found, result.Err):
        return found
    nodes = found.ok_value.nodes
    matching = [node for node in nodes if node.incarnation == incarnation]
    refusal = await _find_refusal(incarnation, matching)
    if refusal is not None:
        return result.Err(refusal)
    others = [
        node
        for node in found.ok_value.nodes_that_may_serve()
        if node.incarnation != incarnation
    ]
    answer = await node_access.call_first(
        others, lambda client: client.confirm_end(incarnation)
    )
    return answer.map(_done_report)


async def _find_refusal(
    incarnation: int, matching: list[node_access.Node]
) -> errors.Failure | None:
    """Returns why the end of an incarnation cannot be confirmed, or None.

    Args:
      incarnation: id of the incarnation.
      matching: recorded nodes with this incarnation.
    """
    if not matching:
        return errors.Failure(
            errors.ErrorKind.BAD_REQUEST,
            f"incarnation {node_lines.format_incarnation(incarnation)} has no"
            " record; take it from `auburnctl status`",
        )
    (answer,) = await node_access.fetch_statuses(matching[:1])
    if answer.status is None:
        return None
    return errors.Failure(
        errors.ErrorKind.CONFLICT,
        f"node {matching[0].name} of incarnation"
        f" {node_lines.format_incarnation(incarnation)}"
        f" has not ended: it answers at {matching[0].address}; stop it with"
        f" `auburnctl drain {matching[0].name}`",
    )


async def _check_revision(
    revision: int, found: node_access.FoundNodes, applied: set[int]
) -> Waited:
    """Finds the nodes that apply a revision.

    Args:
      revision: revision of the configuration.
      found: the recorded nodes.
      applied: incarnations known to apply the revision. They are not called
        again, since a node never reverts to an earlier revision. Incarnations
        that are found to apply it are added.
    """
    nodes = found.nodes_that_may_serve()
    queried = [node for node in nodes if node.incarnation not in applied]
    for answer in await node_access.fetch_statuses(queried):
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


def _status_report(view: views.Status) -> report.Report:
    return report.Report(view, node_lines.of_status(view))


def _done_report(done: views.Done) -> report.Report:
    return report.Report(done, [done.note or "accepted"])


def _parse_number(text: str) -> int | None:
    is_number = text.isascii() and text.isdecimal() and len(text) <= 20
    number = int(text) if is_number else 2**64
    return number if number < 2**64 else None


def _parse_incarnation(text: str) -> int | None:
    """Parses an incarnation, given as 16 hex digits or a decimal number."""
    if len(text) == node_lines.HEX_DIGITS and _HEX.fullmatch(text):
        return int(text, base=16)
    return _parse_number(text)


def _bad_number_failure(what: str, text: str) -> CommandResult:
    return result.Err(
        errors.Failure(
            errors.ErrorKind.BAD_REQUEST,
            f"{what}: got {text!r}, expected a number of 64 bits as"
            " `status` shows it",
        )
    )
