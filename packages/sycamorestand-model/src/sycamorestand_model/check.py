"""Checks across declarations: references, order, shares and prices.

``check`` works offline and reports every finding of the reading and of
the references together. For example ``check(load_folder(Path("guild")))``
returns an empty tuple for a folder that can be applied as it is.
"""

from __future__ import annotations

from collections.abc import Callable
from itertools import pairwise
from typing import Final

from sycamorestand_model.check_customers import check_customers
from sycamorestand_model.check_customers import check_doubled_keys
from sycamorestand_model.check_customers import check_operators
from sycamorestand_model.check_routes import check_routes
from sycamorestand_model.check_subject import place_of
from sycamorestand_model.check_subject import report_unknown
from sycamorestand_model.check_subject import Subject
from sycamorestand_model.check_subject import subject_of
from sycamorestand_model.check_subject import UNKNOWN_REMEDY
from sycamorestand_model.check_subject import usable_versions
from sycamorestand_model.declarations import CascadeStep
from sycamorestand_model.declarations import Declarations
from sycamorestand_model.declarations import Model
from sycamorestand_model.declarations import Profile
from sycamorestand_model.declarations import Rollout
from sycamorestand_model.findings import Finding
from sycamorestand_model.findings import Findings
from sycamorestand_model.findings import inside
from sycamorestand_model.findings import item
from sycamorestand_model.findings import Place
from sycamorestand_model.load import Loaded


def check(loaded: Loaded) -> tuple[Finding, ...]:
    """Return all findings: those of the reading and of the references."""
    findings = Findings()
    findings.extend(loaded.findings)
    subject = subject_of(loaded, findings)
    for one_check in _CHECKS:
        one_check(subject)
    return findings.all()


def check_declarations(declarations: Declarations) -> tuple[Finding, ...]:
    """Return the findings of declarations that are typed already."""
    return check(Loaded(declarations))


def _check_models(subject: Subject) -> None:
    for model in subject.declarations.models.values():
        place = place_of(subject, "models", model.name)
        _check_stable(model, place, subject.findings)
        _check_fallback(model, place, subject.findings)
        _check_prices(model, place, subject.findings)


def _check_stable(model: Model, place: Place, findings: Findings) -> None:
    stable = model.versions.get(model.stable)
    here = inside(place, "stable")
    if stable is None:
        findings.error(here, "names no version of the model", UNKNOWN_REMEDY)
    elif stable.withdrawn:
        findings.error(
            here,
            "the stable version is withdrawn, so no new work would run",
            "make another version stable, or reinstate this one",
        )


def _check_fallback(model: Model, place: Place, findings: Findings) -> None:
    here = inside(place, "fallback")
    if model.fallback and model.fallback not in model.versions:
        findings.error(here, "names no version of the model", UNKNOWN_REMEDY)
    elif model.fallback and model.fallback == model.stable:
        findings.error(
            here,
            "the fallback is the stable version itself",
            "name another version, or leave it out",
        )


def _check_prices(model: Model, place: Place, findings: Findings) -> None:
    for version in model.versions.values():
        here = inside(inside(place, "versions"), version.name)
        for field in ("input_micros_per_mtoken", "output_micros_per_mtoken"):
            if getattr(version, field) == 0:
                findings.warning(
                    inside(here, field),
                    "price is 0, so its work is never charged",
                    "set the price unless that is meant",
                )


def _check_profiles(subject: Subject) -> None:
    for profile in subject.declarations.profiles.values():
        place = place_of(subject, "profiles", profile.name)
        for index, step in enumerate(profile.steps):
            here = item(inside(place, "steps"), index)
            _check_step(subject, step, here)
        _check_step_order(subject, profile, place)
        _check_times(profile, place, subject.findings)


def _check_step(subject: Subject, step: CascadeStep, place: Place) -> None:
    model = subject.declarations.models.get(step.model)
    if model is None:
        report_unknown(subject, "models", step.model, inside(place, "model"))
        return
    for index, name in enumerate(step.versions):
        if name not in model.versions:
            subject.findings.error(
                item(inside(place, "versions"), index),
                f"unknown version of {model.name}",
                UNKNOWN_REMEDY,
            )
    usable = usable_versions(model, step)
    if step.versions and not usable:
        subject.findings.error(
            place,
            "every version that the step may use is withdrawn or unknown",
            "allow a version that is in service",
        )


def _check_step_order(
    subject: Subject, profile: Profile, place: Place
) -> None:
    prices = [_step_price(subject, step) for step in profile.steps]
    for index, (before, after) in enumerate(pairwise(prices), start=1):
        if before is not None and after is not None and after <= before:
            subject.findings.warning(
                item(inside(place, "steps"), index),
                "costs no more than the step before it",
                "order steps from cheaper to stronger models",
            )


def _check_times(profile: Profile, place: Place, findings: Findings) -> None:
    if profile.max_added_latency_ms >= profile.default_deadline_ms:
        findings.warning(
            inside(place, "max_added_latency_ms"),
            "earlier steps may use up the whole deadline",
            "keep it well below default_deadline_ms",
        )


def _check_rollouts(subject: Subject) -> None:
    for name, rollout in subject.declarations.rollouts.items():
        place = place_of(subject, "rollouts", name)
        _check_shares(rollout.shares, place, subject.findings)
        _check_steps(rollout, place, subject.findings)
        model = subject.declarations.models.get(name)
        if model is None:
            report_unknown(subject, "models", name, place)
        else:
            _check_rollout_version(model, rollout.version, place, subject)


def _check_shares(
    shares: tuple[float, ...], place: Place, findings: Findings
) -> None:
    here = inside(place, "shares")
    for index, (before, after) in enumerate(pairwise(shares), start=1):
        if after <= before:
            findings.error(
                item(here, index),
                "share does not increase",
                "give each step a larger share than the one before",
            )
    if shares and shares[0] <= 0:
        findings.error(item(here, 0), "the first share is 0", "begin above 0")
    if shares and shares[-1] < 1:
        findings.warning(
            here, "the last share is below 1", "end with 1.0 to finish"
        )


def _check_steps(rollout: Rollout, place: Place, findings: Findings) -> None:
    if rollout.steps_s and len(rollout.steps_s) != len(rollout.shares):
        findings.error(
            inside(place, "steps_s"),
            "not as many times as shares",
            "give each share its time, or leave them out",
        )


def _check_rollout_version(
    model: Model, version: str, place: Place, subject: Subject
) -> None:
    here = inside(place, "version")
    declared = model.versions.get(version)
    if declared is None:
        subject.findings.error(
            here, f"unknown version of {model.name}", UNKNOWN_REMEDY
        )
    elif declared.withdrawn:
        subject.findings.error(
            here, "the version is withdrawn", "reinstate it or name another"
        )
    elif version == model.stable:
        subject.findings.warning(
            here, "the version is stable already", "remove this roll-out"
        )


def _step_price(subject: Subject, step: CascadeStep) -> int | None:
    model = subject.declarations.models.get(step.model)
    if model is None:
        return None
    usable = usable_versions(model, step)
    if not usable:
        return None
    name = model.stable if model.stable in usable else usable[0]
    return model.versions[name].output_micros_per_mtoken


_CHECKS: Final[tuple[Callable[[Subject], None], ...]] = (
    _check_models,
    _check_profiles,
    check_customers,
    _check_rollouts,
    check_operators,
    check_doubled_keys,
    check_routes,
)

__all__ = ["check", "check_declarations"]
