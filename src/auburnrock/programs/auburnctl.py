"""The operators' command line; docs/operators/auburnctl.md describes it."""

import os
import sys

import uvloop

from auburnrock.ctl import commands

INTERRUPTED_EXIT_CODE = 130
"""Exit code that shells expect of a program ended by SIGINT."""


def run() -> None:
    """Executes the command line of the process and exits with its code."""
    try:
        finished = uvloop.run(commands.execute(sys.argv[1:]))
    except KeyboardInterrupt:
        print(
            "auburnctl: interrupted; a change may have taken effect",
            file=sys.stderr,
        )
        sys.exit(INTERRUPTED_EXIT_CODE)
    sys.stderr.write(finished.error)
    try:
        sys.stdout.write(finished.output)
        sys.stdout.flush()
    except BrokenPipeError:
        # The reader has closed the pipe, as `head` does. Standard output is
        # redirected so that the flush at exit does not fail again.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
    sys.exit(finished.code)


if __name__ == "__main__":
    run()
