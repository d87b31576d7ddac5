"""The configuration in force: declarations plus the leader's decisions."""

from __future__ import annotations

from typing import NamedTuple
from typing import TYPE_CHECKING

from sycamorestand_model.declarations import Declarations
from sycamorestand_model.declarations import VERSION_SEPARATOR
from sycamorestand_model.prompt_parts import BlockedPart

if TYPE_CHECKING:
    from sycamorestand_model.backend_servers import Announcement


class RolloutShare(NamedTuple):
    """The share of a model's new work that a version in roll-out gets."""

    version: str
    share: float
    step: int
    state: str


class InForce(NamedTuple):
    """One revision of the configuration, as entries apply it.

    An entry ignores a revision that is lower than the one it has.
    ``withdrawn`` and ``quarantined`` hold version identities, and
    ``shares`` is by model. ``session_key`` signs session tokens. Tokens
    that ``previous_session_key`` signed stay valid, so that sessions
    survive a rotation of the key. ``ledger_shards`` is set by the first
    start of the cluster and never changes. ``blocked_parts`` is by the name
    of the prompt part. The backend servers in ``draining_data_centres`` get
    no new work.
    """

    revision: int = 0
    declarations: Declarations = Declarations()
    withdrawn: tuple[str, ...] = ()
    quarantined: tuple[str, ...] = ()
    shares: dict[str, RolloutShare] = {}
    draining_vms: tuple[str, ...] = ()
    session_key: bytes = b""
    ledger_shards: int = 1
    previous_session_key: bytes = b""
    blocked_parts: dict[str, BlockedPart] = {}
    draining_data_centres: tuple[str, ...] = ()


def takes_new_work(in_force: InForce, server: Announcement) -> bool:
    """Return whether neither the server nor its data centre is draining."""
    return (
        not server.leaving
        and server.data_centre not in in_force.draining_data_centres
    )


def cold_requests_per_s(in_force: InForce, server: Announcement) -> float:
    """Return what the server gets while it is cold, 0 without a limit."""
    for identity in server.versions:
        name = identity.partition(VERSION_SEPARATOR)[0]
        service = in_force.declarations.services.get(name)
        if service is not None and service.cold_requests_per_s:
            return service.cold_requests_per_s
    return 0.0


__all__ = [
    "cold_requests_per_s",
    "InForce",
    "RolloutShare",
    "takes_new_work",
]
