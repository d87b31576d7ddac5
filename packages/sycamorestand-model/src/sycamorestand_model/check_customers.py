"""Checks of customers and operators: keys, names and allowed versions."""

from __future__ import annotations

from sycamorestand_model.check_subject import place_of
from sycamorestand_model.check_subject import report_unknown
from sycamorestand_model.check_subject import Subject
from sycamorestand_model.check_subject import UNKNOWN_REMEDY
from sycamorestand_model.declarations import CascadeStep
from sycamorestand_model.declarations import Customer
from sycamorestand_model.declarations import version_id
from sycamorestand_model.declarations import VERSION_SEPARATOR
from sycamorestand_model.findings import inside
from sycamorestand_model.findings import item
from sycamorestand_model.findings import Place


def check_customers(subject: Subject) -> None:
    """Check the keys, names and allowed versions of every customer."""
    for customer in subject.declarations.customers.values():
        place = place_of(subject, "customers", customer.name)
        _check_keys(subject, customer.key_hashes, place)
        _check_names(subject, "profiles", customer.profiles, place)
        _check_names(subject, "services", customer.services, place)
        _check_allowed(subject, customer, place)
        _check_customer_profiles(subject, customer, place)


def check_operators(subject: Subject) -> None:
    """Check that operators can get in and that one may do everything."""
    operators = subject.declarations.operators.values()
    for operator in operators:
        place = place_of(subject, "operators", operator.name)
        _check_keys(subject, operator.key_hashes, place)
    if any(broken.startswith("operators.") for broken in subject.broken):
        return
    if not any(o.role == "admin" and o.key_hashes for o in operators):
        subject.findings.warning(
            Place("", "operators"),
            "no operator with a key has the role admin",
            "declare one, or nobody can replace a voter",
        )


def check_doubled_keys(subject: Subject) -> None:
    """Report one hash at two owners, who could not be told apart."""
    seen: dict[str, str] = {}
    declarations = subject.declarations
    for section in ("customers", "operators"):
        for name, owner in getattr(declarations, section).items():
            here = inside(place_of(subject, section, name), "key_hashes")
            for index, key_hash in enumerate(owner.key_hashes):
                first = seen.setdefault(key_hash, f"{section}.{name}")
                if first != f"{section}.{name}":
                    subject.findings.error(
                        item(here, index),
                        f"{first} has the same key",
                        "make one key for each",
                    )


def _check_names(
    subject: Subject, section: str, names: tuple[str, ...], place: Place
) -> None:
    known = getattr(subject.declarations, section)
    for index, name in enumerate(names):
        if name not in known:
            here = item(inside(place, section), index)
            report_unknown(subject, section, name, here)


def _check_allowed(subject: Subject, customer: Customer, place: Place) -> None:
    for index, identity in enumerate(customer.versions):
        here = item(inside(place, "versions"), index)
        name, separator, version = identity.partition(VERSION_SEPARATOR)
        model = subject.declarations.models.get(name)
        if model is None:
            report_unknown(subject, "models", name, here)
        elif separator and version not in model.versions:
            subject.findings.error(
                here, f"unknown version of {name}", UNKNOWN_REMEDY
            )


def _check_customer_profiles(
    subject: Subject, customer: Customer, place: Place
) -> None:
    if place.key_path in subject.broken:
        return
    allowed = frozenset(customer.versions)
    for index, name in enumerate(customer.profiles):
        profile = subject.declarations.profiles.get(name)
        if profile is None:
            continue
        here = item(inside(place, "profiles"), index)
        refused = [
            step.model
            for step in profile.steps
            if not _step_allowed(subject, allowed, step)
        ]
        if len(refused) == len(profile.steps):
            subject.findings.error(
                here,
                f"{customer.name} may use no step of profile {name}",
                "allow one of its models, or take the profile away",
            )
        elif refused:
            subject.findings.warning(
                here,
                f"{customer.name} skips steps on {', '.join(refused)}",
                "allow these models unless that is meant",
            )


def _check_keys(
    subject: Subject, key_hashes: tuple[str, ...], place: Place
) -> None:
    if not key_hashes and place.key_path not in subject.broken:
        subject.findings.warning(
            inside(place, "key_hashes"),
            "holds no key, so every call is refused",
            "add one with 'sycactl new-key'",
        )


def _step_allowed(
    subject: Subject, allowed: frozenset[str], step: CascadeStep
) -> bool:
    model = subject.declarations.models.get(step.model)
    if model is None or model.name in allowed:
        # An unknown model is reported already; a second finding misleads.
        return True
    names = step.versions or tuple(model.versions)
    return any(version_id(model.name, name) in allowed for name in names)


__all__ = ["check_customers", "check_doubled_keys", "check_operators"]
