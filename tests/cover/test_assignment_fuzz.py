import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from auburnrock import records
from tests.common import assignment_world as world_lib

PICK = st.integers(0, 7)
MODES = ("ok", "lost", "late", "slow", "down")


class AssignmentMachine(stateful.RuleBasedStateMachine):
    """Several nodes, every fault, and the oracle after each step."""

    def __init__(self):
        super().__init__()
        self.world = world_lib.World()
        self.hot_keys = []

    def node(self, pick):
        return self.world.nodes[pick % len(self.world.nodes)]

    @stateful.rule(steps=st.integers(1, 24))
    def run(self, steps):
        self.world.run(steps * world_lib.STEP_MS)

    @stateful.rule(pick=PICK)
    def tick_one(self, pick):
        self.world.now_ms += 10
        self.node(pick).tick()

    @stateful.rule(pick=PICK)
    def sync(self, pick):
        self.node(pick).sync()

    @stateful.rule(pick=PICK, key=PICK)
    def sync_one_record(self, pick, key):
        listed = sorted(self.world.store.values)
        self.node(pick).sync_key(listed[key % len(listed)])

    @stateful.rule(mode=st.sampled_from(MODES))
    def store(self, mode):
        self.world.mode = mode

    @stateful.rule(pick=PICK)
    def land(self, pick):
        if self.world.pending:
            self.world.land(pick % len(self.world.pending))

    @stateful.rule(pick=PICK, shard=st.integers(0, 4), to=PICK)
    def plan(self, pick, shard, to):
        self.world.plan(self.node(pick), shard, self.node(to))

    @stateful.rule(pick=PICK)
    def pause(self, pick):
        self.node(pick).paused ^= True

    @stateful.rule(pick=PICK)
    def let_replica_age(self, pick):
        self.node(pick).stale ^= True

    @stateful.rule(pick=PICK, ms=st.sampled_from((0, 600, 1_500)))
    def lose_and_seal(self, pick, ms):
        self.node(pick).paused = True
        self.world.run(ms)
        self.world.seal(self.node(pick))

    @stateful.rule(pick=PICK)
    def restart_daemon(self, pick):
        node = self.node(pick)
        if node.ended and len(self.world.nodes) < 6:
            self.world.start_node(node.name, rate=1 + (pick - 3) / 400)

    @stateful.rule(pick=PICK)
    def leave(self, pick):
        node = self.node(pick)
        if not node.ended:
            node.releases.leave()
            self.world.put_state(node, records.NodeState.DRAINING)

    @stateful.rule(pick=PICK)
    def freeze_or_thaw_target(self, pick):
        target = self.node(pick).target
        if target.frozen:
            target.thaw()
        else:
            target.freeze()

    @stateful.rule(pick=PICK)
    def crash_or_restart_target(self, pick):
        node = self.node(pick)
        if node.target.crashed:
            self.world.restart_target(node)
        else:
            self.world.crash_target(node)

    @stateful.rule(key=st.sampled_from(world_lib.KEYS))
    def request(self, key):
        self.world.request_anywhere(key)

    @stateful.rule(key=st.sampled_from(world_lib.KEYS), to=PICK)
    def move_a_busy_key(self, key, to):
        self.world.request_anywhere(key)
        owner = self.world.owner(key)
        if owner is not None:
            self.world.plan(owner, owner.shard_of(key), self.node(to))

    @stateful.rule(key=st.sampled_from(world_lib.KEYS))
    def freeze_a_busy_target(self, key):
        owner = self.world.owner(key)
        if owner is not None:
            owner.target.freeze()
            self.world.request(owner, key)

    @stateful.rule(pick=PICK)
    def sync_all_but_the_settings(self, pick):
        self.node(pick).stale = True
        self.node(pick).sync_all_but(records.CONFIGURATION_KEY)

    @stateful.rule(pick=PICK)
    def end_work(self, pick):
        del self.node(pick).target.running[:1]

    @stateful.precondition(lambda self: len(self.hot_keys) < 2)
    @stateful.rule(key=st.sampled_from(world_lib.KEYS))
    def add_hot_key(self, key):
        if key not in self.hot_keys:
            self.hot_keys.append(key)
            self.world.configure(3, self.hot_keys)

    @stateful.invariant()
    def at_most_one_node_accepts_a_key(self):
        self.world.check()

    def teardown(self):
        self.world.heal()


TestAssignment = AssignmentMachine.TestCase
TestAssignment.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=40, deadline=None
)
