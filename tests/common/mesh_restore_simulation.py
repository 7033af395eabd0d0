"""Simulation, in virtual time, of a fleet whose store is restored from copies.

The simulated nodes run the node's real ownership code, and the store is the
stand-in. This module delivers their messages, injects faults and is the oracle,
which checks only what targets accept.
"""

import collections
from collections.abc import Callable, Sequence
import contextvars
import random

from auburnrock.engine.mesh import key_table as table_module
from auburnrock.engine.mesh import model
from auburnrock.engine.mesh import rebalancing
from tests.common import mesh
from tests.common import mesh_ownership_simulation
from tests.common import mesh_restore_node
from tests.common import mesh_restore_store
from tests.common import virtual_time

STRIPES = 24
"""Number of stripes of the keys, as the oracle counts holds."""

FAULT_COUNT = 25
LATE = 0.03
OFTEN_LATE = 0.3
COPY_AGES_S = (0.1, 0.5, 1.0, 2.0, 4.0, 8.0, 20.0)
AWAY_S = (0.0, 0.3, 1.0, 3.0)
FREED_BEAT_S = 0.1
"""Delay of the additional heartbeat of a target that has freed keys."""

DRAIN_S = 6.0
RECOVERY_S = 30.0
"""Time after the last fault within which all keys must be held again."""

KINDS = (
    *("freeze", "restart", "cut", "heal", "crash", "start", "drain"),
    *("weigh", "weigh", "part", "blind", "restore", "restore", "restart_all"),
)

REQUIRED_EVENTS = (
    *("restore", "record_kept", "table_lost", "taken_over"),
    *(f"table_written {cause}" for cause in ("deal", "move")),
    *(f"table_written {cause}" for cause in ("put_back", "settle")),
)
"""Events that must occur in a search, as proof of what it has covered."""


def use_few_stripes(monkeypatch, stripes: int = STRIPES) -> None:
    """Patches the initial stripe count to that of this simulation."""
    monkeypatch.setattr(rebalancing, "first_count", lambda targets: stripes)
    monkeypatch.setattr(table_module, "STRIPES_LEAST", stripes)
    monkeypatch.setattr(table_module, "STRIPES_PER_RUN", 1)


class Target(mesh_ownership_simulation.Target):
    """A target that rejects fencing tokens lower than one accepted before."""

    def __init__(self, member: str, started_ms: int, rate: float):
        super().__init__(member, started_ms, rate)
        self.accepted_fences: dict[int, int] = {}
        self.state = model.TargetState.READY
        self.is_up = True

    def apply_reply(self, now_ms, reply, sent_ms, table) -> None:
        """Applies a reply, without the rejected ranges."""
        accepted = [
            row for row in reply.granted_ranges if self.accepts(row, table)
        ]
        reply = model.HeartbeatReply(accepted, reply.hold_ms)
        super().apply_reply(now_ms, reply, sent_ms, table)
        for stripe, (fence, _) in self.holds.items():
            self.accepted_fences[stripe] = max(
                fence, self.accepted_fences.get(stripe, 0)
            )

    def accepts(self, row: model.HeldRange, table) -> bool:
        """Whether no key of a range had a higher fencing token before."""
        stripes = range(table.stripe_of(row.first), table.stripe_of(row.last))
        return all(
            self.accepted_fences.get(stripe, 0) <= row.fence
            for stripe in (*stripes, table.stripe_of(row.last))
        )


