"""Check customers and operators: keys, references, allowed versions."""

from __future__ import annotations

from sycamorestand_model.check_context import CheckContext
from sycamorestand_model.check_context import declaration_place
from sycamorestand_model.check_context import report_unknown
from sycamorestand_model.check_context import UNKNOWN_REMEDY
from sycamorestand_model.declarations import CascadeStep
from sycamorestand_model.declarations import Customer
from sycamorestand_model.declarations import version_id
from sycamorestand_model.declarations import VERSION_SEPARATOR
from sycamorestand_model.findings import item_place
from sycamorestand_model.findings import key_place
from sycamorestand_model.findings import Place


def check_customers(context: CheckContext) -> None:
    """Check each customer's keys, profiles, services and versions."""
    for customer in context.declarations.customers.values():
        place = declaration_place(context, "customers", customer.name)
        _check_keys(context, customer.key_hashes, place)
        _check_references(context, "profiles", customer.profiles, place)
        _check_references(context, "services", customer.services, place)
        _check_allowed_versions(context, customer, place)
        _check_customer_profiles(context, customer, place)


def check_operators(context: CheckContext) -> None:
    """Check that operators have keys and that an admin is among them.

    The check for an admin is skipped while an operator's declaration has
    errors, as that operator may be the admin.
    """
    operators = context.declarations.operators.values()
    for operator in operators:
        place = declaration_place(context, "operators", operator.name)
        _check_keys(context, operator.key_hashes, place)
    if any(broken.startswith("operators.") for broken in context.broken):
        return
    if not any(o.role == "admin" and o.key_hashes for o in operators):
        context.findings.warning(
            Place("", "operators"),
            "no operator with a key has the role admin",
            "declare one, or nobody can replace a voter",
        )


def check_duplicate_keys(context: CheckContext) -> None:
    """Report a key hash that two owners share.

    A call with that key could not be attributed to one of them.
    """
    owner_by_hash: dict[str, str] = {}
    declarations = context.declarations
    for section in ("customers", "operators"):
        for name, owner in getattr(declarations, section).items():
            hashes_place = key_place(
                declaration_place(context, section, name), "key_hashes"
            )
            for index, key_hash in enumerate(owner.key_hashes):
                first_owner = owner_by_hash.setdefault(
                    key_hash, f"{section}.{name}"
                )
                if first_owner != f"{section}.{name}":
                    context.findings.error(
                        item_place(hashes_place, index),
                        f"{first_owner} has the same key",
                        "make one key for each",
                    )


def _check_references(
    context: CheckContext, section: str, names: tuple[str, ...], place: Place
) -> None:
    declared = getattr(context.declarations, section)
    for index, name in enumerate(names):
        if name not in declared:
            name_place = item_place(key_place(place, section), index)
            report_unknown(context, section, name, name_place)


def _check_allowed_versions(
    context: CheckContext, customer: Customer, place: Place
) -> None:
    for index, identity in enumerate(customer.versions):
        version_place = item_place(key_place(place, "versions"), index)
        name, separator, version = identity.partition(VERSION_SEPARATOR)
        model = context.declarations.models.get(name)
        if model is None:
            report_unknown(context, "models", name, version_place)
        elif separator and version not in model.versions:
            context.findings.error(
                version_place, f"unknown version of {name}", UNKNOWN_REMEDY
            )


def _check_customer_profiles(
    context: CheckContext, customer: Customer, place: Place
) -> None:
    if place.key_path in context.broken:
        return
    allowed = frozenset(customer.versions)
    for index, name in enumerate(customer.profiles):
        profile = context.declarations.profiles.get(name)
        if profile is None:
            continue
        profile_place = item_place(key_place(place, "profiles"), index)
        forbidden = [
            step.model
            for step in profile.steps
            if not _is_step_allowed(context, allowed, step)
        ]
        if len(forbidden) == len(profile.steps):
            context.findings.error(
                profile_place,
                f"{customer.name} may use no step of profile {name}",
                "allow one of its models, or take the profile away",
            )
        elif forbidden:
            context.findings.warning(
                profile_place,
                f"{customer.name} skips steps on {', '.join(forbidden)}",
                "allow these models unless that is meant",
            )


def _check_keys(
    context: CheckContext, key_hashes: tuple[str, ...], place: Place
) -> None:
    if not key_hashes and place.key_path not in context.broken:
        context.findings.warning(
            key_place(place, "key_hashes"),
            "holds no key, so every call is refused",
            "add one with 'sycactl new-key'",
        )


def _is_step_allowed(
    context: CheckContext, allowed: frozenset[str], step: CascadeStep
) -> bool:
    model = context.declarations.models.get(step.model)
    if model is None or model.name in allowed:
        # `_check_step` reports an unknown model; a second finding here
        # would blame the customer for it.
        return True
    names = step.versions or tuple(model.versions)
    return any(version_id(model.name, name) in allowed for name in names)


__all__ = ["check_customers", "check_duplicate_keys", "check_operators"]
