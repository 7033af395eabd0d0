"""Results of non-idempotent work, kept by the owner of a shard.

The caller names the work with a UUIDv7 (RFC 9562) as idempotency key, which
holds the time at which it was made. For each shard the owner keeps results
and a floor: of keys made before the floor it may not know whether their work
ran. The floor begins at the time at which the owner's epoch began, and rises
when results are forgotten. A key made before the floor plus the clock margin
is answered with "outcome unknown"; so nothing that may have run is run again,
whatever is forgotten.

A planned move hands the results and the floor over, and loses nothing.
"""

import enum
import re

import msgspec

from auburnrock import errors
from auburnrock import messages

CLOCK_MARGIN_MS = 1_000
KEPT_MS = 600_000
MOST_RESULTS = 50_000
MOST_BYTES = 32 * 1024 * 1024
LARGEST_KEPT_ANSWER_BYTES = 64 * 1024
RESULT_OVERHEAD_BYTES = 400
HEADER_OVERHEAD_BYTES = 16
_UUID7 = re.compile(
    "[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}"
)


class State(str, enum.Enum):
    """What is known of one piece of work.

    RUNNING: it was started and has not ended.
    DONE: it ended and its answer is kept.
    UNKNOWN: it was started, and whether it ran will never be known, or its
      answer was too large to keep.
    """

    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"


class WorkName(msgspec.Struct, frozen=True):
    """Names one piece of work.

    Keys of the same value from different callers must not collide, so the
    service, the key and a scope such as the caller are part of the name.
    """

    service: str
    key: str
    scope: str
    idempotency_key: str


class Result(msgspec.Struct):
    """What is kept of one piece of work.

    Attributes:
      name: names it.
      born_ms: wall-clock time at which its idempotency key was made.
      fingerprint: hash of the request, to notice a key used for other work.
      state: what is known of it.
      response: the kept answer of a DONE one.
    """

    name: WorkName
    born_ms: int
    fingerprint: str
    state: State = State.RUNNING
    response: messages.Response | None = None


class ShardResults(msgspec.Struct):
    """Results of one shard; what a planned move hands over.

    Attributes:
      service: the service.
      shard: the shard.
      epoch: the owner's epoch in which they were kept.
      floor_ms: of keys made before this wall-clock time the results may not
        be known.
      results: the kept results.
    """

    service: str
    shard: int
    epoch: int
    floor_ms: int
    results: list[Result] = []


class Run(msgspec.Struct, frozen=True):
    """The work has not been run; run it and report its end."""


class Replay(msgspec.Struct, frozen=True):
    """The work was done before; this was its answer.

    Its stream and request id are those of the first request; the shell puts
    in those of the repeat.
    """

    response: messages.Response


class Decline(msgspec.Struct, frozen=True):
    """Do not run it; answer with this failure."""

    failure: errors.Failure


Verdict = Run | Replay | Decline


class _Shard:
    """Results of one shard in use.

    Attributes:
      epoch: epoch of the shard at this owner.
      began_floor_ms: from when results are known, by how the epoch began.
      forgotten_floor_ms: above this, none has been forgotten since.
      results: the results by name.
    """

    __slots__ = ("began_floor_ms", "epoch", "forgotten_floor_ms", "results")

    def __init__(self, epoch: int, began_floor_ms: int):
        self.epoch = epoch
        self.began_floor_ms = began_floor_ms
        self.forgotten_floor_ms = 0
        self.results: dict[WorkName, Result] = {}

    def floor_ms(self) -> int:
        """Of keys made up to this wall-clock time work may have run."""
        return max(self.began_floor_ms, self.forgotten_floor_ms)


