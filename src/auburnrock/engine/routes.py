"""Decides which requests of a service are idempotent."""

from auburnrock import records


def is_idempotent(
    settings: records.ServiceSettings, method: str, path: str
) -> bool:
    """Whether the service's rules allow running a request twice."""
    return not any(
        rule.method == method and path.startswith(rule.path_prefix)
        for rule in settings.non_idempotent
    )
