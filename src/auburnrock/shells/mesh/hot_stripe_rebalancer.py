"""Hot keys of a crowded target: what comes for them, and where they should go.

The decisions are in engine/mesh/hot_stripes; `moves` carries them out.
"""

import collections

from auburnrock.engine.mesh import hot_stripes
from auburnrock.engine.mesh import key_table as table_module
from auburnrock.engine.mesh import model
from auburnrock.shells.mesh import ownership_context

KEPT_MS = 2_500.0
"""A hot stripe that has not moved by then stays."""


class HotStripeRebalancer(ownership_context.OwnershipTask):
    """Watches the heat of this node's target.

    Attributes:
      hot: new owners of hot stripes, and when each was decided.
      looked_ms: when it last looked.
    """

    def __init__(self, parts: ownership_context.OwnershipContext):
        super().__init__(parts)
        self.hot: dict[int, tuple[model.Incarnation, float]] = {}
        self.looked_ms = 0.0

    def is_due(self, now_ms: float) -> bool:
        """Whether to look now: the target is crowded, or was lately."""
        if now_ms - self.looked_ms < hot_stripes.CHECK_INTERVAL_MS:
            return False
        self.looked_ms = now_ms
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
        """Looks for hot stripes; whether any should go elsewhere.

        Args:
          now_ms: the time.
          table: present owners of the stripes.
          weights: targets that may own keys, and their shares.
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
                # It has left, or is about to.
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
        for stripe, life in moves.items():
            self.hot[stripe] = (life, now_ms)
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
        """Planned moves as the heat changes them."""
        self.hot = {
            stripe: (life, since_ms)
            for stripe, (life, since_ms) in self.hot.items()
            if now_ms - since_ms < KEPT_MS
        }
        moves = planned | {
            stripe: life for stripe, (life, _) in self.hot.items()
        }
        if not self.holder.draining:
            for stripe in self.context.hot_stripe_reservation.pinned_stripes:
                moves.pop(stripe, None)
        return moves

    def _others(
        self,
        table: table_module.KeyTable,
        weights: dict[model.Incarnation, float],
    ) -> dict[model.Incarnation, hot_stripes.TargetLoad]:
        """Other targets that hot keys may go to, with their loads."""
        loads = self.context.peer_utilisation()
        entries = self.peers.directory.entries
        owned = collections.Counter(stripe.owner for stripe in table.stripes)
        least = (
            hot_stripes.RECIPIENT_OWNED_SHARE_MIN
            * len(table.stripes)
            / len(table.owners)
        )
        settled = {
            life
            for place, life in enumerate(table.owners)
            if owned[place] >= least
        }
        return {
            life: hot_stripes.TargetLoad(loads[life.node], weight)
            for life, weight in weights.items()
            if life != self.holder.incarnation
            and life in settled
            and life.node in loads
            and life.node in entries
            and not entries[life.node].cold
        }
