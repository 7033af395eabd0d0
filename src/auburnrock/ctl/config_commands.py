"""Commands on the configuration of the users' platform: config check."""

import pathlib
import re

import msgspec
import result

from auburnrock import errors
from auburnrock.ctl import options as options_module
from auburnrock.ctl import report
from auburnrock.engine.mesh import configuration_check
from auburnrock.engine.mesh import coordination_store
from auburnrock.engine.mesh import model
from auburnrock.platform import codec
from auburnrock.platform import configuration
from auburnrock.platform import protocol
from auburnrock.platform import store_client
from auburnrock.shells import clock
from auburnrock.store import base as platform_base

SUBCOMMAND = "check"

NOTES_SHOWN = 5
"""Notes in the text for people; each route may have one."""

_JSON_POSITION = re.compile(r"\(byte ([0-9]+)\)")

CommandResult = result.Result[report.Report, errors.Failure]


class ConfigChecked(msgspec.Struct):
    """The result of a check.

    Attributes:
      file: path of the checked file.
      version: version of the checked configuration.
      in_force: version in force; None if there is none, or if the command line
        names none.
      findings: what is wrong, or should be known.
      differences: differences from the version in force; None without one.
    """

    file: str
    version: int
    in_force: int | None
    findings: list[configuration_check.Finding]
    differences: list[configuration_check.Difference] | None


class _UnreadableError(Exception):
    """A configuration cannot be read; the message states which and why."""

    def __init__(self, message: str, kind=errors.ErrorKind.BAD_REQUEST):
        super().__init__(message)
        self.kind = kind


async def config(
    options: options_module.Options, platform: platform_base.Platform | None
) -> CommandResult:
    """Checks a configuration before it is written to the platform's store."""
    _, subcommand, file_name = options.words
    try:
        if subcommand != SUBCOMMAND:
            raise _UnreadableError(
                f"got 'config {subcommand}', expected config {SUBCOMMAND} FILE"
            )
        return result.Ok(await _check(options, pathlib.Path(file_name)))
    except _UnreadableError as error:
        return result.Err(errors.Failure(error.kind, str(error)))


async def _check(
    options: options_module.Options, path: pathlib.Path
) -> report.Report:
    value = _read_file(path)
    try:
        entries = configuration.decode_entries(value)
        ignored = configuration.ignored_fields(value)
    except codec.PlatformDecodeError as error:
        raise _UnreadableError(_undecodable(f"file {path}", error)) from error
    decoded: model.Configuration | None = None
    decode_error = ""
    try:
        decoded = configuration.decode(value)
    except codec.PlatformDecodeError as error:
        decode_error = f"nodes reject the configuration: {error}; correct it"
    findings = configuration_check.check(
        entries, options.senders, decode_error, ignored
    )
    checked = ConfigChecked(str(path), entries.version, None, findings, None)
    if options.against or options.store:
        await _compare(options, checked, decoded)
    severities = {finding.severity for finding in findings}
    order = list(configuration_check.Severity)
    findings.sort(key=lambda finding: order.index(finding.severity))
    code = report.ExitCode.DONE
    if severities - {configuration_check.Severity.NOTE}:
        code = report.ExitCode.REFUSED
    return report.Report(checked, _lines(checked), code)


async def _compare(
    options: options_module.Options,
    checked: ConfigChecked,
    decoded: model.Configuration | None,
) -> None:
    """Adds the comparison with the version in force to a result."""
    if options.against:
        source = f"file {options.against}"
        value = _read_file(pathlib.Path(options.against))
    else:
        source = f"the store at {options.store}"
        value = await _read_store(options.store)
    if value is None:
        checked.findings.append(
            configuration_check.Finding(
                configuration_check.Severity.NOTE,
                source,
                "no configuration is in force",
            )
        )
        return
    try:
        in_force = configuration.decode(value)
    except codec.PlatformDecodeError as error:
        raise _UnreadableError(_undecodable(source, error)) from error
    checked.in_force = in_force.version
    checked.findings += configuration_check.check_version(
        checked.version, in_force.version
    )
    if decoded is None:
        checked.findings.append(
            configuration_check.Finding(
                configuration_check.Severity.NOTE,
                source,
                "differences are shown once nodes accept the configuration",
            )
        )
    else:
        checked.differences = configuration_check.compare(in_force, decoded)


def _read_file(path: pathlib.Path) -> bytes:
    """Returns the content of a file, as the value of the operator's key."""
    if path.is_dir():
        raise _UnreadableError(
            f"{path} is a folder, expected one file; `auburnctl check FOLDER`"
            " checks a folder"
        )
    try:
        data = path.read_bytes()
    except (OSError, ValueError) as error:
        raise _UnreadableError(f"file {path}: {error}") from error
    try:
        return configuration.pack_file(data)
    except codec.PlatformDecodeError as error:
        message = f"file {path}: {error}"
        position = _JSON_POSITION.search(message)
        if position is not None:
            line = data.count(b"\n", 0, int(position[1])) + 1
            message += f", in line {line}"
        raise _UnreadableError(message) from error


async def _read_store(address: str) -> bytes | None:
    """Returns the value of the operator's key; None without one."""
    client = store_client.StoreClient(address, now_ms=clock.exact_ms)
    try:
        item = await client.read(protocol.PlatformProtocol.configuration_key)
    except coordination_store.StoreError as error:
        raise _UnreadableError(
            f"the store at {address} gave no answer ({error}); check --store,"
            " or compare with a file by --against",
            errors.ErrorKind.STORE_UNAVAILABLE,
        ) from error
    finally:
        client.close()
    return None if item is None else item.value


def _undecodable(source: str, error: codec.PlatformDecodeError) -> str:
    return (
        f"{source}: nodes cannot decode it and would keep the version in force:"
        f" {error}"
    )


def _lines(checked: ConfigChecked) -> list[str]:
    notes = _count(checked, configuration_check.Severity.NOTE)
    hidden = max(0, notes - NOTES_SHOWN)
    # Notes are the last findings.
    shown = checked.findings[: len(checked.findings) - hidden]
    lines = [
        f"{finding.severity.value}: {finding.place}: {finding.text}"
        for finding in shown
    ]
    if hidden:
        lines.append(f"{hidden} more notes; --output=json has all")
    if checked.differences is not None:
        lines += [
            f"differences from version {checked.in_force}:",
            *(_difference_line(each) for each in checked.differences),
        ]
        if not checked.differences:
            lines.append("  none")
    counts = []
    for severity in configuration_check.Severity:
        count = _count(checked, severity)
        plural = "" if count == 1 else "s"
        counts.append(f"{count} {severity.value}{plural}")
    lines.append(f"version {checked.version}: {', '.join(counts)}")
    return lines


def _count(
    checked: ConfigChecked, severity: configuration_check.Severity
) -> int:
    return sum(each.severity is severity for each in checked.findings)


def _difference_line(difference: configuration_check.Difference) -> str:
    line = f"  {difference.change.value} {difference.place}"
    if difference.field:
        return (
            f"{line}: {difference.field} from {difference.before} to"
            f" {difference.after}"
        )
    return f"{line}: {difference.before or difference.after}"
