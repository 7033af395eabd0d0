"""Registers the placement policies by name."""

from auburnrock.engine.placement import base
from auburnrock.engine.placement import bounded_ring
from auburnrock.engine.placement import full
from auburnrock.engine.placement import rendezvous
from auburnrock.engine.placement import weighted

DEFAULT = "weighted"

_POLICIES: dict[str, type[base.Policy]] = {
    "weighted": weighted.Weighted,
    "rendezvous": rendezvous.Rendezvous,
    "bounded_ring": bounded_ring.BoundedRing,
    "full": full.Full,
}
NAMES = tuple(_POLICIES)


def policy(name: str = DEFAULT) -> base.Policy:
    """Creates the policy of this name.

    Raises:
      ValueError: No policy has this name.
    """
    if name not in _POLICIES:
        raise ValueError(
            f"placement policy {name!r} is unknown; use one of"
            f" {', '.join(NAMES)}"
        )
    return _POLICIES[name]()
