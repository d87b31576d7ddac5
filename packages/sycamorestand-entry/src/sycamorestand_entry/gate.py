"""The gate: the only place that allows a request to be dispatched.

Each check runs synchronously, right before the first byte of a request
is written. While a request waits in a queue, for a connection or for the
ledger, a version may be withdrawn, the lease may expire while the process
is suspended, or the backend server may leave. Retries, later cascade steps
and resumed streams pass the gate again for the same reason.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

from sycamorestand_entry.errors import NoBackendServer
from sycamorestand_entry.errors import NoLease
from sycamorestand_entry.errors import NotAllowed
from sycamorestand_entry.errors import NoVersion
from sycamorestand_entry.errors import PartBlocked
from sycamorestand_entry.errors import RequestBlocked
from sycamorestand_entry.errors import RequestError
from sycamorestand_entry.errors import SessionNotAllowed
from sycamorestand_entry.errors import SessionWithdrawn
from sycamorestand_model.declarations import find_version
from sycamorestand_model.declarations import is_version_allowed
from sycamorestand_model.home_regions import home_regions
from sycamorestand_model.home_regions import is_home
from sycamorestand_model.in_force import takes_new_work
from sycamorestand_model.request_digest import is_request

if TYPE_CHECKING:
    from sycamorestand_entry.ports import ControlPort
    from sycamorestand_model.in_force import InForce
    from sycamorestand_model.prompt_parts import BlockedPart
    from sycamorestand_model.routes import Route

LEASE_RETRY_S = 1.0
SERVER_RETRY_S = 1.0
NOT_AT_HOME: Final = "the chosen backend server is in no home region"
# A part that may be blamed wrongly is tried soon, others are not.
FIRST_TRIAL_RETRY_S: Final = 1.0
BLOCKED_RETRY_S: Final = 30.0

# Whether this process may send one request with a blocked part.
MayTry = Callable[[str, "BlockedPart"], bool]


class DispatchIntent(NamedTuple):
    """A request that is about to be written to a backend server.

    ``target`` is a version identity or the name of a plain service.
    ``claim_held`` is None if the request needs no claim. ``blocked`` are the
    parts of its prompt that are blocked for its customer.
    """

    customer: str
    profile: str
    target: str
    backend_server: str
    in_session: bool = False
    claim_held: bool | None = None
    blocked: Mapping[str, BlockedPart] = {}


class RoutedIntent(NamedTuple):
    """A routed request that is about to be written to a backend server.

    ``route`` is the route that admitted the request. ``backend_server`` is
    empty if another entry forwards the request and chooses the server.
    ``blocked`` are the parts of its prompt that are blocked for its customer.
    """

    route: Route
    customer: str
    backend_server: str
    blocked: Mapping[str, BlockedPart] = {}


def check_parts(
    blocked: Mapping[str, BlockedPart], may_try: MayTry
) -> RequestError | None:
    """Return why a prompt with these blocked parts is refused.

    Returns None if it has none, or if this process may try all of them:
    parts that no prompt has apart are never answered apart.
    """
    if all(may_try(part, block) for part, block in blocked.items()):
        return None
    part, block = next(iter(blocked.items()))
    if is_request(part):
        return RequestBlocked(
            f"backend servers ended under this request, {part!r}",
            _blocked_retry_s(block),
        )
    return PartBlocked(
        f"backend servers ended under requests with the prompt part {part!r}",
        _blocked_retry_s(block),
    )


def _blocked_retry_s(block: BlockedPart) -> float:
    is_tried_soon = not (block.is_certain or block.trials)
    return FIRST_TRIAL_RETRY_S if is_tried_soon else BLOCKED_RETRY_S


def may_never_try(part: str, block: BlockedPart) -> bool:
    """Return that no request with a blocked part may be sent."""
    return False


def check_routed_dispatch(
    control: ControlPort,
    intent: RoutedIntent,
    may_try: MayTry = may_never_try,
) -> RequestError | None:
    """Return why a routed request may not be dispatched, None if it may.

    The route is looked up again, because it may have been removed or moved
    to another service while the request waited.
    """
    if control.lease_remaining_s() <= 0:
        return NoLease(
            "this entry's configuration may be out of date", LEASE_RETRY_S
        )
    in_force = control.in_force()
    route = in_force.declarations.routes.get(intent.route.name)
    if route is None:
        return NotAllowed("the route is no longer declared")
    if intent.customer and (
        intent.customer not in in_force.declarations.customers
    ):
        return NotAllowed("the customer is no longer declared")
    refusal = check_parts(intent.blocked, may_try)
    if refusal is not None or not intent.backend_server:
        return refusal
    return _check_routed_server(control, route, intent)


def _check_routed_server(
    control: ControlPort, route: Route, intent: RoutedIntent
) -> RequestError | None:
    server = control.backend_servers().get(intent.backend_server)
    in_force = control.in_force()
    if server is None or not takes_new_work(in_force, server):
        return NoBackendServer(
            "the chosen backend server has left", SERVER_RETRY_S
        )
    homes = home_regions(in_force, intent.customer, route)
    if not is_home(homes, server.region):
        return NoBackendServer(NOT_AT_HOME, SERVER_RETRY_S)
    if not any(
        target.weight > 0 and target.service in server.versions
        for target in route.targets
    ):
        return NotAllowed("no route leads to this backend server now")
    withdrawn = in_force.withdrawn
    if any(version in withdrawn for version in server.versions):
        return NoVersion("the server's version is withdrawn")
    return None


def check_dispatch(
    control: ControlPort,
    intent: DispatchIntent,
    may_try: MayTry = may_never_try,
) -> RequestError | None:
    """Return why the request may not be dispatched, None if it may."""
    if control.lease_remaining_s() <= 0:
        return NoLease(
            "this entry's configuration may be out of date", LEASE_RETRY_S
        )
    if intent.claim_held is False:
        return NotAllowed("another attempt holds the request's claim")
    in_force = control.in_force()
    if intent.profile:
        refusal = check_version(in_force, intent)
    else:
        refusal = _check_service(in_force, intent)
    refusal = refusal or check_parts(intent.blocked, may_try)
    return refusal or _check_server(control, intent)


def check_version(
    in_force: InForce, intent: DispatchIntent
) -> RequestError | None:
    """Return why the customer may not use the version, None if it may."""
    customer = in_force.declarations.customers.get(intent.customer)
    if customer is None or intent.profile not in customer.profiles:
        return NotAllowed("the customer may not use this profile")
    if not version_is_offered(in_force, intent.target, intent.in_session):
        if intent.in_session:
            return SessionWithdrawn(
                f"version {intent.target} of this session is withdrawn"
            )
        return NoVersion(f"version {intent.target} is withdrawn")
    allowed = is_version_allowed(customer, intent.target)
    if allowed and _profile_has(in_force, intent):
        return None
    if intent.in_session:
        return SessionNotAllowed(
            f"version {intent.target} of this session is no longer allowed"
        )
    return NotAllowed(f"version {intent.target} is not allowed")


def version_is_offered(
    in_force: InForce, identity: str, in_session: bool = False
) -> bool:
    """Return whether the version may receive work.

    A quarantine blocks new sessions and requests. The system quarantines a
    version on its own evidence, so running sessions keep the version; only
    an operator's withdrawal ends them too.
    """
    if identity in in_force.withdrawn:
        return False
    if identity in in_force.quarantined and not in_session:
        return False
    version = find_version(in_force.declarations, identity)
    return version is not None and not version.withdrawn


def _profile_has(in_force: InForce, intent: DispatchIntent) -> bool:
    profile = in_force.declarations.profiles.get(intent.profile)
    if profile is None:
        return False
    model, _, name = intent.target.partition("@")
    return any(
        step.model == model and (not step.versions or name in step.versions)
        for step in profile.steps
    )


def _check_service(
    in_force: InForce, intent: DispatchIntent
) -> RequestError | None:
    customer = in_force.declarations.customers.get(intent.customer)
    if customer is None or intent.target not in customer.services:
        return NotAllowed("the customer may not use this service")
    if intent.target not in in_force.declarations.services:
        return NotAllowed("the service is no longer declared")
    return None


def _check_server(
    control: ControlPort, intent: DispatchIntent
) -> RequestError | None:
    server = control.backend_servers().get(intent.backend_server)
    if server is None or not takes_new_work(control.in_force(), server):
        return NoBackendServer(
            "the chosen backend server has left", SERVER_RETRY_S
        )
    homes = home_regions(control.in_force(), intent.customer)
    if not is_home(homes, server.region):
        return NoBackendServer(NOT_AT_HOME, SERVER_RETRY_S)
    if intent.target not in server.versions:
        return NoBackendServer(
            "the chosen backend server no longer holds it", SERVER_RETRY_S
        )
    return None


__all__ = [
    "check_parts",
    "check_version",
    "DispatchIntent",
    "check_dispatch",
    "check_routed_dispatch",
    "may_never_try",
    "MayTry",
    "RoutedIntent",
    "version_is_offered",
]
