"""Choice of the version of a model for a new session or request.

A roll-out sends a share of the new work to the new version. Withdrawn and
quarantined versions get no work whatever the share is, because the share that
an entry holds may be one revision older than the quarantine.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sycamorestand_model.declarations import Model
from sycamorestand_model.declarations import version_id
from sycamorestand_model.declarations import VERSION_SEPARATOR

if TYPE_CHECKING:
    from collections.abc import Collection

    from sycamorestand_model.in_force import InForce


def choose_version(
    model: Model,
    in_force: InForce,
    random_unit: float,
    allowed: Collection[str] | None = None,
) -> str | None:
    """Return the identity of the version for new work, None if none may run.

    The caller draws ``random_unit`` from 0 to 1. ``allowed`` holds the
    identities that the profile and customer may use; None allows all.
    """
    stable = version_id(model.name, model.stable)
    usable = _usable(stable, model, in_force, allowed)
    rollout = in_force.shares.get(model.name)
    if rollout is not None:
        new = _identity(model.name, rollout.version)
        wanted = random_unit < rollout.share
        wanted = wanted or (not usable and rollout.share > 0)
        if wanted and _usable(new, model, in_force, allowed):
            return new
    if usable:
        return stable
    return _fallback(model, in_force, allowed)


def may_run(identity: str, model: Model, in_force: InForce) -> bool:
    """Return whether a version may get new work at all."""
    return _usable(identity, model, in_force, None)


def _usable(
    identity: str,
    model: Model,
    in_force: InForce,
    allowed: Collection[str] | None,
) -> bool:
    if identity in in_force.withdrawn or identity in in_force.quarantined:
        return False
    name = identity.partition(VERSION_SEPARATOR)[2]
    version = model.versions.get(name)
    if version is None or version.withdrawn:
        return False
    return allowed is None or identity in allowed


def _fallback(
    model: Model, in_force: InForce, allowed: Collection[str] | None
) -> str | None:
    """Return the declared fallback if it may be used.

    Only operators choose the version that takes over. A version that is
    declared but not rolled out yet must not get all the work by chance.
    """
    if not model.fallback:
        return None
    identity = version_id(model.name, model.fallback)
    return identity if _usable(identity, model, in_force, allowed) else None


def _identity(model_name: str, version: str) -> str:
    if VERSION_SEPARATOR in version:
        return version
    return version_id(model_name, version)


__all__ = ["choose_version", "may_run"]
