"""Results of non-idempotent work, stored by the owner of a shard.

The caller identifies the work by an idempotency key, a UUIDv7 (RFC 9562),
which contains its creation time. For each shard the owner stores results and a
floor: for keys created before the floor, the owner may not know whether their
work ran. The floor begins at the time at which the owner's epoch began, and
rises when results are evicted. A request whose key was created before the
floor plus the clock margin is answered with "outcome unknown", so work that
may have run is never run again, whatever is evicted.

A planned move transfers the results and the floor, so nothing is lost.
"""

import enum
import re

import msgspec

from auburnrock import errors
from auburnrock import messages

CLOCK_MARGIN_MS = 1_000
RETENTION_MS = 600_000
MOST_RESULTS = 50_000
MOST_BYTES = 32 * 1024 * 1024
MAX_STORED_ANSWER_BYTES = 64 * 1024
RESULT_OVERHEAD_BYTES = 400
HEADER_OVERHEAD_BYTES = 16
_UUID7 = re.compile(
    "[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}"
)


class State(str, enum.Enum):
    """State of one piece of work.

    RUNNING: the work was started and has not ended.
    DONE: the work ended and its answer is stored.
    UNKNOWN: the work was started, and whether it ran will never be known, or
      its answer was too large to store.
    """

    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"


class WorkName(msgspec.Struct, frozen=True):
    """Identity of one piece of work.

    Equal idempotency keys from different callers must not collide, so the
    service, the key and a scope such as the caller are part of the identity.
    """

    service: str
    key: str
    scope: str
    idempotency_key: str


class Result(msgspec.Struct):
    """Stored record of one piece of work.

    Attributes:
      name: identity of the work.
      born_ms: wall-clock time at which its idempotency key was created.
      fingerprint: hash of the request, to detect a key used for other work.
      state: state of the work.
      response: the stored answer if the state is DONE, otherwise None.
    """

    name: WorkName
    born_ms: int
    fingerprint: str
    state: State = State.RUNNING
    response: messages.Response | None = None


class ShardResults(msgspec.Struct):
    """Results of one shard, as a planned move transfers them.

    Attributes:
      service: name of the service.
      shard: number of the shard.
      epoch: the owner's epoch in which the results were stored.
      floor_ms: wall-clock time up to which keys may have been created whose
        results are not known.
      results: the stored results.
    """

    service: str
    shard: int
    epoch: int
    floor_ms: int
    results: list[Result] = []


class Run(msgspec.Struct, frozen=True):
    """The work has not run; run it and report how it ends."""


class Replay(msgspec.Struct, frozen=True):
    """The work was done before; this was its answer.

    Its stream and request id are those of the first request; the shell
    replaces them by those of the repeat.
    """

    response: messages.Response


class Decline(msgspec.Struct, frozen=True):
    """Do not run the work; answer with this failure."""

    failure: errors.Failure


Verdict = Run | Replay | Decline


class _Shard:
    """Results of one owned shard.

    Attributes:
      epoch: epoch of the shard at this owner.
      epoch_floor_ms: wall-clock time from which results are known, as of the
        start of the epoch.
      eviction_floor_ms: wall-clock time; no result whose key was created later
        has been evicted in the epoch.
      results: the results by the identity of the work.
    """

    __slots__ = ("epoch", "epoch_floor_ms", "eviction_floor_ms", "results")

    def __init__(self, epoch: int, epoch_floor_ms: int):
        self.epoch = epoch
        self.epoch_floor_ms = epoch_floor_ms
        self.eviction_floor_ms = 0
        self.results: dict[WorkName, Result] = {}

    def floor_ms(self) -> int:
        """Returns the wall-clock time up to which keys' work may have run."""
        return max(self.epoch_floor_ms, self.eviction_floor_ms)


