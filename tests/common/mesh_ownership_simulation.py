"""A world in virtual time for the search of schedules that give two owners.

Nodes with a lease, a witness and a holder each; targets with clocks of their
own; a store. Messages are delayed or lost, nodes freeze, restart and are cut
off, targets crash and start again. The rules under test are the engine's; this
file only carries their messages and keeps the oracle.
"""

from collections.abc import Iterable
import heapq
import random

from auburnrock.engine.mesh import key_table as table_module
from auburnrock.engine.mesh import lease as lease_module
from auburnrock.engine.mesh import model
from auburnrock.engine.mesh import rebalancing
from auburnrock.engine.mesh import target_grants as holder_module
from tests.common import mesh

HEARTBEAT_MS = 900.0
HOLD_MS = 2 * HEARTBEAT_MS + 1_800.0
TERM_MS = HOLD_MS * holder_module.CLOCK_DRIFT_FACTOR + 900.0
STRIPES = 6


class Target:
    """A target: what it holds until when, on a clock that may be slow."""

    def __init__(self, member: str, started_ms: int, rate: float):
        self.incarnation = mesh.incarnation(member, started_ms)
        self.rate = rate
        self.sequence = 0
        self.holds: dict[int, tuple[int, float]] = {}
        self.freed: list[model.FreedRange] = []

    def held(self, now_ms: float) -> dict[int, tuple[int, float]]:
        """Stripes that it holds now."""
        self.holds = {
            stripe: (fence, until_ms)
            for stripe, (fence, until_ms) in self.holds.items()
            if until_ms > now_ms
        }
        return self.holds

    def heartbeat(
        self,
        now_ms: float,
        table: table_module.KeyTable,
        state: model.TargetState = model.TargetState.READY,
    ) -> model.Heartbeat:
        """Its next heartbeat; the stripes are those of a table."""
        self.sequence += 1
        holds = [
            model.HeldRange(*table.span(stripe), fence)
            for stripe, (fence, _) in self.held(now_ms).items()
        ]
        return mesh.heartbeat(
            self.incarnation.node,
            self.sequence,
            started_ms=self.incarnation.started_ms,
            holds=holds,
            freed=list(self.freed),
            state=state,
        )

    def apply_reply(
        self,
        now_ms: float,
        reply: model.HeartbeatReply,
        sent_ms: float,
        table: table_module.KeyTable,
    ) -> None:
        """Takes the reply to a heartbeat that it sent at `sent_ms`."""
        self.freed.clear()
        until_ms = sent_ms + reply.hold_ms * self.rate
        wanted = {
            stripe: row.fence
            for row in reply.granted_ranges
            for stripe in range(
                table.stripe_of(row.first), table.stripe_of(row.last) + 1
            )
        }
        for stripe in sorted(set(self.held(now_ms)) - set(wanted)):
            first, last = table.span(stripe)
            self.freed.append(model.FreedRange(first, last, "h"))
            del self.holds[stripe]
        for stripe, fence in wanted.items():
            self.holds[stripe] = (fence, until_ms)


def doubly_held_stripes(now_ms: float, targets: Iterable[Target]) -> list[str]:
    """Stripes that two of the targets hold now, and which ones."""
    found = []
    owners: dict[int, str] = {}
    for target in targets:
        for stripe in target.held(now_ms):
            if stripe in owners:
                found.append(
                    f"{now_ms:.0f}: {stripe} at {owners[stripe]} and"
                    f" {target.incarnation.node}"
                )
            owners[stripe] = target.incarnation.node
    return found


class Node:
    """A node's parts; a restart makes new ones."""

    def __init__(self, world: "OwnershipSimulation", name: str):
        self.name = name
        self.frozen_until_ms = 0.0
        self.revision = 0
        self.lease = lease_module.Lease(name, TERM_MS)
        self.witness = lease_module.Witness(TERM_MS, world.now_ms)
        self.holder = holder_module.TargetGrants(name, HOLD_MS, world.now_ms)


