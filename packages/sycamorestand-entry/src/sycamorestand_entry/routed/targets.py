"""Select the service, or the version of it, that answers a routed request.

A session keeps its version through a hash, not through stored state: its
name is hashed to a place from 0 to 1, and sessions with a place below the
roll-out's share go to the new version. As the share grows, sessions move to
the new version and none moves back. Every entry computes the same place, so a
caller whose next connection reaches another entry gets the same version.

Sessions that are active when a step of a roll-out begins stay with the
version in use. Entries send the places of these sessions to each other,
since the next request of a session may reach any entry.
"""

from __future__ import annotations

import time
from typing import Final
from typing import TYPE_CHECKING
from zlib import crc32

from sycamorestand_decisions.retained_sessions import PLACE_COUNT
from sycamorestand_decisions.retained_sessions import Step
from sycamorestand_decisions.versions import choose_version
from sycamorestand_decisions.versions import may_run
from sycamorestand_entry.errors import NoVersion
from sycamorestand_model.declarations import version_id
from sycamorestand_model.declarations import VERSION_SEPARATOR
from sycamorestand_peer.messages import SessionsStay

if TYPE_CHECKING:
    from sycamorestand_entry.context import EntryContext
    from sycamorestand_entry.routed.call import RoutedCall
    from sycamorestand_model.declarations import Model
    from sycamorestand_model.in_force import InForce

VERSION_RETRY_S: Final = 1.0
# Above this share the new version soon replaces the version in use. A
# session that stayed would have to change its version shortly after.
MAX_RETAINED_SHARE: Final = 0.5


def choose_target(context: EntryContext, call: RoutedCall) -> str:
    """Return the service, or the version of it, that shall answer.

    Raises `NoVersion` if no version of the service may be used now.
    """
    in_force = context.control.in_force()
    service = _choose_service(call)
    model = in_force.declarations.models.get(service)
    if model is None:
        return _undeclared_target(context, service)
    place = _session_place(call, service)
    call.log.in_session = bool(call.session)
    call.log.place = place / PLACE_COUNT
    position = (
        1.0 if _is_retained(context, call, service) else place / PLACE_COUNT
    )
    chosen = choose_version(model, in_force, position)
    if chosen is None:
        raise NoVersion("no version may be used now", VERSION_RETRY_S)
    if _has_capacity(context, chosen):
        return chosen
    return _fallback_version(context, model, in_force, chosen) or chosen


def next_target(context: EntryContext, call: RoutedCall, target: str) -> str:
    """Return the target of the next attempt, usually that of the last one.

    If the version was rolled back or disallowed since, choose again.
    Otherwise calls would retry at that version until their callers leave.
    """
    service, separator, version = target.partition(VERSION_SEPARATOR)
    if not separator:
        return target
    in_force = context.control.in_force()
    model = in_force.declarations.models.get(service)
    if model is None:
        return choose_target(context, call)
    rollout = in_force.shares.get(service)
    stopped = (
        rollout is not None
        and rollout.version == version
        and rollout.share <= 0
    )
    if stopped or not may_run(target, model, in_force):
        return choose_target(context, call)
    return target


def record_session(
    context: EntryContext, call: RoutedCall, target: str
) -> None:
    """Record that the version in use serves the call's session.

    That includes sessions that it serves because the new version has no
    servers. Without the record such a session would change its version once
    those servers come up.
    """
    service = target.partition(VERSION_SEPARATOR)[0]
    model = context.control.in_force().declarations.models.get(service)
    stable = model and version_id(model.name, model.stable)
    if not call.session or (stable and target != stable):
        return
    place = _session_place(call, service)
    context.retained_sessions.record_served(service, place, time.monotonic())
    step = _current_step(context, service)
    if (
        step is not None
        and place < _rollout_share(context, service) * PLACE_COUNT
    ):
        _send_retained(
            context, step, context.retained_sessions.retain(step, (place,))
        )


def _is_retained(
    context: EntryContext, call: RoutedCall, service: str
) -> bool:
    """Return whether the session stays with the version in use."""
    step = _current_step(context, service)
    if step is None or not call.session:
        return False
    retained_sessions = context.retained_sessions
    share = _rollout_share(context, service)
    _send_retained(
        context,
        step,
        retained_sessions.begin_step(step, share, time.monotonic()),
    )
    return retained_sessions.is_retained(step, _session_place(call, service))


def _current_step(context: EntryContext, service: str) -> Step | None:
    """Return the current roll-out step if sessions may stay during it."""
    rollout = context.control.in_force().shares.get(service)
    if rollout is None or not 0 < rollout.share <= MAX_RETAINED_SHARE:
        return None
    return Step(service, rollout.version, rollout.step)


def _rollout_share(context: EntryContext, service: str) -> float:
    return context.control.in_force().shares[service].share


def _send_retained(
    context: EntryContext, step: Step, places: tuple[int, ...]
) -> None:
    if places:
        context.control.send(SessionsStay(*step, places))


def _undeclared_target(context: EntryContext, service: str) -> str:
    """Return the target for a service without declared versions.

    That is the service itself, or its version with the most servers if
    servers announce several versions. Servers of the next version may
    announce themselves before its roll-out is committed; until then the
    version of most servers is the one in use. Otherwise the next version
    would get requests before its roll-out compares the versions.
    """
    return context.servers.main_version(service)


def _has_capacity(context: EntryContext, target: str) -> bool:
    """Return whether a server of the target is known and not ejected."""
    return context.servers.capacity(target, time.monotonic()) > 0


def _fallback_version(
    context: EntryContext, model: Model, in_force: InForce, chosen: str
) -> str | None:
    """Return the version that replaces a chosen one without servers.

    Only the old version replaces the new one: the new version's servers
    come up seconds after the roll-out is ordered, and the few servers of
    its first share may fail together.

    The new version never replaces the old one. An entry may know no server
    of the old version, after a restart of the entry or of the servers. If
    all requests then went to the new version, it would get more than its
    share before it was evaluated. Such requests are refused instead.
    """
    stable = choose_version(model, in_force, 1.0)
    if stable is None or stable == chosen:
        return None
    return stable if _has_capacity(context, stable) else None


def _choose_service(call: RoutedCall) -> str:
    targets = call.route.targets
    if len(targets) == 1:
        return targets[0].service
    total_weight = sum(target.weight for target in targets)
    place = (
        crc32(call.session.encode() or call.attempt)
        / PLACE_COUNT
        * total_weight
    )
    for target in targets:
        place -= target.weight
        if place < 0:
            return target.service
    return targets[-1].service


def _session_place(call: RoutedCall, service: str) -> int:
    name = call.session or call.attempt.decode("latin-1")
    return crc32(f"{name}/{service}".encode())


__all__ = ["choose_target", "next_target", "record_session"]
