"""Rebalancing of the hot stripes of an overloaded target.

The decisions are in engine/mesh/hot_stripes; `moves` executes the moves.
"""

import collections

from auburnrock.engine.mesh import hot_stripes
from auburnrock.engine.mesh import key_table as table_module
from auburnrock.engine.mesh import model
from auburnrock.shells.mesh import ownership_context

HOT_MOVE_RETENTION_MS = 2_500.0
"""Time after which the planned move of a hot stripe is dropped."""


class HotStripeRebalancer(ownership_context.OwnershipTask):
    """Plans moves of hot stripes away from this node's target.

    Attributes:
      hot: new owner of each hot stripe, and when the move was planned.
      checked_ms: when the load was last checked.
      counted_table: the table of `owned`; None before the first.
      owned: stripes of each owner, by its place in the table.
    """

    def __init__(self, parts: ownership_context.OwnershipContext):
        super().__init__(parts)
        self.hot: dict[int, tuple[model.Incarnation, float]] = {}
        self.checked_ms = 0.0
        self.counted_table: table_module.KeyTable | None = None
        self.owned: collections.Counter[int] = collections.Counter()

    def is_due(self, now_ms: float) -> bool:
        """Whether to plan now: the target is, or recently was, overloaded."""
        if now_ms - self.checked_ms < hot_stripes.CHECK_INTERVAL_MS:
            return False
        self.checked_ms = now_ms
        used = self.context.stripe_load.utilisation(
            now_ms, self.context.slots()
        )
        return (
            used > hot_stripes.OVERLOAD_THRESHOLD
            or self.context.hot_stripe_reservation.reserved_share > 0.0
        )

    def plan_moves(
        self,
        now_ms: float,
        table: table_module.KeyTable,
        weights: dict[model.Incarnation, float],
    ) -> bool:
        """Plans moves of hot stripes, and updates the reserve.

        Args:
          now_ms: current time.
          table: current owners of the stripes.
          weights: targets that may own keys, and their shares.

        Returns:
          Whether any stripe is to be moved.
        """
        own = self.holder.incarnation
        if own not in weights:
            return False
        slots = self.context.slots()
        used = self.context.stripe_load.utilisation(now_ms, slots)
        hot: dict[int, float] = {}
        for stripe, part in self.context.stripe_load.hot_stripes(
            now_ms, slots
        ).items():
            if stripe in self.holder.served_until_ms:
                hot[stripe] = part
            else:
                # The stripe has been moved, or is about to be.
                used -= part
        reserve = self.context.hot_stripe_reservation
        before = reserve.reserved_share
        weight = weights[own] / (1.0 - before)
        moves = hot_stripes.hot_stripe_moves(
            used, hot, weight, self._others(table, weights)
        )
        stays = {each: hot[each] for each in hot if each not in moves}
        reserve.update(now_ms, used, stays)
        if reserve.reserved_share != before:
            self.log.write(
                "giant_stripes",
                table=table.version,
                reserved=round(reserve.reserved_share, 2),
                before=round(before, 2),
            )
        if not moves:
            return False
        for stripe, incarnation in moves.items():
            self.hot[stripe] = (incarnation, now_ms)
        self.log.write(
            "hot_stripes",
            table=table.version,
            used=round(used, 2),
            moved=round(sum(hot[stripe] for stripe in moves), 2),
            count=len(moves),
        )
        return True

    def apply_to_plan(
        self, now_ms: float, planned: dict[int, model.Incarnation]
    ) -> dict[int, model.Incarnation]:
        """Returns the planned moves with those of hot stripes applied."""
        self.hot = {
            stripe: (incarnation, since_ms)
            for stripe, (incarnation, since_ms) in self.hot.items()
            if now_ms - since_ms < HOT_MOVE_RETENTION_MS
            and not self.context.is_evacuated(incarnation.node)
        }
        moves = planned | {
            stripe: incarnation for stripe, (incarnation, _) in self.hot.items()
        }
        if not self.context.gives_up_keys():
            for stripe in self.context.hot_stripe_reservation.pinned_stripes:
                moves.pop(stripe, None)
        return moves

    def _others(
        self,
        table: table_module.KeyTable,
        weights: dict[model.Incarnation, float],
    ) -> dict[model.Incarnation, hot_stripes.TargetLoad]:
        """Returns the loads of the targets that may receive hot stripes."""
        loads = self.context.peer_utilisation()
        entries = self.peers.directory.entries
        if self.counted_table is not table:
            self.counted_table = table
            self.owned = collections.Counter(
                stripe.owner for stripe in table.stripes
            )
        owned = self.owned
        least = (
            hot_stripes.RECIPIENT_OWNED_SHARE_MIN
            * len(table.stripes)
            / len(table.owners)
        )
        settled = {
            incarnation
            for place, incarnation in enumerate(table.owners)
            if owned[place] >= least
        }
        return {
            incarnation: hot_stripes.TargetLoad(loads[incarnation.node], weight)
            for incarnation, weight in weights.items()
            if incarnation != self.holder.incarnation
            and incarnation in settled
            and incarnation.node in loads
            and incarnation.node in entries
            and not entries[incarnation.node].cold
        }
