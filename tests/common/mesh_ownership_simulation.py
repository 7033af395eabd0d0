"""Simulation, in virtual time, to search schedules that give a key two holders.

Each node has a lease, a witness and the grants of its target; targets have
clocks of their own; there is one store. Messages are delayed or lost, nodes
freeze, restart and are partitioned, targets crash and start again. The engine's
rules are under test; this module delivers their messages and is the oracle.
"""

from collections.abc import Iterable
import heapq
import math
import random

import msgspec

from auburnrock.engine.mesh import key_table as table_module
from auburnrock.engine.mesh import lease as lease_module
from auburnrock.engine.mesh import membership
from auburnrock.engine.mesh import model
from auburnrock.engine.mesh import rebalancing
from auburnrock.engine.mesh import store_confirmation
from auburnrock.engine.mesh import target_grants as holder_module
from tests.common import mesh

HEARTBEAT_MS = 900.0
HOLD_MS = 2 * HEARTBEAT_MS + 1_800.0
TERM_MS = HOLD_MS * holder_module.CLOCK_DRIFT_FACTOR + 900.0
STRIPES = 6
GOSSIP_DELAY_MAX_MS = 900.0
SUSPECT_AFTER_MS = 2_200.0
REPLACEMENT_DELAY_MS = 3_000.0


FAULT_KINDS = (
    *("freeze", "restart", "cut", "heal", "crash", "start", "move", "move"),
    *("part", "blind", "lose", "return", "store_down", "store_up", "split"),
    "foreign",
)


class Target:
    """A target and its holds, timed by a clock that may be slow."""

    def __init__(self, member: str, started_ms: int, rate: float):
        self.incarnation = mesh.incarnation(member, started_ms)
        self.rate = rate
        self.sequence = 0
        self.holds: dict[int, tuple[int, float]] = {}
        self.freed: list[model.FreedRange] = []

    def held(self, now_ms: float) -> dict[int, tuple[int, float]]:
        """Returns fencing token and end of the holds, by stripe."""
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
        """Returns the next heartbeat, with the key ranges of a table."""
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
        """Applies the reply to the heartbeat sent at `sent_ms`."""
        self.freed.clear()
        until_ms = sent_ms + reply.hold_ms * self.rate
        granted = {
            stripe: row.fence
            for row in reply.granted_ranges
            for stripe in range(
                table.stripe_of(row.first), table.stripe_of(row.last) + 1
            )
        }
        for stripe in sorted(set(self.held(now_ms)) - set(granted)):
            first, last = table.span(stripe)
            self.freed.append(model.FreedRange(first, last, "h"))
            del self.holds[stripe]
        for stripe, fence in granted.items():
            self.holds[stripe] = (fence, until_ms)


def doubly_held_stripes(now_ms: float, targets: Iterable[Target]) -> list[str]:
    """Describes the stripes that two of the targets hold now."""
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
    """The parts of a node; a restart creates new ones."""

    def __init__(self, world: "OwnershipSimulation", name: str):
        self.name = name
        self.frozen_until_ms = 0.0
        self.revision = 0
        self.lease = lease_module.Lease(name, TERM_MS)
        self.witness = lease_module.Witness(TERM_MS, world.now_ms)
        self.holder = holder_module.TargetGrants(name, HOLD_MS, world.now_ms)
        self.confirmation = store_confirmation.StoreConfirmation()
        self.started_ms = world.now_ms
        # When another node was last heard of, and whether it read the store.
        self.heard: dict[str, tuple[float, bool]] = {}
        self.reads_store = True
        self.answered_ms = 0.0
        self.unfit_since_ms = math.inf
        self.sealed_alone_ms: dict[str, float] = {}

    def grants_until_ms(self) -> float:
        """Returns until when keys may be granted."""
        return min(self.lease.ends_ms(), self.confirmation.ends_ms())

    def silent_ms(self, now_ms: float, name: str) -> float:
        """Returns for how long another node has not been heard of."""
        heard_ms, _ = self.heard.get(name, (self.started_ms, False))
        return now_ms - heard_ms

    def entries(self, now_ms: float) -> dict[str, membership.Entry]:
        """Returns the directory's entries of the nodes that were heard of."""
        return {
            name: membership.Entry(
                name,
                suspected=now_ms - heard_ms > SUSPECT_AFTER_MS,
                reads_store=reads_store,
            )
            for name, (heard_ms, reads_store) in self.heard.items()
        }


