"""An operator at work: a folder and the tool."""

import pathlib

import msgspec

from auburnrock.ctl import commands
from auburnrock.ctl import report

HINTS = '{"services": {"hintsvc": {"divided_by_key": true, "shards": 80}}}'
GRIDS = '{"services": {"gridsvc": {"slots": 20}}}'


def grids(slots: int) -> str:
    """A file that describes gridsvc with so many slots."""
    return f'{{"services": {{"gridsvc": {{"slots": {slots}}}}}}}'


class Operator:
    """One operator.

    Attributes:
      folder: the operator's files.
      address: host:port of the platform.
    """

    def __init__(self, folder: pathlib.Path, address: str):
        self.folder = folder
        self.address = address
        folder.mkdir(exist_ok=True)

    def write(self, **files: str | None) -> None:
        """Writes or, with None, deletes files, named without `.json`."""
        for name, text in files.items():
            path = self.folder / f"{name}.json"
            if text is None:
                path.unlink()
            else:
                path.write_text(text)

    def texts(self) -> dict[str, str]:
        """The files of the folder."""
        return {
            path.name: path.read_text()
            for path in self.folder.iterdir()
            if not path.name.startswith(".")
        }

    async def run(self, *words: str) -> report.Finished:
        """Calls the tool with the platform's address."""
        return await commands.execute([f"--platform={self.address}", *words])

    async def apply(self, *flags: str) -> report.Finished:
        return await self.run("apply", str(self.folder), *flags)

    async def fetch(self, *flags: str) -> report.Finished:
        return await self.run("fetch", str(self.folder), *flags)

    async def result(self, *words: str) -> dict:
        """The result of a command that ends well, as scripts get it."""
        finished = await self.run("--json", *words)
        assert finished.code is report.ExitCode.DONE, finished
        return msgspec.json.decode(finished.output)["result"]
