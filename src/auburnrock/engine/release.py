"""Admission of requests for owned shards, and release of owned shards.

A node serves a shard at an epoch if the page in its own replica names it as
owner at that epoch, its lease is live and it has not released that shard at
that epoch. A stale page is harmless: a shard moves away from a living owner
only after that owner has released it, and the owner records the release; it
moves away from a dead owner only after the owner's lease has ended for good.

release.json is the state chart of one release. From `releasing` on, this
incarnation never serves the shard at that epoch again, whatever the outcome of
the write that hands it over. `keeping` hands a shard that its target does not
stop working on back to this node itself, at the next epoch.
"""

import abc
import enum

import msgspec

from auburnrock import records
from auburnrock.engine import actions
from auburnrock.engine import chart
from auburnrock.engine import grants as grants_lib
from auburnrock.engine import hand_over
from auburnrock.engine import in_force as in_force_lib
from auburnrock.engine import own_shards
from auburnrock.engine import owner_choice
from auburnrock.engine import page_change
from auburnrock.engine import pages as pages_lib
from auburnrock.engine import record_writer
from auburnrock.engine import view as view_lib
from auburnrock.targets import base as targets_base

PART = "release"
DRAIN_MARGIN_MS = 500
"""Time beyond a service's request timeout that the work on a shard has to end
before its release counts as overdue."""
STORE_SUCCESS_VALID_MS = 1_000
"""How long after a successful write the store is assumed to work."""
RETRY_PAUSE_MS = 2_000
"""Time until a move that was abandoned is tried again."""

_CHART = chart.load("release.json")


class Admission(enum.Enum):
    """Whether a request for a shard may start.

    SERVE: the request may start.
    MOVING: the shard is being released; the request may start soon, here or
      on another node. Hold it within its deadline.
    NOT_OWNER: another node owns the shard, or no node does.
    NO_LEASE: this node's lease is not live.
    NO_TARGET: no target of the service is beside this node.
    BEHIND: this node's configuration is too old for the shard.
    """

    SERVE = "serve"
    MOVING = "moving"
    NOT_OWNER = "not_owner"
    NO_LEASE = "no_lease"
    NO_TARGET = "no_target"
    BEHIND = "behind"


class WorkCount(abc.ABC):
    """Counts the work that this node has sent to its target."""

    @abc.abstractmethod
    def in_flight(self, service: str, shard: int) -> int:
        """Admitted requests that wait for the target's answer."""

    @abc.abstractmethod
    def unanswered(self, service: str, shard: int) -> int:
        """Requests abandoned without a complete answer of this target.

        They may continue to run for any time. They count for a target that
        does not report by itself what still runs.
        """


class Release(msgspec.Struct):
    """One release in progress.

    Attributes:
      shard: the shard.
      epoch: epoch at which this node owns it.
      to: the requested next owner; NO_OWNER to have one chosen.
      state: state of the release in release.json.
      since_ms: when the release entered that state.
    """

    shard: pages_lib.ServiceShard
    epoch: int
    to: int
    state: str
    since_ms: int


