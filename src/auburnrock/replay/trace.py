"""The format of recorded traces: one JSON value a line, a header first."""

import pathlib

import msgspec

from auburnrock import records


class Measures(msgspec.Struct, frozen=True, kw_only=True):
    """The three measures that the users of the system weigh.

    Attributes:
      imbalance: utilisation of the busiest server over that of all servers
        together, less one; mean over the trace.
      churn: keys that changed owner over all keys; a key that moved twice
        counts twice.
      unavailable_time: seconds of the trace in which a request could not be
        served, in the mean over all requests: moves, losses and overload.
    """

    imbalance: float
    churn: float
    unavailable_time: float


MEASURES = ("imbalance", "churn", "unavailable_time")


class Target(msgspec.Struct, frozen=True, kw_only=True):
    """What the policy has to reach, stated before it was measured.

    On `weighs_most` it is no worse than the best baseline, and against that
    baseline it is `better_factor` times better on one other measure.

    Attributes:
      weighs_most: name of the measure that the owner weighs most.
      better_factor: see above.
      resolution: differences up to these are none.
    """

    weighs_most: str
    better_factor: float
    resolution: Measures


class Outcomes(msgspec.Struct, frozen=True, kw_only=True):
    """Stated outcomes of a replay through the weighted policy.

    Attributes:
      planned_moves: most shards that rebalancing moves in the whole trace.
      quiet_from_s: no planned move begins from this second on; None if the
        trace states nothing.
      final_imbalance: highest imbalance at the end of the trace.
    """

    planned_moves: int
    final_imbalance: float
    quiet_from_s: int | None = None


class Header(msgspec.Struct, frozen=True, kw_only=True):
    """First line of a trace.

    Attributes:
      name: the trace's name.
      about: what happens in it.
      owner: the user whose weights it carries.
      seed: seed that the generator used.
      tick_s: seconds between decisions.
      duration_s: length.
      shards: number of shards, the hot keys' last.
      hot_shards: how many of them hold a single key.
      keys: number of all keys; the other shards share them evenly.
      slots: requests that each server runs at a time.
      churn_per_minute: the service's budget.
      weights: the service's weights.
      target: see Target.
      outcomes: see Outcomes.
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
        """Keys in one shard."""
        hashed = self.shards - self.hot_shards
        if shard >= hashed:
            return 1
        return (self.keys - self.hot_shards) // hashed


class ServerUp(msgspec.Struct, frozen=True, kw_only=True, tag="server_up"):
    """A server comes, with what it can truly do in requests a second."""

    at_s: int
    incarnation: int
    name: str
    zone: str
    capacity: float


class ServerLost(msgspec.Struct, frozen=True, kw_only=True, tag="server_lost"):
    """A server is lost without notice."""

    at_s: int
    incarnation: int


class ServerLeaves(
    msgspec.Struct, frozen=True, kw_only=True, tag="server_leaves"
):
    """A server drains and ends."""

    at_s: int
    incarnation: int


class Load(msgspec.Struct, frozen=True, kw_only=True, tag="load"):
    """Requests a second of each shard from this moment on."""

    at_s: int
    rates: list[int]


class Distortion(msgspec.Struct, frozen=True, kw_only=True, tag="distortion"):
    """From now on a server's reports lag or lie.

    Attributes:
      at_s: from when.
      incarnation: the server.
      lag_s: by how much its reports come late.
      rate_factor: reported over true rate of its shards.
      capacity_factor: reported over learnt capacity.
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
    """Reads a trace; raises msgspec.ValidationError on a wrong line."""
    first, *rest = path.read_bytes().splitlines()
    return Trace(
        msgspec.json.decode(first, type=Header),
        [msgspec.json.decode(line, type=Event) for line in rest],
    )


def write(path: pathlib.Path, trace: Trace) -> None:
    """Writes a trace."""
    lines = [msgspec.json.encode(trace.header)]
    lines += [msgspec.json.encode(event) for event in trace.events]
    path.write_bytes(b"\n".join(lines) + b"\n")
