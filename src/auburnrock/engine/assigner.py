"""Decides which assignment pages this node writes, and when.

There is no elected assigner. Every node runs an assigner on its own replica.
Rendezvous hashing ranks the nodes for each service, and the node of rank k
acts on a need k rank delays after it first observed the need. A dead node of
rank 0 therefore costs one rank delay. Two nodes that act at once only contend:
each page changes by one compare-and-swap, and the loser decides again on the
latest page.

`needs.py` finds what has to be done; `page_change.py` computes the new page.
"""

import msgspec

from auburnrock import records
from auburnrock.engine import actions
from auburnrock.engine import needs as needs_lib
from auburnrock.engine import owner_choice
from auburnrock.engine import page_change
from auburnrock.engine import pages as pages_lib
from auburnrock.engine import record_writer
from auburnrock.engine import view as view_lib

PART = "assigner"
RANK_DELAY_MS = 300
REMOVE_ENDED_AFTER_MS = 60_000
PLANNED_MOVE_LIFE_MS = 10_000
FIRST_CANDIDATES = 3
MAX_RELEASING_OWNERS = 2
"""Maximum number of owners that release shards of one page for planned moves
at the same time. Each owner writes the page when it has released its shards,
and waits while another owner writes it."""


class _Plan(msgspec.Struct):
    move: page_change.PlannedMove
    ends_ms: int


class _Serving(msgspec.Struct):
    nodes: list[int]
    since_ms: int


