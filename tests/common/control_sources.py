"""A fake node for tests of the control port, and views for its replies."""

import io

import result

from auburnrock import errors
from auburnrock import records
from auburnrock.control import server
from auburnrock.control import views
from auburnrock.shells import logs

LARGEST_INCARNATION = 2**64 - 1


def status(name: str = "portal-1", **changes) -> views.Status:
    """Returns a status with every field set, with `changes` applied."""
    fields = {
        "name": name,
        "incarnation": LARGEST_INCARNATION,
        "region": "primorska",
        "zone": "piran",
        "state": records.NodeState.ACTIVE,
        "lease": views.Lease(views.LeaseState.LIVE, 712),
        "witnesses": [views.Witness("portal-2", 7, "izola")],
        "not_tolerated": ["the loss of zone piran"],
        "target": views.Target(
            "harbour-portal", "127.0.0.1:9000", "t-1", False, "ready", 3
        ),
        "store_reachable": True,
        "replica_revision": 41,
        "configuration_revision": 5,
        "members": [
            views.Member(
                "portal-2",
                7,
                "izola",
                records.NodeState.DRAINING,
                "harbour-portal",
                16,
                "127.0.0.1:7802",
            )
        ],
        "leaders": [views.Leader("harbour-portal", "portal-2", 7)],
    }
    return views.Status(**{**fields, **changes})


def explanation(service: str, key: str) -> views.Explanation:
    """Returns an explanation of a key without an owner."""
    return views.Explanation(
        service=service,
        key=key,
        shard=0,
        why=views.ShardReason.HASHED,
        page_key=records.page_key(service, 0),
    )


class FakeSource(server.ControlSource):
    """A node whose replies are set by the test.

    Attributes:
      view: result of `status`.
      failure: if set, the result of every call that can fail.
      status_error: if set, raised by `status`.
      confirmed_ends: incarnations whose end was confirmed, in order.
      drains: number of calls of `drain`.
    """

    def __init__(self, view: views.Status | None = None):
        self.view = view or status()
        self.failure: errors.Failure | None = None
        self.status_error: Exception | None = None
        self.confirmed_ends: list[int] = []
        self.drains = 0
        self.event_log = logs.event_log(self.view.name, io.StringIO())

    def status(self) -> views.Status:
        if self.status_error is not None:
            raise self.status_error
        return self.view

    def explain(self, service: str, key: str):
        if self.failure is not None:
            return result.Err(self.failure)
        return result.Ok(explanation(service, key))

    def recent_events(self) -> list[logs.Event]:
        return list(self.event_log.recent)

    async def drain(self):
        self.drains += 1
        return self._done("stopping")

    async def confirm_end(self, incarnation: int):
        self.confirmed_ends.append(incarnation)
        return self._done("its shards are reassigned")

    def _done(self, note: str):
        if self.failure is not None:
            return result.Err(self.failure)
        return result.Ok(views.Done(note))


class RunningSource:
    """Context manager of a control port; its value is the port's address."""

    def __init__(self, source: FakeSource):
        self.service = server.make_server(
            "127.0.0.1", 0, source, source.event_log
        )

    async def __aenter__(self) -> str:
        await self.service.start()
        return f"127.0.0.1:{self.service.port}"

    async def __aexit__(self, *_error) -> None:
        await self.service.stop()
