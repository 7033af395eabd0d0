"""A fake node for tests of the control port, and views to answer with."""

import io

import result

from auburnrock import errors
from auburnrock import records
from auburnrock.control import server
from auburnrock.control import views
from auburnrock.shells import logs

LARGEST_INCARNATION = 2**64 - 1


def status(name: str = "portal-1", **changes) -> views.Status:
    """A status with every field set."""
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
    """An explanation of a key without an owner."""
    return views.Explanation(
        service=service,
        key=key,
        shard=0,
        why=views.ShardReason.HASHED,
        page_key=records.page_key(service, 0),
    )


class FakeSource(server.ControlSource):
    """Answers what it is told to.

    Attributes:
      view: answer of `status`.
      failure: if set, the answer of every call that can fail.
      raised: if set, raised by `status`.
      ended: incarnations that were confirmed.
    """

    def __init__(self, view: views.Status | None = None):
        self.view = view or status()
        self.failure: errors.Failure | None = None
        self.raised: Exception | None = None
        self.ended: list[int] = []
        self.drains = 0
        self.event_log = logs.event_log(self.view.name, io.StringIO())

    def status(self) -> views.Status:
        if self.raised is not None:
            raise self.raised
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
        self.ended.append(incarnation)
        return self._done("its shards are reassigned")

    def _done(self, note: str):
        if self.failure is not None:
            return result.Err(self.failure)
        return result.Ok(views.Done(note))


class RunningSource:
    """A control port over a source, for `async with`; gives its address."""

    def __init__(self, source: FakeSource):
        self.service = server.make_server(
            "127.0.0.1", 0, source, source.event_log
        )

    async def __aenter__(self) -> str:
        await self.service.start()
        return f"127.0.0.1:{self.service.port}"

    async def __aexit__(self, *_error) -> None:
        await self.service.stop()
