"""Changes of the store by way of another node.

Load answered: the store turns some nodes away, or cannot be reached from them,
while it serves the others. Such a node may be in the middle of a move: its
target has let go of keys, and nobody has them until the table says whose they
are. A change is conditional on revisions, so it does not matter who sends it,
or that it is sent twice: it takes effect once at most. The revisions carry
their era, and a helper that knows of a later one does not send the change.
"""

from collections.abc import Callable
import itertools

from auburnrock.engine.mesh import coordination_store
from auburnrock.engine.mesh import peer_messages
from auburnrock.shells.mesh import event_log
from auburnrock.shells.mesh import peer_connections

ANSWER_S = 0.5
"""A change takes a few milliseconds at a node that reaches the store."""

ASKED_MAX = 2
"""Nodes that are asked in turn."""


class RelayedStore(coordination_store.CoordinationStore):
    """The store as reached from here or, failing that, from another node.

    Attributes:
      direct: the store as reached from here.
      peers: the other nodes.
    """

    def __init__(
        self,
        own: coordination_store.CoordinationStore,
        hub: peer_connections.PeerConnections,
        log: event_log.EventLog,
        now_ms: Callable[[], float],
    ):
        self.direct = own
        self.peers = hub
        self.log = log
        self.now_ms = now_ms
        self.numbers = itertools.count(1)
        hub.on_change_request = self.on_change_request

    @property
    def answered_ms(self) -> float:
        """When the store last answered a call of this node."""
        return self.direct.answered_ms

    @property
    def answered_call_sent_ms(self) -> float:
        """When the latest call that the store has answered was sent."""
        return self.direct.answered_call_sent_ms

    @property
    def era(self) -> int:
        """The latest era that the store has named to this node."""
        return self.direct.era

    def observe_era(self, era: int) -> None:
        """Takes the era that a peer has named."""
        self.direct.observe_era(era)

    def can_relay_writes(self) -> bool:
        """Whether a node in touch reaches the store."""
        return bool(self._helpers())

    async def read(self, key: str) -> coordination_store.Item | None:
        """Reads one key."""
        return await self.direct.read(key)

    async def list_all(
        self, prefix: str, stale: bool = False
    ) -> coordination_store.Listing:
        """Reads all keys under a prefix."""
        return await self.direct.list_all(prefix, stale)

    async def watch(
        self, prefix: str, after: int, wait_ms: int
    ) -> coordination_store.Changes:
        """Waits for changes."""
        return await self.direct.watch(prefix, after, wait_ms)

    async def compare_and_swap(
        self,
        expected: dict[str, int],
        puts: dict[str, bytes],
        removes: list[str],
    ) -> int | coordination_store.Conflict:
        """Makes a conditional change, by way of another node if need be."""
        try:
            return await self.direct.compare_and_swap(expected, puts, removes)
        except coordination_store.StaleEraError as error:
            self.log.write("era_passed", reason=str(error))
            raise
        except coordination_store.StoreError as error:
            return await self._relay(error, expected, puts, removes)

    async def _relay(
        self,
        failure: coordination_store.StoreError,
        expected: dict[str, int],
        puts: dict[str, bytes],
        removes: list[str],
    ) -> int | coordination_store.Conflict:
        """Asks others; raises what is known of the change if none can."""
        for name in self._helpers():
            link = self.peers.link_to(name)
            if link is None:
                continue
            number = next(self.numbers)
            answer = await link.query(
                peer_messages.ChangeRequest(number, expected, puts, removes),
                ("change", number),
                ANSWER_S,
            )
            self.log.write(
                "change_relayed",
                peer=name,
                reason=str(failure),
                outcome=answer.failure or "made" if answer else "no answer",
            )
            if answer is None or answer.failure == peer_messages.UNKNOWN:
                # It may be made at any later moment.
                failure = coordination_store.StoreOutcomeUnknownError(
                    "relayed, unanswered"
                )
            elif answer.failure == peer_messages.CONFLICT:
                items = [
                    coordination_store.Item(*item) for item in answer.items
                ]
                return coordination_store.Conflict(items)
            elif not answer.failure:
                return answer.revision
        raise failure

    def _helpers(self) -> list[str]:
        """A few nodes in touch that the store answers."""
        entries = self.peers.directory.entries
        able = [
            name
            for name, link in self.peers.links.items()
            if link.usable()
            and name in entries
            and entries[name].reads_store
            and not entries[name].suspected
        ]
        self.peers.rng.shuffle(able)
        return able[:ASKED_MAX]

    async def on_change_request(
        self, asked: peer_messages.ChangeRequest
    ) -> peer_messages.ChangeReply:
        """Makes a change for another node."""
        try:
            result = await self.direct.compare_and_swap(
                asked.expected, asked.puts, asked.removes
            )
        except coordination_store.StoreUnavailableError:
            return peer_messages.ChangeReply(
                asked.number, peer_messages.UNAVAILABLE
            )
        except coordination_store.StoreError:
            return peer_messages.ChangeReply(
                asked.number, peer_messages.UNKNOWN
            )
        if isinstance(result, coordination_store.Conflict):
            items = [
                (item.key, item.value, item.revision) for item in result.items
            ]
            return peer_messages.ChangeReply(
                asked.number, peer_messages.CONFLICT, items=items
            )
        return peer_messages.ChangeReply(asked.number, revision=result)

    def close(self) -> None:
        """Ends the idle connections."""
        self.direct.close()