class Releases:
    """The shards of one node and their releases.

    The shell calls `on_change` after each change of the view, before it calls
    `on_store_result` with the result that contained the change, and `tick`
    about twenty times a second.

    Attributes:
      incarnation: incarnation of this node.
      view: the replica and its views, shared with the other parts.
      configuration: the configuration in force.
      grants: the grants and the state of the target.
      chooser: chooses the next owners of shards that must be released.
      work: counts the work in progress.
      releases: releases in progress, by service and shard.
      own: the shards that this node owns and those it released.
      leaving: whether this node hands over all its shards.
    """

    def __init__(
        self,
        incarnation: int,
        view: view_lib.View,
        configuration: in_force_lib.InForce,
        grants: grants_lib.Grants,
        chooser: owner_choice.OwnerChooser,
        work: WorkCount,
    ):
        self.incarnation = incarnation
        self.view = view
        self.configuration = configuration
        self.grants = grants
        self.chooser = chooser
        self.work = work
        self.releases: dict[str, dict[int, Release]] = {}
        self.own = own_shards.OwnShards(incarnation, view, configuration)
        self.leaving = False
        self._pause_until_ms: dict[pages_lib.ServiceShard, int] = {}
        self._store_succeeded_ms = -STORE_SUCCESS_VALID_MS
        self._writer = record_writer.RecordWriter(PART, incarnation)
        self._written: dict[str, page_change.PageChange] = {}

    def admission(
        self, service: str, shard: int, lease_is_live: bool, key: str = ""
    ) -> Admission:
        """Whether a request for a shard may start now. O(1).

        Args:
          service: the service.
          shard: the shard, as computed by the sender.
          lease_is_live: whether this node's lease is live.
          key: the key of the request. A sender with other settings may map it
            to another shard, so it must be passed for each request.
        """
        if not lease_is_live:
            return Admission.NO_LEASE
        entry = self.view.pages.owner(service, shard)
        if entry is None or entry.owner != self.incarnation:
            return Admission.NOT_OWNER
        if shard in self.releases.get(service, ()):
            return Admission.MOVING
        if entry.epoch <= self.own.released_epoch(service, shard):
            return Admission.NOT_OWNER
        if not self.own.hot_keys.is_shard_of(service, shard, key):
            return Admission.NOT_OWNER
        if not self.own.hot_keys.are_known(service, shard):
            return Admission.BEHIND
        target = self.grants.target
        if target is None or target.service != service:
            return Admission.NO_TARGET
        return Admission.SERVE

    def may_admit(self, service: str, shard: int, lease_is_live: bool) -> bool:
        """Whether a request for a shard may start now. O(1)."""
        admission = self.admission(service, shard, lease_is_live)
        return admission == Admission.SERVE

    def grantable(self) -> list[targets_base.GrantedShard]:
        """The shards that the target may serve, in order; for `Grants.next`.

        A draining shard is among them, since its work continues.
        """
        target = self.grants.target
        if target is None:
            return []
        return self.own.grantable(target.service)

    def on_change(self, changed: list[str], now_ms: int) -> None:
        """Updates the owned shards after these replica keys changed."""
        if any(key.startswith(records.PAGES_PREFIX) for key in changed):
            self.own.refresh()

    def leave(self) -> None:
        """Starts to hand over all shards, for a planned stop."""
        self.leaving = True

    def cancel_leave(self) -> None:
        """Stops handing over all shards."""
        self.leaving = False

    def is_empty(self) -> bool:
        """Whether this node owns no shards."""
        return not self.own.owned

    def tick(self, now_ms: int) -> list[actions.Action]:
        """Advances the releases and hands over released shards."""
        self.own.check_configuration()
        self._start_due(now_ms)
        requested: list[actions.Action] = []
        for releases in list(self.releases.values()):
            for release in list(releases.values()):
                requested += self._advance(release, now_ms)
        return requested + self._write(now_ms)

    def on_store_result(
        self, result: actions.StoreResult, now_ms: int
    ) -> list[actions.Action]:
        """Handles the result of a swap; ignores results of other parts."""
        key = self._writer.on_result(result, now_ms)
        if key is None:
            return []
        written = self._written.pop(key)
        if result.outcome != actions.StoreOutcome.DONE:
            return []
        self._store_succeeded_ms = now_ms
        affected = sorted(written.affected - {self.incarnation})
        fields = [("key", key), ("changes", page_change.summary(written))]
        return [
            actions.NotifyNodes(affected),
            actions.LogEvent("shards_handed_over", fields),
        ]

    def _release_of(self, shard: pages_lib.ServiceShard) -> Release | None:
        return self.releases.get(shard.service, {}).get(shard.shard)

    def _target_ended(self, service: str, now_ms: int) -> bool:
        """Whether no target can work under a grant of this node."""
        target = self.grants.target
        if target is None or target.service != service:
            return True
        if not self.grants.is_silent(now_ms):
            return False
        return self.grants.has_surely_ended(now_ms)

    def _must_release_all(self, service: str, now_ms: int) -> bool:
        target = self.grants.target
        drains = target is not None and target.draining
        return self.leaving or drains or self._target_ended(service, now_ms)

    def _start_due(self, now_ms: int) -> None:
        if not self.own.owned:
            return
        services = {shard.service for shard in self.own.owned}
        release_all = any(
            self._must_release_all(each, now_ms) for each in services
        )
        for shard in self.own.owned if release_all else self.own.to_hand_over:
            paused = now_ms < self._pause_until_ms.get(shard, 0)
            if self._release_of(shard) is not None or paused:
                continue
            if not self.own.is_held(shard):
                continue
            to = self._next_owner(shard, now_ms)
            if to is not None and self._may_start(shard.service, now_ms):
                self._start(shard, self.own.entry(shard).epoch, to, now_ms)

    def _may_start(self, service: str, now_ms: int) -> bool:
        """Whether to stop serving one more shard.

        No node serves a released shard until the store has accepted the
        hand-over. So one shard is released first, and the others follow once
        its hand-over has succeeded; in a store outage only that one is
        unavailable.
        """
        if self._target_ended(service, now_ms):
            return True
        if now_ms - self._store_succeeded_ms < STORE_SUCCESS_VALID_MS:
            return True
        return not any(self.releases.values())

    def _next_owner(
        self, shard: pages_lib.ServiceShard, now_ms: int
    ) -> int | None:
        """The next owner of a shard; NO_OWNER if any, None to keep it."""
        if self._must_release_all(shard.service, now_ms):
            others = hand_over.has_candidates(
                self.view, shard.service, self.incarnation
            )
            return records.NO_OWNER if others else None
        to = self.own.move_of(shard)
        if to is not None and hand_over.can_own(self.view, shard.service, to):
            return to
        if self.own.hot_keys.needs_rotation(shard):
            return self.incarnation
        return None

    def _start(
        self, shard: pages_lib.ServiceShard, epoch: int, to: int, now_ms: int
    ) -> None:
        release = Release(shard, epoch, to, _CHART.initial, now_ms)
        self.releases.setdefault(shard.service, {})[shard.shard] = release
        ended = self._target_ended(shard.service, now_ms)
        self._apply(release, "target_ended" if ended else "move", now_ms)

    def _advance(self, release: Release, now_ms: int) -> list[actions.Action]:
        state = release.state
        event = self._event(release, now_ms)
        if event is None or not _CHART.accepts(state, event):
            return []
        self._apply(release, event, now_ms)
        if event != "overdue":
            return []
        fields = [
            ("service", release.shard.service),
            ("shard", str(release.shard.shard)),
            ("state", state),
        ]
        return [actions.LogEvent("release_overdue", fields)]

    def _event(self, release: Release, now_ms: int) -> str | None:
        """The event that applies to a release, by priority; None if none."""
        service, shard = release.shard.service, release.shard.shard
        entry = self.view.pages.owner(service, shard)
        if entry != records.ShardEntry(self.incarnation, release.epoch):
            return "lost"
        if self._target_ended(service, now_ms):
            return "target_ended"
        if release.state == "draining":
            return self._draining_event(release, now_ms)
        if self._target_has_stopped(service, shard):
            return "confirmed"
        if now_ms >= release.since_ms + self._state_timeout_ms(service):
            return "overdue"
        return None

    def _draining_event(self, release: Release, now_ms: int) -> str | None:
        service, shard = release.shard.service, release.shard.shard
        next_owner = self._next_owner(release.shard, now_ms)
        if next_owner is None:
            return "cancel"
        release.to = next_owner
        if not self.work.in_flight(service, shard):
            return "idle"
        if now_ms >= release.since_ms + self._state_timeout_ms(service):
            return "overdue"
        return None

    def _target_has_stopped(self, service: str, shard: int) -> bool:
        """Whether the target has certainly stopped working on a shard."""
        if self.grants.target.checks_grants:
            return self.grants.is_released(shard)
        waiting = self.work.in_flight(service, shard)
        return not waiting and not self.work.unanswered(service, shard)

    def _state_timeout_ms(self, service: str) -> int:
        settings = self.configuration.settings(service)
        timeout_ms = settings.timeout_ms if settings else 0
        return timeout_ms + DRAIN_MARGIN_MS

    def _apply(self, release: Release, event: str, now_ms: int) -> None:
        transition = _CHART.next(release.state, event)
        release.state = transition.to
        release.since_ms = now_ms
        service, shard = release.shard.service, release.shard.shard
        if transition.do == "remember":
            self.own.record_release(release.shard, release.epoch)
        if transition.to == "keeping":
            self._pause_until_ms[release.shard] = now_ms + RETRY_PAUSE_MS
        if _CHART.is_final(release.state):
            del self.releases[service][shard]

    def _write(self, now_ms: int) -> list[actions.Action]:
        """Hands over released shards by one compare-and-swap for each page."""
        ready: dict[str, list[hand_over.Ready]] = {}
        for releases in self.releases.values():
            for release in releases.values():
                item = self._ready(release)
                if item is None:
                    continue
                page = self.view.pages.page_of(
                    release.shard.service, release.shard.shard
                )
                ready.setdefault(page.key, []).append(item)
        for key, shards in self.own.claims.items():
            ready.setdefault(key, [])
            ready[key] += [hand_over.Ready(n, self.incarnation) for n in shards]
        requested: list[actions.Action] = []
        for key, items in sorted(ready.items()):
            if self._writer.may_write(key, now_ms):
                requested += self._write_page(key, items)
        return requested

    def _ready(self, release: Release) -> hand_over.Ready | None:
        number = release.shard.shard
        if release.state == "released":
            return hand_over.Ready(number, release.to)
        if release.state == "keeping":
            return hand_over.Ready(number, self.incarnation)
        return None

    def _write_page(
        self, key: str, items: list[hand_over.Ready]
    ) -> list[actions.Action]:
        page = self.view.pages.by_key[key]
        if self.view.pages.is_undecodable(key):
            return []
        service = page.record.service
        owner = hand_over.Owner(self.incarnation, self._can_keep(service))
        change = hand_over.change_page(
            page, items, owner, self.view, self.chooser
        )
        if not change.reasons:
            return []
        record = msgspec.structs.replace(
            page.record,
            entries=change.entries,
            moving=change.moving,
            hot_keys=self._hot_keys_mark(page, items),
            writer=self._writer.next_writer(),
        )
        self._written[key] = change
        data = records.encode_page(record)
        return [self._writer.swap(key, data, page.revision)]

    def _hot_keys_mark(
        self, page: pages_lib.Page, items: list[hand_over.Ready]
    ) -> int:
        service = page.record.service
        known = self.own.hot_keys.known_count(service)
        kept = [
            pages_lib.ServiceShard(service, item.shard)
            for item in items
            if item.to == self.incarnation
        ]
        if any(self.own.hot_keys.needs_rotation(home) for home in kept):
            return max(page.record.hot_keys, known)
        return page.record.hot_keys

    def _can_keep(self, service: str) -> bool:
        """Whether this node may take a shard back at the next epoch."""
        record = self.view.members.get(self.incarnation)
        if record is None or record.state not in (
            records.NodeState.ACTIVE,
            records.NodeState.DRAINING,
        ):
            return False
        target = self.grants.target
        return target is not None and target.service == service
