"""Changes of the store that are relayed by another node.

Under load the store may reject the calls of some nodes, or be unreachable from
them, while it serves others. Such a node may be in the middle of a migration:
its target has released keys, and no target owns them until the table is
written. A change is conditional on revisions, so any node may send it, even
twice: it takes effect at most once. The revisions contain their era, and a
node that knows of a later era does not relay the change.
"""

from collections.abc import Callable
import itertools

from auburnrock.engine.mesh import coordination_store
from auburnrock.engine.mesh import peer_messages
from auburnrock.shells.mesh import event_log
from auburnrock.shells.mesh import peer_connections

RELAY_TIMEOUT_S = 0.5
"""Time-out of a relayed change in seconds. A node that reaches the store makes
a change within a few milliseconds."""

HELPERS_MAX = 2
"""Limit of the nodes that are requested in turn to relay a change."""


class RelayedStore(coordination_store.CoordinationStore):
    """A store client that relays a failed change through another node.

    Attributes:
      direct: the store as this node reaches it.
      peers: connections to the other nodes.
      numbers: numbers of the change requests, which match replies to them.
    """

    def __init__(
        self,
        direct: coordination_store.CoordinationStore,
        hub: peer_connections.PeerConnections,
        log: event_log.EventLog,
        now_ms: Callable[[], float],
    ):
        self.direct = direct
        self.peers = hub
        self.log = log
        self.now_ms = now_ms
        self.numbers = itertools.count(1)
        hub.on_change_request = self.on_change_request

    @property
    def answered_ms(self) -> float:
        """Time of the store's last answer to this node, in milliseconds."""
        return self.direct.answered_ms

    @property
    def answered_call_sent_ms(self) -> float:
        """Send time, in milliseconds, of the last call the store answered."""
        return self.direct.answered_call_sent_ms

    @property
    def era(self) -> int:
        """The latest era of the store that is known to this node."""
        return self.direct.era

    def observe_era(self, era: int) -> None:
        """Records an era reported by a peer."""
        self.direct.observe_era(era)

    def can_relay_writes(self) -> bool:
        """Whether a connected node reaches the store."""
        return bool(self._helpers())

    async def read(self, key: str) -> coordination_store.Item | None:
        """Reads one key; returns None if the store does not have it.

        Raises:
          StoreError: the store did not answer.
        """
        return await self.direct.read(key)

    async def list_all(
        self, prefix: str, stale: bool = False
    ) -> coordination_store.Listing:
        """Reads all keys under a prefix.

        Args:
          prefix: the prefix.
          stale: whether the listing may be a few seconds old.

        Raises:
          StoreError: the store did not answer.
        """
        return await self.direct.list_all(prefix, stale)

    async def watch(
        self, prefix: str, after: int, wait_ms: int
    ) -> coordination_store.Changes:
        """Waits for changes under a prefix.

        Args:
          prefix: the prefix.
          after: revision after which changes are returned.
          wait_ms: longest time to wait for a change, in milliseconds.

        Raises:
          StoreError: the store did not answer, or its history is too short.
        """
        return await self.direct.watch(prefix, after, wait_ms)

    async def compare_and_swap(
        self,
        expected: dict[str, int],
        puts: dict[str, bytes],
        removes: list[str],
    ) -> int | coordination_store.Conflict:
        """Makes a conditional change, through another node if this one fails.

        Args:
          expected: revisions that the keys must have; 0 for none.
          puts: new values by key.
          removes: keys to remove.

        Returns:
          The revision of the change, or the items that conflict with it.

        Raises:
          StoreError: no node could make the change, or its outcome is unknown.
        """
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
        """Sends a change to other nodes; raises the last error if all fail."""
        for name in self._helpers():
            link = self.peers.link_to(name)
            if link is None:
                continue
            number = next(self.numbers)
            answer = await link.query(
                peer_messages.ChangeRequest(number, expected, puts, removes),
                ("change", number),
                RELAY_TIMEOUT_S,
            )
            self.log.write(
                "change_relayed",
                peer=name,
                reason=str(failure),
                outcome=answer.failure or "made" if answer else "no answer",
            )
            if answer is None or answer.failure == peer_messages.UNKNOWN:
                # The change may still take effect at any later time.
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
        """Returns a few random connected nodes that reach the store."""
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
        return able[:HELPERS_MAX]

    async def on_change_request(
        self, request: peer_messages.ChangeRequest
    ) -> peer_messages.ChangeReply:
        """Makes a change that another node has requested."""
        try:
            result = await self.direct.compare_and_swap(
                request.expected, request.puts, request.removes
            )
        except coordination_store.StoreUnavailableError:
            return peer_messages.ChangeReply(
                request.number, peer_messages.UNAVAILABLE
            )
        except coordination_store.StoreError:
            return peer_messages.ChangeReply(
                request.number, peer_messages.UNKNOWN
            )
        if isinstance(result, coordination_store.Conflict):
            items = [
                (item.key, item.value, item.revision) for item in result.items
            ]
            return peer_messages.ChangeReply(
                request.number, peer_messages.CONFLICT, items=items
            )
        return peer_messages.ChangeReply(request.number, revision=result)

    def close(self) -> None:
        """Closes the idle connections to the store."""
        self.direct.close()
