"""The operators' tool; docs/operators/auburnctl.md says how to use it."""

import os
import sys

import uvloop

from auburnrock.ctl import commands

INTERRUPTED = 130
"""What shells expect of a program ended by an interrupt."""


def run() -> None:
    """Carries out the process's command line and ends the process."""
    try:
        finished = uvloop.run(commands.execute(sys.argv[1:]))
    except KeyboardInterrupt:
        print(
            "auburnctl: interrupted; a change may have taken effect",
            file=sys.stderr,
        )
        sys.exit(INTERRUPTED)
    sys.stderr.write(finished.error)
    try:
        sys.stdout.write(finished.output)
        sys.stdout.flush()
    except BrokenPipeError:
        # The reader went away, as `head` does; nothing is left to write to.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
    sys.exit(finished.code)


if __name__ == "__main__":
    run()
