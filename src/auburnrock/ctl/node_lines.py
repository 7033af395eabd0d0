"""Formats the views of nodes as lines of text."""

from auburnrock.control import views
from auburnrock.ctl import node_access
from auburnrock.ctl import report

HEX_DIGITS = 16
"""Number of hex digits of a formatted incarnation."""


def format_incarnation(incarnation: int) -> str:
    """Formats an incarnation as in the logs and the store's keys."""
    return f"{incarnation:0{HEX_DIGITS}x}"


def of_status(view: views.Status) -> list[str]:
    """Formats the status of one node in detail."""
    lines = [
        f"node {view.name} incarnation {format_incarnation(view.incarnation)}",
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
        f"leader of {leader.service}: {leader.name},"
        f" incarnation {format_incarnation(leader.incarnation)}"
        for leader in view.leaders
    ]
    rows = [["NODE", "INCARNATION", "ZONE", "RECORD", "SERVICE", "SHARDS"]]
    rows += [
        [
            member.name,
            format_incarnation(member.incarnation),
            member.zone,
            member.state.value,
            member.service or "-",
            str(member.shards_owned),
        ]
        for member in sorted(view.members, key=lambda member: member.name)
    ]
    return [*lines, "", *report.table(rows)]


def of_fleet(fleet: node_access.FleetStatus) -> list[str]:
    """Formats all nodes, one in each line, followed by their problems."""
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


def _fleet_row(answer: node_access.NodeAnswer) -> list[str]:
    node = answer.node
    row = [
        node.name,
        format_incarnation(node.incarnation),
        node.zone,
        node.state.value,
    ]
    view = answer.status
    if view is None:
        return [*row, "-", "-", "-", "-", "-"]
    owned = [
        member.shards_owned
        for member in sorted(view.members, key=lambda member: member.name)
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


def of_explanation(view: views.Explanation) -> list[str]:
    """Formats the owner of a key and the reason of the ownership."""
    why = "it is a hot key" if view.why is views.ShardReason.HOT else "hashed"
    lines = [
        f"service {view.service}, key {view.key!r}: shard {view.shard} ({why})",
        f"page {view.page_key}: owner {format_incarnation(view.owner)},"
        f" epoch {view.epoch}",
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
        lines.append(
            f"moving to incarnation {format_incarnation(view.moving_to)}"
        )
    return lines
