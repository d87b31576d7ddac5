"""The regions to which a route or a customer is bound.

Both may name some, and then both bind. A region in neither of these may not
run such requests, nor see their bodies.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sycamorestand_model.in_force import InForce
    from sycamorestand_model.routes import Route

    # The regions where a request may run, None for anywhere.
    Homes = frozenset[str] | None


def home_regions(
    in_force: InForce, customer: str, route: Route | None = None
) -> Homes:
    """Return where requests of the customer, on the route, may run."""
    declared = in_force.declarations.customers.get(customer)
    bound = [
        frozenset(regions)
        for regions in (
            route.home_regions if route is not None else (),
            declared.home_regions if declared is not None else (),
        )
        if regions
    ]
    if not bound:
        return None
    return bound[0].intersection(*bound[1:])


def is_home(homes: Homes, region: str) -> bool:
    """Return whether a request with these homes may run in the region."""
    return homes is None or region in homes


__all__ = ["home_regions", "is_home"]
