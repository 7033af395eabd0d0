"""The task that decides which shards this node serves and assigns others."""

from auburnrock import errors
from auburnrock import records
from auburnrock.engine import actions
from auburnrock.engine import assigner as assigner_lib
from auburnrock.engine import in_force as in_force_lib
from auburnrock.engine import owner_choice
from auburnrock.shells import action_runner
from auburnrock.shells import clock
from auburnrock.shells import executor
from auburnrock.shells import lease_task
from auburnrock.shells import store_sync
from auburnrock.shells import target_task
from auburnrock.targets import base as targets_base


class AssignmentTask(
    store_sync.ChangeListener,
    lease_task.TickListener,
    action_runner.Part,
    executor.Admission,
):
    """Drives the assigner and admits work on this node's shards.

    Attributes:
      lease: holds this node's lease.
      sync: owner of the replica.
      runner: carries out actions.
      target_task: the target beside this node.
      in_force: the configuration that is applied.
      assigner: writes assignment pages when it is this node's turn.
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
        self.assigner = assigner_lib.Assigner(
            incarnation, sync.view, owner_choice.LeastLoaded()
        )

    def on_replica_changed(self, changed: list[str]) -> None:
        """Takes in changed records."""
        now_ms = clock.now_ms()
        before = self.in_force.revision
        self._run(self.in_force.on_change(changed, self.sync.view.replica))
        if self.in_force.revision != before:
            self.assigner.on_configuration(self.in_force.configuration, now_ms)
        self.assigner.on_change(changed, now_ms)
        if any(key.startswith(records.PAGES_PREFIX) for key in changed):
            self.target_task.set_shards(self.granted())

    def on_tick(self, now_ms: int) -> None:
        """Goes on with what waits for time."""
        self._run(self.assigner.tick(now_ms))

    def on_store_result(self, result: actions.StoreResult) -> None:
        """Takes the result of a call to the store."""
        self._run(self.assigner.on_store_result(result, clock.now_ms()))

    def granted(self) -> list[targets_base.GrantedShard]:
        """The shards that the target beside this node may serve."""
        pages = self.sync.view.pages
        return [
            targets_base.GrantedShard(
                owned.shard, pages.owner(owned.service, owned.shard).epoch
            )
            for owned in pages.shards_of(self.incarnation)
        ]

    def admit(self, service: str, shard: int) -> int | errors.Failure:
        """The epoch to run at, or why not; see executor.Admission."""
        if shard < 0:
            return 0
        entry = self.sync.view.pages.owner(service, shard)
        if entry is None or entry.owner != self.incarnation:
            return errors.Failure(
                errors.ErrorKind.NOT_OWNER,
                f"this node does not own shard {shard} of {service}",
            )
        if not self.lease.live():
            return errors.Failure(
                errors.ErrorKind.NOT_OWNER, "this node has no live lease"
            )
        return entry.epoch

    def begin(self, service: str, shard: int) -> None:
        """Notes that a request on the shard goes to the target."""

    def end(self, service: str, shard: int) -> None:
        """Notes that a request on the shard has left the target."""

    def target(self) -> targets_base.Target | None:
        """The target beside this node, once the store knows of it."""
        return self.target_task.confirmed_target()

    def watermark(self) -> int:
        """The replica's watermark."""
        return self.sync.view.replica.revision

    def _run(self, asked: list[actions.Action]) -> None:
        self.runner.run(self, asked)
