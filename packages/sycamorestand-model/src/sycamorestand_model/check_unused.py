"""Report declarations that no request can use.

They are warnings, as requests to the others are answered. An error in a
section may hide the reference that uses a declaration, so a section's
references count as complete only if nothing in it has an error.
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from sycamorestand_model.check_context import declaration_place
from sycamorestand_model.declarations import version_id
from sycamorestand_model.findings import ERROR
from sycamorestand_model.findings import item_place
from sycamorestand_model.findings import key_place

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sycamorestand_model.check_context import CheckContext


def check_unused(context: CheckContext) -> None:
    """Report what no request can use; this check runs after all others."""
    declared = context.declarations
    customers = declared.customers.values()
    routes = declared.routes.values()
    targets = {target.service for route in routes for target in route.targets}
    if _are_complete(context, "customers"):
        named = {name for customer in customers for name in customer.profiles}
        _report_unused(context, "profiles", named, "no customer names it")
    if _are_complete(context, "customers", "routes"):
        called = {name for customer in customers for name in customer.services}
        _report_unused(
            context,
            "services",
            called | targets,
            "no route leads to it and no customer may call it",
        )
    if _are_complete(context, "profiles", "rollouts", "routes"):
        profiles = declared.profiles.values()
        stepped = {step.model for each in profiles for step in each.steps}
        # Servers of a routed service may run versions of the model that has
        # the service's name.
        _report_unused(
            context,
            "models",
            stepped | targets | declared.rollouts.keys(),
            "no profile, route or roll-out leads to it",
        )
    if _are_complete(context, "profiles", "customers"):
        _check_versions(context)
    if _are_complete(context, "customers", "routes"):
        _check_home_regions(context)


def _are_complete(context: CheckContext, *sections: str) -> bool:
    """Return whether no error is in these sections or in a whole file."""
    return not any(
        finding.severity == ERROR
        and finding.key_path.partition(".")[0] in ("", *sections)
        for finding in context.findings.all()
    )


def _report_unused(
    context: CheckContext, section: str, used: Iterable[str], message: str
) -> None:
    for name in getattr(context.declarations, section):
        place = declaration_place(context, section, name)
        if name not in used and place.key_path not in context.broken:
            context.findings.warning(
                place,
                message,
                "remove it unless it is to be used later",
            )


def _check_versions(context: CheckContext) -> None:
    """Report allowed versions that no profile of their customer offers."""
    profiles_by_identity = _profiles_by_identity(context)
    for customer in context.declarations.customers.values():
        place = declaration_place(context, "customers", customer.name)
        profiles = frozenset(customer.profiles)
        for index, identity in enumerate(customer.versions):
            if profiles.isdisjoint(profiles_by_identity.get(identity, ())):
                context.findings.warning(
                    item_place(key_place(place, "versions"), index),
                    f"no profile of {customer.name} offers {identity}",
                    "take it away, or allow a profile that has it",
                )


def _profiles_by_identity(context: CheckContext) -> dict[str, set[str]]:
    """Return the profiles that offer each model and each version.

    With this index the time of the check does not grow with the product of
    a customer's versions and the steps of its profiles.
    """
    found: dict[str, set[str]] = defaultdict(set)
    models = context.declarations.models
    for profile in context.declarations.profiles.values():
        for step in profile.steps:
            found[step.model].add(profile.name)
            model = models.get(step.model)
            names = step.versions or (() if model is None else model.versions)
            for name in names:
                found[version_id(step.model, name)].add(profile.name)
    return found


def _check_home_regions(context: CheckContext) -> None:
    """Report a customer whose home regions are those of no route.

    Declarations do not say which regions have servers, so a region that
    none is in cannot be told from one that has some.
    """
    routes = context.declarations.routes.values()
    if not routes or not all(route.home_regions for route in routes):
        return
    regions = {name for route in routes for name in route.home_regions}
    for customer in context.declarations.customers.values():
        has_other_calls = customer.profiles or customer.services
        if not customer.home_regions or has_other_calls:
            continue
        if regions.isdisjoint(customer.home_regions):
            place = declaration_place(context, "customers", customer.name)
            context.findings.warning(
                key_place(place, "home_regions"),
                f"no route may run in a home region of {customer.name}",
                "name a region of a route that it calls",
            )


__all__ = ["check_unused"]
