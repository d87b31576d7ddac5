"""Finds the route of a request: its host, then the longest prefix."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sycamorestand_model.routes import Route


class RouteTable:
    """Routes by host and prefix; made once for each revision.

    A look-up costs one step for each segment of the path, however many
    routes there are: with 4,000 routes a walk over them all would cost
    more than the rest of a request.
    """

    def __init__(self, routes: Mapping[str, Route]) -> None:
        self._hosts: dict[str, dict[str, Route]] = {}
        for route in routes.values():
            prefixes = self._hosts.setdefault(route.host.lower(), {})
            prefixes[route.path_prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route, None where none fits.

        ``host`` may carry a port; ``path`` is as it was sent, without its
        query.
        """
        prefixes = self._hosts.get(host.partition(":")[0].lower())
        if prefixes is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None


__all__ = ["RouteTable"]
