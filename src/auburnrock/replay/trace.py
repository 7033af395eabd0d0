"""Reads and writes recorded traces.

A trace has one JSON value on each line: a header, then events.
"""

import pathlib

import msgspec

from auburnrock import records


class Measures(msgspec.Struct, frozen=True, kw_only=True):
    """The three measures that a service weights against each other.

    Attributes:
      imbalance: utilisation of the busiest server over that of all servers
        together, less one; mean over the trace.
      churn: number of keys that changed owner over the number of all keys; a
        key that moved twice counts twice.
      unavailable_time: seconds of the trace in which a request could not be
        served because of moves, losses or overload; mean over all requests.
    """

    imbalance: float
    churn: float
    unavailable_time: float


MEASURES = ("imbalance", "churn", "unavailable_time")


class Target(msgspec.Struct, frozen=True, kw_only=True):
    """Target of the weighted policy on a trace, stated before measuring.

    The policy must be no worse than the best baseline on `weighs_most`, and
    `better_factor` times better than that baseline on one other measure.

    Attributes:
      weighs_most: name of the measure that the trace's owner weights most.
      better_factor: minimum factor on one other measure.
      resolution: difference of each measure up to which two values count as
        equal.
    """

    weighs_most: str
    better_factor: float
    resolution: Measures


class Outcomes(msgspec.Struct, frozen=True, kw_only=True):
    """Required outcomes of a replay through the weighted policy.

    Attributes:
      planned_moves: maximum number of shards that rebalancing moves in the
        whole trace.
      quiet_from_s: second of the trace from which no planned move is made;
        None if there is no such requirement.
      final_imbalance: maximum imbalance at the end of the trace.
    """

    planned_moves: int
    final_imbalance: float
    quiet_from_s: int | None = None


class Header(msgspec.Struct, frozen=True, kw_only=True):
    """First line of a trace.

    Attributes:
      name: name of the trace.
      about: description of the events.
      owner: organisation whose weights the trace uses.
      seed: seed of the generator that wrote the trace.
      tick_s: seconds between decisions.
      duration_s: length of the trace in seconds.
      shards: number of shards; those of the hot keys come last.
      hot_shards: number of shards that hold a single key.
      keys: number of all keys; the shards without a hot key share the other
        keys evenly.
      slots: number of requests that each server executes concurrently.
      churn_per_minute: maximum number of planned moves in a minute.
      weights: the service's weight of each measure.
      target: target of the weighted policy.
      outcomes: required outcomes of the weighted policy.
    """

    name: str
    about: str
    owner: str
    seed: int
    tick_s: int
    duration_s: int
    shards: int
    hot_shards: int
    keys: int
    slots: int
    churn_per_minute: int
    weights: records.PlacementWeights
    target: Target
    outcomes: Outcomes

    def keys_of(self, shard: int) -> int:
        """Returns the number of keys in one shard."""
        hashed = self.shards - self.hot_shards
        if shard >= hashed:
            return 1
        return (self.keys - self.hot_shards) // hashed


class ServerUp(msgspec.Struct, frozen=True, kw_only=True, tag="server_up"):
    """A server starts; `capacity` is its true capacity in requests a second."""

    at_s: int
    incarnation: int
    name: str
    zone: str
    capacity: float


class ServerLost(msgspec.Struct, frozen=True, kw_only=True, tag="server_lost"):
    """A server is lost without draining."""

    at_s: int
    incarnation: int


class ServerLeaves(
    msgspec.Struct, frozen=True, kw_only=True, tag="server_leaves"
):
    """A server drains and ends."""

    at_s: int
    incarnation: int


class Load(msgspec.Struct, frozen=True, kw_only=True, tag="load"):
    """The requests a second of each shard from this time on."""

    at_s: int
    rates: list[int]


class Distortion(msgspec.Struct, frozen=True, kw_only=True, tag="distortion"):
    """A server's reports are delayed or wrong from this time on.

    Attributes:
      at_s: time in the trace in seconds.
      incarnation: incarnation of the server.
      lag_s: delay of the server's reports in seconds.
      rate_factor: reported rate over true rate of the server's shards.
      capacity_factor: reported capacity over estimated capacity.
    """

    at_s: int
    incarnation: int
    lag_s: int = 0
    rate_factor: float = 1.0
    capacity_factor: float = 1.0


Event = ServerUp | ServerLost | ServerLeaves | Load | Distortion


class Trace(msgspec.Struct, frozen=True):
    """A header and its events in order of time."""

    header: Header
    events: list[Event]


def read(path: pathlib.Path) -> Trace:
    """Reads a trace.

    Raises:
      msgspec.ValidationError: A line does not have the expected format.
    """
    first, *rest = path.read_bytes().splitlines()
    return Trace(
        msgspec.json.decode(first, type=Header),
        [msgspec.json.decode(line, type=Event) for line in rest],
    )


def write(path: pathlib.Path, trace: Trace) -> None:
    """Writes a trace to a file."""
    lines = [msgspec.json.encode(trace.header)]
    lines += [msgspec.json.encode(event) for event in trace.events]
    path.write_bytes(b"\n".join(lines) + b"\n")