class Assigner:
    """Assigns every shard of every keyed service to a living owner.

    The shell calls `on_change` after each change of the view, before it calls
    `on_store_result` with the result that contained the change, and `tick`
    about ten times a second.

    Attributes:
      incarnation: incarnation of this node.
      view: the replica and its views, shared with the other parts.
      chooser: chooses owners for shards that have none.
      rank_delay_ms: how long each rank waits for the preceding rank.
      create_settle_ms: how long the nodes of a service must have been
        unchanged before its first pages are written; 0 for no wait.
      capacities: estimated capacity of each incarnation; 1 where unknown.
      configuration: the configuration in force; None if none is.
    """

    def __init__(
        self,
        incarnation: int,
        view: view_lib.View,
        chooser: owner_choice.OwnerChooser,
        rank_delay_ms: int = RANK_DELAY_MS,
        create_settle_ms: int = 0,
    ):
        self.incarnation = incarnation
        self.view = view
        self.chooser = chooser
        self.rank_delay_ms = rank_delay_ms
        self.create_settle_ms = create_settle_ms
        self._serving: dict[str, _Serving] = {}
        self.capacities: dict[int, float] = {}
        self.configuration: records.Configuration | None = None
        self.needs = needs_lib.Needs(view)
        self._writer = record_writer.RecordWriter(PART, incarnation)
        self._writing: dict[str, page_change.PageChange] = {}
        self._plans: dict[str, dict[int, _Plan]] = {}
        self._ranks: dict[str, int | None] = {}
        self._ranks_version = -1

    def on_configuration(
        self, configuration: records.Configuration, now_ms: int
    ) -> None:
        """Applies the configuration in force."""
        self.configuration = configuration
        self.needs.on_configuration(configuration, now_ms)

    def on_change(self, changed: list[str], now_ms: int) -> None:
        """Updates the needs after these keys of the replica changed."""
        self.needs.on_change(changed, now_ms)

    def plan(
        self, moves: list[page_change.PlannedMove], now_ms: int
    ) -> list[actions.Action]:
        """Starts planned moves; drops and logs those that are not possible."""
        for move in moves:
            number = move.shard // records.SHARDS_PER_PAGE
            key = records.page_key(move.service, number)
            plan = _Plan(move, now_ms + PLANNED_MOVE_LIFE_MS)
            self._plans.setdefault(key, {})[move.shard] = plan
        return self.tick(now_ms)

    def planned(self, service: str) -> dict[int, int]:
        """The next owner of each shard whose planned move is unwritten."""
        return {
            shard: plan.move.to
            for plans in self._plans.values()
            for shard, plan in plans.items()
            if plan.move.service == service
        }

    def leader(self, service: str) -> int | None:
        """The node of rank 0 for a service; None if no node is active."""
        first = self.candidates_to_act(service, 1)
        return first[0] if first else None

    def candidates_to_act(
        self, service: str, count: int = FIRST_CANDIDATES
    ) -> list[int]:
        """The `count` nodes of the lowest ranks for a service, by rank."""
        return owner_choice.first_candidates(service, self._active(), count)

    def rank(self, service: str) -> int | None:
        """This node's rank for a service; None if it is not active."""
        if self._ranks_version != self.view.members.version:
            self._ranks.clear()
            self._ranks_version = self.view.members.version
        if service not in self._ranks:
            self._ranks[service] = owner_choice.rendezvous_rank(
                service, self.incarnation, self._active()
            )
        return self._ranks[service]

    def tick(self, now_ms: int) -> list[actions.Action]:
        """Writes the pages with a due need or a planned move."""
        self.needs.refresh(now_ms)
        log = self._drop_expired_plans(now_ms)
        candidates: dict[str, list[owner_choice.Candidate]] = {}
        for key in sorted({*self.needs.pages, *self._plans}):
            if self._may_act(key, now_ms):
                log += self._write_page(key, candidates)
        return log + self._remove_ended(now_ms)

    def on_store_result(
        self, result: actions.StoreResult, now_ms: int
    ) -> list[actions.Action]:
        """Handles the result of a swap; ignores results of other parts."""
        key = self._writer.on_result(result, now_ms)
        if key is None:
            return []
        writing = self._writing.pop(key, None)
        done = result.outcome == actions.StoreOutcome.DONE
        is_missing = result.current is None
        if writing is None:
            if done or (
                is_missing and result.outcome == actions.StoreOutcome.CONFLICT
            ):
                self.needs.removed.add(key)
            return []
        if not done:
            if result.outcome != actions.StoreOutcome.CONFLICT:
                self.needs.restart(key, now_ms)
            return []
        for shard in self._written_plans(key):
            del self._plans[key][shard]
        fields = [("key", key), ("changes", page_change.summary(writing))]
        return [
            actions.NotifyNodes(sorted(writing.affected - {records.NO_OWNER})),
            actions.LogEvent("page_written", fields),
        ]

    def _active(self) -> list[int]:
        return [each.incarnation for each in self.view.members.active()]

    def _may_act(self, key: str, now_ms: int) -> bool:
        if not self._writer.may_write(key, now_ms):
            return False
        if self.view.pages.is_undecodable(key):
            return False
        if key in self._plans:
            return True
        service = self.needs.pages[key].service
        rank = self.rank(service)
        if rank is None:
            return False
        since_ms = self.needs.pages[key].oldest_ms()
        if self.create_settle_ms and key not in self.view.pages.by_key:
            steady_ms = self._unchanged_since_ms(service, now_ms)
            since_ms = max(since_ms, steady_ms + self.create_settle_ms)
        return now_ms >= since_ms + rank * self.rank_delay_ms

    def _unchanged_since_ms(self, service: str, now_ms: int) -> int:
        """When the nodes that serve a service last changed."""
        nodes = [r.incarnation for r in self.view.members.serving(service)]
        known = self._serving.get(service)
        if known is None or known.nodes != nodes:
            known = self._serving[service] = _Serving(nodes, now_ms)
        return known.since_ms

    def _write_page(
        self,
        key: str,
        candidates: dict[str, list[owner_choice.Candidate]],
    ) -> list[actions.Action]:
        service, number = needs_lib.parse_page_key(key)
        page = self.view.pages.by_key.get(key)
        if service not in candidates:
            candidates[service] = self._candidates(service)
        if page is None:
            change = self._new_page(service, number, candidates[service])
            log: list[actions.Action] = []
        else:
            change = page_change.of_page(page)
            log = self._change_page(page, change, candidates[service])
        if change is None or not change.reasons:
            return log
        record = records.AssignmentPage(
            service=service,
            page=number,
            entries=change.entries,
            moving=change.moving,
            hot_keys=page.record.hot_keys if page else 0,
            writer=self._writer.next_writer(),
        )
        self._writing[key] = change
        data = records.encode_page(record)
        revision = page.revision if page else 0
        return [*log, self._writer.swap(key, data, revision)]

    def _new_page(
        self,
        service: str,
        number: int,
        candidates: list[owner_choice.Candidate],
    ) -> page_change.PageChange | None:
        settings = self.needs.keyed.get(service)
        if settings is None or not candidates:
            return None
        return page_change.initial(
            service, number, settings, candidates, self.chooser
        )

    def _change_page(
        self,
        page: pages_lib.Page,
        change: page_change.PageChange,
        candidates: list[owner_choice.Candidate],
    ) -> list[actions.Action]:
        members = self.view.members
        page_change.reassign(change, page, members, candidates, self.chooser)
        page_change.drop_stuck_moves(change, page, members)
        settings = self.needs.keyed.get(page.record.service)
        if settings is not None:
            size = page_change.page_size(settings, page.record.page)
            page_change.extend(change, size)
        log: list[actions.Action] = []
        plans = self._plans.get(page.key, {})
        releasing = {page.entry(shard).owner for shard in page.moving()}
        for shard, plan in sorted(plans.items()):
            owner = page.owner_of(shard)
            if (
                owner not in releasing
                and len(releasing) >= MAX_RELEASING_OWNERS
            ):
                continue
            problem = page_change.add_move(change, page, plan.move, members)
            if problem:
                del plans[shard]
                log.append(_move_dropped(plan.move, problem))
            else:
                releasing.add(owner)
        if not plans:
            self._plans.pop(page.key, None)
        return log

    def _candidates(self, service: str) -> list[owner_choice.Candidate]:
        owned = self.view.pages.owned.get(service, {})
        return [
            owner_choice.Candidate(
                record.incarnation,
                record.zone,
                owned.get(record.incarnation, 0),
                self.capacities.get(record.incarnation, 1.0),
            )
            for record in self.view.members.serving(service)
        ]

    def _written_plans(self, key: str) -> list[int]:
        """The shards whose planned moves are now in the page."""
        page = self.view.pages.by_key.get(key)
        moving = page.moving() if page else {}
        return [
            shard
            for shard, plan in self._plans.get(key, {}).items()
            if moving.get(shard) == plan.move.to
        ]

    def _drop_expired_plans(self, now_ms: int) -> list[actions.Action]:
        log: list[actions.Action] = []
        for key, plans in list(self._plans.items()):
            for shard, plan in list(plans.items()):
                if now_ms >= plan.ends_ms:
                    del plans[shard]
                    log.append(
                        _move_dropped(
                            plan.move, "the move was not written in time"
                        )
                    )
            if not plans:
                del self._plans[key]
        return log

    def _remove_ended(self, now_ms: int) -> list[actions.Action]:
        rank = self.rank("")
        if rank is None:
            return []
        wait_ms = REMOVE_ENDED_AFTER_MS + rank * self.rank_delay_ms
        swaps: list[actions.Action] = []
        for incarnation in self.needs.removable(now_ms - wait_ms):
            record = self.view.members.get(incarnation)
            key = records.node_key(record.name, incarnation)
            if self._writer.may_write(key, now_ms):
                revision = self.view.members.revision(incarnation)
                swaps.append(self._writer.swap(key, None, revision))
        return swaps


def _move_dropped(
    move: page_change.PlannedMove, problem: str
) -> actions.LogEvent:
    fields = [
        ("service", move.service),
        ("shard", str(move.shard)),
        ("to", f"{move.to:x}"),
        ("problem", problem),
    ]
    return actions.LogEvent("planned_move_dropped", fields)
