"""The task that decides which shards this node serves and assigns others."""

import asyncio

from auburnrock import errors
from auburnrock import records
from auburnrock.engine import actions
from auburnrock.engine import assigner as assigner_lib
from auburnrock.engine import in_force as in_force_lib
from auburnrock.engine import owner_choice
from auburnrock.engine import release
from auburnrock.shells import action_runner
from auburnrock.shells import clock
from auburnrock.shells import execution
from auburnrock.shells import lease_task
from auburnrock.shells import move_wait
from auburnrock.shells import store_sync
from auburnrock.shells import target_slots
from auburnrock.shells import target_task
from auburnrock.targets import base as targets_base

CALM_TICK_MS = 100
"""Time between looks while no shard is being released."""

_REFUSALS = {
    release.Admission.MOVING: errors.Failure(
        errors.ErrorKind.MOVING, "the shard is being moved"
    ),
    release.Admission.NOT_OWNER: errors.Failure(
        errors.ErrorKind.NOT_OWNER, "this node does not own the shard"
    ),
    release.Admission.NO_LEASE: errors.Failure(
        errors.ErrorKind.NOT_OWNER, "this node has no live lease"
    ),
    release.Admission.NO_TARGET: errors.Failure(
        errors.ErrorKind.NO_TARGET, "no target beside this node"
    ),
    release.Admission.BEHIND: errors.Failure(
        errors.ErrorKind.NOT_OWNER,
        "this node's configuration is older than the shard needs",
    ),
}


CREATE_SETTLE_MS = 1_000
"""Targets of a new deployment announce themselves within about a second."""


class AssignmentTask(
    store_sync.ChangeListener,
    lease_task.TickListener,
    action_runner.Part,
    execution.Admission,
):
    """Drives the assigner and the releases, and admits work.

    Attributes:
      incarnation: this node's incarnation.
      lease: holds this node's lease.
      sync: owner of the replica.
      runner: carries out actions.
      target_task: the target beside this node.
      in_force: the configuration that is applied.
      assigner: writes assignment pages when it is this node's turn.
      releases: what this node may admit, and what it gives away; set by
        `set_work_count`.
      moves: lets requests wait for a move; set with `releases`.
    """

    def __init__(
        self,
        incarnation: int,
        lease: lease_task.LeaseTask,
        sync: store_sync.StoreSync,
        runner: action_runner.ActionRunner,
        target: target_task.TargetTask,
    ):
        self.incarnation = incarnation
        self.lease = lease
        self.sync = sync
        self.runner = runner
        self.target_task = target
        self.in_force = in_force_lib.InForce()
        self.chooser = owner_choice.LeastLoaded()
        self.assigner = assigner_lib.Assigner(
            incarnation,
            sync.view,
            self.chooser,
            create_settle_ms=CREATE_SETTLE_MS,
        )
        self.releases: release.Releases | None = None
        self.next_tick_ms = 0
        self._is_advancing = False
        self.moves: move_wait.MoveWait | None = None

    def set_work_count(self, work: release.WorkCount) -> None:
        """Completes the wiring with what counts the work under way."""
        self.releases = release.Releases(
            self.incarnation,
            self.sync.view,
            self.in_force,
            self.target_task.grants,
            self.chooser,
            work,
        )
        self.moves = move_wait.MoveWait(
            self.releases, self.target_task.grants, self.sync.view.pages
        )

    def on_replica_changed(self, changed: list[str]) -> None:
        """Takes in changed records."""
        now_ms = clock.now_ms()
        before = self.in_force.revision
        self._run(self.in_force.on_change(changed, self.sync.view.replica))
        if self.in_force.revision != before:
            self.assigner.on_configuration(self.in_force.configuration, now_ms)
        self.assigner.on_change(changed, now_ms)
        self.releases.on_change(changed, now_ms)
        if any(key.startswith(records.PAGES_PREFIX) for key in changed):
            self.target_task.wake()
            self._advance_soon()

    def on_tick(self, now_ms: int) -> None:
        """Goes on with what waits for time."""
        is_moving = any(self.releases.releases.values())
        if now_ms < self.next_tick_ms and not is_moving:
            return
        self.next_tick_ms = now_ms + CALM_TICK_MS
        self._run(self.assigner.tick(now_ms))
        self._run(self.releases.tick(now_ms))
        if any(self.releases.releases.values()):
            self.target_task.wake()

    async def admit_after_move(
        self, service: str, shard: int, key: str, deadline_ms: int
    ) -> int | errors.Failure:
        """The epoch to run at, or why not; see execution.Admission."""
        epoch = self.admit(service, shard, key)
        if epoch is _REFUSALS[release.Admission.MOVING]:
            await self.moves.until_moved(service, shard, deadline_ms)
            epoch = self.admit(service, shard, key)
        if not isinstance(epoch, errors.Failure) and shard >= 0:
            await self.moves.until_granted(service, shard, deadline_ms)
            epoch = self.admit(service, shard, key)
        return epoch

    def on_idle(self, service: str, shard: int) -> None:
        """Goes on at once with a release that waited for work to end."""
        if shard in self.releases.releases.get(service, ()):
            self._advance_soon()

    def on_grant_answered(self) -> None:
        """Goes on at once with the releases that waited for the target."""
        if any(self.releases.releases.values()):
            self._advance_soon()
        self.moves.on_step()

    def on_store_result(self, result: actions.StoreResult) -> None:
        """Takes the result of a call to the store."""
        now_ms = clock.now_ms()
        self._run(self.assigner.on_store_result(result, now_ms))
        self._run(self.releases.on_store_result(result, now_ms))
        if any(self.releases.releases.values()):
            # Another shard of the page may wait, or this one after a conflict.
            self._advance_soon()

    def admit(self, service: str, shard: int, key: str) -> int | errors.Failure:
        """The epoch to run at, or why not; see execution.Admission."""
        if shard < 0:
            return self._admit_any(service)
        admission = self.releases.admission(
            service, shard, self.lease.live(), key
        )
        if admission is not release.Admission.SERVE:
            return _REFUSALS[admission]
        return self.sync.view.pages.owner(service, shard).epoch

    def target(self) -> targets_base.Target | None:
        """The target beside this node, once the store knows of it."""
        return self.target_task.confirmed_target()

    def slots(self) -> target_slots.TargetSlots:
        """The places at that target."""
        return self.target_task.slots

    def watermark(self) -> int:
        """The replica's watermark."""
        return self.sync.view.replica.revision

    def _admit_any(self, service: str) -> int | errors.Failure:
        target = self.target_task.grants.target
        if target is None or target.service != service:
            return _REFUSALS[release.Admission.NO_TARGET]
        if self.releases.leaving or target.draining:
            return errors.Failure(
                errors.ErrorKind.DRAINING,
                "this node or its target takes no new work",
            )
        return 0

    def _advance_soon(self) -> None:
        # Once for all events of one turn of the loop, and after the results
        # that belong to them.
        if not self._is_advancing:
            self._is_advancing = True
            asyncio.get_running_loop().call_soon(self._advance)

    def _advance(self) -> None:
        self._is_advancing = False
        self._run(self.releases.tick(clock.now_ms()))
        self.moves.on_step()
        # A grant without the shard lets the target confirm its release.
        self.target_task.wake()

    def _run(self, asked: list[actions.Action]) -> None:
        self.runner.run(self, asked)
