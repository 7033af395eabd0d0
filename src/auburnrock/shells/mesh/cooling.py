"""Hot keys of a crowded target: what comes for them, and where they should go.

The decisions are in engine/mesh/heat; `moves` carries them out.
"""

import collections

from auburnrock.engine.mesh import heat
from auburnrock.engine.mesh import model
from auburnrock.engine.mesh import table as table_module
from auburnrock.shells.mesh import parts as parts_module

KEPT_MS = 2_500.0
"""A hot stripe that has not moved by then stays."""


class Cooling(parts_module.Task):
    """Watches the heat of this node's target.

    Attributes:
      hot: new owners of hot stripes, and when each was decided.
      looked_ms: when it last looked.
    """

    def __init__(self, parts: parts_module.Parts):
        super().__init__(parts)
        self.hot: dict[int, tuple[model.Life, float]] = {}
        self.looked_ms = 0.0

    def is_due(self, now_ms: float) -> bool:
        """Whether to look now: the target is crowded, or was lately."""
        if now_ms - self.looked_ms < heat.EVERY_MS:
            return False
        self.looked_ms = now_ms
        used = self.parts.heat.total(now_ms, self.parts.slots())
        return used > heat.CROWDED or self.parts.reserve.part > 0.0

    def look(
        self,
        now_ms: float,
        table: table_module.KeyTable,
        weights: dict[model.Life, float],
    ) -> bool:
        """Looks for hot stripes; whether any should go elsewhere.

        Args:
          now_ms: the time.
          table: present owners of the stripes.
          weights: targets that may own keys, and their shares.
        """
        own = self.holder.life
        if own not in weights:
            return False
        slots = self.parts.slots()
        used = self.parts.heat.total(now_ms, slots)
        hot: dict[int, float] = {}
        for stripe, part in self.parts.heat.hot(now_ms, slots).items():
            if stripe in self.holder.granted:
                hot[stripe] = part
            else:
                # It has left, or is about to.
                used -= part
        reserve = self.parts.reserve
        before = reserve.part
        weight = weights[own] / (1.0 - before)
        moves = heat.moves(used, hot, weight, self._others(table, weights))
        stays = {each: hot[each] for each in hot if each not in moves}
        reserve.look(now_ms, used, stays)
        if reserve.part != before:
            self.log.write(
                "giant_stripes",
                table=table.version,
                reserved=round(reserve.part, 2),
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

    def changed(
        self, now_ms: float, planned: dict[int, model.Life]
    ) -> dict[int, model.Life]:
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
            for stripe in self.parts.reserve.giants:
                moves.pop(stripe, None)
        return moves

    def _others(
        self, table: table_module.KeyTable, weights: dict[model.Life, float]
    ) -> dict[model.Life, heat.Load]:
        """Other targets that hot keys may go to, with their loads."""
        loads = self.parts.loads()
        entries = self.hub.directory.entries
        owned = collections.Counter(stripe.owner for stripe in table.stripes)
        least = heat.OWNED_LEAST * len(table.stripes) / len(table.lives)
        settled = {
            life
            for place, life in enumerate(table.lives)
            if owned[place] >= least
        }
        return {
            life: heat.Load(loads[life.member], weight)
            for life, weight in weights.items()
            if life != self.holder.life
            and life in settled
            and life.member in loads
            and life.member in entries
            and not entries[life.member].cold
        }
