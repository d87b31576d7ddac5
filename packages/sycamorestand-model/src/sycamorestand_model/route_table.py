"""Look up the route of a request by host and longest path prefix."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sycamorestand_model.routes import Route


class RouteTable:
    """An index of routes by host and path prefix, built once a revision.

    The cost of a look-up grows with the number of segments in the path,
    not with the number of routes. With 4,000 routes, a scan of all routes
    would cost more than the rest of a request.
    """

    def __init__(self, routes: Mapping[str, Route]) -> None:
        self._hosts: dict[str, dict[str, Route]] = {}
        for route in routes.values():
            prefixes = self._hosts.setdefault(route.host.lower(), {})
            prefixes[route.path_prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, or None.

        ``host`` may include a port. ``path`` is the path as it was sent,
        without the query.
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
