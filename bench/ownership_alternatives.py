"""Compares designs of ownership in virtual time; see docs/design/ownership.md.

Each design is asked for how long one key is not served when its node is lost
(alone, or with the leader or first sealer), when the store is out for a
minute, and when the leader is cut from the store.
The chosen design runs the engine itself; the others are models of the least
that they must wait for. Times of the same kind are the same for all.

Run: ./task bench ownership_alternatives
"""

import abc
import statistics

import msgspec

from tests.common import ownership

TERM_MS = 1_000
RENEWAL_MS = 300
DRIFT_SHARE = 0.02
STORE_MS = 4
HOP_MS = 2
STEP_MS = 5
OUTAGE_MS = 60_000
STARTS = 40
NEVER_MS = 10**9


class Unavailable(msgspec.Struct):
    """Milliseconds for which the key was not served, one for each run."""

    node_lost: list[float] = []
    store_out: list[float] = []
    leader_cut: list[float] = []
    both_lost: list[float] = []


class Design(abc.ABC):
    """One way to own keys.

    Attributes:
      name: what it is.
      writes_per_second: writes at the store with 1,200 nodes and no failure.
    """

    name = ""
    writes_per_second = 0.0

    @abc.abstractmethod
    def node_lost(self, phase_ms: int) -> float:
        """The key's node dies so long after a renewal."""

    @abc.abstractmethod
    def store_out(self, phase_ms: int) -> float:
        """The store does not answer for OUTAGE_MS."""

    @abc.abstractmethod
    def leader_cut(self, phase_ms: int) -> float:
        """Only the leader cannot reach the store, for OUTAGE_MS."""

    @abc.abstractmethod
    def both_lost(self, phase_ms: int) -> float:
        """The key's node and the leader, or first sealer, die at once."""


def holder_end_ms(sent_ms: float, term_ms: int = TERM_MS) -> float:
    """When a lease ends that was renewed by a message sent then."""
    return sent_ms + term_ms * (1 - DRIFT_SHARE)


class StoreLease(Design):
    """Each node renews a lease in the store; who sees it end takes the key."""

    def __init__(self, term_ms: int, renewal_ms: int):
        self.term_ms = term_ms
        self.renewal_ms = renewal_ms
        self.name = f"lease of {term_ms} ms per node in the store"
        self.writes_per_second = 1_200 * 1_000 / renewal_ms

    def node_lost(self, phase_ms):
        renewed_ms = -(phase_ms % self.renewal_ms)
        ended_ms = renewed_ms + STORE_MS / 2 + self.term_ms
        return ended_ms + HOP_MS + STORE_MS

    def store_out(self, phase_ms):
        renewed_ms = -(phase_ms % self.renewal_ms)
        # Renewed at once when the store is back, unless a lease outlasts it.
        return max(
            0, OUTAGE_MS + STORE_MS - holder_end_ms(renewed_ms, self.term_ms)
        )

    def leader_cut(self, phase_ms):
        return 0  # It has no leader.

    def both_lost(self, phase_ms):
        return self.node_lost(phase_ms)


class LeaderLease(Design):
    """A leader with a lease in the store hands out leases to the nodes."""

    name = "leader with a store lease, leases from the leader"
    writes_per_second = 1_000 / RENEWAL_MS

    def node_lost(self, phase_ms):
        renewed_ms = -(phase_ms % RENEWAL_MS)
        return renewed_ms + HOP_MS / 2 + TERM_MS + STORE_MS + HOP_MS

    def store_out(self, phase_ms):
        # Cut from the store, it cannot know whether another leads: it stops.
        stopped_ms = holder_end_ms(-(phase_ms % RENEWAL_MS))
        node_end_ms = self._last_lease_ms(stopped_ms, phase_ms)
        return OUTAGE_MS + STORE_MS + HOP_MS - node_end_ms

    def leader_cut(self, phase_ms):
        led_ms = -(phase_ms % RENEWAL_MS)
        stopped_ms = holder_end_ms(led_ms)
        node_end_ms = self._last_lease_ms(stopped_ms, phase_ms)
        elected_ms = led_ms + STORE_MS / 2 + TERM_MS + STORE_MS
        # The next leader knows none of the leases that were handed out: it
        # renews those that nodes report, once it leads.
        return max(0, elected_ms + RENEWAL_MS / 2 + HOP_MS - node_end_ms)

    def both_lost(self, phase_ms):
        led_ms = -(phase_ms % RENEWAL_MS)
        elected_ms = led_ms + STORE_MS / 2 + TERM_MS + STORE_MS
        # The next leader does not know when the node was renewed last, only
        # that it was before the old leader's lease ended.
        return elected_ms + TERM_MS + STORE_MS + HOP_MS

    def _last_lease_ms(self, stopped_ms: float, phase_ms: int) -> float:
        sent_ms = phase_ms % RENEWAL_MS
        while sent_ms + RENEWAL_MS < stopped_ms:
            sent_ms += RENEWAL_MS
        return holder_end_ms(sent_ms)


