"""Order of requests by the priority of their customer, then of their route.

Admission starts and refuses requests by the level that results. A customer's
priority goes before that of the route. Where all customers have the same one,
it would make all kinds of request equally urgent, so the route's priority
decides between requests of customers that are equal. A customer without a
priority has that of the route.
"""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sycamorestand_model.declarations import Customer
    from sycamorestand_model.declarations import Declarations
    from sycamorestand_model.routes import Route

# The levels after it are for work that nobody waits for.
LEAST_URGENT: Final = 7


class UrgencyLevels:
    """The levels from 0, the most urgent, to 9 that the declarations give.

    The pairs of priorities that can occur are numbered in their order, so
    that few priorities far apart give the same levels as few close together.
    From the tenth pair on, all have the last level.

    Example: with all customers at 1 and routes at 0, 1 and 2, requests of
    customers are at the levels 0, 1 and 2.
    """

    def __init__(self, declarations: Declarations) -> None:
        routes = {route.priority for route in declarations.routes.values()}
        customers = {
            customer.priority for customer in declarations.customers.values()
        }
        has_public = any(r.public for r in declarations.routes.values())
        if has_public or not customers:
            customers.add(None)
        pairs = {
            _pair(customer, route)
            for customer in customers
            for route in routes
        }
        self._levels = {
            pair: min(LEAST_URGENT, level)
            for level, pair in enumerate(sorted(pairs))
        }

    def level(self, customer: Customer | None, route: Route) -> int:
        """Return the level of a customer's requests to a route."""
        priority = None if customer is None else customer.priority
        pair = _pair(priority, route.priority)
        return self._levels.get(pair, LEAST_URGENT)


def _pair(customer: int | None, route: int) -> tuple[int, int]:
    return (route if customer is None else customer, route)


__all__ = ["LEAST_URGENT", "UrgencyLevels"]
