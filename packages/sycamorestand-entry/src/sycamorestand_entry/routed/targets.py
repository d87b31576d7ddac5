"""Which service or version of it answers a routed request.

A session that a caller names keeps its version by being placed, not by
being remembered: its name gives a place between 0 and 1, and while a
roll-out's share grows, places below it move to the new version and none
moves back. Every entry computes the same place, so a caller whose next
connection leads to another entry meets the same version there. What is
under way when a step of a roll-out begins stays with the version in use:
entries tell each other of it, as its next request comes to any of them.
"""

from __future__ import annotations

from collections import Counter
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
# From here on the version in use is on its way out: what stayed with it
# would lose it a moment later.
MAX_STAY_SHARE: Final = 0.5


def choose_target(context: EntryContext, call: RoutedCall) -> str:
    """Return the service, or the version of it, that is to answer."""
    in_force = context.control.in_force()
    service = _service_of(call)
    model = in_force.declarations.models.get(service)
    if model is None:
        return _undeclared(context, service)
    place = _place(call, service)
    call.log.in_session = bool(call.session)
    call.log.place = place / PLACE_COUNT
    unit = 1.0 if _stays(context, call, service) else place / PLACE_COUNT
    chosen = choose_version(model, in_force, unit)
    if chosen is None:
        raise NoVersion("no version may be used now", VERSION_RETRY_S)
    if _takes_work(context, chosen):
        return chosen
    return _other(context, model, in_force, chosen) or chosen


def current_target(
    context: EntryContext, call: RoutedCall, target: str
) -> str:
    """Return where the next attempt goes: where the last one did.

    But for a version that was taken back since: its attempts would go on
    for as long as callers wait.
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


def note_session(context: EntryContext, call: RoutedCall, target: str) -> None:
    """Note that the version in use serves the call's session.

    Also where it stands in for the new one: back and forth, the session
    would change its version twice.
    """
    service = target.partition(VERSION_SEPARATOR)[0]
    model = context.control.in_force().declarations.models.get(service)
    stable = model and version_id(model.name, model.stable)
    if not call.session or (stable and target != stable):
        return
    place = _place(call, service)
    context.staying.record_served(service, place, time.monotonic())
    step = _step(context, service)
    if step is not None and place < _share(context, service) * PLACE_COUNT:
        _tell(context, step, context.staying.retain(step, (place,)))


def _stays(context: EntryContext, call: RoutedCall, service: str) -> bool:
    """Tell whether the session goes on with the version in use."""
    step = _step(context, service)
    if step is None or not call.session:
        return False
    staying = context.staying
    share = _share(context, service)
    _tell(context, step, staying.begin_step(step, share, time.monotonic()))
    return staying.is_retained(step, _place(call, service))


def _step(context: EntryContext, service: str) -> Step | None:
    """Return the step in which sessions may stay, if one is under way."""
    rollout = context.control.in_force().shares.get(service)
    if rollout is None or not 0 < rollout.share <= MAX_STAY_SHARE:
        return None
    return Step(service, rollout.version, rollout.step)


def _share(context: EntryContext, service: str) -> float:
    return context.control.in_force().shares[service].share


def _tell(context: EntryContext, step: Step, places: tuple[int, ...]) -> None:
    if places:
        context.control.send(SessionsStay(*step, places))


def _undeclared(context: EntryContext, service: str) -> str:
    """Return a service whose versions nobody declared, or its main one.

    Servers of the next version may announce themselves before the order
    to roll it out is committed. Until then the version of most servers is
    the one in use; without this the next one would get its whole share
    before anybody compares.
    """
    counts: Counter[str] = Counter()
    for server in context.control.backend_servers().values():
        if service in server.versions and not server.leaving:
            counts.update(v for v in server.versions if v != service)
    if len(counts) <= 1:
        return service
    return max(sorted(counts), key=lambda name: counts[name])


def _takes_work(context: EntryContext, target: str) -> bool:
    """Tell whether a server of it is known that is not out."""
    return context.servers.capacity(target, time.monotonic()) > 0


def _other(
    context: EntryContext, model: Model, in_force: InForce, chosen: str
) -> str | None:
    """Return the version that stands in for one without servers.

    The new version's servers come up seconds after the order, and the few
    of its first share may be lost together: what is placed there goes to
    the old version. The other way round only what the share allows goes
    to the new one. While an entry had heard of no old server, after its
    restart or theirs, all its work went to a version that nobody had
    judged yet; now that is refused, and a bad version cannot get more than
    its share whatever is lost.
    """
    stable = choose_version(model, in_force, 1.0)
    if stable is None or stable == chosen:
        return None
    return stable if _takes_work(context, stable) else None


def _service_of(call: RoutedCall) -> str:
    targets = call.route.targets
    if len(targets) == 1:
        return targets[0].service
    whole = sum(target.weight for target in targets)
    place = crc32(call.session.encode() or call.attempt) / PLACE_COUNT * whole
    for target in targets:
        place -= target.weight
        if place < 0:
            return target.service
    return targets[-1].service


def _place(call: RoutedCall, service: str) -> int:
    name = call.session or call.attempt.decode("latin-1")
    return crc32(f"{name}/{service}".encode())


__all__ = ["choose_target", "current_target", "note_session"]
