"""Configurations of the operator, as PROTOCOL.md describes them."""

HOST = "desk.example"


def route(
    name: str,
    prefix: str,
    service: str,
    *,
    idempotent: bool,
    timeout_ms: int = 1_000,
    target_ms: int = 400,
) -> dict:
    """Returns a rule that sends a prefix to a service."""
    return {
        "name": name,
        "route_kind": "idempotent" if idempotent else "non_idempotent",
        "target_latency": f"{target_ms}ms",
        "priority": 1,
        "match": {"path_prefix": prefix},
        "action": {
            "service": service,
            "timeout": f"{timeout_ms}ms",
            "max_attempts": 2,
        },
    }


def configuration(rules: list[dict], services: dict[str, bool]) -> dict:
    """Returns a configuration.

    Args:
      rules: the routes of the only host.
      services: whether a service is divided by key, by its name.
    """
    return {
        "version": 7,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout": "3000ms",
            "idle_timeout": "15000ms",
        },
        "listeners": [{"host": HOST, "rule_set": rules}],
        "clusters": [
            {
                "name": name,
                "health_path": "/health",
                "max_connections": 120,
                "protocol": "h1",
                "tls": False,
                "sharded": keyed,
            }
            for name, keyed in services.items()
        ],
    }
