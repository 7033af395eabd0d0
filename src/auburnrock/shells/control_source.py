"""What a node tells operators, gathered from its tasks."""

import collections

import result

from auburnrock import errors
from auburnrock import records
from auburnrock.control import server
from auburnrock.control import views
from auburnrock.engine import keys
from auburnrock.engine import witness_choice
from auburnrock.shells import clock
from auburnrock.shells import logs
from auburnrock.shells import node as node_lib

_GAPS = {
    witness_choice.Gap.TAKEOVER: (
        "no other node is known: nobody can take over this node's keys"
    ),
    witness_choice.Gap.WITNESS_LOSS: (
        "fewer than three other nodes: the loss of one witness ends the lease"
        " until it is replaced"
    ),
    witness_choice.Gap.ZONE_LOSS: (
        "one zone holds a majority of the witnesses: its loss ends the lease"
    ),
}


class NodeControl(server.ControlSource):
    """Answers operators' calls at one node.

    Attributes:
      node: the node.
      on_drain: begins a planned stop.
    """

    def __init__(self, node: node_lib.Node, on_drain):
        self.node = node
        self.on_drain = on_drain

    def status(self) -> views.Status:
        """The node and what it knows of the fleet."""
        node = self.node
        holder = (
            node.lease.participant.holder if node.lease.participant else None
        )
        record = holder.record if holder else node.lease.record
        return views.Status(
            name=node.settings.name,
            incarnation=node.incarnation,
            region=node.settings.region,
            zone=node.settings.zone,
            state=record.state,
            lease=self._lease(),
            witnesses=self._witnesses(record),
            not_tolerated=[_GAPS[gap] for gap in holder.gaps] if holder else [],
            target=self._target(),
            store_reachable=node.sync.store_reachable,
            replica_revision=node.sync.view.replica.revision,
            configuration_revision=node.assignment.in_force.revision,
            members=self._members(),
            leaders=self._leaders(),
        )

    def explain(
        self, service: str, key: str
    ) -> result.Result[views.Explanation, errors.Failure]:
        """Who owns a key and why."""
        settings = self.node.assignment.in_force.settings(service)
        if settings is None:
            return result.Err(
                errors.Failure(
                    errors.ErrorKind.UNKNOWN_SERVICE,
                    f"got service {service!r}, which no operators' file"
                    " describes",
                )
            )
        shard = keys.shard_of(settings, key)
        entry = self.node.sync.view.pages.owner(service, shard)
        if entry is None:
            return result.Err(
                errors.Failure(
                    errors.ErrorKind.NO_OWNER,
                    f"shard {shard} of {service} has no page: the service has"
                    " no owners, or none yet",
                )
            )
        return result.Ok(self._explanation(service, key, shard, settings))

    def recent_events(self) -> list[logs.Event]:
        """The recent events of this node."""
        return list(self.node.event_log.recent)

    async def drain(self) -> result.Result[views.Done, errors.Failure]:
        """Begins a planned stop."""
        self.on_drain()
        return result.Ok(views.Done("the node gives its work away, then ends"))

    async def confirm_end(
        self, incarnation: int
    ) -> result.Result[views.Done, errors.Failure]:
        """Takes the operator's word that a node and its target have ended."""
        lease = self.node.lease
        if self.node.sync.view.members.get(incarnation) is None:
            return result.Err(
                errors.Failure(
                    errors.ErrorKind.BAD_REQUEST,
                    f"incarnation {incarnation:016x} has no record; take it"
                    " from `auburnctl status`",
                )
            )
        lease.on_node_ended(incarnation)
        return result.Ok(views.Done("its record is being ended"))

    def _lease(self) -> views.Lease:
        lease = self.node.lease
        if not lease.live():
            return views.Lease(views.LeaseState.ENDED)
        left_ms = max(0, lease.expires_at_ms() - clock.now_ms())
        return views.Lease(views.LeaseState.LIVE, left_ms)

    def _witnesses(self, record: records.NodeRecord) -> list[views.Witness]:
        members = self.node.sync.view.members
        found = []
        for witness in record.witnesses:
            known = members.get(witness.incarnation)
            zone = known.zone if known else ""
            found.append(views.Witness(witness.name, witness.incarnation, zone))
        return found

    def _target(self) -> views.Target | None:
        task = self.node.target
        announced = task.announced
        if announced is None:
            return None
        state = "ready" if task.confirmed_target() is not None else "new"
        if task.grants.is_silent(clock.now_ms()):
            state = "silent"
        if announced.draining:
            state = "draining"
        return views.Target(
            announced.service,
            announced.address,
            announced.incarnation,
            announced.checks_grants,
            state,
            len(self.node.executor.running),
        )

    def _members(self) -> list[views.Member]:
        view = self.node.sync.view
        owned: collections.Counter[int] = collections.Counter()
        for counts in view.pages.owned.values():
            owned.update(counts)
        found = []
        for incarnation, member in sorted(view.members.by_incarnation.items()):
            record = member.record
            found.append(
                views.Member(
                    record.name,
                    incarnation,
                    record.zone,
                    record.state,
                    record.service,
                    owned.get(incarnation, 0),
                    f"{record.address}:{record.control_port}",
                )
            )
        return found

    def _leaders(self) -> list[views.Leader]:
        assignment = self.node.assignment
        if assignment.in_force.configuration is None:
            return []
        found = []
        services = assignment.in_force.configuration.services
        for service, settings in sorted(services.items()):
            leader = assignment.assigner.leader(service)
            record = self.node.sync.view.members.get(leader or 0)
            if keys.has_shards(settings) and record is not None:
                found.append(views.Leader(service, record.name, leader))
        return found

    def _explanation(
        self,
        service: str,
        key: str,
        shard: int,
        settings: records.ServiceSettings,
    ) -> views.Explanation:
        view = self.node.sync.view
        entry = view.pages.owner(service, shard)
        page = view.pages.page_of(service, shard)
        owner = view.members.get(entry.owner)
        lease_state = views.LeaseState.UNKNOWN
        if entry.owner == self.node.incarnation:
            lease_state = self._lease().state
        is_hot = shard >= settings.shards
        return views.Explanation(
            service=service,
            key=key,
            shard=shard,
            why=views.ShardReason.HOT if is_hot else views.ShardReason.HASHED,
            page_key=page.key,
            owner=entry.owner,
            owner_name=owner.name if owner else "",
            owner_state=owner.state if owner else None,
            epoch=entry.epoch,
            lease_state=lease_state,
            moving_to=page.record.moving.get(shard, 0),
        )
