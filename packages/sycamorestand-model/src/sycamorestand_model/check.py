"""Check declarations: references, order, limits and what no one uses.

``check`` needs no running cluster. It returns the findings of the readers
together with those of the checks across declarations. For example,
``check(load_folder(Path("guild")))`` returns an empty tuple for a folder
that can be applied without changes.
"""

from __future__ import annotations

from collections.abc import Callable
from itertools import pairwise
from typing import Final

from sycamorestand_model.check_context import CheckContext
from sycamorestand_model.check_context import declaration_place
from sycamorestand_model.check_context import make_context
from sycamorestand_model.check_context import report_unknown
from sycamorestand_model.check_context import UNKNOWN_REMEDY
from sycamorestand_model.check_context import usable_versions
from sycamorestand_model.check_customers import check_customers
from sycamorestand_model.check_customers import check_duplicate_keys
from sycamorestand_model.check_customers import check_operators
from sycamorestand_model.check_limits import check_limits
from sycamorestand_model.check_routes import check_routes
from sycamorestand_model.check_unused import check_unused
from sycamorestand_model.declarations import CascadeStep
from sycamorestand_model.declarations import Declarations
from sycamorestand_model.declarations import Model
from sycamorestand_model.declarations import Profile
from sycamorestand_model.declarations import Rollout
from sycamorestand_model.findings import Finding
from sycamorestand_model.findings import Findings
from sycamorestand_model.findings import item_place
from sycamorestand_model.findings import key_place
from sycamorestand_model.findings import Place
from sycamorestand_model.load import LoadResult


def check(loaded: LoadResult) -> tuple[Finding, ...]:
    """Return the findings of the readers and of all checks, in this order."""
    findings = Findings()
    findings.extend(loaded.findings)
    context = make_context(loaded, findings)
    for one_check in _CHECKS:
        one_check(context)
    return findings.all()


def check_declarations(declarations: Declarations) -> tuple[Finding, ...]:
    """Return the findings of declarations that are already typed.

    The places of these findings name no file.
    """
    return check(LoadResult(declarations))


def _check_models(context: CheckContext) -> None:
    for model in context.declarations.models.values():
        place = declaration_place(context, "models", model.name)
        _check_stable(model, place, context.findings)
        _check_fallback(model, place, context.findings)
        _check_prices(model, place, context.findings)


def _check_stable(model: Model, place: Place, findings: Findings) -> None:
    stable = model.versions.get(model.stable)
    field_place = key_place(place, "stable")
    if stable is None:
        findings.error(
            field_place, "names no version of the model", UNKNOWN_REMEDY
        )
    elif stable.withdrawn:
        findings.error(
            field_place,
            "the stable version is withdrawn, so no new work would run",
            "make another version stable, or reinstate this one",
        )


def _check_fallback(model: Model, place: Place, findings: Findings) -> None:
    field_place = key_place(place, "fallback")
    if model.fallback and model.fallback not in model.versions:
        findings.error(
            field_place, "names no version of the model", UNKNOWN_REMEDY
        )
    elif model.fallback and model.fallback == model.stable:
        findings.error(
            field_place,
            "the fallback is the stable version itself",
            "name another version, or leave it out",
        )


def _check_prices(model: Model, place: Place, findings: Findings) -> None:
    for version in model.versions.values():
        version_place = key_place(key_place(place, "versions"), version.name)
        for field in ("input_micros_per_mtoken", "output_micros_per_mtoken"):
            if getattr(version, field) == 0:
                findings.warning(
                    key_place(version_place, field),
                    "price is 0, so its work is never charged",
                    "set the price unless that is meant",
                )


def _check_profiles(context: CheckContext) -> None:
    for profile in context.declarations.profiles.values():
        place = declaration_place(context, "profiles", profile.name)
        for index, step in enumerate(profile.steps):
            step_place = item_place(key_place(place, "steps"), index)
            _check_step(context, step, step_place)
        _check_step_order(context, profile, place)
        _check_added_latency(profile, place, context.findings)


