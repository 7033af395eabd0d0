"""Choice of the route and of the service for a request."""

from auburnrock.engine.mesh import model


def match_route(
    configuration: model.Configuration, host: bytes, path: bytes
) -> model.Route | None:
    """The route with the longest prefix of `path`; None if there is none."""
    for route in configuration.routes_by_host.get(host, ()):
        if path.startswith(route.prefix):
            return route
    return None


class WeightedRoundRobin:
    """Deals the requests of routes to their services by weight.

    Smooth weighted round robin: each request adds every weight to its
    service's credit and goes to the service with the most. Over any run of
    requests, each share is off by less than one request.

    Attributes:
      credits: credit of each service, by route and its weights.
    """

    __slots__ = ("credits",)

    def __init__(self):
        self.credits: dict[tuple, list[float]] = {}

    def next_service(self, route: model.Route) -> str:
        """The service for the next request of a route."""
        parts = route.parts
        if len(parts) == 1:
            return parts[0].service
        mark = (route.name, *((part.service, part.weight) for part in parts))
        credits = self.credits.setdefault(mark, [0.0] * len(parts))
        total = 0.0
        for index, part in enumerate(parts):
            credits[index] += part.weight
            total += part.weight
        best = max(range(len(parts)), key=credits.__getitem__)
        credits[best] -= total
        return parts[best].service

    def drop_removed_routes(self, configuration: model.Configuration) -> None:
        """Drops the credits of routes that are no longer configured."""
        names = {
            route.name
            for routes in configuration.routes_by_host.values()
            for route in routes
        }
        for mark in [mark for mark in self.credits if mark[0] not in names]:
            del self.credits[mark]