class ResultWindow:
    """Results of all shards that one node owns.

    Attributes:
      clock_margin_ms: largest difference allowed between two wall clocks.
      retention_ms: how long after its key was created a result is stored.
      most_results: bound on the number of results.
      most_bytes: bound on the size of the stored answers.
      count: current number of results.
      size_bytes: approximate size of the stored answers.
      shards: the owned shards by service and number.
      expiry_pending: the shards that `expire` has yet to process in this round.
    """

    __slots__ = (
        "clock_margin_ms",
        "count",
        "expiry_pending",
        "most_bytes",
        "most_results",
        "retention_ms",
        "shards",
        "size_bytes",
    )

    def __init__(
        self,
        clock_margin_ms: int = CLOCK_MARGIN_MS,
        retention_ms: int = RETENTION_MS,
        most_results: int = MOST_RESULTS,
        most_bytes: int = MOST_BYTES,
    ):
        self.clock_margin_ms = clock_margin_ms
        self.retention_ms = retention_ms
        self.most_results = most_results
        self.most_bytes = most_bytes
        self.count = 0
        self.size_bytes = 0
        self.shards: dict[tuple[str, int], _Shard] = {}
        self.expiry_pending: list[tuple[str, int]] = []

    def own(self, service: str, shard: int, epoch: int, wall_ms: int) -> None:
        """Begins an epoch of a shard; no change if it has begun already."""
        state = self.shards.get((service, shard))
        if state is not None and state.epoch == epoch:
            return
        self.disown(service, shard)
        self.shards[service, shard] = _Shard(epoch, wall_ms)

    def set_owned(
        self, epochs: dict[tuple[str, int], int], wall_ms: int
    ) -> None:
        """Sets which shards this node owns from now on.

        To be called as soon as the assignment changes, not when the first
        request arrives, because keys created before the call are refused. The
        assignment decides, not the lease, which may lapse and be regained
        within an epoch.

        Args:
          epochs: epoch of each owned shard by service and number.
          wall_ms: the current wall-clock time.
        """
        for service, shard in self.shards.keys() - epochs.keys():
            self.disown(service, shard)
        for (service, shard), epoch in epochs.items():
            self.own(service, shard, epoch, wall_ms)

    def disown(self, service: str, shard: int) -> None:
        """Drops a shard that is no longer owned, with its results."""
        state = self.shards.pop((service, shard), None)
        if state is None:
            return
        for result in state.results.values():
            self._uncount(result)

    def begin(
        self,
        wall_ms: int,
        shard: int,
        name: WorkName,
        fingerprint: str,
        is_first_attempt: bool = False,
    ) -> Verdict:
        """Decides about a request that arrived; for Run, its work is recorded.

        Args:
          wall_ms: the current wall-clock time.
          shard: number of the shard; it must be owned.
          name: identity of the work.
          fingerprint: hash of the request.
          is_first_attempt: whether the caller states that this is its first
            attempt, and the entry that it has sent the request to no node that
            may have run it.
        """
        state = self.shards[name.service, shard]
        result = state.results.get(name)
        if result is not None:
            return self._repeat_verdict(result, fingerprint)
        born_ms = uuid7_time_ms(name.idempotency_key)
        if born_ms is None:
            return _bad_key(
                "not a UUIDv7 in lower case with hyphens; create one for each"
                " piece of work"
            )
        if born_ms > wall_ms + self.clock_margin_ms:
            return _bad_key(
                "its time is in the future; check the caller's clock"
            )
        floor_ms = (
            state.eviction_floor_ms if is_first_attempt else state.floor_ms()
        )
        if born_ms <= floor_ms + self.clock_margin_ms:
            return _decline(
                errors.ErrorKind.OUTCOME_UNKNOWN,
                "the idempotency key was created before this owner stored"
                " results; its work may have run: check before using a new key",
            )
        if self._is_full():
            return _decline(
                errors.ErrorKind.OVERLOADED,
                "no more results can be stored, so new non-idempotent work is"
                " refused; retry later",
            )
        result = Result(name, born_ms, fingerprint)
        state.results[name] = result
        self._count(result)
        return Run()

    def not_run(self, shard: int, name: WorkName) -> None:
        """Records that started work did not run, so a repeat may run."""
        state = self.shards.get((name.service, shard))
        if state is None or name not in state.results:
            return
        assert state.results[name].state is State.RUNNING
        self._uncount(state.results.pop(name))

    def done(
        self, shard: int, name: WorkName, response: messages.Response
    ) -> None:
        """Records that the work was done and stores its answer for repeats.

        An answer that arrives after the outcome was recorded as unknown is
        still correct, and is stored too.
        """
        result = self._find(shard, name)
        if result is None or result.state is State.DONE:
            return
        self._uncount(result)
        if size_of(response) > MAX_STORED_ANSWER_BYTES:
            result.state = State.UNKNOWN
        else:
            result.state = State.DONE
            result.response = response
        self._count(result)

    def lost(self, shard: int, name: WorkName) -> None:
        """Records that it is not known whether the work ran.

        No repeat may run it.
        """
        result = self._find(shard, name)
        if result is not None and result.state is State.RUNNING:
            result.state = State.UNKNOWN

    def expire(self, wall_ms: int) -> None:
        """Evicts one shard's results whose keys are older than the retention.

        Each call processes the next shard, so that no call takes long; to be
        called several times a second.
        """
        if not self.expiry_pending:
            self.expiry_pending = list(self.shards)
        if not self.expiry_pending:
            return
        state = self.shards.get(self.expiry_pending.pop())
        if state is None:
            return
        floor_ms = max(state.eviction_floor_ms, wall_ms - self.retention_ms)
        state.eviction_floor_ms = floor_ms
        for name, result in list(state.results.items()):
            if self._may_evict(result, floor_ms):
                self._uncount(state.results.pop(name))

    def export(self, service: str, shard: int) -> ShardResults:
        """Returns the results that the next owner of a released shard needs.

        No work of the shard may be running. Call `disown` afterwards.
        """
        state = self.shards[service, shard]
        results = list(state.results.values())
        for result in results:
            assert result.state is not State.RUNNING, result.name
        return ShardResults(
            service, shard, state.epoch, state.floor_ms(), results
        )

    def adopt(self, exported: ShardResults) -> bool:
        """Adds the results of the epoch just before the shard's current one.

        They may arrive at any time in the current epoch. If they do not fit,
        the newest are stored and the floor stays above the others. Returns
        False, and changes nothing, for results of any other epoch, because the
        work of the epochs between would be missing.
        """
        state = self.shards.get((exported.service, exported.shard))
        if state is None or exported.epoch != state.epoch - 1:
            return False
        newest_first = sorted(
            exported.results, key=lambda result: result.born_ms, reverse=True
        )
        for result in newest_first:
            if result.name in state.results:
                continue
            if self._is_full():
                state.eviction_floor_ms = max(
                    state.eviction_floor_ms, result.born_ms
                )
                break
            state.results[result.name] = result
            self._count(result)
        state.epoch_floor_ms = exported.floor_ms
        return True

    def _repeat_verdict(self, result: Result, fingerprint: str) -> Verdict:
        if result.fingerprint != fingerprint:
            return _bad_key("already used for other work; create a new one")
        if result.state is State.DONE:
            return Replay(result.response)
        if result.state is State.RUNNING:
            return _decline(
                errors.ErrorKind.IN_PROGRESS,
                "the same work is running; retry later for its answer",
            )
        return _decline(
            errors.ErrorKind.OUTCOME_UNKNOWN,
            "the work was started and its outcome is unknown; it is not run"
            " again: check before using a new key",
        )

    def _may_evict(self, result: Result, floor_ms: int) -> bool:
        return result.state is not State.RUNNING and result.born_ms <= floor_ms

    def _is_full(self) -> bool:
        return (
            self.count >= self.most_results
            or self.size_bytes >= self.most_bytes
        )

    def _find(self, shard: int, name: WorkName) -> Result | None:
        state = self.shards.get((name.service, shard))
        return None if state is None else state.results.get(name)

    def _count(self, result: Result) -> None:
        self.count += 1
        self.size_bytes += size_of(result.response)

    def _uncount(self, result: Result) -> None:
        self.count -= 1
        self.size_bytes -= size_of(result.response)


def uuid7_time_ms(idempotency_key: str) -> int | None:
    """Returns the Unix time in ms of a UUIDv7, or None for any other text.

    Only the usual spelling is accepted, so that two spellings cannot identify
    the same work.
    """
    if _UUID7.fullmatch(idempotency_key) is None:
        return None
    return int(idempotency_key[:8] + idempotency_key[9:13], 16)


def size_of(response: messages.Response | None) -> int:
    """Returns the approximate size in bytes of a stored answer."""
    if response is None:
        return RESULT_OVERHEAD_BYTES
    headers = sum(
        len(name) + len(value) + HEADER_OVERHEAD_BYTES
        for name, value in response.headers
    )
    return RESULT_OVERHEAD_BYTES + len(response.body) + headers


def _bad_key(reason: str) -> Decline:
    return _decline(
        errors.ErrorKind.BAD_REQUEST, f"bad idempotency key: {reason}"
    )


def _decline(kind: errors.ErrorKind, message: str) -> Decline:
    return Decline(errors.Failure(kind, message))
