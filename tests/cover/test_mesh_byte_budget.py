"""Budget of the bytes that the connections of a process keep."""

from auburnrock.engine.mesh import byte_budget

KB = 1 << 10


def test_the_largest_holders_are_dropped_until_the_sum_fits():
    budget = byte_budget.ByteBudget(1_000 * KB)
    assert budget.hold("endless", 500 * KB) == []
    assert budget.hold("long", 300 * KB) == []
    assert budget.hold("other", 250 * KB) == ["endless"]
    assert budget.used_bytes == 550 * KB


def test_a_holder_that_cannot_be_dropped_counts_and_stays():
    budget = byte_budget.ByteBudget(1_000 * KB)
    budget.hold("running", 900 * KB, droppable=False)
    assert budget.hold("new", 200 * KB) == ["new"]
    assert budget.hold("second", 500 * KB, droppable=False) == []
    assert budget.used_bytes == 1_400 * KB


def test_a_holder_is_counted_once_with_its_last_size():
    budget = byte_budget.ByteBudget(1_000 * KB)
    for size in range(100, 1_000, 100):
        assert budget.hold("grows", size * KB) == []
    assert budget.used_bytes == 900 * KB
    budget.release("grows")
    budget.release("unknown")
    assert budget.used_bytes == 0


def test_small_holders_are_not_counted():
    budget = byte_budget.ByteBudget(10 * KB)
    assert budget.hold("small", byte_budget.COUNTED_MIN_BYTES - 1) == []
    assert budget.used_bytes == 0
