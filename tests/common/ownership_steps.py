"""Steps of a schedule: what a fuzz test or a random search lets happen."""

import numpy as np

from auburnrock import records
from tests.common import ownership

PROCESSES_MAX = 9
FAULTS = list(ownership.Fault)


class Steps:
    """Lets failures happen to a world; processes are named by number."""

    def __init__(self, seed, rates=(), **world):
        self.rng = np.random.default_rng(seed)
        self.is_calm = True
        self.words = 0
        self.world = ownership.World(rates=rates, delay=self.delay, **world)
        self.world.settle()
        self.is_calm = False

    def delay(self):
        if self.is_calm:
            return ownership.NETWORK_MS
        kind = self.rng.random()
        if kind < 0.03:
            return None
        return self.rng.uniform(0.2, 5 if kind < 0.95 else 700)

    def process(self, number):
        alive = [p for p in self.world.processes if p.alive]
        return alive[number % len(alive)]

    def owner(self):
        """The owner by the store's page; any process if it is dead."""
        page = records.decode_page(self.world.store.values[ownership.PAGE].data)
        owner = page.entries[0].owner
        alive = [p for p in self.world.processes if p.alive]
        return next((p for p in alive if p.incarnation == owner), alive[0])

    def victim(self, number):
        """The owner, for 0, or one of its witnesses, or any process."""
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
        self.world.after(
            span_ms, lambda: self.world.resume(process, tick_first)
        )

    def cut(self, one, other):
        self.world.cut(self.victim(one).address, [self.victim(other).address])

    def cut_store(self, one):
        self.world.cut(self.victim(one).address, [ownership.STORE])

    def isolate(self, one, other):
        """Leaves a process a single peer."""
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
        """A rare state at once: a change of witnesses without an answer.

        The owner misses one witness for a while; the write that replaces it
        meets a fault, and then the owner's store calls fail.
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
        """Everything works again: the shard must be served again.

        An operator confirms the ends of dead processes if that is needed,
        as after the loss of two witnesses whose hosts were replaced.
        """
        self.is_calm = True
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
        assert self.is_served(), "the shard is not served again"

    def is_served(self):
        return any(p.alive and p.serves() for p in self.world.processes)

    def confirm_ends(self):
        self.words += 1
        dead = [p.incarnation for p in self.world.processes if not p.alive]
        for process in self.world.processes:
            if not process.alive:
                process.granted_until = 0.0
        for process in self.world.processes:
            for incarnation in dead:
                if process.alive and not self.world.has_ended(incarnation):
                    asked = process.participant.on_node_ended(
                        process.now_ms(), incarnation
                    )
                    process.perform(asked)


def search(seed, steps=14, **world):
    """One random schedule; raises TwoOwnersError if the oracle objects."""
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
