"""Test the look-up of a request's route."""

from __future__ import annotations

import pytest

from sycamorestand_model.route_table import RouteTable
from sycamorestand_model.routes import Route
from sycamorestand_model.routes import RouteTarget


def _make_route(name: str, host: str, prefix: str) -> Route:
    return Route(name, host, prefix, (RouteTarget("s"),), "once", 1_000)


ROUTES = RouteTable(
    {
        route.name: route
        for route in (
            _make_route("a", "one.example", "/a/"),
            _make_route("deep", "one.example", "/a/b/"),
            _make_route("all", "two.example", "/"),
        )
    }
)


class TestRouteTable:
    @pytest.mark.parametrize(
        ("host", "path", "name"),
        [
            ("one.example", "/a/", "a"),
            ("one.example", "/a/x", "a"),
            ("one.example", "/a/b/x/y", "deep"),
            ("one.example", "/a/bc", "a"),
            ("One.Example:8080", "/a/x", "a"),
            ("two.example", "/", "all"),
            ("two.example", "/any/where", "all"),
        ],
    )
    def test_longest_matching_prefix_wins(
        self, host: str, path: str, name: str
    ) -> None:
        route = ROUTES.find(host, path)
        assert route is not None
        assert route.name == name

    @pytest.mark.parametrize(
        ("host", "path"),
        [
            ("one.example", "/"),
            ("one.example", "/a"),
            ("one.example", "/ab/"),
            ("one.example", ""),
            ("three.example", "/a/"),
        ],
    )
    def test_other_hosts_and_paths_have_no_route(
        self, host: str, path: str
    ) -> None:
        assert ROUTES.find(host, path) is None