class UntilReleased(Design):
    """A key stays with its node until the node gives it back."""

    name = "no lease: owned until released"

    def node_lost(self, phase_ms):
        return NEVER_MS

    def both_lost(self, phase_ms):
        return NEVER_MS

    def store_out(self, phase_ms):
        return 0

    def leader_cut(self, phase_ms):
        return 0


class Witnessed(Design):
    """The engine of this repository among a few members."""

    name = "lease renewed by witnesses (chosen)"

    def node_lost(self, phase_ms):
        world, owner = self._world(phase_ms)
        lost_ms = world.time
        world.kill(owner)
        world.run(5_000)
        return world.unavailable_ms(lost_ms) or NEVER_MS

    def store_out(self, phase_ms):
        world, _ = self._world(phase_ms)
        world.store_is_down = True
        return self._unserved_ms(world)

    def leader_cut(self, phase_ms):
        world, owner = self._world(phase_ms)
        first = world.witnesses_of(owner)[0][0]
        world.cut(first.address, [ownership.STORE])
        return self._unserved_ms(world)

    def both_lost(self, phase_ms):
        world, owner = self._world(phase_ms)
        lost_ms = world.time
        world.kill(world.witnesses_of(owner)[0][0])
        world.kill(owner)
        world.run(5_000)
        return world.unavailable_ms(lost_ms) or NEVER_MS

    def _world(self, phase_ms):
        world = ownership.World()
        owner = world.settle()
        world.run(phase_ms)
        return world, owner

    def _unserved_ms(self, world: ownership.World) -> float:
        unserved_ms = 0.0
        start_ms = world.time
        world.run(OUTAGE_MS)
        before_ms, was_served = start_ms, True
        for time_ms, served in world.served_ms:
            if time_ms < start_ms:
                continue
            if not was_served:
                unserved_ms += time_ms - before_ms
            before_ms, was_served = time_ms, served
        return unserved_ms


def measure(design: Design) -> Unavailable:
    """Runs a design with failures at many moments between two renewals."""
    found = Unavailable()
    for start in range(STARTS):
        phase_ms = start * RENEWAL_MS // STARTS
        found.node_lost.append(design.node_lost(phase_ms))
        found.both_lost.append(design.both_lost(phase_ms))
    for start in range(0, STARTS, 8):
        phase_ms = start * RENEWAL_MS // STARTS
        found.store_out.append(design.store_out(phase_ms))
        found.leader_cut.append(design.leader_cut(phase_ms))
    return found


def text(values: list[float]) -> str:
    """Median and worst of some times."""
    if max(values) >= NEVER_MS:
        return "until confirmed"
    return f"{statistics.median(values):,.0f} / {max(values):,.0f}"


def store_writes_per_loss(names: int) -> int:
    """Writes at the store that the loss of one node of the fleet costs."""
    world = ownership.World(node_count=names, zones=6)
    owner = world.settle()
    world.run(6_000)
    before = world.store.revision
    world.kill(owner)
    world.run(6_000)
    return world.store.revision - before


def main() -> None:
    """Prints the comparison."""
    designs = [
        StoreLease(TERM_MS, RENEWAL_MS),
        StoreLease(90_000, 30_000),
        LeaderLease(),
        UntilReleased(),
        Witnessed(),
    ]
    print("ms not served, median / worst")
    columns = ["node lost", "both lost", "store out", "leader cut"]
    print(f"{'design':50}" + "".join(f"{name:>17}" for name in columns))
    for design in designs:
        found = measure(design)
        cells = [
            text(found.node_lost),
            text(found.both_lost),
            text(found.store_out),
            text(found.leader_cut),
        ]
        row = "".join(f"{cell:>17}" for cell in cells)
        writes = f"{design.writes_per_second:,.0f} writes/s"
        print(f"{design.name:50}{row}   {writes}")
    for names in (6, 12, 24, 48):
        writes = store_writes_per_loss(names)
        print(f"writes for one lost node of {names}: {writes}")


if __name__ == "__main__":
    main()
