"""An operator in tests: a folder of files and calls of auburnctl."""

import pathlib

import msgspec

from auburnrock.ctl import commands
from auburnrock.ctl import report

HINTS = '{"services": {"hintsvc": {"divided_by_key": true, "shards": 80}}}'
GRIDS = '{"services": {"gridsvc": {"slots": 20}}}'


def grids(slots: int) -> str:
    """Returns the text of a file that gives gridsvc this number of slots."""
    return f'{{"services": {{"gridsvc": {{"slots": {slots}}}}}}}'


class Operator:
    """One operator, who runs auburnctl.

    Attributes:
      folder: folder of the operator's files.
      address: host:port of the platform.
    """

    def __init__(self, folder: pathlib.Path, address: str):
        self.folder = folder
        self.address = address
        folder.mkdir(exist_ok=True)

    def write(self, **files: str | None) -> None:
        """Writes files, named without `.json`; deletes those that are None."""
        for name, text in files.items():
            path = self.folder / f"{name}.json"
            if text is None:
                path.unlink()
            else:
                path.write_text(text)

    def texts(self) -> dict[str, str]:
        """Returns the text of each file of the folder by its name."""
        return {
            path.name: path.read_text()
            for path in self.folder.iterdir()
            if not path.name.startswith(".")
        }

    async def run(self, *arguments: str) -> report.Finished:
        """Runs auburnctl with the platform's address."""
        return await commands.execute(
            [f"--platform={self.address}", *arguments]
        )

    async def apply(self, *flags: str) -> report.Finished:
        return await self.run("apply", str(self.folder), *flags)

    async def fetch(self, *flags: str) -> report.Finished:
        return await self.run("fetch", str(self.folder), *flags)

    async def result(self, *arguments: str) -> dict:
        """Returns the JSON result of a command, which must succeed."""
        finished = await self.run("--json", *arguments)
        assert finished.code is report.ExitCode.DONE, finished
        return msgspec.json.decode(finished.output)["result"]
