"""A random search for schedules in which two targets hold the same key."""

import pytest

from auburnrock.engine.mesh import incarnation_claims
from auburnrock.engine.mesh import lease as lease_module
from auburnrock.engine.mesh import store_confirmation
from auburnrock.engine.mesh import target_grants as grants_module
from tests.common import mesh_ownership_simulation

SEEDS = 60
DISTURBANCES = 40


def simulated(seed):
    world = mesh_ownership_simulation.OwnershipSimulation(seed)
    world.run(3_000)
    for _ in range(DISTURBANCES):
        world.inject_fault()
        world.run(world.rng.uniform(100, 3_000))
    return world


def simulated_split(seed):
    """Leaves one node alone with the store, at times after an outage."""
    world = mesh_ownership_simulation.OwnershipSimulation(seed)
    world.run(3_000)
    if world.rng.random() < 0.5:
        world.store_is_down = True
        world.run(world.rng.uniform(100, 20_000))
    world.split(world.rng.choice("abcd"))
    world.run(world.rng.uniform(0, 3_000))
    world.store_is_down = False
    for _ in range(10):
        world.inject_fault(("freeze", "crash", "start", "move", "restart"))
        world.run(world.rng.uniform(100, 4_000))
    return world


def forget_former_incarnation(self, now_ms, incarnation):
    """Begins an incarnation as if the former one held nothing."""
    self.incarnation = incarnation
    self.sequence = -1
    self.draining = False
    self._clear_holds()
    self.unknown_until_ms = self.former_until_ms = 0.0


def found_faults():
    return any(
        simulated(seed).violations or simulated_split(seed).violations
        for seed in range(SEEDS)
    )


def test_no_schedule_gives_a_key_two_holders():
    worlds = [simulated(seed) for seed in range(SEEDS)]
    worlds += [simulated_split(seed) for seed in range(SEEDS)]
    assert [fault for world in worlds for fault in world.violations] == []
    # Without takeovers and moves, the search would not test the rules.
    assert sum(world.takeovers for world in worlds) > SEEDS
    assert sum(world.moves for world in worlds) > SEEDS
    assert sum(world.sealed_alone for world in worlds) > SEEDS


@pytest.mark.parametrize("left", ["a", "b", "c", "d"])
@pytest.mark.parametrize("at_once", [True, False])
@pytest.mark.parametrize("returns", [True, False])
def test_the_last_of_all_machines_gets_all_keys(left, at_once, returns):
    """Keys of nodes lost with their witnesses never got another owner."""
    world = mesh_ownership_simulation.OwnershipSimulation(7)
    world.run(3_000)
    for name in "abcd":
        if name != left or returns:
            world.lose(name)
            world.run(0 if at_once else 1_200)
    if returns:
        world.run(2_000)
        world.start_again(left)
    world.run(store_confirmation.CONFIRMATION_MS + 5_000)
    held = world.targets[left].held(world.now_ms)
    assert len(held) == mesh_ownership_simulation.STRIPES
    assert world.violations == []


def test_no_shared_outage_of_the_store_ends_a_hold():
    world = mesh_ownership_simulation.OwnershipSimulation(7)
    world.run(3_000)
    world.store_is_down = True
    for _ in range(100):
        world.run(1_000)
        held = [len(t.held(world.now_ms)) for t in world.targets.values()]
        assert sum(held) >= mesh_ownership_simulation.STRIPES - 2
    assert world.violations == []


@pytest.mark.parametrize(
    "rule",
    [
        "witness_forgets_seals",
        "sealing_waits_for_no_rest",
        "hold_may_outlast_the_lease",
        "earlier_grants_are_forgotten",
        "majority_not_needed",
        "confirmation_not_needed",
        "seal_alone_without_a_wait",
        "own_cut_taken_for_an_outage",
        "one_heartbeat_ends_an_earlier_start",
    ],
)
def test_the_search_finds_two_holders_without_a_rule(monkeypatch, rule):
    if rule == "witness_forgets_seals":

        def on_renew(self, now_ms, name, term):
            lease = self.leases.setdefault(name, lease_module.WitnessedLease())
            lease.last_request_ms = lease.renewed_ms = now_ms
            return True

        monkeypatch.setattr(lease_module.Witness, "on_renew", on_renew)
    elif rule == "sealing_waits_for_no_rest":
        monkeypatch.setattr(
            lease_module.Sealing,
            "is_complete",
            lambda self, now_ms: len(self.leases_end_ms) >= 2,
        )
    elif rule == "hold_may_outlast_the_lease":
        reply = grants_module.TargetGrants.reply
        monkeypatch.setattr(
            grants_module.TargetGrants,
            "reply",
            lambda self, now_ms, received_ms, _: reply(
                self, now_ms, received_ms, now_ms + 1e6
            ),
        )
    elif rule == "earlier_grants_are_forgotten":
        init = grants_module.TargetGrants.__init__

        def forgetting_init(self, member, hold_ms, now_ms):
            init(self, member, hold_ms, now_ms)
            self.unknown_until_ms = 0.0

        monkeypatch.setattr(
            grants_module.TargetGrants, "__init__", forgetting_init
        )
    elif rule == "confirmation_not_needed":
        monkeypatch.setattr(
            mesh_ownership_simulation.Node,
            "grants_until_ms",
            lambda self: self.lease.ends_ms(),
        )
    elif rule == "seal_alone_without_a_wait":
        monkeypatch.setattr(store_confirmation, "seal_wait_ms", lambda: 0.0)
    elif rule == "own_cut_taken_for_an_outage":
        monkeypatch.setattr(
            store_confirmation, "is_shared_outage", lambda *_: True
        )
    elif rule == "one_heartbeat_ends_an_earlier_start":
        monkeypatch.setattr(
            incarnation_claims.IncarnationClaims, "holds", lambda *_: True
        )
        monkeypatch.setattr(
            grants_module.TargetGrants,
            "_begin_incarnation",
            forget_former_incarnation,
        )
    else:
        monkeypatch.setattr(lease_module, "majority", lambda count: 1)
    assert found_faults()
