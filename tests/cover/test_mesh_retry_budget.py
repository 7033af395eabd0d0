"""The budget for retries, which many nodes use together."""

import pytest

from auburnrock.engine.mesh import retry_budget

RATIO = 0.2
WINDOW_MS = 10_000.0
STEP_MS = 50.0

SIZES = [(13, 64.0), (78, 210.0)]
"""Numbers of nodes, and of the retries that they may make in addition."""


class Fleet:
    """Nodes that retry whenever their budgets allow it.

    Attributes:
      retried_ms: times of the retries of all nodes.
      requested_ms: times of the requests of all nodes.
    """

    def __init__(self, nodes, extra, rate_per_s):
        self.nodes = nodes
        self.extra = extra
        self.interval_ms = nodes * 1_000.0 / rate_per_s
        self.now_ms = 0.0
        self.retried_ms = []
        self.requested_ms = []
        self.budgets = []
        self.start(0.0)

    def start(self, extra_from_ms):
        """Starts all processes, which know nothing of their former ones."""
        self.budgets = [self.budget(extra_from_ms) for _ in range(self.nodes)]

    def budget(self, extra_from_ms):
        """Returns the budget of a process that has just started."""
        return retry_budget.RetryBudget(
            RATIO, self.extra, WINDOW_MS, extra_from_ms
        )

    def run(self, until_ms):
        """Runs requests and retries until a time."""
        while self.now_ms < until_ms:
            self.now_ms += STEP_MS
            for place, budget in enumerate(self.budgets):
                phase_ms = place * self.interval_ms / self.nodes
                elapsed_ms = self.now_ms + phase_ms
                if elapsed_ms % self.interval_ms < STEP_MS:
                    budget.on_request(self.now_ms)
                    self.requested_ms.append(self.now_ms)
                if budget.allows_retry(self.now_ms, self.nodes):
                    budget.record_retry(self.now_ms)
                    self.retried_ms.append(self.now_ms)

    def excess(self):
        """Retries beyond the limit in the worst window."""
        worst = 0.0
        for end_ms in range(0, int(self.now_ms), 250):
            retried, requested = (
                sum(end_ms - WINDOW_MS < at_ms <= end_ms for at_ms in times)
                for times in (self.retried_ms, self.requested_ms)
            )
            worst = max(worst, retried - RATIO * requested - self.extra)
        return worst


@pytest.mark.parametrize(("nodes", "extra"), SIZES)
def test_nodes_that_restart_all_at_once_spend_the_budget_only_once(
    nodes, extra
):
    fleet = Fleet(nodes, extra, rate_per_s=10.0)
    fleet.run(12_000.0)
    fleet.start(fleet.now_ms + WINDOW_MS)
    fleet.run(40_000.0)
    assert len(fleet.retried_ms) > extra
    assert fleet.excess() <= 0.0


@pytest.mark.parametrize(("nodes", "extra"), SIZES)
def test_nodes_that_restart_one_by_one_spend_the_budget_only_once(nodes, extra):
    fleet = Fleet(nodes, extra, rate_per_s=10.0)
    fleet.run(12_000.0)
    for place in range(nodes):
        fleet.budgets[place] = fleet.budget(fleet.now_ms + WINDOW_MS)
        fleet.run(fleet.now_ms + 300.0)
    fleet.run(fleet.now_ms + 12_000.0)
    assert fleet.excess() <= 0.0
