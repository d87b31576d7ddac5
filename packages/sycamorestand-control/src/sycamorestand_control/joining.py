"""How a control process that does not vote asks to join its cluster."""

from __future__ import annotations

import contextlib
from typing import Final
from typing import TYPE_CHECKING

import anyio

from sycamorestand_peer.clock import boottime_s
from sycamorestand_peer.errors import PeerTimeout
from sycamorestand_peer.messages import JoinRequest

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from sycamorestand_consensus.replica import Replica
    from sycamorestand_control.groups import LogGroups
    from sycamorestand_peer.mesh import PeerMesh

JOIN_INTERVAL_S: Final = 0.5
JOIN_TIMEOUT_S: Final = 1.0
# An election takes up to 1.4 s and may have to be repeated once.
NO_LEADER_S: Final = 3.0
IN_CLUSTER: Final = b"belongs to a cluster"
# The call id of a join request that another process has forwarded; such a
# request gets no reply.
FORWARDED: Final = 0


async def cluster_exists(
    mesh: PeerMesh, groups: LogGroups, controls: Sequence[str], vm: str
) -> bool:
    """Return whether one of the control processes is in a cluster.

    A process that does not answer in `JOIN_TIMEOUT_S` is skipped.
    """
    replies: list[bytes] = []

    async def ask(address: str) -> None:
        request = _make_request(mesh, groups, vm)
        with contextlib.suppress(PeerTimeout):
            reply = await mesh.call(
                address, request.call_id, request, JOIN_TIMEOUT_S
            )
            replies.append(reply.payload)

    async with anyio.create_task_group() as tasks:
        for address in controls:
            tasks.start_soon(ask, address)
    return IN_CLUSTER in replies


async def ask_to_join(
    mesh: PeerMesh,
    groups: LogGroups,
    controls: Callable[[], Sequence[str]],
    vm: str,
    keep_asking: bool = False,
) -> None:
    """Ask all other control processes until this one votes in every log.

    Every process is asked, because only the leader acts on a request and a
    joining process does not know which one leads. ``controls`` returns those
    that are known by then, none at first where the settings name none. One
    that does not answer delays no request to the others. With
    ``keep_asking`` the
    loop never ends: a voter that was replaced while it was cut off finds no
    leader, and its own log does not show the replacement. It asks again
    when it has had no leader for `NO_LEADER_S`.
    """
    leader_seen_s = boottime_s()
    while True:
        if not _is_leader_missing(groups):
            leader_seen_s = boottime_s()
        votes_everywhere = _is_voter_everywhere(groups)
        if votes_everywhere and not keep_asking:
            return
        if not votes_everywhere or boottime_s() - leader_seen_s > NO_LEADER_S:
            for address in controls():
                mesh.send(address, _make_request(mesh, groups, vm))
        await anyio.sleep(JOIN_INTERVAL_S)


def _make_request(mesh: PeerMesh, groups: LogGroups, vm: str) -> JoinRequest:
    call_id = mesh.next_call_id()
    return JoinRequest(call_id, groups.member_id, mesh.address, vm)


def _is_leader_missing(groups: LogGroups) -> bool:
    return any(
        not replica.status().leader_id for replica in groups.replicas.values()
    )


def is_voter(replica: Replica, member_id: str) -> bool:
    """Return whether a member votes, as far as this process knows."""
    return any(
        member.member_id == member_id and member.voter
        for member in replica.status().members
    )


def _is_voter_everywhere(groups: LogGroups) -> bool:
    return all(
        is_voter(replica, groups.member_id)
        for replica in groups.replicas.values()
    )


__all__ = [
    "ask_to_join",
    "cluster_exists",
    "FORWARDED",
    "IN_CLUSTER",
    "is_voter",
]
