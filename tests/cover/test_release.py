"""Tests each safety rule of assignment, with the rule and without it."""

import pytest

from auburnrock import records
from auburnrock.engine import actions
from auburnrock.engine import grants
from auburnrock.engine import hot_keys
from auburnrock.engine import keys
from auburnrock.engine import members
from auburnrock.engine import page_change
from auburnrock.engine import release
from auburnrock.targets import base as targets_base
from tests.common import assignment as common
from tests.common import assignment_world as world_lib

SERVICE = common.SERVICE


def started(**options):
    """A world with pages, the owner of key `a` and another node."""
    world = world_lib.World(**options)
    world.run(1_000)
    owner = world.owner("a")
    return world, owner, next(n for n in world.nodes if n is not owner)


def begin_move(world, owner, other, key="a"):
    world.plan(owner, owner.shard_of(key), other)
    world.run(100)


def lose_the_hand_over_answer():
    world, owner, other = started()
    world.plan(owner, owner.shard_of("a"), other)
    world.mode = "lost"
    owner.stale = True
    world.run(1_000)
    assert world.owner("a") is other


def apply_the_hand_over_late():
    world, owner, other = started()
    world.plan(owner, owner.shard_of("a"), other)
    world.mode = "late"
    owner.sync()
    owner.tick()
    owner.tick()
    owner.stale = True
    while world.pending:
        world.land(0)
    world.mode = "ok"
    other.sync()
    world.check()


def move_a_shard_with_running_work():
    world, owner, other = started()
    world.request(owner, "a")
    begin_move(world, owner, other)
    world.run(1_200)
    world.request_anywhere("a")


def move_a_shard_there_and_back():
    world, owner, other = started()
    begin_move(world, owner, other)
    world.run(200)
    begin_move(world, other, owner)
    world.run(200)
    assert world.owner("a") is owner


def move_beside_a_stale_owner():
    world, owner, other = started()
    owner.stale = True
    world.plan(other, owner.shard_of("a"), other)
    world.run(500)


def replicate_a_page_before_its_nodes():
    world, owner, other = started()
    other.stale = True
    late = world.start_node("late")
    owner.sync()
    begin_move(world, owner, late)
    world.run(300)
    other.sync_key(records.page_key(SERVICE, 0))
    world.run(2_000)
    assert world.owner("a") is late


def add_a_hot_key_while_a_node_has_old_settings():
    world, owner, other = started(names="wxyz")
    old = next(n for n in world.nodes if n not in (owner, other))
    old.stale = True
    world.configure(3, ["a"])
    world.run(1_000)
    begin_move(world, owner, other)
    world.run(500)
    assert world.owner("a") is other
    # The home of the key must move to the node with the old settings.
    owner.paused = True
    for node in world.nodes:
        if node not in (owner, old):
            world.put_state(node, records.NodeState.DRAINING)
    world.run(1_500)
    world.seal(owner)
    for _ in range(20):
        old.sync_all_but(records.CONFIGURATION_KEY)
        world.run(100)
    home = keys.hash_of("a") % 3
    assert world.store.page().entries[home].owner == old.incarnation


def add_a_hot_key_with_running_work():
    world, owner, other = started()
    world.request(owner, "a")
    # The other node's hot key has its home in the same page.
    key = next(k for k in world_lib.KEYS if other.accepts(k))
    world.configure(3, [key, "a"])
    world.run(700)
    begin_move(world, owner, other)
    world.run(300)
    world.request_anywhere("a")
    owner.target.running.clear()
    world.run(4_000)
    assert all(e.owner for e in world.store.page().entries[3:])


def freeze_a_target_with_work_in_its_queue():
    world, owner, _ = started()
    owner.target.freeze()
    world.request(owner, "a")
    world.run(850)
    owner.target.thaw()
    world.run(100)


def freeze_a_target_with_unanswered_grants():
    world, owner, _ = started()
    owner.target.freeze()
    world.request(owner, "a")
    world.run(1_250)
    owner.target.thaw()


def lose_requests_at_a_target_that_checks_nothing():
    world, owner, other = started(checks_grants=False)
    owner.lost_requests = 1
    begin_move(world, owner, other)
    world.run(5_000)
    assert world.owner("a") is owner, "its owner lost it"


def freeze_a_target_that_checks_nothing():
    world, owner, _ = started(checks_grants=False)
    owner.target.freeze()
    world.run(10_000)
    assert world.owner("a") is owner, "its owner lost it"


