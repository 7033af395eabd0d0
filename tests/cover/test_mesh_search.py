"""A random search for schedules in which two targets hold the same key."""

import pytest

from auburnrock.engine.mesh import lease as lease_module
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


def found_faults():
    return any(simulated(seed).violations for seed in range(SEEDS))


def test_no_schedule_gives_a_key_two_holders():
    worlds = [simulated(seed) for seed in range(SEEDS)]
    assert [fault for world in worlds for fault in world.violations] == []
    # Without takeovers and moves, the search would not test the rules.
    assert sum(world.takeovers for world in worlds) > SEEDS
    assert sum(world.moves for world in worlds) > SEEDS


@pytest.mark.parametrize(
    "rule",
    [
        "witness_forgets_seals",
        "sealing_waits_for_no_rest",
        "hold_may_outlast_the_lease",
        "earlier_grants_are_forgotten",
        "majority_not_needed",
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
    else:
        monkeypatch.setattr(lease_module, "majority", lambda count: 1)
    assert found_faults()
