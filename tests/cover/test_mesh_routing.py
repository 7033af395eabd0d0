"""Tests of the selection of routes and of services by weight."""

from auburnrock.engine.mesh import model
from auburnrock.engine.mesh import routing
from tests.common import mesh


def test_the_longest_prefix_of_the_path_wins():
    short = mesh.route(name="short", prefix=b"/a/")
    long = mesh.route(name="long", prefix=b"/a/b/")
    configuration = mesh.configuration(1, short, long)
    assert routing.match_route(configuration, b"a.example", b"/a/b/c") is long
    assert routing.match_route(configuration, b"a.example", b"/a/bc") is short


def test_a_path_or_host_without_a_route_has_none():
    configuration = mesh.configuration(1, mesh.route(prefix=b"/a/"))
    assert routing.match_route(configuration, b"a.example", b"/a") is None
    assert routing.match_route(configuration, b"b.example", b"/a/") is None


def test_services_get_exactly_their_weights_over_a_round():
    parts = [model.WeightedService("x", 70), model.WeightedService("y", 30)]
    round_robin = routing.WeightedRoundRobin()
    route = mesh.route(parts=parts)
    services = [round_robin.next_service(route) for _ in range(100)]
    assert services.count("x") == 70
    # After each request, the share is off by less than one request.
    for end in range(1, 101):
        assert abs(services[:end].count("x") - 0.7 * end) < 1.0


def test_changed_weights_apply_from_the_change_on():
    round_robin = routing.WeightedRoundRobin()
    before = [model.WeightedService("x", 1), model.WeightedService("y", 1)]
    after = [model.WeightedService("x", 1), model.WeightedService("y", 9)]
    for _ in range(7):
        round_robin.next_service(mesh.route(parts=before))
    services = [
        round_robin.next_service(mesh.route(parts=after)) for _ in range(10)
    ]
    assert services.count("y") == 9


def test_credits_of_removed_routes_are_dropped():
    round_robin = routing.WeightedRoundRobin()
    parts = [model.WeightedService("x", 1), model.WeightedService("y", 1)]
    round_robin.next_service(mesh.route(parts=parts))
    round_robin.drop_removed_routes(
        mesh.configuration(2, mesh.route(name="other"))
    )
    assert not round_robin.credits
