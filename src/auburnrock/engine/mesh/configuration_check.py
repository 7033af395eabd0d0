"""Checks a configuration before it is written, and compares two of them.

A node applies each configuration that it can decode. These checks find entries
that would have no effect, or another one than their author expects.
"""

from collections.abc import Sequence
import difflib
import enum
import math

import msgspec

from auburnrock.engine.mesh import model


class Severity(enum.StrEnum):
    """How serious a finding is.

    ERROR: requests would fail, or an entry could never apply.
    WARNING: an entry probably does not do what its author expects.
    NOTE: something to know that needs no change.
    """

    ERROR = "error"
    WARNING = "warning"
    NOTE = "note"


class Finding(msgspec.Struct, frozen=True):
    """One finding.

    Attributes:
      severity: how serious it is.
      place: part of the configuration, such as a host and a prefix.
      text: what was wrong, what was got and what to do.
    """

    severity: Severity
    place: str
    text: str


class Change(enum.StrEnum):
    """What happened to an entry between two configurations."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


class Difference(msgspec.Struct, frozen=True, omit_defaults=True):
    """One difference between two configurations.

    Attributes:
      change: what happened to the entry.
      place: the entry, such as a route, a service or the limits.
      field: field that changed; empty for a whole entry.
      before: former value, or the former entry; empty if it was added.
      after: new value, or the new entry; empty if it was removed.
    """

    change: Change
    place: str
    field: str = ""
    before: str = ""
    after: str = ""


_ROUTE_FIELDS = {
    "prefix": "prefix",
    "services": "services",
    "idempotent": "idempotent",
    "objective_ms": "latency objective",
    "timeout_ms": "timeout",
    "priority": "priority",
    "targets_max": "max_attempts",
}
"""Compared fields of a route, with their names in differences."""

_SERVICE_FIELDS = {
    "connections_max": "max_connections",
    "keyed": "sharded",
    "cold_per_s": "cold_per_s",
}

_LIMIT_FIELDS = {
    "header_bytes": "max_header_bytes",
    "body_bytes": "max_body_bytes",
    "header_timeout_ms": "header_timeout",
    "idle_timeout_ms": "idle_timeout",
}


def check(
    entries: model.ConfigurationEntries,
    senders: int | None = None,
    decode_error: str = "",
    ignored: Sequence[model.IgnoredField] = (),
) -> list[Finding]:
    """Returns the findings, in the order of the file.

    Args:
      entries: the entries in the order of the file.
      senders: number of processes that send requests to each target; None if
        it is not known.
      decode_error: why nodes would not decode the configuration; empty if they
        do.
      ignored: fields that nodes do not use.
    """
    findings = _check_limits(entries.limits)
    findings += _check_hosts(entries)
    findings += _check_routes(entries)
    findings += _check_services(entries, senders)
    explained = any(each.severity is Severity.ERROR for each in findings)
    if decode_error and not explained:
        findings.insert(0, Finding(Severity.ERROR, "file", decode_error))
    return findings + _check_ignored(ignored)


def check_version(version: int, in_force: int) -> list[Finding]:
    """Checks the version against the one in force."""
    if version > in_force:
        return []
    return [
        Finding(
            Severity.ERROR,
            "version",
            f"got {version}, and {in_force} is in force; nodes ignore a version"
            f" that is not higher; use {in_force + 1} or a higher one",
        )
    ]


def compare(
    before: model.Configuration, after: model.Configuration
) -> list[Difference]:
    """Returns the differences of a configuration from the one in force."""
    differences = []
    if before.version != after.version:
        differences.append(
            Difference(
                Change.CHANGED,
                "configuration",
                "version",
                str(before.version),
                str(after.version),
            )
        )
    differences += _changed_fields(
        "limits", before.limits, after.limits, _LIMIT_FIELDS
    )
    differences += _compare_entries(
        _routes_by_place(before), _routes_by_place(after), _ROUTE_FIELDS
    )
    differences += _compare_entries(
        _services_by_place(before), _services_by_place(after), _SERVICE_FIELDS
    )
    return differences


def _check_limits(limits: model.Limits) -> list[Finding]:
    findings = []
    for field, name in _LIMIT_FIELDS.items():
        value = getattr(limits, field)
        if value <= 0:
            findings.append(
                Finding(
                    Severity.ERROR,
                    "limits",
                    f"{name} is {_format(field, value)}, so that requests would"
                    " be refused or cut off; use a value above 0",
                )
            )
    if 0 < limits.body_bytes < limits.header_bytes:
        findings.append(
            Finding(
                Severity.WARNING,
                "limits",
                f"max_header_bytes {limits.header_bytes} is above"
                f" max_body_bytes {limits.body_bytes}; check whether the two"
                " were confused",
            )
        )
    if 0 < limits.idle_timeout_ms < limits.header_timeout_ms:
        findings.append(
            Finding(
                Severity.WARNING,
                "limits",
                f"header_timeout {_ms(limits.header_timeout_ms)} is above"
                f" idle_timeout {_ms(limits.idle_timeout_ms)}, so that an"
                " unfinished request is kept for longer than an idle"
                " connection; check whether the two were confused",
            )
        )
    return findings


def _check_hosts(entries: model.ConfigurationEntries) -> list[Finding]:
    findings = []
    first_names: dict[str, str] = {}
    for host in entries.hosts:
        place = f"host {host}"
        known = first_names.setdefault(host.lower(), host)
        if known is not host:
            findings.append(
                Finding(
                    Severity.WARNING,
                    place,
                    f"the host is listed again, first as {known!r}; nodes merge"
                    " the routes of both; list it once",
                )
            )
        name, colon, port = host.rpartition(":")
        if not host or (colon and port.isdigit()):
            findings.append(
                Finding(
                    Severity.ERROR,
                    place,
                    f"got {host!r}, which no request matches, as nodes compare"
                    " the Host header without its port; use"
                    f" {name or 'the name of the host'}",
                )
            )
    if not any(entries.routes):
        findings.append(
            Finding(
                Severity.WARNING,
                "file",
                "no route, so that every request is refused; add a route",
            )
        )
    return findings


def _check_routes(entries: model.ConfigurationEntries) -> list[Finding]:
    findings = []
    described = {service.name for service in entries.services}
    first_by_prefix: dict[tuple[str, bytes], model.Route] = {}
    first_by_name: dict[tuple[str, str], model.Route] = {}
    for entry in entries.routes:
        route = entry.route
        place = route_place(entry.host, route)
        prefix_key = (entry.host.lower(), route.prefix)
        known = first_by_prefix.setdefault(prefix_key, route)
        if known is not route:
            findings.append(
                Finding(
                    Severity.ERROR,
                    place,
                    "the route never matches, as the earlier route"
                    f" {known.name!r} has the same prefix; remove one of them",
                )
            )
        named = first_by_name.setdefault(
            (entry.host.lower(), route.name), route
        )
        if named is not route:
            findings.append(
                Finding(
                    Severity.WARNING,
                    place,
                    "another route of the host has this name, so that logs and"
                    " differences do not tell them apart; rename one of them",
                )
            )
        findings += [
            Finding(severity, place, text)
            for severity, text in (
                *_prefix_faults(route),
                *_service_faults(route, described),
                *_number_faults(entry),
            )
        ]
    return findings


def _prefix_faults(route: model.Route) -> list[tuple[Severity, str]]:
    prefix = _text(route.prefix)
    if not prefix.startswith("/"):
        return [
            (
                Severity.ERROR,
                f"prefix {prefix!r} never matches, as each path begins with a"
                " slash; add one",
            )
        ]
    if "?" in prefix or "#" in prefix or " " in prefix:
        return [
            (
                Severity.ERROR,
                f"prefix {prefix!r} never matches, as paths are compared"
                " without their query; use a path",
            )
        ]
    if not prefix.endswith("/"):
        return [
            (
                Severity.WARNING,
                f"prefix {prefix!r} does not end with a slash, so that it"
                f" matches {prefix + 'x'!r} too; add one unless that is meant",
            )
        ]
    return []


def _service_faults(
    route: model.Route, described: set[str]
) -> list[tuple[Severity, str]]:
    faults = []
    if not route.parts:
        return [(Severity.ERROR, "the route names no service; add one")]
    weights = [part.weight for part in route.parts]
    if not all(map(math.isfinite, weights)):
        faults.append(
            (Severity.ERROR, f"got weights {weights}; use finite numbers")
        )
    elif not any(weight > 0 for weight in weights):
        faults.append(
            (
                Severity.ERROR,
                f"got weights {weights}, so that no service receives requests;"
                " nodes reject the configuration; use a weight above 0",
            )
        )
    else:
        faults += [
            (
                Severity.WARNING,
                f"service {part.service!r} has weight {part.weight:g} and"
                " receives no request of the route; remove it or use a weight"
                " above 0",
            )
            for part in route.parts
            if part.weight <= 0
        ]
    names = [part.service for part in route.parts]
    faults += [
        (
            Severity.WARNING,
            f"service {name!r} is listed {names.count(name)} times; list it"
            " once with the sum of its weights",
        )
        for name in dict.fromkeys(names)
        if names.count(name) > 1
    ]
    faults += [
        (
            Severity.ERROR,
            f"service {name!r} is not described; add it to the services, or"
            f" use one of {', '.join(sorted(described)) or 'them'}",
        )
        for name in dict.fromkeys(names)
        if name not in described
    ]
    return faults


def _number_faults(entry: model.RouteEntry) -> list[tuple[Severity, str]]:
    faults = []
    route = entry.route
    if not entry.is_kind_known:
        faults.append(
            (
                Severity.WARNING,
                f"kind {entry.kind!r} is unknown and counts as not idempotent;"
                " check its spelling",
            )
        )
    if route.timeout_ms <= 0:
        faults.append(
            (
                Severity.ERROR,
                "the timeout is 0 ms, so that every request fails; use a time"
                " above the latency objective",
            )
        )
    elif route.timeout_ms < route.objective_ms:
        faults.append(
            (
                Severity.WARNING,
                f"the timeout {_ms(route.timeout_ms)} is below the latency"
                f" objective {_ms(route.objective_ms)}, so that requests fail"
                " that would be in time; raise the timeout or lower the"
                " objective",
            )
        )
    if route.objective_ms <= 0:
        faults.append(
            (
                Severity.WARNING,
                "the latency objective is 0 ms, so that every response counts"
                " as late; use the time in which a response has its value",
            )
        )
    if route.targets_max < 1:
        faults.append(
            (
                Severity.ERROR,
                f"max_attempts is {route.targets_max}, and each request is sent"
                " once; use 1 or more",
            )
        )
    elif route.targets_max > 1 and not route.idempotent:
        faults.append(
            (
                Severity.NOTE,
                f"max_attempts is {route.targets_max}, and requests of the"
                " route are not idempotent: one that may have run is never sent"
                " again, only one that a target refused",
            )
        )
    return faults


def _check_services(
    entries: model.ConfigurationEntries, senders: int | None
) -> list[Finding]:
    findings = []
    used = {
        part.service
        for entry in entries.routes
        for part in entry.route.parts
        if part.weight > 0
    }
    last_by_name = {service.name: service for service in entries.services}
    for service in entries.services:
        findings += [
            Finding(severity, service_place(service), text)
            for severity, text in _one_service_faults(
                service,
                is_used=service.name in used,
                is_replaced=last_by_name[service.name] is not service,
                senders=senders,
            )
        ]
    return findings


def _one_service_faults(
    service: model.Service,
    is_used: bool,
    is_replaced: bool,
    senders: int | None,
) -> list[tuple[Severity, str]]:
    if is_replaced:
        return [
            (
                Severity.ERROR,
                "the service is described again, and nodes use the later"
                " description only; remove one of them",
            )
        ]
    faults = []
    if not is_used:
        faults.append(
            (
                Severity.WARNING,
                "no route sends requests to the service; add a route or remove"
                " the service",
            )
        )
    if service.connections_max < 1:
        faults.append(
            (
                Severity.ERROR,
                f"max_connections is {service.connections_max}, so that targets"
                " accept no connection; use 1 or more",
            )
        )
    elif senders is not None and service.connections_max < senders:
        faults.append(
            (
                Severity.WARNING,
                f"max_connections is {service.connections_max}, and {senders}"
                " senders need one connection each to every target; raise it"
                f" to {senders} or more",
            )
        )
    if not math.isfinite(service.cold_per_s) or service.cold_per_s < 0:
        faults.append(
            (
                Severity.ERROR,
                f"cold_per_s is {service.cold_per_s:g}; use requests per"
                " second, or 0 for no limit",
            )
        )
    elif service.cold_per_s > 0 and not is_used:
        faults.append(
            (
                Severity.WARNING,
                f"cold_per_s {service.cold_per_s:g} has no effect, as the"
                " service receives no request",
            )
        )
    return faults


def _check_ignored(ignored: Sequence[model.IgnoredField]) -> list[Finding]:
    """Tells fields that may be misspelled from those of other programs."""
    findings = []
    others = []
    for field in ignored:
        similar = difflib.get_close_matches(field.name, field.missing, 1, 0.75)
        if similar:
            findings.append(
                Finding(
                    Severity.WARNING,
                    field.place,
                    f"nodes do not know the field {field.name!r} and ignore it;"
                    f" write {similar[0]!r} if that is meant",
                )
            )
        else:
            others.append(field.name)
    if others:
        names = ", ".join(dict.fromkeys(others))
        findings.append(
            Finding(Severity.NOTE, "file", f"nodes do not use: {names}")
        )
    return findings


def route_place(host: str, route: model.Route) -> str:
    """Returns the place of a route for people."""
    return f"host {host}, prefix {_text(route.prefix)} ({route.name})"


def service_place(service: model.Service) -> str:
    """Returns the place of a service for people."""
    return f"service {service.name}"


def _routes_by_place(
    configuration: model.Configuration,
) -> dict[str, model.Route]:
    """Returns the routes by a place that a change of a field does not alter."""
    found: dict[str, model.Route] = {}
    for host, routes in configuration.routes_by_host.items():
        for route in routes:
            place = f"route {route.name} of host {_text(host)}"
            number = 2
            unique = place
            while unique in found:
                unique = f"{place} ({number})"
                number += 1
            found[unique] = route
    return found


def _services_by_place(
    configuration: model.Configuration,
) -> dict[str, model.Service]:
    return {
        service_place(service): service
        for service in configuration.services.values()
    }


def _compare_entries(
    before: dict[str, msgspec.Struct],
    after: dict[str, msgspec.Struct],
    fields: dict[str, str],
) -> list[Difference]:
    differences = [
        Difference(
            Change.REMOVED, place, before=_describe(before[place], fields)
        )
        for place in before
        if place not in after
    ]
    for place, entry in after.items():
        if place not in before:
            differences.append(
                Difference(Change.ADDED, place, after=_describe(entry, fields))
            )
        else:
            differences += _changed_fields(place, before[place], entry, fields)
    return differences


def _changed_fields(
    place: str,
    before: msgspec.Struct,
    after: msgspec.Struct,
    fields: dict[str, str],
) -> list[Difference]:
    differences = []
    for field, name in fields.items():
        old, new = _field(before, field), _field(after, field)
        if old != new:
            differences.append(
                Difference(Change.CHANGED, place, name, old, new)
            )
    return differences


def _describe(entry: msgspec.Struct, fields: dict[str, str]) -> str:
    return ", ".join(
        f"{name} {_field(entry, field)}" for field, name in fields.items()
    )


def _field(entry: msgspec.Struct, field: str) -> str:
    if field == "services":
        return _format_parts(entry.parts)
    return _format(field, getattr(entry, field))


def _format(field: str, value: object) -> str:
    if field.endswith("_ms"):
        return _ms(value)
    if isinstance(value, bytes):
        return _text(value)
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:g}"
    return str(value)


def _format_parts(parts: list[model.WeightedService]) -> str:
    if len(parts) == 1:
        return parts[0].service
    return " + ".join(f"{part.service}:{part.weight:g}" for part in parts)


def _ms(value: float) -> str:
    return f"{value:g} ms" if value < 1e6 else f"{value:.0f} ms"


def _text(value: bytes) -> str:
    return value.decode(errors="replace")