def drop_releases_of_failed_writes(self, result, now_ms):
    if result.outcome == actions.StoreOutcome.UNKNOWN:
        self.releases.clear()
        self.own.released.clear()
    self._writer.on_result(result, now_ms)
    return []


def assign_at_the_same_epoch(change, page, shard, owner):
    epoch = max(1, page.entry(shard).epoch)
    entry = records.ShardEntry(owner, epoch)
    change.entries[shard - page.first_shard] = entry
    change.moving.pop(shard, None)
    change.reasons.append("given")


def move_at_once(change, page, move, nodes):
    del nodes
    page_change.assign(change, page, move.shard, move.to)
    return ""


def ended_if_not_listed(self, incarnation, as_of_revision):
    del as_of_revision
    record = self.get(incarnation)
    return record is None or record.state == records.NodeState.ENDED


def is_marked(self, home, place):
    pages = self.view.pages
    return pages.required_hot_keys(home.service, home.shard) > place


def acknowledged_has_ended(self, now_ms):
    passed_ms = now_ms - self.target.received_ms
    return passed_ms * 0.98 >= world_lib.TIMING.holder_term_ms()


ALWAYS = staticmethod(lambda *_: True)

TWO_OWNERS = "has owners"
RUNS_TWICE = "runs at two targets"
STARTS_BESIDE_OWNER = "starts beside an owner"
EPOCH = "ShardEntry.* to ShardEntry"
OWNER_CHANGED = "its owner lost it"

RULES = [
    (
        "a release is remembered whatever becomes of its write",
        lose_the_hand_over_answer,
        TWO_OWNERS,
        (release.Releases, "on_store_result", drop_releases_of_failed_writes),
    ),
    (
        "a release is remembered until its late write has landed",
        apply_the_hand_over_late,
        TWO_OWNERS,
        (release.Releases, "on_store_result", drop_releases_of_failed_writes),
    ),
    (
        "the target's release comes before the hand-over",
        move_a_shard_with_running_work,
        RUNS_TWICE,
        (release.Releases, "_target_has_stopped", ALWAYS),
    ),
    (
        "each change of owner raises the epoch",
        move_a_shard_there_and_back,
        EPOCH,
        (page_change, "assign", assign_at_the_same_epoch),
    ),
    (
        "only its owner moves a shard",
        move_beside_a_stale_owner,
        TWO_OWNERS,
        (page_change, "add_move", move_at_once),
    ),
    (
        "a missing record proves an end only to a replica that has caught up",
        replicate_a_page_before_its_nodes,
        TWO_OWNERS,
        (members.Members, "has_ended", ended_if_not_listed),
    ),
    (
        "a node serves only with the hot keys that a page calls for",
        add_a_hot_key_while_a_node_has_old_settings,
        TWO_OWNERS,
        (hot_keys.HotKeys, "are_known", ALWAYS),
    ),
    (
        "a hot key's shard is claimed only once its home's page is marked",
        add_a_hot_key_while_a_node_has_old_settings,
        TWO_OWNERS,
        (hot_keys.HotKeys, "_may_claim", ALWAYS),
    ),
    (
        "a hot key's shard is claimed only once work on its home has ended",
        add_a_hot_key_with_running_work,
        RUNS_TWICE,
        (hot_keys.HotKeys, "_may_claim", is_marked),
    ),
    (
        "a silent target's shards move only once its grants have ended",
        freeze_a_target_with_work_in_its_queue,
        STARTS_BESIDE_OWNER,
        (grants.Grants, "has_surely_ended", ALWAYS),
    ),
    (
        "a grant that was sent counts though it was not acknowledged",
        freeze_a_target_with_unanswered_grants,
        STARTS_BESIDE_OWNER,
        (grants.Grants, "has_surely_ended", acknowledged_has_ended),
    ),
    (
        "lost requests count for a target that checks no grants",
        lose_requests_at_a_target_that_checks_nothing,
        OWNER_CHANGED,
        (release.Releases, "_target_has_stopped", ALWAYS),
    ),
    (
        "a silent target that checks no grants keeps its shards",
        freeze_a_target_that_checks_nothing,
        OWNER_CHANGED,
        (release.Releases, "_target_ended", lambda s, _, n: n > 2_000),
    ),
]


@pytest.mark.parametrize("rule", RULES, ids=lambda rule: rule[0])
def test_with_the_rule_no_key_has_two_owners(rule):
    rule[1]()


@pytest.mark.parametrize("rule", RULES, ids=lambda rule: rule[0])
def test_without_the_rule_the_oracle_fails(rule, monkeypatch):
    monkeypatch.setattr(*rule[3])
    with pytest.raises(AssertionError, match=rule[2]):
        rule[1]()