class OwnershipSimulation:
    """Nodes, targets, store and the oracle.

    Attributes:
      violations: descriptions of moments at which two targets held a stripe.
      takeovers: number of takeovers of a node's keys.
      sealed_alone: number of seals without witnesses.
      moves: number of stripes that their holder moved to another target.
    """

    def __init__(self, seed: int, names: str = "abcd"):
        self.rng = random.Random(seed)
        self.now_ms = 10_000.0
        self.events: list[tuple[float, int, object]] = []
        self.event_count = 0
        self.revision = 1
        self.records: dict[str, tuple[model.Member, int]] = {}
        self.violations: list[str] = []
        self.takeovers = 0
        self.sealed_alone = 0
        self.moves = 0
        self.cut: set[str] = set()
        self.apart: set[frozenset[str]] = set()
        self.blind: set[str] = set()
        self.sealings: dict[tuple, lease_module.Sealing] = {}
        self.lost: set[str] = set()
        self.store_is_down = False
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
            self.write_record(name, self.record_of(name, others))
        for name in names:
            self.read_store(self.nodes[name])
            self.at(self.rng.uniform(0, 300), self.tick, name)
            self.at(self.rng.uniform(0, 900), self.send_heartbeat, name)

    def at(self, delay_ms: float, act, *values) -> None:
        """Schedules a call."""
        self.event_count += 1
        entry = (self.now_ms + delay_ms, self.event_count, (act, values))
        heapq.heappush(self.events, entry)

    def run(self, for_ms: float) -> None:
        """Advances the virtual time."""
        end_ms = self.now_ms + for_ms
        while self.events and self.events[0][0] <= end_ms:
            self.now_ms, _, (act, values) = heapq.heappop(self.events)
            act(*values)
            self.check_violations()
        self.now_ms = end_ms

    def check_violations(self) -> None:
        """Records stripes that two running targets hold."""
        present = filter(None, self.targets.values())
        self.violations += doubly_held_stripes(self.now_ms, present)

    def write_record(self, name: str, record: model.Member) -> None:
        """Writes a node's record."""
        self.revision += 1
        self.records[name] = (record, self.revision)

    def record_of(self, name: str, witnesses: tuple) -> model.Member:
        """Returns the record of a node of the first start."""
        return msgspec.structs.replace(
            mesh.member(name, witnesses=witnesses),
            confirms=True,
            has_joined=True,
        )

    def reaches_store(self, name: str) -> bool:
        """Whether the store answers a node."""
        return not self.store_is_down and name not in self.cut | self.blind

    def start_target(self, name: str) -> None:
        """Starts a target beside a node whose previous target has ended."""
        self.starts += 1
        rate = self.rng.choice((1.0, 1.02))
        self.targets[name] = Target(name, self.starts, rate)

    def read_store(self, node: Node) -> None:
        """Applies the records and the table in the store to a node."""
        for name, (record, revision) in self.records.items():
            node.witness.on_record(self.now_ms, record, revision)
            if name == node.name and node.revision != revision:
                node.revision = revision
                node.confirmation.on_record_lost()
                if record.state == model.MemberState.ACTIVE:
                    node.lease.begin_term(revision, record.witnesses)
        node.witness.on_records_read(self.revision)
        node.holder.update_table(self.table)

    def reaches(self, one: str, other: str) -> bool:
        """Whether a message between two nodes is delivered."""
        if one in self.cut or other in self.cut:
            return False
        if frozenset((one, other)) in self.apart:
            return False
        return self.rng.random() > 0.05

    def delay_ms(self) -> float:
        """Returns the delay of a message: in rare cases, seconds."""
        if self.rng.random() < 0.03:
            return self.rng.uniform(300, 6_000)
        return self.rng.uniform(0.5, 40)

    def tick(self, name: str) -> None:
        """Runs the periodic work of a node, or when it is no longer frozen."""
        node = self.nodes[name]
        if node.frozen_until_ms > self.now_ms:
            self.at(node.frozen_until_ms - self.now_ms + 1, self.tick, name)
            return
        self.at(100, self.tick, name)
        if name in self.lost:
            return
        node.reads_store = self.reaches_store(name)
        if node.reads_store:
            node.answered_ms = self.now_ms
            self.use_store(node)
        elif store_confirmation.is_shared_outage(
            name, self.records, node.entries(self.now_ms)
        ):
            node.confirmation.on_shared_outage(self.now_ms)
        self.gossip(node)
        for other in node.lease.witnesses_due(self.now_ms, node.answered_ms):
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

    def gossip(self, node: Node) -> None:
        """Tells the other nodes that this one runs and reads the store."""
        for other in self.nodes:
            if other != node.name and self.reaches(node.name, other):
                self.at(
                    self.rng.uniform(0.5, GOSSIP_DELAY_MAX_MS),
                    self.hear,
                    other,
                    node.name,
                    self.now_ms,
                    node.reads_store,
                )

    def hear(
        self, name: str, other: str, sent_ms: float, reads_store: bool
    ) -> None:
        """Delivers what a node tells of itself, in the order of sending."""
        node = self.nodes[name]
        if node.frozen_until_ms > self.now_ms:
            return
        heard_ms, _ = node.heard.get(other, (0.0, False))
        if sent_ms >= heard_ms:
            node.heard[other] = (sent_ms, reads_store)

    def confirm(self, node: Node) -> None:
        """Reads a node's own record; the answer may be late."""
        node.confirmation.on_unanswered(
            self.now_ms, store_confirmation.CHECK_INTERVAL_MS
        )
        record, revision = self.records[node.name]
        if record.state == model.MemberState.ACTIVE:
            self.at(
                self.delay_ms(), self.confirmed, node, revision, self.now_ms
            )

    def confirmed(self, node: Node, revision: int, sent_ms: float) -> None:
        """Delivers the answer to the process that asked."""
        if node.revision == revision:
            node.confirmation.on_confirmed(sent_ms)

    def renew(self, name: str, witness: str, term: int, sent_ms: float) -> None:
        """Delivers a renewal to a witness, once it is not frozen."""
        witness_node = self.nodes[witness]
        if witness in self.lost:
            return
        if witness_node.frozen_until_ms > self.now_ms:
            delay_ms = witness_node.frozen_until_ms - self.now_ms
            self.at(delay_ms, self.renew, name, witness, term, sent_ms)
            return
        renewed = witness_node.witness.on_renew(self.now_ms, name, term)
        if renewed and self.reaches(name, witness):
            self.at(self.delay_ms(), self.renewed, name, witness, term, sent_ms)

    def renewed(
        self, name: str, witness: str, term: int, sent_ms: float
    ) -> None:
        """Delivers a renewal's response, possibly to a later process."""
        self.nodes[name].lease.on_renewed(witness, term, sent_ms)

    def use_store(self, node: Node) -> None:
        """Registers a node again if necessary, and writes its moves."""
        record, _ = self.records.get(node.name, (None, 0))
        if record is None or record.state == model.MemberState.SEALING:
            # Only these witnesses have renewed the earlier term.
            witnesses = record.witnesses if record is not None else ()
            self.write_record(node.name, self.record_of(node.name, witnesses))
        self.read_store(node)
        if self.now_ms >= node.confirmation.due_ms:
            self.confirm(node)
        self.change_witnesses(node)
        self.write_moves(node)

    def alive(self, node: Node) -> set[str]:
        """Returns the other nodes that a node has heard of lately."""
        return {
            name
            for name in self.nodes
            if name != node.name
            and node.silent_ms(self.now_ms, name) < SUSPECT_AFTER_MS
        }

    def change_witnesses(self, node: Node) -> None:
        """Replaces a node's witnesses if most of them are not alive."""
        record, _ = self.records[node.name]
        alive = self.alive(node)
        present = alive.intersection(record.witnesses)
        is_fit = len(present) >= lease_module.majority(len(record.witnesses))
        if is_fit:
            node.unfit_since_ms = math.inf
            return
        node.unfit_since_ms = min(node.unfit_since_ms, self.now_ms)
        waits = self.now_ms - node.unfit_since_ms < REPLACEMENT_DELAY_MS
        if waits and record.witnesses:
            return
        witnesses = tuple(sorted(alive))
        if witnesses == record.witnesses:
            return
        if witnesses and node.lease.proposed != witnesses:
            node.lease.propose(witnesses)
        if witnesses and not node.lease.proposal_ready():
            return
        changed = msgspec.structs.replace(record, witnesses=witnesses)
        self.write_record(node.name, changed)
        node.revision = self.revision
        node.lease.complete_change(self.revision, witnesses)

    def write_moves(self, node: Node) -> None:
        """Writes the moves of stripes that the target has released."""
        holder = node.holder
        former = holder.former_incarnation_stripes()
        is_free = self.now_ms >= holder.former_until_ms
        if former and is_free and holder.incarnation is not None:
            self.write_table(
                {stripe: (holder.incarnation, "") for stripe in former}
            )
            self.read_store(node)
        moves = holder.released(self.now_ms)
        if moves:
            self.moves += len(moves)
            self.write_table(moves)
            self.read_store(node)

    def write_table(self, moves: dict) -> None:
        """Writes the next version of the table, with the given moves."""
        self.table = table_module.with_moves(self.table, moves)
        self.revision += 1

    def seal_others(self, node: Node) -> None:
        """Seals the nodes that this node considers silent."""
        if not self.reaches_store(node.name):
            return
        for name in self.nodes:
            if name == node.name or name not in self.records:
                continue
            silent_ms = node.witness.silent_ms(self.now_ms, name)
            if silent_ms < lease_module.SUSPICION_TIMEOUT_MS:
                continue
            if self.is_left_to_witnesses(node, name):
                continue
            record, revision = self.records[name]
            if record.state != model.MemberState.SEALING:
                sealed = msgspec.structs.replace(
                    record, state=model.MemberState.SEALING
                )
                self.write_record(name, sealed)
                revision = self.records[name][1]
            self.lead_sealing(node, name, revision)

    def is_left_to_witnesses(self, node: Node, name: str) -> bool:
        """Whether a node seals nothing, as it does not reach the witnesses."""
        record, _ = self.records[name]
        alive = self.alive(node)
        present = sum(
            other in alive or other == node.name for other in record.witnesses
        )
        if present >= lease_module.majority(len(record.witnesses)):
            return False
        own, _ = self.records.get(node.name, (None, 0))
        if own is None or not store_confirmation.may_seal_alone(
            own, record, alive
        ):
            return True
        silent_ms = node.silent_ms(self.now_ms, name)
        if silent_ms < store_confirmation.SEAL_ALONE_AFTER_MS:
            return True
        if record.state == model.MemberState.SEALING:
            return False
        last_ms = node.sealed_alone_ms.get(name, -math.inf)
        if self.now_ms - last_ms < store_confirmation.RETRY_INTERVAL_MS:
            return True
        node.sealed_alone_ms[name] = self.now_ms
        self.sealed_alone += 1
        return False

    def lead_sealing(self, node: Node, name: str, revision: int) -> None:
        """Requests seals of witnesses; reassigns the keys once complete."""
        # Each process counts the wait from its own knowledge of the seal.
        place = (node, name)
        sealing = self.sealings.get(place)
        if sealing is None or sealing.revision != revision:
            witnesses = self.records[name][0].witnesses
            sealing = lease_module.Sealing(
                name,
                revision,
                witnesses,
                self.now_ms,
                self.now_ms + store_confirmation.seal_wait_ms(),
            )
            self.sealings[place] = sealing
        for witness in sealing.missing():
            witness_node = self.nodes[witness]
            if witness in self.lost:
                continue
            if witness_node.frozen_until_ms > self.now_ms:
                continue
            if witness == node.name or self.reaches(node.name, witness):
                left_ms = witness_node.witness.on_seal(
                    self.now_ms, name, revision
                )
                if left_ms is not None:
                    sealing.on_sealed(self.now_ms, witness, left_ms)
        if sealing.is_complete(self.now_ms):
            self.reassign_keys(name)

    def reassign_keys(self, name: str) -> None:
        """Moves a sealed node's keys to other targets."""
        self.takeovers += 1
        weights = {
            target.incarnation: 1.0
            for target in self.targets.values()
            if target is not None
            and target.incarnation.node != name
            and target.incarnation.node not in self.lost
        }
        proposed = rebalancing.rebalancing_moves(self.table, weights)
        moves = {
            stripe: (incarnation, "")
            for stripe, incarnation in proposed.items()
            if self.table.owners[self.table.stripes[stripe].owner].node == name
        }
        if moves:
            self.write_table(moves)
        del self.records[name]

    def send_heartbeat(self, name: str) -> None:
        """Sends a heartbeat of a target."""
        self.at(
            HEARTBEAT_MS * self.rng.uniform(0.8, 1.2), self.send_heartbeat, name
        )
        target = self.targets[name]
        if target is None:
            return
        beat = target.heartbeat(self.now_ms, self.table)
        self.at(
            self.rng.uniform(0.1, 3),
            self.deliver_heartbeat,
            target,
            beat,
            self.now_ms,
        )

    def deliver_heartbeat(
        self, target: Target, beat: model.Heartbeat, sent: float
    ) -> None:
        """Delivers a heartbeat to a node, once it is not frozen."""
        node = self.nodes[target.incarnation.node]
        if node.frozen_until_ms > self.now_ms:
            self.at(
                node.frozen_until_ms - self.now_ms,
                self.deliver_heartbeat,
                target,
                beat,
                sent,
            )
            return
        if target.incarnation.node in self.lost:
            return
        if not node.holder.on_heartbeat(self.now_ms, beat):
            return
        reply = node.holder.reply(
            self.now_ms, self.now_ms, node.grants_until_ms()
        )
        self.at(
            self.rng.uniform(0.1, 3), self.deliver_reply, target, reply, sent
        )

    def deliver_reply(
        self, target: Target, reply: model.HeartbeatReply, sent_ms: float
    ) -> None:
        """Delivers a reply to its target, unless it took over a second."""
        if self.now_ms - sent_ms > 1_000 or reply.granted_ranges is None:
            return
        if self.rng.random() < 0.08:
            # The reply is lost.
            return
        target.apply_reply(self.now_ms, reply, sent_ms, self.table)

    def inject_fault(self, kinds: tuple[str, ...] = FAULT_KINDS) -> None:
        """Injects one fault, or begins a planned move."""
        name = self.rng.choice(sorted(self.nodes))
        kind = self.rng.choice(kinds)
        node = self.nodes[name]
        if kind == "freeze":
            node.frozen_until_ms = self.now_ms + self.rng.uniform(200, 9_000)
        elif kind == "restart":
            self.nodes[name] = Node(self, name)
            # Before its lease is live, its replies renew nothing.
            for _ in range(4):
                self.at(self.rng.uniform(50, 1_500), self.begin_move, name)
        elif kind == "cut" and not self.cut:
            self.cut.add(name)
        elif kind == "heal":
            # The store may be reachable later than the peers.
            self.blind = set(self.cut) if self.rng.random() < 0.5 else set()
            self.cut.clear()
            self.apart.clear()
        elif kind == "part":
            others = [other for other in self.nodes if other != name]
            for other in self.rng.sample(others, len(others) - 1):
                self.apart.add(frozenset((name, other)))
        elif kind == "blind":
            self.blind.add(name)
        elif kind == "lose":
            self.lose(name)
        elif kind == "return" and self.lost:
            self.start_again(min(self.lost))
        elif kind == "foreign":
            self.starts += 1
            foreign = mesh.heartbeat(name, 1, started_ms=self.starts)
            node.holder.on_heartbeat(self.now_ms, foreign)
        elif kind == "store_down":
            self.store_is_down = True
        elif kind == "store_up":
            self.store_is_down = False
        elif kind == "split":
            self.split(name)
        elif kind == "crash" and self.targets[name] is not None:
            self.targets[name] = None
            node.holder.on_target_ended()
        elif kind == "start" and self.targets[name] is None:
            self.start_target(name)
        elif kind == "move":
            self.begin_move(name)

    def split(self, name: str) -> None:
        """Cuts all other nodes off from one node and from the store."""
        others = {other for other in self.nodes if other != name}
        self.blind |= others
        self.apart |= {frozenset((name, other)) for other in others}

    def lose(self, name: str) -> None:
        """Ends a machine: its target, and its node until it returns."""
        self.lost.add(name)
        self.targets[name] = None

    def start_again(self, name: str) -> None:
        """Starts a lost machine again, with an empty memory."""
        self.lost.discard(name)
        self.nodes[name] = Node(self, name)
        self.start_target(name)

    def begin_move(self, name: str) -> None:
        """Begins to move one of a node's stripes to another target."""
        holder = self.nodes[name].holder
        others = [t for t in self.targets.values() if t is not None]
        if others and holder.own_stripes():
            stripe = self.rng.choice(holder.own_stripes())
            incarnation = self.rng.choice(others).incarnation
            if incarnation != holder.incarnation:
                holder.begin_release({stripe: incarnation})