class RestoreSimulation:
    """Nodes, targets, store and the oracle.

    Attributes:
      names: names of the nodes.
      grid: table that defines the stripes of the keys.
      is_calm: whether no message is lost or delayed by a fault.
      late: share of the calls to the store that are delayed, by up to seconds.
      loop: event loop in virtual time.
      store: the stand-in of the store.
      processes: the current or last process of each node.
      targets: the current or last target beside each node.
      tokens: the last fencing token accepted for each stripe, and its holder.
      violations: descriptions of the detected violations.
      counts: number of events of all nodes by kind.
      lines: recorded events; None to record none.
    """

    def __init__(
        self,
        seed: int,
        names: Sequence[str] = "abcd",
        lines: list | None = None,
        stripes: int = STRIPES,
        is_calm: bool = False,
        late: float = LATE,
    ):
        self.seed = seed
        self.names = names
        self.grid = table_module.build_table([mesh.incarnation("a")] * stripes)
        self.is_calm = is_calm
        self.late = late
        self.lines = lines
        self.rng = random.Random(seed)
        self.loop = virtual_time.Loop(
            100.0, lambda process: process.frozen_until_s
        )
        self.context = contextvars.Context()
        self.counts: collections.Counter[str] = collections.Counter()
        self.store_network = mesh_restore_store.StoreNetwork(self)
        self.store = self.store_network.store
        self.cut: set[str] = set()
        self.blind: set[str] = set()
        self.apart: set[frozenset[str]] = set()
        self.links: dict[tuple[str, str], random.Random] = {}
        self.tokens: dict[int, tuple[int, model.Incarnation]] = {}
        self.violations: list[str] = []
        self.starts = 0
        self.processes: dict[str, mesh_restore_node.SimulatedNode] = {}
        self.targets: dict[str, Target] = {}
        for name in names:
            self.later(self.rng.uniform(0.0, 0.8), self.boot, name, True)
            self.start_target(name)

    # Time.

    def later(self, delay_s: float, act: Callable, *values) -> None:
        """Schedules a call that belongs to no process."""
        self.loop.call_later(delay_s, act, *values, context=self.context)

    def run(self, for_s: float) -> None:
        """Advances the virtual time."""
        self.loop.run(for_s)

    def now_ms(self) -> float:
        """Returns the virtual time in milliseconds."""
        return self.loop.now_s * 1_000.0

    def note(self, event: str, **fields: object) -> None:
        """Records an event of the simulation."""
        self.counts[event] += 1
        if self.lines is not None:
            self.lines.append((round(self.now_ms()), "world", event, fields))

    # Processes and their messages.

    def zone_of(self, name: str) -> str:
        """Returns the zone of a node."""
        return ("piran", "koper", "izola")[self.names.index(name) % 3]

    def boot(self, name: str, is_first_start: bool) -> None:
        """Starts a process of a node, unless one is running."""
        old = self.processes.get(name)
        if old is not None and old.is_up():
            return
        self.starts += 1
        process = mesh_restore_node.SimulatedNode(
            self, name, self.starts, is_first_start
        )
        self.processes[name] = process
        process.start()

    def kill(self, name: str, for_s: float) -> None:
        """Ends a node's process; the next one starts after `for_s`."""
        process = self.processes.get(name)
        if process is not None and process.is_up():
            process.kill()
            self.later(for_s, self.boot, name, False)

    def rng_between(self, one: str, other: str) -> random.Random:
        """Returns the random generator of one direction between two nodes."""
        key = (one, other)
        if key not in self.links:
            self.links[key] = random.Random(f"{self.seed} {one} {other}")
        return self.links[key]

    def delay_s(self, one: str, other: str) -> float | None:
        """Returns the delay of a message; None if it is lost."""
        rng = self.rng_between(one, other)
        if {one, other} & self.cut or frozenset((one, other)) in self.apart:
            return None
        kind = 1.0 if self.is_calm else rng.random()
        if kind < 0.03:
            return None
        if kind < 0.06:
            return rng.uniform(0.3, 6.0)
        return rng.uniform(0.0005, 0.04)

    def send(self, sender, name: str, method: str, *values: object) -> None:
        """Sends a message to a node's process at the time of delivery."""
        delay_s = self.delay_s(sender.name, name)
        if delay_s is not None:
            self.later(delay_s, self.deliver, name, method, *values)

    def deliver(self, name: str, method: str, *values: object) -> None:
        """Delivers a message; a frozen process handles it afterwards."""
        process = self.processes.get(name)
        if process is not None and process.is_up():
            act = getattr(process, method)
            self.loop.call_soon(act, *values, context=process.context)

    def answer(self, sender, process, act: Callable, *values: object) -> None:
        """Sends a response to the process that sent a query."""
        delay_s = self.delay_s(sender.name, process.name)
        if delay_s is not None:
            self.loop.call_later(delay_s, act, *values, context=process.context)

    # The store.

    def reaches_store(self, name: str) -> bool:
        """Whether a node can reach the store."""
        return name not in self.cut | self.blind

    # Targets.

    def start_target(self, name: str) -> None:
        """Starts a target beside a node whose previous target has ended."""
        self.starts += 1
        rate = self.rng.choice((1.0, 1.02))
        target = Target(name, self.starts, rate)
        self.targets[name] = target
        self.later(self.rng.uniform(0.0, 0.9), self.send_heartbeat, target)

    def end_target(self, target: Target, is_seen: bool) -> None:
        """Ends a target; its node may notice the refused connections."""
        if not target.is_up:
            return
        target.is_up = False
        process = self.processes.get(target.incarnation.node)
        if is_seen and process is not None and process.is_up():
            self.loop.call_soon(
                self.on_target_ended,
                process,
                target.incarnation,
                context=process.context,
            )

    def on_target_ended(self, process, incarnation: model.Incarnation) -> None:
        """Notifies a node that its target has ended."""
        if process.holder.incarnation == incarnation:
            process.holder.on_target_ended()
            process.ownership.grants_changed.set()

    def drain(self, target: Target) -> None:
        """Drains a target, ends it and starts another."""
        target.state = model.TargetState.DRAINING

        def replace() -> None:
            if target.is_up:
                self.end_target(target, True)
                self.start_target(target.incarnation.node)

        self.later(DRAIN_S, replace)

    def send_heartbeat(self, target: Target, is_extra: bool = False) -> None:
        """Sends a heartbeat of a target."""
        if not target.is_up:
            return
        rng = self.rng_between(target.incarnation.node, "")
        if not is_extra:
            pause_s = (
                mesh_ownership_simulation.HEARTBEAT_MS
                / 1_000
                * rng.uniform(0.8, 1.2)
            )
            self.later(pause_s, self.send_heartbeat, target)
        beat = target.heartbeat(self.now_ms(), self.grid, target.state)
        self.later(
            rng.uniform(0.0001, 0.003),
            *(self.deliver_heartbeat, target, beat, self.now_ms()),
        )

    def deliver_heartbeat(self, target: Target, beat, sent_ms: float) -> None:
        """Delivers a heartbeat; a frozen node handles it afterwards."""
        process = self.processes.get(target.incarnation.node)
        if process is not None and process.is_up():
            self.loop.call_soon(
                *(self.handle_heartbeat, process, target, beat, sent_ms),
                context=process.context,
            )

    def handle_heartbeat(
        self, process, target: Target, beat, sent_ms: float
    ) -> None:
        """Handles a heartbeat in its node and sends the reply."""
        holder = process.holder
        now_ms = self.now_ms()
        if not holder.on_heartbeat(now_ms, beat):
            return
        reply = holder.reply(
            now_ms, now_ms, process.ownership.grants_until_ms()
        )
        rng = self.rng_between("", target.incarnation.node)
        if not self.is_calm and rng.random() < 0.05:
            # The reply is lost.
            return
        self.later(
            rng.uniform(0.0001, 0.003),
            self.deliver_reply,
            target,
            reply,
            sent_ms,
        )

    def deliver_reply(self, target: Target, reply, sent_ms: float) -> None:
        """Delivers a reply to its target, unless it took over a second."""
        now_ms = self.now_ms()
        is_late = now_ms - sent_ms > 1_000.0
        if is_late or reply.granted_ranges is None or not target.is_up:
            return
        target.apply_reply(now_ms, reply, sent_ms, self.grid)
        self.check_target(target)
        if target.freed:
            self.later(FREED_BEAT_S, self.send_heartbeat, target, True)

    # The oracle.

    def check_target(self, target: Target) -> None:
        """Checks the ranges that a target has just accepted."""
        present = [each for each in self.targets.values() if each.is_up]
        found = mesh_ownership_simulation.doubly_held_stripes(
            self.now_ms(), present
        )
        for stripe, (fence, _) in target.holds.items():
            known, owner = self.tokens.get(stripe, (0, target.incarnation))
            if owner != target.incarnation and fence <= known:
                found.append(
                    f"{self.now_ms():.0f}: {target.incarnation.node} got"
                    f" {stripe} at {fence}, not above {known} of {owner.node}"
                )
            if fence >= known:
                self.tokens[stripe] = (fence, target.incarnation)
        for violation in found:
            self.note("FAULT", text=violation)
        self.violations += found

    def all_held(self) -> bool:
        """Whether running targets hold all stripes."""
        held = sum(
            len(target.held(self.now_ms()))
            for target in self.targets.values()
            if target.is_up
        )
        return held == len(self.grid.stripes)

    def recovers(self) -> bool:
        """Ends all faults; returns whether all keys are held again in time."""
        self.cut.clear()
        self.blind.clear()
        self.apart.clear()
        self.late = min(self.late, LATE)
        for name in self.names:
            if not self.targets[name].is_up:
                self.start_target(name)
        self.note("healed")
        self.run(RECOVERY_S)
        # A key may be moving from one target to another.
        for _ in range(20):
            if self.all_held():
                return True
            self.run(0.5)
        return False

    # Faults.

    def lose_initial_table(self) -> None:
        """Restarts all nodes with a store from before the initial table."""
        for name in self.names:
            self.kill(name, self.rng.uniform(0.05, 0.5))
        self.store_network.restore(max(COPY_AGES_S), 0.0)
        self.run(self.rng.uniform(3.0, 6.0))

    def inject_fault(self) -> None:
        """Injects one fault."""
        name = self.rng.choice(self.names)
        kind = self.rng.choice(KINDS)
        amount = self.rng.random()
        process = self.processes.get(name)
        target = self.targets[name]
        if process is None:
            return
        if kind == "restore":
            age_s = self.rng.choice(COPY_AGES_S)
            self.store_network.restore(age_s, self.rng.choice(AWAY_S))
            return
        self.note(kind, node=name, amount=round(amount, 2))
        if kind == "freeze" and process.is_up():
            process.freeze(0.2 + 9.0 * amount)
        elif kind == "restart":
            self.kill(name, 0.05 + 4.0 * amount)
        elif kind == "restart_all":
            for other in self.names:
                self.kill(other, self.rng.uniform(0.05, 2.0))
        elif kind == "cut" and not self.cut:
            self.cut.add(name)
        elif kind == "blind":
            self.blind.add(name)
        elif kind == "part":
            others = [other for other in self.names if other != name]
            for other in self.rng.sample(others, len(others) - 1):
                self.apart.add(frozenset((name, other)))
        elif kind == "heal":
            # The store may be reachable later than the peers.
            self.blind = set(self.cut) if amount < 0.5 else set()
            self.cut.clear()
            self.apart.clear()
        elif kind == "crash":
            self.end_target(target, amount < 0.5)
        elif kind == "start" and not target.is_up:
            self.start_target(name)
        elif kind == "drain" and target.is_up:
            self.drain(target)
        elif kind == "weigh":
            process.weight = 0.4 + amount


def run_seed(
    seed: int,
    late: float = LATE,
    loses_deal: bool = False,
    lines: list | None = None,
) -> RestoreSimulation:
    """Runs one seed; returns the simulation with its violations.

    Args:
      seed: seed of all random generators.
      late: share of the calls to the store that are delayed.
      loses_deal: whether the store loses the initial table, which no node
        knows afterwards.
      lines: list to which all events are appended.
    """
    world = RestoreSimulation(seed, lines=lines, late=late)
    world.run(world.rng.choice((2.0, 6.0, 12.0)))
    if loses_deal:
        world.lose_initial_table()
    for _ in range(FAULT_COUNT):
        world.inject_fault()
        world.run(world.rng.uniform(0.05, 3.0))
    if not world.recovers():
        missing = set(range(STRIPES)).difference(
            *(t.held(world.now_ms()) for t in world.targets.values() if t.is_up)
        )
        world.violations.append(
            f"stripes not held after recovery: {sorted(missing)}"
        )
    world.violations += [str(error) for error in world.loop.errors]
    if world.counts["fault"]:
        world.violations.append("a task of a node failed")
    world.loop.close()
    return world
