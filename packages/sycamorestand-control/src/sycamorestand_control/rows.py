"""Build the rows of operators' listings from the shared tables."""

from __future__ import annotations

from typing import Final
from typing import Literal
from typing import TYPE_CHECKING

from sycamorestand_control.operator_api.types import BackendRow
from sycamorestand_control.operator_api.types import NodeRow
from sycamorestand_control.operator_api.types import RoomRow
from sycamorestand_control.operator_api.types import VoterRow
from sycamorestand_peer.clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable
    from collections.abc import Mapping

    from sycamorestand_consensus.replica_types import MemberStatus
    from sycamorestand_consensus.replica_types import ReplicaStatus
    from sycamorestand_control.tables import SharedTables
    from sycamorestand_model.backend_servers import Announcement
    from sycamorestand_model.server_loads import SharedLoad
    from sycamorestand_peer.mesh import PeerMesh
    from sycamorestand_state.nodes import NodeRecord

# The silence of a peer that was never heard is infinite; listings show this
# many seconds at most.
MAX_SILENT_S: Final = 86_400.0


def node_rows(
    tables: SharedTables, draining_vms: Collection[str], own_vm: str
) -> tuple[NodeRow, ...]:
    """Return a row for each known entry.

    Only entries attached to this process have a lease and a revision.
    """
    now_s = boottime_s()
    rows = []
    for node in sorted(tables.entries().values()):
        state = tables.entry_state(node.vm)
        lease_left_s = max(0.0, state.lease_ends_s - now_s) if state else 0.0
        rows.append(
            NodeRow(
                node.vm,
                node.data_centre,
                f"{node.host}:{node.port}",
                _node_state(node, draining_vms),
                state.acked_revision if state else 0,
                int(lease_left_s * 1_000),
                own_vm if state else "",
            )
        )
    return tuple(rows)


def merge_node_rows(
    tables: Iterable[Iterable[NodeRow]],
) -> tuple[NodeRow, ...]:
    """Return one row per entry, from the process that granted its lease.

    An entry that moved to another process is still known to the previous
    one, so the row with the longest remaining lease is used.
    """
    best: dict[str, NodeRow] = {}
    for rows in tables:
        for row in rows:
            known = best.get(row.vm)
            if known is None or _is_fresher(row, known):
                best[row.vm] = row
    return tuple(best[vm] for vm in sorted(best))


def backend_rows(
    tables: SharedTables, draining_data_centres: Collection[str]
) -> tuple[BackendRow, ...]:
    """Return the backend servers with their last reported load."""
    rows = []
    for name, server in sorted(tables.servers().items()):
        load = tables.load(name)
        rows.append(
            BackendRow(
                name,
                server.kind,
                server.address,
                server.data_centre,
                server.versions,
                _server_state(server, draining_data_centres),
                server.capacity,
                load.running if load else 0,
                load.queued if load else 0,
                int(load.age_s * 1_000) if load else 0,
            )
        )
    return tuple(rows)


def room_rows(
    tables: SharedTables, loads: Mapping[str, SharedLoad], service: str
) -> tuple[RoomRow, ...]:
    """Return the loads of the servers of a service, or of all for ""."""
    rows = []
    for name, server in sorted(tables.servers().items()):
        if service and service not in server.versions:
            continue
        row = RoomRow(name, server.versions)
        load = loads.get(name)
        if load is not None:
            row = row._replace(requests=load.requests, tokens=load.tokens)
            if load.header is not None:
                row = row._replace(
                    running=load.header.running,
                    waiting=load.header.waiting,
                    slots=load.header.slots,
                    slowness_percent=round(load.header.slowness * 100),
                    age_ms=int(load.age_s * 1_000),
                )
        rows.append(row)
    return tuple(rows)


def voter_rows(
    status: ReplicaStatus, mesh: PeerMesh, tables: SharedTables
) -> tuple[VoterRow, ...]:
    """Return the members of a log as this process sees them.

    Only the leader knows the log index that the other members have reached.
    """
    rows = []
    for member in status.members:
        is_own = member.member_id == status.member_id
        silent_s = 0.0 if is_own else mesh.silence_s(member.address)
        rows.append(
            VoterRow(
                member.member_id,
                *tables.control_name(member.address),
                member.address,
                _voter_role(member, status.leader_id),
                status.applied_index if is_own else member.match_index,
                int(min(silent_s, MAX_SILENT_S) * 1_000),
            )
        )
    return tuple(rows)


def _voter_role(
    member: MemberStatus, leader_id: str
) -> Literal["leader", "follower", "learner"]:
    if member.member_id == leader_id:
        return "leader"
    return "follower" if member.voter else "learner"


def _is_fresher(row: NodeRow, other: NodeRow) -> bool:
    return (bool(row.control), row.lease_left_ms) > (
        bool(other.control),
        other.lease_left_ms,
    )


def _server_state(
    server: Announcement, draining_data_centres: Collection[str]
) -> Literal["serving", "draining", "leaving"]:
    if server.leaving:
        return "leaving"
    if server.data_centre in draining_data_centres:
        return "draining"
    return "serving"


def _node_state(
    node: NodeRecord, draining_vms: Collection[str]
) -> Literal["serving", "draining"]:
    if node.stopping or node.vm in draining_vms:
        return "draining"
    return "serving"


__all__ = [
    "backend_rows",
    "merge_node_rows",
    "node_rows",
    "room_rows",
    "voter_rows",
]