def test_a_crashed_targets_shards_are_served_elsewhere_at_once():
    world, owner, _ = started()
    world.crash_target(owner)
    world.run(150)
    assert world.unserved() == []
    assert world.owner("a") is not owner


def test_a_restarted_target_keeps_its_shards():
    world, owner, _ = started()
    before = world.store.page()
    world.restart_target(owner)
    world.run(1_000)
    assert world.store.page() == before


def test_a_leaving_node_finishes_its_work_and_hands_over_all_shards():
    world, owner, _ = started()
    world.request(owner, "a")
    owner.releases.leave()
    world.run(500)
    assert owner.target.running
    assert not owner.releases.is_empty()
    owner.target.running.clear()
    world.run(300)
    assert owner.releases.is_empty()
    assert world.unserved() == []


def test_a_shard_that_its_target_never_releases_is_served_again():
    world, owner, other = started()
    world.request(owner, "a")
    begin_move(world, owner, other)
    assert world.owner("a") is None
    world.run(2 * (200 + release.DRAIN_MARGIN_MS) + 100)
    assert world.owner("a") is owner


def test_a_shard_stays_served_if_its_move_is_cancelled_while_draining():
    world, owner, other = started()
    world.request(owner, "a")
    begin_move(world, owner, other)
    world.put_state(other, records.NodeState.DRAINING)
    world.run(100)
    assert world.owner("a") is owner


def test_a_claimed_hot_key_stays_with_its_owner():
    world, owner, _ = started()
    world.configure(3, ["a"])
    world.run(500)
    assert world.owner("a") is owner
    assert owner.shard_of("a") == 3
    assert world.store.page().entries[3] == records.ShardEntry(
        owner.incarnation, 1
    )


@pytest.mark.parametrize("rate", [0.99, 1.0, 1.01])
def test_a_grant_ends_before_the_lease_whatever_the_clock_rates(rate):
    world = world_lib.World(names="")
    node = world.start_node("x", rate)
    node.tick()
    world.run(700)
    world.now_ms = node.lease_end_ms
    assert node.target.valid_until_ms <= node.target.clock_ms()
    # The grant is no shorter than the clock drift requires.
    least_ms = world_lib.TIMING.holder_term_ms() * 0.9
    assert node.target.valid_until_ms >= node.target.clock_ms() - least_ms


def test_a_grant_that_nobody_answered_confirms_no_release():
    """Guards against a check of only the latest sent grant.

    An earlier grant that was not answered may still arrive.
    """
    world = world_lib.World(names="")
    target = world.start_node("x").target
    seen = grants.Grants(1, world_lib.TIMING)
    seen.on_announced(target.announcement(), 0)
    first = seen.next([targets_base.GrantedShard(5, 1)], 980, 0)
    seen.on_no_answer()
    second = seen.next([], 980, 200)
    seen.on_no_answer()
    assert not seen.is_released(5)
    # The first grant may still arrive; the target then accepts work for it.
    assert target.grant(first).accepted
    seen.next([], 980, 400)
    seen.on_answer(target.grant(second), 400)
    assert seen.is_released(5)


def test_a_node_that_was_paused_does_not_take_its_target_for_ended():
    """Guards against treating a target as silent after a pause of the node.

    The node, not the target, had not answered.
    """
    world, owner, _ = started()
    world.request(owner, "a")
    owner.paused = True
    world.run(950)
    owner.paused = False
    world.run(100)
    assert world.owner("a") is owner


def test_a_node_that_leaves_in_a_store_outage_continues_to_serve():
    world, owner, _ = started(shards=30)
    world.mode = "down"
    owner.releases.leave()
    world.run(10_000)
    shards = [shard.shard for shard in owner.releases.own.owned]
    served = [n for n in shards if owner.releases.may_admit(SERVICE, n, True)]
    assert len(served) >= len(shards) - 1 > 5
    world.mode = "ok"
    world.run(3_000)
    assert owner.releases.is_empty()


def test_a_key_that_was_sent_under_its_former_shard_is_refused():
    world, owner, _ = started()
    former = owner.shard_of("a")
    world.configure(3, ["a"])
    world.run(500)
    admission = owner.releases.admission
    assert admission(SERVICE, former, True, "a") != release.Admission.SERVE
    assert admission(SERVICE, 3, True, "a") == release.Admission.SERVE
    other = next(n for n in range(100) if keys.hash_of(f"k{n}") % 3 == former)
    served = admission(SERVICE, former, True, f"k{other}")
    assert served == release.Admission.SERVE
