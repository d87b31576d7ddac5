"""Notes on the effects of a change on requests and sessions."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from typing import Any
from typing import Final

from sycamorestand_model.declarations import Customer
from sycamorestand_model.declarations import Declarations
from sycamorestand_model.declarations import Model
from sycamorestand_model.declarations import version_id


def consequences(old: Declarations, new: Declarations) -> tuple[str, ...]:
    """Return notes for an operator on the effects of applying ``new``."""
    return tuple(note for rule in _RULES for note in rule(old, new))


def _model_consequences(old: Declarations, new: Declarations) -> Iterator[str]:
    for name, before in old.models.items():
        after = new.models.get(name)
        if after is None:
            yield f"model {name} is removed: its sessions will be refused"
            continue
        yield from _version_consequences(before, after)
        if before.stable != after.stable:
            yield (
                f"new work on {name} moves from {before.stable} to "
                f"{after.stable} at once; a roll-out would go in steps"
            )


def _version_consequences(before: Model, after: Model) -> Iterator[str]:
    for name, old_version in before.versions.items():
        identity = version_id(before.name, name)
        new_version = after.versions.get(name)
        if new_version is None:
            yield f"{identity} is removed: its sessions will be refused"
        elif new_version.withdrawn and not old_version.withdrawn:
            yield (
                f"{identity} is withdrawn: it gets no new work and its "
                "sessions will be refused"
            )
        elif old_version.withdrawn and not new_version.withdrawn:
            yield f"{identity} is reinstated: it gets new work again"


def _customer_consequences(
    old: Declarations, new: Declarations
) -> Iterator[str]:
    for name, before in old.customers.items():
        after = new.customers.get(name)
        if after is None:
            yield f"customer {name} is removed: all its calls are refused"
            continue
        if set(before.key_hashes) - set(after.key_hashes):
            yield f"customer {name} loses a key: calls with it are refused"
        lost = _lost_versions(before, after, old)
        if lost:
            yield (
                f"customer {name} loses {', '.join(lost)}: its sessions "
                "there will be refused"
            )


def _lost_versions(
    before: Customer, after: Customer, old: Declarations
) -> list[str]:
    if before.versions == after.versions:
        return []
    old_allowed = frozenset(before.versions)
    new_allowed = frozenset(after.versions)
    lost = []
    for model in old.models.values():
        if model.name in new_allowed:
            continue
        for name in model.versions:
            identity = version_id(model.name, name)
            was_allowed = model.name in old_allowed or identity in old_allowed
            if was_allowed and identity not in new_allowed:
                lost.append(identity)
    return lost


def _profile_consequences(
    old: Declarations, new: Declarations
) -> Iterator[str]:
    for name in _removed_names(old.profiles, new.profiles):
        yield f"profile {name} is removed: requests naming it are refused"


def _service_consequences(
    old: Declarations, new: Declarations
) -> Iterator[str]:
    for name in _removed_names(old.services, new.services):
        yield f"service {name} is removed: requests to it are refused"
    for name, before in old.services.items():
        after = new.services.get(name)
        if after is None:
            continue
        added = set(after.idempotent_methods) - set(before.idempotent_methods)
        if added:
            yield (
                f"{', '.join(sorted(added))} calls to {name} may now be "
                "repeated: be sure that doing them twice is harmless"
            )


def _rollout_consequences(
    old: Declarations, new: Declarations
) -> Iterator[str]:
    for name in _removed_names(old.rollouts, new.rollouts):
        yield f"roll-out of {name} ends: new work goes to its stable version"
    for name, before in old.rollouts.items():
        after = new.rollouts.get(name)
        if after is not None and after.version != before.version:
            yield (
                f"roll-out of {name} starts over with {after.version} "
                f"instead of {before.version}"
            )


def _operator_consequences(
    old: Declarations, new: Declarations
) -> Iterator[str]:
    for name, before in old.operators.items():
        after = new.operators.get(name)
        if after is None:
            yield f"operator {name} is removed: that key is refused"
        elif set(before.key_hashes) - set(after.key_hashes):
            yield f"operator {name} loses a key: it is refused"


def _removed_names(old: dict[str, Any], new: dict[str, Any]) -> list[str]:
    return [name for name in old if name not in new]


_RULES: Final[
    tuple[Callable[[Declarations, Declarations], Iterator[str]], ...]
] = (
    _model_consequences,
    _customer_consequences,
    _profile_consequences,
    _service_consequences,
    _rollout_consequences,
    _operator_consequences,
)

__all__ = ["consequences"]
