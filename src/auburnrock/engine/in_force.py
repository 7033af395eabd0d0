"""The configuration that a node applies; its revision never decreases."""

from auburnrock import records
from auburnrock.engine import actions
from auburnrock.engine import replica as replica_lib


class InForce:
    """Holds the newest configuration that this node has received.

    A lower revision is refused from any source, and so is different content of
    the same revision. A deleted or undecodable configuration changes nothing.

    Attributes:
      configuration: the configuration in force; None before the first.
    """

    __slots__ = ("configuration",)

    def __init__(self):
        self.configuration: records.Configuration | None = None

    @property
    def revision(self) -> int:
        """Revision of the configuration in force; 0 before the first."""
        return self.configuration.revision if self.configuration else 0

    def settings(self, service: str) -> records.ServiceSettings | None:
        """Settings of a service; None if there is no such service."""
        if self.configuration is None:
            return None
        return self.configuration.services.get(service)

    def keyed(self) -> list[str]:
        """Names of the services divided by key."""
        if self.configuration is None:
            return []
        return [
            name
            for name, settings in self.configuration.services.items()
            if settings.divided_by_key
        ]

    def on_change(
        self, changed: list[str], replica: replica_lib.Replica
    ) -> list[actions.LogEvent]:
        """Applies the replica's configuration if its key changed."""
        if records.CONFIGURATION_KEY not in changed:
            return []
        value = replica.get(records.CONFIGURATION_KEY)
        if value is None:
            return [_event("configuration_missing", self.revision)]
        try:
            offered = records.decode_configuration(value.data)
        except records.DECODE_ERRORS as error:
            return [
                actions.LogEvent(
                    "record_undecodable",
                    [("key", value.key), ("problem", str(error))],
                )
            ]
        return self.offer(offered)

    def offer(self, offered: records.Configuration) -> list[actions.LogEvent]:
        """Applies a configuration if it is newer than the one in force."""
        if offered.revision > self.revision:
            self.configuration = offered
            return [_event("configuration_in_force", offered.revision)]
        if offered != self.configuration:
            return [_event("configuration_refused", offered.revision)]
        return []


def _event(name: str, revision: int) -> actions.LogEvent:
    return actions.LogEvent(name, [("revision", str(revision))])
