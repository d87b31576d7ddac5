"""Check that the names in declarations refer to declared things.

Operators' tools check files offline and report files and lines. This check
runs on every replica as a change is applied, so that a client with an
older check cannot put declarations in force that entries cannot use. It
returns all findings at once, each with its key path and a remedy.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any
from typing import Final

from sycamorestand_model.declarations import Customer
from sycamorestand_model.declarations import Declarations
from sycamorestand_model.declarations import find_version
from sycamorestand_model.declarations import Model
from sycamorestand_model.declarations import Profile
from sycamorestand_model.declarations import Rollout
from sycamorestand_model.declarations import SECTIONS
from sycamorestand_model.declarations import version_id

# Room for a document of 4 MiB, the largest that operators' clients may send,
# and for the declarations made of it: 13,000 routes take 5.4 MB. Such a
# command has 0.65 MB when packed and takes 0.15 s to apply, a fifth of the
# shortest election timeout.
MAX_DECLARATIONS_BYTES: Final = 8_388_608
MAX_NAME_CHARACTERS: Final = 200


def reference_findings(declarations: Declarations) -> tuple[str, ...]:
    """Return all reasons why the declarations cannot be put in force."""
    return (
        *_name_findings(declarations),
        *_check_each(declarations, declarations.models, _model_findings),
        *_check_each(declarations, declarations.profiles, _profile_findings),
        *_check_each(declarations, declarations.customers, _customer_findings),
        *_check_each(declarations, declarations.rollouts, _rollout_findings),
        *_operator_findings(declarations),
    )


def _check_each(
    declarations: Declarations, section: dict[str, Any], check: Any
) -> Iterator[str]:
    for name in sorted(section):
        yield from check(declarations, section[name])


def _name_findings(declarations: Declarations) -> Iterator[str]:
    for section_name in SECTIONS:
        section = getattr(declarations, section_name)
        for key, item in section.items():
            name = item.model if isinstance(item, Rollout) else item.name
            if key != name:
                yield (
                    f"{section_name}.{key}: is named {name!r}; give both the "
                    "same name"
                )
            if not 0 < len(key) <= MAX_NAME_CHARACTERS:
                yield (
                    f"{section_name}.{key[:40]}: a name has 1 to "
                    f"{MAX_NAME_CHARACTERS} characters"
                )


def _model_findings(_: Declarations, model: Model) -> Iterator[str]:
    path = f"models.{model.name}"
    if model.stable not in model.versions:
        yield _unknown_name(
            f"{path}.stable", "version", model.stable, model.versions
        )
    for name, version in sorted(model.versions.items()):
        if (version.model, version.name) != (model.name, name):
            yield (
                f"{path}.versions.{name}: says it is "
                f"{version_id(version.model, version.name)}; make the names "
                "agree"
            )
        if version.input_micros_per_mtoken < 0:
            yield f"{path}.versions.{name}: a price is zero or more"
        if version.output_micros_per_mtoken < 0:
            yield f"{path}.versions.{name}: a price is zero or more"


def _profile_findings(
    declarations: Declarations, profile: Profile
) -> Iterator[str]:
    path = f"profiles.{profile.name}"
    if not profile.steps:
        yield f"{path}.steps: is empty; name at least one model"
    if not 0.0 <= profile.quality_target <= 1.0:
        yield f"{path}.quality_target: is a share from 0 to 1"
    for number, step in enumerate(profile.steps):
        step_path = f"{path}.steps[{number}]"
        model = declarations.models.get(step.model)
        if model is None:
            yield _unknown_name(
                f"{step_path}.model", "model", step.model, declarations.models
            )
            continue
        for name in step.versions:
            if name not in model.versions:
                yield _unknown_name(
                    f"{step_path}.versions", "version", name, model.versions
                )


def _customer_findings(
    declarations: Declarations, customer: Customer
) -> Iterator[str]:
    path = f"customers.{customer.name}"
    for name in customer.profiles:
        if name not in declarations.profiles:
            yield _unknown_name(
                f"{path}.profiles", "profile", name, declarations.profiles
            )
    for name in customer.services:
        if name not in declarations.services:
            yield _unknown_name(
                f"{path}.services", "service", name, declarations.services
            )
    for name in customer.versions:
        if name in declarations.models:
            continue
        if find_version(declarations, name) is None:
            yield _unknown_name(
                f"{path}.versions", "version", name, declarations.models
            )
    if not customer.weight > 0.0:
        yield f"{path}.weight: is above 0"


def _rollout_findings(
    declarations: Declarations, rollout: Rollout
) -> Iterator[str]:
    path = f"rollouts.{rollout.model}"
    model = declarations.models.get(rollout.model)
    if model is None:
        yield _unknown_name(path, "model", rollout.model, declarations.models)
    elif rollout.version not in model.versions:
        yield _unknown_name(
            f"{path}.version", "version", rollout.version, model.versions
        )
    elif rollout.version == model.stable:
        yield (
            f"{path}.version: {rollout.version!r} is stable already; remove "
            "the roll-out"
        )
    if not _are_increasing(rollout.shares):
        yield f"{path}.shares: rise from above 0 to at most 1"


def _are_increasing(shares: tuple[float, ...]) -> bool:
    if not shares:
        return False
    bounds = (0.0, *shares)
    rising = all(low < high for low, high in zip(bounds, shares, strict=False))
    return rising and shares[-1] <= 1.0


def _operator_findings(declarations: Declarations) -> Iterator[str]:
    # Without an admin nobody could change the configuration again, as every
    # later change, including one that adds an admin, would be refused.
    for operator in declarations.operators.values():
        if operator.role == "admin" and operator.key_hashes:
            return
    yield (
        "operators: none has the role admin and a key; keep one, as nobody "
        "could change the configuration again"
    )


def _unknown_name(
    path: str, kind: str, name: str, known: Iterable[str]
) -> str:
    names = ", ".join(sorted(known)) or "none is declared"
    return f"{path}: unknown {kind} {name!r}; known: {names}"


__all__ = [
    "MAX_DECLARATIONS_BYTES",
    "MAX_NAME_CHARACTERS",
    "reference_findings",
]
