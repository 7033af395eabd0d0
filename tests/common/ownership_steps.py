"""Failures and operations that fuzz tests and random searches execute."""

import numpy as np

from auburnrock import records
from tests.common import ownership

PROCESSES_MAX = 9
FAULTS = list(ownership.Fault)


class Steps:
    """Injects failures into a world; processes are identified by number.

    Attributes:
      is_fault_free: whether the network delivers each datagram at once.
      confirmations: how often an operator confirmed the ends of processes.
    """

    def __init__(self, seed, rates=(), **world):
        self.rng = np.random.default_rng(seed)
        self.is_fault_free = True
        self.confirmations = 0
        self.world = ownership.World(rates=rates, delay=self.delay, **world)
        self.world.settle()
        self.is_fault_free = False

    def delay(self):
        if self.is_fault_free:
            return ownership.NETWORK_MS
        kind = self.rng.random()
        if kind < 0.03:
            return None
        return self.rng.uniform(0.2, 5 if kind < 0.95 else 700)

    def process(self, number):
        alive = [p for p in self.world.processes if p.alive]
        return alive[number % len(alive)]

    def owner(self):
        """The owner in the store's page; any live process if it is dead."""
        page = records.decode_page(self.world.store.values[ownership.PAGE].data)
        owner = page.entries[0].owner
        alive = [p for p in self.world.processes if p.alive]
        return next((p for p in alive if p.incarnation == owner), alive[0])

    def victim(self, number):
        """The owner for 0, then each of its witnesses, then any process."""
        owner = self.owner()
        witnesses = self.world.witnesses_of(owner)[0]
        targets = [owner, *witnesses]
        if number < len(targets):
            return targets[number]
        return self.process(number)

    def run(self, span_ms):
        self.world.run(span_ms)

    def pause(self, one, span_ms, tick_first):
        process = self.victim(one)
        if process.paused or not process.alive:
            return
        self.world.pause(process)
        self.world.schedule(
            span_ms, lambda: self.world.resume(process, tick_first)
        )

    def cut(self, one, other):
        self.world.cut(self.victim(one).address, [self.victim(other).address])

    def cut_store(self, one):
        self.world.cut(self.victim(one).address, [ownership.STORE])

    def isolate(self, one, other):
        """Cuts a process off from all but one peer."""
        self.world.isolate(self.victim(one), self.victim(other))

    def heal(self):
        self.world.heal()

    def restart(self, one):
        process = self.victim(one)
        if process.alive:
            self.world.restart(process)

    def replace(self, one):
        process = self.victim(one)
        if len(self.world.processes) < PROCESSES_MAX and process.alive:
            self.world.replace(process)

    def fault(self, one, faults):
        self.victim(one).faults.extend(faults)

    def move(self, one):
        self.owner().release_to(self.process(one).incarnation)

    def set_store(self, is_down):
        self.world.store_is_down = is_down

    def lose_a_change(self, late):
        """Produces a rare state: a change of witnesses without an answer.

        The owner is cut off from one witness for a while, the write that
        replaces that witness has a fault, and then the owner's store calls
        fail.
        """
        owner = self.owner()
        witnesses = self.world.witnesses_of(owner)[0]
        if len(witnesses) < 3 or not owner.alive or owner.paused:
            return
        lost = witnesses[int(self.rng.integers(3))]
        self.world.cut(owner.address, [lost.address])
        fault = ownership.Fault.LATE if late else ownership.Fault.ANSWER_LOST
        owner.faults.append(fault)
        for _ in range(40):
            if owner.participant.holder.state == "changing":
                break
            self.world.run(50)
        self.world.heal()
        if late:
            self.world.run(ownership.CALL_TIMEOUT_MS + 6)
        self.world.cut(owner.address, [ownership.STORE])

    def finish(self):
        """Ends all failures and checks that the shard is served again.

        An operator confirms the ends of dead processes if that is needed,
        as after the loss of two witnesses whose hosts were replaced.
        """
        self.is_fault_free = True
        self.world.store_is_down = False
        self.world.heal()
        for process in self.world.processes:
            process.faults.clear()
            if process.paused:
                self.world.resume(process)
        self.world.run(8_000)
        if not self.is_served():
            self.confirm_ends()
            self.world.run(8_000)
        assert self.is_served(), (
            "the shard is not served after all failures ended"
        )

    def is_served(self):
        return any(p.alive and p.serves() for p in self.world.processes)

    def confirm_ends(self):
        self.confirmations += 1
        dead = [p.incarnation for p in self.world.processes if not p.alive]
        for process in self.world.processes:
            if not process.alive:
                process.granted_until_ms = 0.0
        for process in self.world.processes:
            for incarnation in dead:
                if process.alive and not self.world.has_ended(incarnation):
                    issued = process.participant.on_node_ended(
                        process.now_ms(), incarnation
                    )
                    process.perform(issued)


def search(seed, steps=14, **world):
    """Runs a random schedule; raises TwoOwnersError if the oracle fails."""
    rng = np.random.default_rng(seed)
    rates = rng.choice([0.99, 1.0, 1.01], 5)
    run = Steps(seed, list(rates), **world)

    def number(high=7):
        return int(rng.integers(high))

    def faults():
        return [FAULTS[number(len(FAULTS))] for _ in range(1 + number(2))]

    kinds = [
        lambda: run.pause(number(), rng.uniform(50, 4_000), number(2) == 1),
        lambda: run.cut(number(), number()),
        lambda: run.cut_store(number(4)),
        lambda: run.isolate(number(), number()),
        run.heal,
        lambda: run.restart(number()),
        lambda: run.replace(number()),
        lambda: run.fault(number(), faults()),
        lambda: run.move(number()),
        lambda: run.set_store(number(3) == 0),
        lambda: run.lose_a_change(number(2) == 1),
    ]
    for _ in range(steps):
        kinds[number(len(kinds))]()
        run.run(rng.choice([5, 100, 400, 900]))
    run.finish()
    return run