class OwnershipSimulation:
    """Everything, and the oracle.

    Attributes:
      violations: moments at which two targets held one stripe.
      takeovers: how many nodes' keys were taken over.
      moves: how many keys were given away by their holder.
    """

    def __init__(self, seed: int, names: str = "abcd"):
        self.rng = random.Random(seed)
        self.now_ms = 10_000.0
        self.events: list[tuple[float, int, object]] = []
        self.numbers = 0
        self.revision = 1
        self.records: dict[str, tuple[model.Member, int]] = {}
        self.violations: list[str] = []
        self.takeovers = 0
        self.moves = 0
        self.cut: set[str] = set()
        self.apart: set[frozenset[str]] = set()
        self.blind: set[str] = set()
        self.sealings: dict[str, lease_module.Sealing] = {}
        self.starts = 0
        self.targets: dict[str, Target | None] = {}
        self.nodes = {name: Node(self, name) for name in names}
        for name in names:
            self.start_target(name)
        owners = [
            self.targets[names[index % len(names)]].incarnation
            for index in range(STRIPES)
        ]
        self.table = table_module.build_table(owners)
        self.table_revision = 1
        for name in names:
            others = tuple(other for other in names if other != name)
            self.write_record(name, mesh.member(name, witnesses=others))
        for name in names:
            self.inform(self.nodes[name])
            self.at(self.rng.uniform(0, 300), self.tick, name)
            self.at(self.rng.uniform(0, 900), self.beat, name)

    def at(self, delay_ms: float, act, *values) -> None:
        """Does something later."""
        self.numbers += 1
        entry = (self.now_ms + delay_ms, self.numbers, (act, values))
        heapq.heappush(self.events, entry)

    def run(self, for_ms: float) -> None:
        """Lets time pass."""
        end_ms = self.now_ms + for_ms
        while self.events and self.events[0][0] <= end_ms:
            self.now_ms, _, (act, values) = heapq.heappop(self.events)
            act(*values)
            self.judge()
        self.now_ms = end_ms

    def judge(self) -> None:
        """The oracle: no stripe is held by two targets that are up."""
        present = filter(None, self.targets.values())
        self.violations += doubly_held_stripes(self.now_ms, present)

    def write_record(self, name: str, record: model.Member) -> None:
        """Writes a node's record."""
        self.revision += 1
        self.records[name] = (record, self.revision)

    def start_target(self, name: str) -> None:
        """Starts a target beside a node; the one before it has ended."""
        self.starts += 1
        rate = self.rng.choice((1.0, 1.02))
        self.targets[name] = Target(name, self.starts, rate)

    def inform(self, node: Node) -> None:
        """Lets a node read the store."""
        for name, (record, revision) in self.records.items():
            node.witness.on_record(self.now_ms, record, revision)
            if name == node.name and node.revision != revision:
                node.revision = revision
                if record.state == model.MemberState.ACTIVE:
                    node.lease.begin_term(revision, record.witnesses)
        node.witness.on_records_read(self.revision)
        node.holder.update_table(self.table)

    def reaches(self, one: str, other: str) -> bool:
        """Whether a message gets through."""
        if one in self.cut or other in self.cut:
            return False
        if frozenset((one, other)) in self.apart:
            return False
        return self.rng.random() > 0.05

    def delay_ms(self) -> float:
        """A message's time; now and then it is held up for seconds."""
        if self.rng.random() < 0.03:
            return self.rng.uniform(300, 6_000)
        return self.rng.uniform(0.5, 40)

    def tick(self, name: str) -> None:
        """A node's round; a frozen one has it when it wakes."""
        node = self.nodes[name]
        if node.frozen_until_ms > self.now_ms:
            self.at(node.frozen_until_ms - self.now_ms + 1, self.tick, name)
            return
        self.at(100, self.tick, name)
        if name not in self.cut | self.blind:
            self.use_store(node)
        for other in node.lease.witnesses_due(self.now_ms):
            if self.reaches(name, other):
                self.at(
                    self.delay_ms(),
                    self.renew,
                    name,
                    other,
                    node.lease.term,
                    self.now_ms,
                )
        self.seal_others(node)

    def renew(self, name: str, witness: str, term: int, sent_ms: float) -> None:
        """A renewal arrives at a witness."""
        judge = self.nodes[witness]
        if judge.frozen_until_ms > self.now_ms:
            delay_ms = judge.frozen_until_ms - self.now_ms
            self.at(delay_ms, self.renew, name, witness, term, sent_ms)
            return
        renewed = judge.witness.on_renew(self.now_ms, name, term)
        if renewed and self.reaches(name, witness):
            self.at(self.delay_ms(), self.renewed, name, witness, term, sent_ms)

    def renewed(
        self, name: str, witness: str, term: int, sent_ms: float
    ) -> None:
        """A renewal's answer arrives; it may be that of an earlier process."""
        self.nodes[name].lease.on_renewed(witness, term, sent_ms)

    def use_store(self, node: Node) -> None:
        """Registers again if need be, and gives keys away."""
        record, _ = self.records.get(node.name, (None, 0))
        if record is None or record.state == model.MemberState.SEALING:
            others = tuple(n for n in self.nodes if n != node.name)
            self.write_record(
                node.name, mesh.member(node.name, witnesses=others)
            )
        self.inform(node)
        self.give(node)

    def give(self, node: Node) -> None:
        """Moves keys that the target has let go."""
        holder = node.holder
        former = holder.former_incarnation_stripes()
        if former and holder.incarnation is not None:
            self.change({stripe: (holder.incarnation, "") for stripe in former})
            self.inform(node)
        moves = holder.released(self.now_ms)
        if moves:
            self.moves += len(moves)
            self.change(moves)
            self.inform(node)

    def change(self, moves: dict) -> None:
        """Writes the next version of the table."""
        self.table = table_module.with_moves(self.table, moves)
        self.revision += 1

    def seal_others(self, node: Node) -> None:
        """Takes over from nodes that are silent here."""
        if node.name in self.cut | self.blind:
            return
        for name in self.nodes:
            if name == node.name or name not in self.records:
                continue
            silent_ms = node.witness.silent_ms(self.now_ms, name)
            if silent_ms < lease_module.SUSPICION_TIMEOUT_MS:
                continue
            record, revision = self.records[name]
            if record.state != model.MemberState.SEALING:
                sealed = model.Member(
                    *(name, record.host, record.address, record.zone),
                    *(record.service, model.MemberState.SEALING),
                    record.witnesses,
                )
                self.write_record(name, sealed)
                revision = self.records[name][1]
            self.lead_sealing(node, name, revision)

    def lead_sealing(self, node: Node, name: str, revision: int) -> None:
        """Asks witnesses to seal, and moves the keys when that is over."""
        sealing = self.sealings.get(name)
        if sealing is None or sealing.revision != revision:
            witnesses = self.records[name][0].witnesses
            sealing = lease_module.Sealing(
                name, revision, witnesses, self.now_ms
            )
            self.sealings[name] = sealing
        for witness in sealing.missing():
            judge = self.nodes[witness]
            if judge.frozen_until_ms > self.now_ms:
                continue
            if witness == node.name or self.reaches(node.name, witness):
                left_ms = judge.witness.on_seal(self.now_ms, name, revision)
                if left_ms is not None:
                    sealing.on_sealed(self.now_ms, witness, left_ms)
        if sealing.is_complete(self.now_ms):
            self.take_keys(name)

    def take_keys(self, name: str) -> None:
        """Gives a sealed node's keys to other targets."""
        self.takeovers += 1
        weights = {
            target.incarnation: 1.0
            for target in self.targets.values()
            if target is not None and target.incarnation.node != name
        }
        wanted = rebalancing.rebalancing_moves(self.table, weights)
        moves = {
            stripe: (life, "")
            for stripe, life in wanted.items()
            if self.table.owners[self.table.stripes[stripe].owner].node == name
        }
        if moves:
            self.change(moves)
        del self.records[name]
        self.sealings.pop(name, None)

    def beat(self, name: str) -> None:
        """A target sends a heartbeat."""
        self.at(HEARTBEAT_MS * self.rng.uniform(0.8, 1.2), self.beat, name)
        target = self.targets[name]
        if target is None:
            return
        beat = target.heartbeat(self.now_ms, self.table)
        self.at(
            self.rng.uniform(0.1, 3),
            self.heard,
            target,
            beat,
            self.now_ms,
        )

    def heard(self, target: Target, beat: model.Heartbeat, sent: float) -> None:
        """A heartbeat arrives; a frozen node answers when it wakes."""
        node = self.nodes[target.incarnation.node]
        if node.frozen_until_ms > self.now_ms:
            self.at(
                node.frozen_until_ms - self.now_ms,
                self.heard,
                target,
                beat,
                sent,
            )
            return
        if not node.holder.on_heartbeat(self.now_ms, beat):
            return
        reply = node.holder.reply(
            self.now_ms, self.now_ms, node.lease.ends_ms()
        )
        self.at(self.rng.uniform(0.1, 3), self.obey, target, reply, sent)

    def obey(
        self, target: Target, reply: model.HeartbeatReply, sent_ms: float
    ) -> None:
        """A target takes a reply, if it came within a second."""
        if self.now_ms - sent_ms > 1_000 or reply.granted_ranges is None:
            return
        if self.rng.random() < 0.08:
            # The reply was lost on its way.
            return
        target.apply_reply(self.now_ms, reply, sent_ms, self.table)

    def inject_fault(self) -> None:
        """Brings about one fault, or a planned move."""
        name = self.rng.choice(sorted(self.nodes))
        kind = self.rng.choice(
            (
                *("freeze", "restart", "cut", "heal", "crash", "start"),
                *("move", "move", "part", "blind"),
            )
        )
        node = self.nodes[name]
        if kind == "freeze":
            node.frozen_until_ms = self.now_ms + self.rng.uniform(200, 9_000)
        elif kind == "restart":
            self.nodes[name] = Node(self, name)
            # Before its lease is live, its replies renew nothing.
            for _ in range(4):
                self.at(self.rng.uniform(50, 1_500), self.move, name)
        elif kind == "cut" and not self.cut:
            self.cut.add(name)
        elif kind == "heal":
            # The way to the store may come back later than that to peers.
            self.blind = set(self.cut) if self.rng.random() < 0.5 else set()
            self.cut.clear()
            self.apart.clear()
        elif kind == "part":
            others = [other for other in self.nodes if other != name]
            for other in self.rng.sample(others, len(others) - 1):
                self.apart.add(frozenset((name, other)))
        elif kind == "blind":
            self.blind.add(name)
        elif kind == "crash" and self.targets[name] is not None:
            self.targets[name] = None
            node.holder.on_target_ended()
        elif kind == "start" and self.targets[name] is None:
            self.start_target(name)
        elif kind == "move":
            self.move(name)

    def move(self, name: str) -> None:
        """Begins to give one of a node's keys to another target."""
        holder = self.nodes[name].holder
        others = [t for t in self.targets.values() if t is not None]
        if others and holder.own_stripes():
            stripe = self.rng.choice(holder.own_stripes())
            life = self.rng.choice(others).incarnation
            if life != holder.incarnation:
                holder.begin_release({stripe: life})
