"""Nodes with one guarding rule taken out: what the soak must catch.

Usage: python -m tests.common.mesh_broken RULE
"""

import asyncio
from collections.abc import Callable
import sys

import msgspec

from auburnrock import errors
from auburnrock.engine.mesh import holder
from auburnrock.engine.mesh import peering
from auburnrock.engine.mesh import routing
from auburnrock.programs import mesh_node
from auburnrock.shells.mesh import node
from auburnrock.shells.mesh import record
from auburnrock.shells.mesh import takeover


def give_away_what_is_still_held() -> None:
    """Keys go to their next owner before the target has let go."""
    holder.Holder._is_free = lambda self, now_ms, stripe: True


def repeat_anything() -> None:
    """A request that may not be repeated is sent again after a loss."""
    known = routing.match

    def match(*question):
        route = known(*question)
        if route is None:
            return None
        return msgspec.structs.replace(route, idempotent=True)

    routing.match = match


def refuse_what_has_run() -> None:
    """A lost answer is told as a refusal."""
    known = node.Node.execute

    async def execute(self, name, run):
        outcome = await known(self, name, run)
        if isinstance(outcome, peering.Lost):
            kind = errors.ErrorKind.OVERLOADED.value
            return peering.Refused(
                run.number, kind, 100.0, False, outcome.report
            )
        return outcome

    node.Node.execute = execute


def take_any_configuration() -> None:
    """The version before comes back after a second."""
    known = node.Node.take_configuration

    def take(self, configuration, revision):
        before = self.dispatcher.configuration
        known(self, configuration, revision)
        if before is not None:
            asyncio.get_running_loop().call_later(
                1.0, self.dispatcher.take_configuration, before
            )

    node.Node.take_configuration = take


def answer_with_the_one_before() -> None:
    """Bodies of answers are exchanged."""
    known = node.Node.execute
    before = [b"none"]

    async def execute(self, name, run):
        outcome = await known(self, name, run)
        if not isinstance(outcome, peering.Answered):
            return outcome
        body = before[0]
        before[0] = outcome.body
        return msgspec.structs.replace(outcome, body=body)

    node.Node.execute = execute


def leave_lost_keys_alone() -> None:
    """A node that starts again begins no term, and nobody takes its keys."""
    known = record.OwnRecord.register

    async def register(self):
        if self.name not in self.view.members:
            await known(self)

    record.OwnRecord.register = register
    takeover.Takeover.watch_over_others = lambda self, now_ms: None


RULES: dict[str, Callable[[], None]] = {
    rule.__name__: rule
    for rule in (
        give_away_what_is_still_held,
        repeat_anything,
        refuse_what_has_run,
        take_any_configuration,
        answer_with_the_one_before,
        leave_lost_keys_alone,
    )
}

if __name__ == "__main__":
    RULES[sys.argv[1]]()
    mesh_node.run()
