"""The table of auburnctl's commands and the execution of a command line."""

import abc
from collections.abc import Awaitable, Callable
import enum

import msgspec
import result

from auburnrock import errors
from auburnrock.ctl import config_commands
from auburnrock.ctl import explain
from auburnrock.ctl import file_commands
from auburnrock.ctl import folder
from auburnrock.ctl import node_commands
from auburnrock.ctl import options as options_module
from auburnrock.ctl import report
from auburnrock.ctl import store_access
from auburnrock.ctl import timeline
from auburnrock.store import base as platform_base
from auburnrock.store import http

Run = Callable[
    [options_module.Options, platform_base.Platform | None],
    Awaitable[result.Result[report.Report, errors.Failure]],
]


class Needs(enum.Enum):
    """The address that a command requires on the command line."""

    NOTHING = "nothing"
    PLATFORM = "platform"
    PLATFORM_OR_NODE = "platform or node"


class Command(msgspec.Struct, frozen=True):
    """A command of auburnctl.

    Attributes:
      usage: name and arguments of the command; arguments in brackets are
        optional.
      summary: description of the command in the help text.
      needs: the address that the command line must contain.
      run: function that executes the command.
    """

    usage: str
    summary: str
    needs: Needs
    run: Run

    def accepts(self, arguments: int) -> bool:
        """Whether the command accepts this number of arguments."""
        words = self.usage.split()[1:]
        optional = [word for word in words if word.startswith("[")]
        if arguments > len(words) and not self.usage.endswith("...]"):
            return False
        return arguments >= len(words) - len(optional)


COMMANDS: dict[str, Command] = {
    command.usage.split()[0]: command
    for command in (
        Command(
            "check FOLDER",
            "check a folder; with --platform, also what applying it changes",
            Needs.NOTHING,
            file_commands.check,
        ),
        Command(
            "config check FILE",
            "check a configuration of the users' platform; with --against or"
            " --store, also what it changes",
            Needs.NOTHING,
            config_commands.config,
        ),
        Command(
            "show [NAME]",
            "show the accepted configuration, or the text of one file",
            Needs.PLATFORM,
            file_commands.show,
        ),
        Command(
            "fetch FOLDER",
            "bring a folder up to date with the accepted files",
            Needs.PLATFORM,
            file_commands.fetch,
        ),
        Command(
            "apply FOLDER",
            "have the changes of a folder accepted, all or none",
            Needs.PLATFORM,
            file_commands.apply,
        ),
        Command(
            "put FILE",
            "have one added or changed file accepted",
            Needs.PLATFORM,
            file_commands.put,
        ),
        Command(
            "remove NAME",
            "have one file removed",
            Needs.PLATFORM,
            file_commands.remove,
        ),
        Command(
            "status",
            "show all nodes; with --node, one node in detail",
            Needs.PLATFORM_OR_NODE,
            node_commands.status,
        ),
        Command(
            "owner SERVICE KEY",
            "show who owns a key and why",
            Needs.PLATFORM_OR_NODE,
            node_commands.owner,
        ),
        Command(
            "wait REVISION",
            "wait until a revision is in force on every node",
            Needs.PLATFORM_OR_NODE,
            node_commands.wait,
        ),
        Command(
            "timeline [LOG...]",
            "merge the events of all nodes, or of log files, by time",
            Needs.PLATFORM_OR_NODE,
            timeline.timeline,
        ),
        Command(
            "explain ATTEMPT [LOG...]",
            "show what log files say of one request and what bore on it",
            Needs.NOTHING,
            explain.explain,
        ),
        Command(
            "drain NODE",
            "begin the planned stop of a node",
            Needs.PLATFORM_OR_NODE,
            node_commands.drain,
        ),
        Command(
            "confirm-end INCARNATION",
            "give your word that a silent node and its target have ended",
            Needs.PLATFORM_OR_NODE,
            node_commands.confirm_end,
        ),
    )
}


class Connector(abc.ABC):
    """Creates the client of the platform's key-value service."""

    @abc.abstractmethod
    def connect(self, address: str) -> platform_base.Platform:
        """Returns a client of the key-value service at host:port."""


class HttpConnector(Connector):
    """Creates clients that use HTTP."""

    def connect(self, address: str) -> platform_base.Platform:
        """Returns a client of the key-value service at host:port."""
        return http.connect(address, store_access.STORE_TIMEOUT_MS)


async def execute(
    arguments: list[str], connector: Connector | None = None
) -> report.Finished:
    """Executes a command line, given without the program's name."""
    try:
        options = options_module.parse(arguments)
        if options.help or not options.words:
            return _help(options)
        command = _checked_command(options)
    except options_module.UsageError as error:
        return report.Finished(
            report.ExitCode.USAGE, error=f"auburnctl: usage: {error}\n"
        )
    answer = await _run(command, options, connector or HttpConnector())
    if isinstance(answer, result.Err):
        return report.finish_failure(answer.err_value, options.json)
    return report.finish_report(answer.ok_value, options.json)


def usage() -> str:
    """Returns the help text."""
    rows = [
        [f"  {command.usage}", command.summary] for command in COMMANDS.values()
    ]
    lines = [
        "auburnctl: the operators' tool of auburnrock",
        "",
        "usage: auburnctl [FLAGS] COMMAND [ARGUMENTS]",
        "",
        *report.table(rows),
        "",
        "exit codes:",
        *(
            f"  {code.value}  {report.MEANINGS[code]}"
            for code in report.ExitCode
        ),
        "",
        options_module.flags_help(),
    ]
    return "\n".join(lines) + "\n"


def _help(options: options_module.Options) -> report.Finished:
    if options.help:
        return report.Finished(report.ExitCode.DONE, output=usage())
    return report.Finished(report.ExitCode.USAGE, error=usage())


async def _run(
    command: Command, options: options_module.Options, connector: Connector
) -> result.Result[report.Report, errors.Failure]:
    platform = connector.connect(options.platform) if options.platform else None
    try:
        return await command.run(options, platform)
    except folder.FolderError as error:
        failure = errors.Failure(errors.ErrorKind.BAD_REQUEST, str(error))
        return result.Err(failure)
    finally:
        if platform is not None:
            await platform.close()


def _checked_command(options: options_module.Options) -> Command:
    """Returns the command of a command line; raises UsageError."""
    name = options.words[0]
    command = COMMANDS.get(name)
    if command is None:
        known = ", ".join(COMMANDS)
        raise options_module.UsageError(
            f"got command {name!r}, expected one of {known}"
        )
    if not command.accepts(len(options.words) - 1):
        got = " ".join(options.words)
        raise options_module.UsageError(
            f"got {got!r}, expected {command.usage}"
        )
    has_node = bool(options.node) and command.needs is Needs.PLATFORM_OR_NODE
    reads_files = name == "timeline" and len(options.words) > 1
    needs_nothing = command.needs is Needs.NOTHING or reads_files
    if not (needs_nothing or options.platform or has_node):
        flags = "--platform=HOST:PORT"
        if command.needs is Needs.PLATFORM_OR_NODE:
            flags += " or --node=HOST:PORT"
        raise options_module.UsageError(f"{name} needs {flags}")
    return command
