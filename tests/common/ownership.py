"""A few nodes in virtual time, with a simulated network and store.

One shard represents all: a node that finds the shard's owner ENDED claims the
shard by one compare-and-swap. The oracle checks that no incarnation whose
record is ENDED has a live lease or a target with an unexpired grant, even if
its daemon has died, and that no two processes would serve the shard at once.
"""

import collections
import enum
import heapq

from auburnrock import records
from auburnrock.engine import actions
from auburnrock.engine import participant as participant_module
from auburnrock.engine import store_write
from auburnrock.engine import timing as timing_module
from auburnrock.store import base as platform_base

TICK_MS = 50
STORE_MS = 2
NETWORK_MS = 1
CALL_TIMEOUT_MS = 400
released_epochs = set
PAGE = records.page_key("svc", 0)
STORE = "store"


class Fault(enum.Enum):
    NONE = "none"
    REFUSED = "refused"
    ANSWER_LOST = "answer lost"
    LATE = "late"
    NEVER = "never"


class TwoOwnersError(AssertionError):
    """The oracle found two owners of a key."""


class Store:
    def __init__(self):
        self.values = {}
        self.revision = 0
        self.states = {}
        self.call_count = 0

    def swap(self, action):
        current = self.values.get(action.key)
        revision = 0 if current is None else current.revision
        if revision != action.expected_revision:
            return actions.StoreOutcome.CONFLICT, current
        self.revision += 1
        value = platform_base.Value(action.key, action.data, self.revision)
        self.values[action.key] = value
        if action.key != PAGE:
            record = records.decode_node(action.data)
            self.states[record.incarnation] = record.state
        return actions.StoreOutcome.DONE, value

    def nodes(self):
        prefix = records.NODES_PREFIX
        return [v for k, v in self.values.items() if k.startswith(prefix)]

    def witnesses(self, process):
        key = records.node_key(process.name, process.incarnation)
        record = records.decode_node(self.values[key].data)
        return {witness.incarnation for witness in record.witnesses}


class Process:
    """One start of a daemon, at one address.

    Attributes:
      granted_until_ms: true time at which the target's latest grant expires.
      released: epochs of the shard that this process has released.
      buffered: events that arrived during a pause.
    """

    def __init__(self, world, name, incarnation, address, zone, rate):
        self.world = world
        self.address = address
        self.name = name
        self.rate = rate
        self.paused = False
        self.alive = True
        self.buffered = collections.deque()
        self.faults = collections.deque()
        self.granted_until_ms = 0.0
        self.page = None
        self.entry = None
        self.refreshed_revision = 0
        self.page_write = None
        self.released = released_epochs()
        self.page_write_count = 0
        record = records.NodeRecord(
            name=name,
            incarnation=incarnation,
            region="r",
            zone=zone,
            address=address,
            peer_port=1,
            http_port=2,
        )
        self.incarnation = incarnation
        nodes = world.store.nodes()
        self.participant = participant_module.Participant(
            record, world.timing, self.now_ms(), nodes
        )
        if PAGE in world.store.values:
            self.apply_page(world.store.values[PAGE])

    def now_ms(self):
        return int(self.world.time * self.rate)

    def serves(self):
        if self.page is None:
            return False
        owns = self.entry.owner == self.incarnation
        is_unreleased = self.entry.epoch not in self.released
        return (
            owns
            and is_unreleased
            and self.participant.holder.live(self.now_ms())
        )

    def handle(self, event):
        """Runs an event now, or buffers it during a pause."""
        if not self.alive:
            return
        if self.paused:
            self.buffered.append(event)
        else:
            event()

    def tick(self):
        now_ms = self.now_ms()
        self.refresh()
        self.perform(self.participant.tick(now_ms))
        if self.participant.holder.ended:
            self.world.restart_unless_replaced(self)
        elif self.page_write is not None:
            self.perform(self.page_write.tick(now_ms))
        else:
            self.claim_if_free()
        if self.serves():
            # The target's clock may be as slow as this process's clock.
            end_ms = self.participant.holder.expires_at_ms()
            self.granted_until_ms = max(
                self.granted_until_ms, end_ms / self.rate
            )

    def refresh(self):
        """Applies the changes in the store if it is reachable."""
        if self.world.is_cut(self.address, STORE) or self.world.store_is_down:
            return
        known = self.refreshed_revision
        self.refreshed_revision = self.world.store.revision
        for value in list(self.world.store.values.values()):
            if value.revision <= known:
                continue
            if value.key == PAGE:
                self.apply_page(value)
            else:
                self.perform(self.participant.on_record(self.now_ms(), value))

    def apply_page(self, value):
        if self.page is None or self.page.revision < value.revision:
            self.page = value
            self.entry = records.decode_page(value.data).entries[0]

    def claim_if_free(self):
        if self.page is None or not self.participant.holder.live(self.now_ms()):
            return
        entry = self.entry
        known = self.participant.known.get(entry.owner)
        if entry.owner == self.incarnation and entry.epoch in self.released:
            # The move was abandoned; this process may only serve a new epoch.
            self.write_page(self.incarnation, entry.epoch + 1)
        elif known is None or known.record.state is records.NodeState.ENDED:
            self.write_page(self.incarnation, entry.epoch + 1)

    def release_to(self, next_owner):
        """Moves the shard: stops serving, then writes the next owner."""
        if self.serves() and self.page_write is None and not self.paused:
            self.released.add(self.entry.epoch)
            self.granted_until_ms = 0.0
            self.write_page(next_owner, self.entry.epoch + 1)

    def write_page(self, owner, epoch):
        self.page_write_count += 1
        writer = f"{self.incarnation:x}.p{self.page_write_count}"
        data = encode_page(owner, epoch, writer)
        old = records.decode_page(self.page.data)
        old.writer = f"{writer}.old"
        change = store_write.Change(
            PAGE, data, writer, self.page.revision, records.encode_page(old)
        )
        self.page_write = store_write.StoreWrite(change)
        self.perform(self.page_write.start(self.now_ms()))

    def on_result(self, result):
        write = self.page_write
        if write is not None and write.owns(result.token):
            issued, outcome = write.on_result(self.now_ms(), result)
            self.perform(issued)
            if outcome is not None:
                self.page_write = None
                if outcome.current is not None:
                    self.apply_page(outcome.current)
            return
        self.perform(self.participant.on_result(self.now_ms(), result))

    def on_datagram(self, message, source):
        for action in self.participant.on_datagram(self.now_ms(), message):
            if isinstance(action, actions.Reply):
                self.world.send(self.address, source, action.message)
            else:
                self.perform([action])

    def perform(self, issued):
        for action in issued:
            if isinstance(action, actions.SendDatagram):
                address = self.world.address_of(action.incarnation)
                self.world.send(self.address, address, action.message)
            elif isinstance(action, actions.Swap | actions.Read):
                self.world.call_store(self, action)


