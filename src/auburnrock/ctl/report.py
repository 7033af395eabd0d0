"""Results of commands: exit code, lines of text and data for scripts."""

import dataclasses
import enum

import msgspec

from auburnrock import errors


class ExitCode(enum.IntEnum):
    """Exit codes of auburnctl.

    DONE: the command was executed.
    REFUSED: the request was rejected, conflicted with another operator's
      change or was not completed within the timeout; a change did not take
      effect. `config check` has findings.
    USAGE: the command line is wrong, or a folder or file cannot be used.
    UNREACHABLE: the store or a node did not respond; nothing was changed.
    OUTCOME_UNKNOWN: a change was sent; it may have taken effect or may still
      take effect.
    """

    DONE = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3
    OUTCOME_UNKNOWN = 4


MEANINGS: dict[ExitCode, str] = {
    ExitCode.DONE: "what was asked for is done or shown",
    ExitCode.REFUSED: "rejected, findings, lost a race, or not reached in time",
    ExitCode.USAGE: "wrong command line, or a folder or file of no use",
    ExitCode.UNREACHABLE: "the store or a node did not answer, no change",
    ExitCode.OUTCOME_UNKNOWN: "a change may have taken effect, or may yet",
}

_EXIT_CODES = {
    errors.ErrorKind.BAD_REQUEST: ExitCode.USAGE,
    errors.ErrorKind.STORE_UNAVAILABLE: ExitCode.UNREACHABLE,
    errors.ErrorKind.PEER_UNREACHABLE: ExitCode.UNREACHABLE,
    errors.ErrorKind.OUTCOME_UNKNOWN: ExitCode.OUTCOME_UNKNOWN,
}


@dataclasses.dataclass(slots=True)
class Report:
    """The result of a command.

    Attributes:
      data: the result for scripts, printed with the flag --json.
      lines: the result as lines of text, printed without the flag --json.
      code: exit code; not DONE if the result is incomplete or negative.
    """

    data: msgspec.Struct
    lines: list[str]
    code: ExitCode = ExitCode.DONE


class Finished(msgspec.Struct, frozen=True):
    """The exit code and output of a finished command line.

    Attributes:
      code: exit code of the process.
      output: text for standard output.
      error: text for standard error.
    """

    code: ExitCode
    output: str = ""
    error: str = ""


class _JsonReport(msgspec.Struct, omit_defaults=True):
    exit_code: int
    result: msgspec.Struct | None = None
    error: errors.Failure | None = None


def exit_code(kind: errors.ErrorKind) -> ExitCode:
    """Returns the exit code for an error kind."""
    return _EXIT_CODES.get(kind, ExitCode.REFUSED)


def finish_report(report: Report, as_json: bool) -> Finished:
    """Formats a result as text or JSON."""
    if as_json:
        return _finish_json(report.code, _JsonReport(report.code, report.data))
    text = "".join(f"{line}\n" for line in report.lines)
    return Finished(report.code, output=text)


def finish_failure(failure: errors.Failure, as_json: bool) -> Finished:
    """Formats a failure.

    JSON is for standard output, text for standard error.
    """
    code = exit_code(failure.kind)
    if as_json:
        return _finish_json(code, _JsonReport(code, error=failure))
    text = f"auburnctl: {failure.kind.value}: {failure.message}\n"
    return Finished(code, error=text)


def _finish_json(code: ExitCode, json_report: _JsonReport) -> Finished:
    text = msgspec.json.encode(json_report).decode()
    return Finished(code, output=f"{text}\n")


def table(rows: list[list[str]]) -> list[str]:
    """Formats rows as lines with aligned columns.

    The first row is the heading.
    """
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    return [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    ]