class ResultWindow:
    """Results of all shards that one node owns.

    Attributes:
      clock_margin_ms: most by which two wall clocks differ.
      kept_ms: how long after its key was made a result is kept.
      most_results: bound on the number of results.
      most_bytes: bound on the size of the kept answers.
      count: results now.
      size_bytes: size of the kept answers now, about.
      shards: the owned shards by service and number.
      unexpired: those of them that `expire` has yet to take in this turn.
    """

    __slots__ = (
        "clock_margin_ms",
        "count",
        "kept_ms",
        "most_bytes",
        "most_results",
        "shards",
        "size_bytes",
        "unexpired",
    )

    def __init__(
        self,
        clock_margin_ms: int = CLOCK_MARGIN_MS,
        kept_ms: int = KEPT_MS,
        most_results: int = MOST_RESULTS,
        most_bytes: int = MOST_BYTES,
    ):
        self.clock_margin_ms = clock_margin_ms
        self.kept_ms = kept_ms
        self.most_results = most_results
        self.most_bytes = most_bytes
        self.count = 0
        self.size_bytes = 0
        self.shards: dict[tuple[str, int], _Shard] = {}
        self.unexpired: list[tuple[str, int]] = []

    def own(self, service: str, shard: int, epoch: int, wall_ms: int) -> None:
        """Begins an epoch of a shard; no change if it has begun already."""
        state = self.shards.get((service, shard))
        if state is not None and state.epoch == epoch:
            return
        self.disown(service, shard)
        self.shards[service, shard] = _Shard(epoch, wall_ms)

    def own_exactly(
        self, epochs: dict[tuple[str, int], int], wall_ms: int
    ) -> None:
        """Owns these shards from now on and no others.

        To be called as soon as the assignment changes, not when the first
        request comes: keys made before the call are refused. What counts is
        the assignment, not the lease, which may lapse and come back within an
        epoch.

        Args:
          epochs: epoch of each owned shard by service and number.
          wall_ms: wall-clock time.
        """
        for service, shard in self.shards.keys() - epochs.keys():
            self.disown(service, shard)
        for (service, shard), epoch in epochs.items():
            self.own(service, shard, epoch, wall_ms)

    def disown(self, service: str, shard: int) -> None:
        """Forgets a shard that is no longer owned."""
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
        vouched: bool = False,
    ) -> Verdict:
        """Decides about a request that arrived; Run starts the work.

        Args:
          wall_ms: wall-clock time.
          shard: the shard; it must be owned.
          name: names the work.
          fingerprint: hash of the request.
          vouched: the caller states that this is its first try, and the
            entry that it has sent it to no node that may have run it.
        """
        state = self.shards[name.service, shard]
        result = state.results.get(name)
        if result is not None:
            return self._known(result, fingerprint)
        born_ms = born_ms_of(name.idempotency_key)
        if born_ms is None:
            return _bad_key(
                "it is no UUIDv7 in lower case with hyphens; make one for each"
                " piece of work"
            )
        if born_ms > wall_ms + self.clock_margin_ms:
            return _bad_key("its time lies ahead; check the caller's clock")
        floor_ms = state.forgotten_floor_ms if vouched else state.floor_ms()
        if born_ms <= floor_ms + self.clock_margin_ms:
            return _decline(
                errors.ErrorKind.OUTCOME_UNKNOWN,
                "the idempotency key was made before this owner kept results;"
                " its work may have run: check before using a new key",
            )
        if self._is_full():
            return _decline(
                errors.ErrorKind.OVERLOADED,
                "no more results can be kept, so new work that must not"
                " repeat is refused; come back later",
            )
        result = Result(name, born_ms, fingerprint)
        state.results[name] = result
        self._count(result)
        return Run()

    def not_run(self, shard: int, name: WorkName) -> None:
        """The started work is known not to have run; a repeat may run."""
        state = self.shards.get((name.service, shard))
        if state is None or name not in state.results:
            return
        assert state.results[name].state is State.RUNNING
        self._uncount(state.results.pop(name))

    def done(
        self, shard: int, name: WorkName, response: messages.Response
    ) -> None:
        """The work was done; keeps its answer for repeats.

        An answer that comes after the outcome was given up as unknown is
        still the true one, and is kept too.
        """
        result = self._find(shard, name)
        if result is None or result.state is State.DONE:
            return
        self._uncount(result)
        if size_of(response) > LARGEST_KEPT_ANSWER_BYTES:
            result.state = State.UNKNOWN
        else:
            result.state = State.DONE
            result.response = response
        self._count(result)

    def lost(self, shard: int, name: WorkName) -> None:
        """Whether the work ran is not known; no repeat may run it."""
        result = self._find(shard, name)
        if result is not None and result.state is State.RUNNING:
            result.state = State.UNKNOWN

    def expire(self, wall_ms: int) -> None:
        """Forgets results of one shard whose keys were made long ago.

        Each call takes the next shard in turn, so that no call is long; to be
        called several times a second.
        """
        if not self.unexpired:
            self.unexpired = list(self.shards)
        if not self.unexpired:
            return
        state = self.shards.get(self.unexpired.pop())
        if state is None:
            return
        floor_ms = max(state.forgotten_floor_ms, wall_ms - self.kept_ms)
        state.forgotten_floor_ms = floor_ms
        for name, result in list(state.results.items()):
            if self._may_forget(result, floor_ms):
                self._uncount(state.results.pop(name))

    def export(self, service: str, shard: int) -> ShardResults:
        """What the next owner of a released shard needs.

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
        """Takes over the results of the epoch just before the own one.

        They may come at any time in the own epoch. If they do not fit, the
        newest are kept and the floor stays above the others. Returns False,
        and changes nothing, for results of any other epoch: work of the
        epochs between would be missing.
        """
        state = self.shards.get((exported.service, exported.shard))
        if state is None or exported.epoch != state.epoch - 1:
            return False
        newest_first = sorted(
            exported.results, key=lambda kept: kept.born_ms, reverse=True
        )
        for result in newest_first:
            if result.name in state.results:
                continue
            if self._is_full():
                state.forgotten_floor_ms = max(
                    state.forgotten_floor_ms, result.born_ms
                )
                break
            state.results[result.name] = result
            self._count(result)
        state.began_floor_ms = exported.floor_ms
        return True

    def _known(self, result: Result, fingerprint: str) -> Verdict:
        if result.fingerprint != fingerprint:
            return _bad_key("it names other work already; make a new one")
        if result.state is State.DONE:
            return Replay(result.response)
        if result.state is State.RUNNING:
            return _decline(
                errors.ErrorKind.IN_PROGRESS,
                "the same work runs now; come back for its answer",
            )
        return _decline(
            errors.ErrorKind.OUTCOME_UNKNOWN,
            "the work was started and its outcome was lost; it is not run"
            " again: check before using a new key",
        )

    def _may_forget(self, result: Result, floor_ms: int) -> bool:
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


def born_ms_of(idempotency_key: str) -> int | None:
    """Unix time in milliseconds of a UUIDv7; None if it is none.

    Only the one usual spelling is taken, so that two spellings cannot name
    the same work.
    """
    if _UUID7.fullmatch(idempotency_key) is None:
        return None
    return int(idempotency_key[:8] + idempotency_key[9:13], 16)


def size_of(response: messages.Response | None) -> int:
    """Bytes that a kept answer takes, about."""
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
