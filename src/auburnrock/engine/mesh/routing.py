"""Selection of the route and of the service for a request."""

from auburnrock.engine.mesh import model


def match_route(
    configuration: model.Configuration, host: bytes, path: bytes
) -> model.Route | None:
    """Returns the route of the host with the longest prefix of the path.

    The routes of a host are sorted by the length of their prefix, longest
    first. Returns None if no route matches.
    """
    for route in configuration.routes_by_host.get(host, ()):
        if path.startswith(route.prefix):
            return route
    return None


class WeightedRoundRobin:
    """Distributes the requests of each route over its services by weight.

    This is smooth weighted round robin: each request adds every service's
    weight to its credit and goes to the service with the most credit, from
    which the sum of the weights is subtracted. At any time, each service's
    number of requests is off from its share by less than one.

    Attributes:
      credits: credit of each service, by the route's name and its weights.
    """

    __slots__ = ("credits",)

    def __init__(self):
        self.credits: dict[tuple, list[float]] = {}

    def next_service(self, route: model.Route) -> str:
        """Returns the service for the next request of a route."""
        parts = route.parts
        if len(parts) == 1:
            return parts[0].service
        credits_key = (
            route.name,
            *((part.service, part.weight) for part in parts),
        )
        credits = self.credits.setdefault(credits_key, [0.0] * len(parts))
        total = 0.0
        for index, part in enumerate(parts):
            credits[index] += part.weight
            total += part.weight
        best = max(range(len(parts)), key=credits.__getitem__)
        credits[best] -= total
        return parts[best].service

    def drop_removed_routes(self, configuration: model.Configuration) -> None:
        """Removes the credits of routes that are no longer configured."""
        names = {
            route.name
            for routes in configuration.routes_by_host.values()
            for route in routes
        }
        for credits_key in [
            credits_key
            for credits_key in self.credits
            if credits_key[0] not in names
        ]:
            del self.credits[credits_key]
