"""The placement policies by name."""

from auburnrock.engine.placement import base
from auburnrock.engine.placement import rendezvous

DEFAULT = "rendezvous"

_POLICIES: dict[str, type[base.Policy]] = {
    "rendezvous": rendezvous.Rendezvous,
}
NAMES = tuple(_POLICIES)


def policy(name: str = DEFAULT) -> base.Policy:
    """Makes the policy of this name; raises ValueError for an unknown one."""
    if name not in _POLICIES:
        raise ValueError(
            f"placement policy {name!r} is unknown; use one of"
            f" {', '.join(NAMES)}"
        )
    return _POLICIES[name]()
