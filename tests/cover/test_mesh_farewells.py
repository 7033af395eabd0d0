"""Farewells of targets that a node may not know yet."""

from auburnrock.engine.mesh import farewells as farewells_module
from auburnrock.engine.mesh import model


def test_a_farewell_counts_for_the_starts_before_it_only():
    farewells = farewells_module.Farewells()
    farewells.record(1_000, "i-1")
    assert farewells.has_left("i-1")
    assert farewells.includes(model.Incarnation("10.0.0.1", "i-1", 900))
    assert not farewells.includes(model.Incarnation("10.0.0.1", "i-1", 1_001))
    assert not farewells.includes(model.Incarnation("10.0.0.1", "i-2", 900))


def test_farewells_are_forgotten_beyond_a_number_of_targets():
    farewells = farewells_module.Farewells()
    for number in range(farewells_module.TARGETS_MAX + 1):
        farewells.record(number, f"i-{number}")
    assert not farewells.has_left("i-0")
    assert farewells.has_left("i-1")
