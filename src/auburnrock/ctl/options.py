"""Parses the command line of auburnctl; the flags are absl flags."""

from absl import flags
import msgspec

from auburnrock.engine import folder_changes
from auburnrock.shells import settings


class UsageError(Exception):
    """A command line is not accepted; the message states what is expected."""


class Options(msgspec.Struct, kw_only=True):
    """A parsed command line.

    Attributes:
      words: name of the command, then its arguments.
      platform: host:port of the platform's key-value service; empty if not
        given.
      node: host:port of a node's control port; empty if not given.
      json: whether the output is one JSON object.
      timeout_s: time limit of the command in seconds; None for the command's
        default.
      base: hash of the content that the operator read of a single file; None
        if not given.
      keep: which content `fetch` keeps of a file that both sides changed.
      since_s: age of the oldest event that `timeline` includes, in seconds; 0
        for all events.
      against: path of the configuration file in force; empty if not given.
      store: host:port of the platform's store of the nodes beside targets;
        empty if not given.
      senders: number of processes that send requests to each target; None if
        not given.
      help: whether to print the help text.
    """

    words: list[str]
    platform: str = ""
    node: str = ""
    json: bool = False
    timeout_s: float | None = None
    base: str | None = None
    keep: folder_changes.Keep = folder_changes.Keep.NEITHER
    since_s: float = 0.0
    against: str = ""
    store: str = ""
    senders: int | None = None
    help: bool = False


def parse(arguments: list[str]) -> Options:
    """Parses the arguments after the program's name; raises UsageError."""
    values = _define_flags()
    try:
        words = values(["auburnctl", *arguments])[1:]
    except flags.Error as error:
        raise UsageError(str(error)) from error
    options = Options(
        words=words,
        platform=values["platform"].value,
        node=values["node"].value,
        json=values["json"].value or values["output"].value == "json",
        timeout_s=values["timeout"].value,
        base=values["base"].value,
        keep=folder_changes.Keep(values["keep"].value),
        since_s=values["since"].value,
        against=values["against"].value,
        store=values["store"].value,
        senders=values["senders"].value,
        help=values["help"].value,
    )
    if options.against and options.store:
        raise UsageError("got --against and --store, expected one of them")
    for name in ("platform", "node", "store"):
        endpoint = getattr(options, name)
        if endpoint and not settings.is_endpoint(endpoint):
            raise UsageError(
                f"flag --{name}: got {endpoint!r}, expected HOST:PORT"
            )
    _check_encodable(arguments)
    return options


def flags_help() -> str:
    """Returns the part of the help text that describes the flags."""
    # The first line is empty, the second contains the module's name.
    lines = _define_flags().module_help(__name__).splitlines()[2:]
    return "\n".join(["flags:", *lines])


def _check_encodable(arguments: list[str]) -> None:
    for argument in arguments:
        try:
            argument.encode()
        except UnicodeEncodeError as error:
            raise UsageError(
                f"argument {argument!r}: got bytes that are no UTF-8"
            ) from error


def _define_flags() -> flags.FlagValues:
    """Defines the flags in a new object, so that calls share no values."""
    values = flags.FlagValues()
    # GNU getopt accepts flags after the command, too.
    values.set_gnu_getopt(True)
    flags.DEFINE_string(
        "platform",
        "",
        "HOST:PORT of the platform's key-value service",
        flag_values=values,
    )
    flags.DEFINE_string(
        "node",
        "",
        "HOST:PORT of one node's control port; without it the nodes are found"
        " in the store",
        flag_values=values,
    )
    flags.DEFINE_boolean(
        "json", False, "answer with one JSON object", flag_values=values
    )
    flags.DEFINE_float(
        "timeout",
        None,
        "longest wait in seconds",
        lower_bound=0.0,
        upper_bound=86_400.0,
        flag_values=values,
    )
    flags.DEFINE_string(
        "base",
        None,
        "put, remove: hash of the content that you read, as `show` prints it;"
        " empty if there was no such file",
        flag_values=values,
    )
    flags.DEFINE_enum(
        "keep",
        "",
        [keep.value for keep in folder_changes.Keep],
        "fetch: what stays of a file changed here and by another operator",
        flag_values=values,
    )
    flags.DEFINE_float(
        "since",
        0.0,
        "timeline: only events of the last so many seconds; 0 for all",
        lower_bound=0.0,
        flag_values=values,
    )
    flags.DEFINE_enum(
        "output",
        "text",
        ["text", "json"],
        "form of the answer; json is the same as --json",
        flag_values=values,
    )
    flags.DEFINE_string(
        "against",
        "",
        "config check: file with the configuration in force",
        flag_values=values,
    )
    flags.DEFINE_string(
        "store",
        "",
        "config check: HOST:PORT of the store with the configuration in force",
        flag_values=values,
    )
    flags.DEFINE_integer(
        "senders",
        None,
        "config check: number of processes that send requests to each target",
        lower_bound=1,
        flag_values=values,
    )
    flags.DEFINE_boolean("help", False, "show this help", flag_values=values)
    return values