class World:
    """The processes, the true time, the network and the store.

    Attributes:
      time: true time in milliseconds.
      at_address: the process that each address reaches.
      delay: returns the delay of a datagram in ms, or None to lose it.
      served_ms: true times of the checks, and whether the shard was served.
      is_checked: whether the oracle checks after each event.
    """

    def __init__(
        self,
        node_count=5,
        zones=5,
        rates=(),
        timing=None,
        delay=lambda: NETWORK_MS,
    ):
        self.timing = timing or timing_module.Timing()
        self.time = 0.0
        self.events = []
        self.event_count = 0
        self.store = Store()
        self.store_is_down = False
        self.cuts = set()
        self.delay = delay
        self.tick_ms = TICK_MS
        self.processes = []
        self.at_address = {}
        self.addresses = {}
        self.last_incarnation = 0
        self.served_ms = []
        self.is_checked = False
        for index in range(node_count):
            rate = rates[index] if index < len(rates) else 1.0
            self.start(f"n{index}", f"n{index}", f"z{index % zones}", rate)

    def start(self, name, address, zone, rate=1.0):
        self.last_incarnation += 1
        process = Process(
            self, name, self.last_incarnation, address, zone, rate
        )
        process.zone = zone
        self.processes.append(process)
        self.at_address[address] = process
        self.addresses[process.incarnation] = address
        self.schedule(self.last_incarnation % 7, lambda: self.tick(process))
        return process

    def settle(self):
        """Runs until every node has witnesses and the first owns the shard.

        The oracle checks from the shard's first owner on.
        """
        self.run(4_000)
        owner = self.processes[0]
        first = actions.Swap(
            "", PAGE, encode_page(owner.incarnation, 1, "first"), 0
        )
        self.store.swap(first)
        self.is_checked = True
        self.run(200)
        assert owner.serves()
        return owner

    def tick(self, process):
        if process.alive:
            if not process.paused:
                process.tick()
            self.schedule(self.tick_ms, lambda: self.tick(process))

    def schedule(self, delay_ms, event):
        self.event_count += 1
        when = self.time + delay_ms
        heapq.heappush(self.events, (when, self.event_count, event))

    def run(self, span_ms):
        """Advances time by `span_ms` and checks the oracle after each event."""
        until = self.time + span_ms
        while self.events and self.events[0][0] <= until:
            self.time, _, event = heapq.heappop(self.events)
            event()
            self.check()
        self.time = until

    def check(self):
        if not self.is_checked:
            return
        serving = [p for p in self.processes if p.alive and p.serves()]
        if len(serving) > 1:
            raise TwoOwnersError(f"{[p.incarnation for p in serving]} serve")
        self.served_ms.append((self.time, bool(serving)))
        for process in self.processes:
            if not self.has_ended(process.incarnation):
                continue
            if self.time < process.granted_until_ms:
                raise TwoOwnersError(
                    f"{process.incarnation}'s target has a grant"
                )
            if process.alive and process.participant.holder.live(
                process.now_ms()
            ):
                raise TwoOwnersError(f"{process.incarnation} has a live lease")

    def has_ended(self, incarnation):
        return self.store.states.get(incarnation) is records.NodeState.ENDED

    def is_cut(self, one, other):
        return (one, other) in self.cuts

    def cut(self, one, others):
        for other in others:
            self.cuts |= {(one, other), (other, one)}

    def isolate(self, process, *reachable):
        """Cuts a process off from the store and all but some processes."""
        exempt = {other.address for other in reachable} | {process.address}
        everyone = {*self.at_address, STORE}
        self.cut(process.address, everyone - exempt)

    def witnesses_of(self, process):
        """The processes that witness a process, and the other ones."""
        named = process.participant.holder.record.witnesses
        witnesses = [
            p
            for witness in named
            for p in self.processes
            if p.incarnation == witness.incarnation
        ]
        others = [
            p for p in self.processes if p not in witnesses and p != process
        ]
        return witnesses, others

    def run_until(self, condition, limit_ms=5_000):
        """Advances time until a condition is true; fails at `limit_ms`."""
        for _ in range(limit_ms):
            if condition():
                return
            self.run(1)
        raise AssertionError(f"the condition is not true within {limit_ms} ms")

    def heal(self):
        self.cuts.clear()

    def address_of(self, incarnation):
        return self.addresses.get(incarnation)

    def send(self, source, target, message):
        delay_ms = self.delay()
        if delay_ms is None or self.is_cut(source, target):
            return
        self.schedule(delay_ms, lambda: self.deliver(source, target, message))

    def deliver(self, source, target, message):
        process = self.at_address.get(target)
        if process is not None:
            process.handle(lambda: process.on_datagram(message, source))

    def call_store(self, process, action):
        self.store.call_count += 1
        fault = process.faults.popleft() if process.faults else Fault.NONE
        cut = self.store_is_down or self.is_cut(process.address, STORE)
        is_read = isinstance(action, actions.Read)
        if cut or fault is Fault.REFUSED or (is_read and fault.value != "none"):
            self.answer(process, action, STORE_MS, "unavailable")
        elif fault is Fault.NONE:
            self.schedule(
                STORE_MS, lambda: self.execute_store_call(process, action)
            )
        else:
            self.answer(process, action, CALL_TIMEOUT_MS, "unknown")
            takes_effect_after = {
                Fault.ANSWER_LOST: STORE_MS,
                Fault.LATE: 2_500,
            }
            if fault in takes_effect_after:
                self.schedule(
                    takes_effect_after[fault], lambda: self.store.swap(action)
                )

    def execute_store_call(self, process, action):
        if isinstance(action, actions.Read):
            outcome = actions.StoreOutcome.DONE
            current = self.store.values.get(action.key)
        else:
            outcome, current = self.store.swap(action)
        self.answer(process, action, STORE_MS, outcome, current)

    def answer(self, process, action, delay_ms, outcome, current=None):
        result = actions.StoreResult(
            action.token, actions.StoreOutcome(outcome), current
        )
        self.schedule(
            delay_ms, lambda: process.handle(lambda: process.on_result(result))
        )

    def pause(self, process):
        process.paused = True

    def resume(self, process, tick_first=False):
        process.paused = False
        if tick_first and process.alive:
            process.tick()
        while process.buffered and not process.paused:
            process.handle(process.buffered.popleft())
        self.check()

    def kill(self, process):
        process.alive = False

    def restart(self, process):
        """Kills a process and starts a new one at the same address."""
        self.kill(process)
        return self.start(
            process.name, process.address, process.zone, process.rate
        )

    def restart_unless_replaced(self, process):
        """Restarts an ended daemon, or kills it if it has been replaced."""
        later = [
            p
            for p in self.processes
            if p.name == process.name and p.incarnation > process.incarnation
        ]
        if later:
            self.kill(process)
        else:
            self.restart(process)

    def replace(self, process):
        """Starts a replacement elsewhere; the old process may be paused."""
        address = f"{process.name}'{self.last_incarnation}"
        return self.start(process.name, address, process.zone, process.rate)

    def unavailable_ms(self, since_ms):
        """Time from `since` until the shard was served again."""
        for time, served in self.served_ms:
            if time > since_ms and served:
                return time - since_ms
        return None


def encode_page(owner, epoch, writer):
    page = records.AssignmentPage(
        service="svc",
        page=0,
        entries=[records.ShardEntry(owner, epoch)],
        writer=writer,
    )
    return records.encode_page(page)
