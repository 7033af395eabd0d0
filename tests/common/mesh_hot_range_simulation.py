"""Simulation, in virtual time, of keyed targets with a hot range of keys.

The engine's code makes the decisions: the queue of each target, its load by
stripe, and which stripes move. This module models only the duration of a move
and the speeds of the targets.
"""

import heapq
import random

from auburnrock.engine.mesh import admission_queue
from auburnrock.engine.mesh import hot_stripes as heat_module
from auburnrock.engine.mesh import key_table as table_module
from auburnrock.engine.mesh import model
from auburnrock.engine.mesh import rebalancing
from tests.common import mesh

MOVE_MS = 500.0
"""Time during which no target serves a moving stripe."""


class Target:
    """A target with its admission queue and load."""

    def __init__(self, name: str, slots: int, work_ms: float):
        self.incarnation = mesh.incarnation(name)
        self.slots = slots
        self.work_ms = work_ms
        self.queue = admission_queue.AdmissionQueue(slots)
        self.stripe_load = heat_module.StripeLoad(0.0)
        self.reserve = heat_module.HotStripeReservation()


class HotRangeSimulation:
    """Targets of one service under load.

    Attributes:
      in_time: number of responses within the latency objective.
      asked: number of requests.
      moved: number of moved stripes.
      counted_from: number of the first request that is counted.
    """

    def __init__(self, targets: list[Target], objective_ms: float, seed: int):
        self.targets = {target.incarnation: target for target in targets}
        self.objective_ms = objective_ms
        self.rng = random.Random(seed)
        self.table = rebalancing.initial_table(
            {
                incarnation: target.slots / target.work_ms
                for incarnation, target in self.targets.items()
            }
        )
        self.moving_until_ms: dict[int, float] = {}
        self.events: list[tuple[float, int, Target]] = []
        self.arrived_ms: dict[int, float] = {}
        self.number = 0
        self.in_time = self.asked = self.moved = self.counted_from = 0

    def run(
        self,
        from_ms: float,
        until_ms: float,
        per_s: float,
        hot: range,
        hot_share: float,
        cools: bool,
    ) -> None:
        """Simulates requests, a share of them for the hot keys.

        Args:
          from_ms: start of the period.
          until_ms: end of the period.
          per_s: request rate.
          hot: the hot keys.
          hot_share: share of the requests that are for hot keys.
          cools: whether targets move hot stripes away.
        """
        now_ms = from_ms
        checked_ms = from_ms
        while now_ms < until_ms:
            now_ms += self.rng.expovariate(per_s / 1_000)
            self.complete_requests(now_ms)
            if cools and now_ms - checked_ms >= heat_module.CHECK_INTERVAL_MS:
                checked_ms = now_ms
                self.move_hot_stripes(now_ms)
            is_hot = self.rng.random() < hot_share
            keys = hot if is_hot else range(model.KEYS)
            self.offer_request(now_ms, self.rng.choice(keys))

    def reset_counts(self) -> None:
        """Restarts the counts; earlier requests are not counted."""
        self.in_time = self.asked = 0
        self.counted_from = self.number + 1

    def offer_request(self, now_ms: float, key: int) -> None:
        """Offers a request to the owner of its key."""
        self.asked += 1
        self.number += 1
        stripe = self.table.stripe_of(key)
        if self.moving_until_ms.get(stripe, 0.0) > now_ms:
            return
        target = self.targets[self.table.owner_of(key)]
        work_ms = target.queue.work_times.expected_ms(
            "lookup", self.objective_ms
        )
        target.stripe_load.record_arrival(now_ms, stripe, work_ms)
        ticket = mesh.ticket(
            self.number,
            now_ms,
            objective_ms=self.objective_ms,
            deadline_ms=4 * self.objective_ms,
        )
        self.arrived_ms[self.number] = now_ms
        self.start_admitted(
            now_ms, target, [target.queue.offer(now_ms, ticket)]
        )

    def start_admitted(
        self, now_ms: float, target: Target, decided: list
    ) -> None:
        """Starts the requests that were admitted to a slot."""
        for decision in decided:
            if isinstance(decision, admission_queue.Admitted):
                took_ms = target.work_ms * self.rng.uniform(0.5, 1.5)
                ended = (now_ms + took_ms, decision.request.number, target)
                heapq.heappush(self.events, ended)

    def complete_requests(self, until_ms: float) -> None:
        """Completes the requests that end by a time."""
        while self.events and self.events[0][0] <= until_ms:
            now_ms, number, target = heapq.heappop(self.events)
            took_ms = now_ms - self.arrived_ms.pop(number)
            if number >= self.counted_from:
                self.in_time += took_ms <= self.objective_ms
            self.start_admitted(
                now_ms,
                target,
                target.queue.on_request_ended(now_ms, number, True),
            )

    def move_hot_stripes(self, now_ms: float) -> None:
        """Moves stripes away from targets that are overloaded by them."""
        loads = {
            incarnation: heat_module.TargetLoad(
                target.stripe_load.utilisation(now_ms, target.slots),
                target.slots / target.work_ms,
            )
            for incarnation, target in self.targets.items()
        }
        for incarnation, target in self.targets.items():
            own = set(self.table.owned_by(incarnation))
            found = target.stripe_load.hot_stripes(now_ms, target.slots)
            hot = {stripe: found[stripe] for stripe in found if stripe in own}
            left = sum(
                part for stripe, part in found.items() if stripe not in own
            )
            others = {
                other: load
                for other, load in loads.items()
                if other != incarnation
            }
            load = loads[incarnation]
            moves = heat_module.hot_stripe_moves(
                load.utilisation - left, hot, load.capacity_weight, others
            )
            self.move_stripes(now_ms, moves)
            stays = {each: hot[each] for each in hot if each not in moves}
            target.reserve.update(now_ms, load.utilisation - left, stays)
        weights = {
            incarnation: target.slots
            / target.work_ms
            * (1.0 - target.reserve.reserved_share)
            for incarnation, target in self.targets.items()
        }
        pinned = {
            stripe
            for target in self.targets.values()
            for stripe in target.reserve.pinned_stripes
        }
        proposed = rebalancing.rebalancing_moves(self.table, weights)
        self.move_stripes(
            now_ms,
            {each: proposed[each] for each in proposed if each not in pinned},
        )

    def move_stripes(
        self, now_ms: float, moves: dict[int, model.Incarnation]
    ) -> None:
        """Assigns stripes to new owners."""
        if not moves:
            return
        self.moved += len(moves)
        self.table = table_module.with_moves(
            self.table, {index: (to, "h") for index, to in moves.items()}
        )
        for stripe in moves:
            self.moving_until_ms[stripe] = now_ms + MOVE_MS


def service(
    count: int, slots: int, work_ms: float, objective_ms: float, seed: int = 1
) -> HotRangeSimulation:
    """Returns a service of targets with work times 0.7 to 1.3 of the mean."""
    targets = [
        Target(
            f"t{number:02}",
            slots,
            work_ms * (0.7 + 0.6 * (number % 5) / 4),
        )
        for number in range(count)
    ]
    return HotRangeSimulation(targets, objective_ms, seed)