def _check_step(
    context: CheckContext, step: CascadeStep, place: Place
) -> None:
    model = context.declarations.models.get(step.model)
    if model is None:
        report_unknown(
            context, "models", step.model, key_place(place, "model")
        )
        return
    for index, name in enumerate(step.versions):
        if name not in model.versions:
            context.findings.error(
                item_place(key_place(place, "versions"), index),
                f"unknown version of {model.name}",
                UNKNOWN_REMEDY,
            )
    usable = usable_versions(model, step)
    if step.versions and not usable:
        context.findings.error(
            place,
            "every version that the step may use is withdrawn or unknown",
            "allow a version that is in service",
        )


def _check_step_order(
    context: CheckContext, profile: Profile, place: Place
) -> None:
    prices = [_step_price(context, step) for step in profile.steps]
    for index, (before, after) in enumerate(pairwise(prices), start=1):
        if before is not None and after is not None and after <= before:
            context.findings.warning(
                item_place(key_place(place, "steps"), index),
                "costs no more than the step before it",
                "order steps from cheaper to stronger models",
            )


def _check_added_latency(
    profile: Profile, place: Place, findings: Findings
) -> None:
    if profile.max_added_latency_ms >= profile.default_deadline_ms:
        findings.warning(
            key_place(place, "max_added_latency_ms"),
            "earlier steps may use up the whole deadline",
            "keep it well below default_deadline_ms",
        )


def _check_rollouts(context: CheckContext) -> None:
    for name, rollout in context.declarations.rollouts.items():
        place = declaration_place(context, "rollouts", name)
        _check_shares(rollout.shares, place, context.findings)
        _check_step_times(rollout, place, context.findings)
        model = context.declarations.models.get(name)
        if model is None:
            report_unknown(context, "models", name, place)
        else:
            _check_rollout_version(model, rollout.version, place, context)


def _check_shares(
    shares: tuple[float, ...], place: Place, findings: Findings
) -> None:
    shares_place = key_place(place, "shares")
    for index, (before, after) in enumerate(pairwise(shares), start=1):
        if after <= before:
            findings.error(
                item_place(shares_place, index),
                "share does not increase",
                "give each step a larger share than the one before",
            )
    if shares and shares[0] <= 0:
        findings.error(
            item_place(shares_place, 0),
            "the first share is 0",
            "begin above 0",
        )
    if shares and shares[-1] < 1:
        findings.warning(
            shares_place, "the last share is below 1", "end with 1.0 to finish"
        )


def _check_step_times(
    rollout: Rollout, place: Place, findings: Findings
) -> None:
    if rollout.steps_s and len(rollout.steps_s) != len(rollout.shares):
        findings.error(
            key_place(place, "steps_s"),
            "not as many times as shares",
            "give each share its time, or leave them out",
        )


def _check_rollout_version(
    model: Model, version: str, place: Place, context: CheckContext
) -> None:
    field_place = key_place(place, "version")
    declared_version = model.versions.get(version)
    if declared_version is None:
        context.findings.error(
            field_place, f"unknown version of {model.name}", UNKNOWN_REMEDY
        )
    elif declared_version.withdrawn:
        context.findings.error(
            field_place,
            "the version is withdrawn",
            "reinstate it or name another",
        )
    elif version == model.stable:
        context.findings.warning(
            field_place,
            "the version is stable already",
            "remove this roll-out",
        )


def _step_price(context: CheckContext, step: CascadeStep) -> int | None:
    model = context.declarations.models.get(step.model)
    if model is None:
        return None
    usable = usable_versions(model, step)
    if not usable:
        return None
    name = model.stable if model.stable in usable else usable[0]
    return model.versions[name].output_micros_per_mtoken


_CHECKS: Final[tuple[Callable[[CheckContext], None], ...]] = (
    _check_models,
    _check_profiles,
    check_customers,
    _check_rollouts,
    check_operators,
    check_duplicate_keys,
    check_routes,
    check_limits,
    check_unused,
)

__all__ = ["check", "check_declarations"]
