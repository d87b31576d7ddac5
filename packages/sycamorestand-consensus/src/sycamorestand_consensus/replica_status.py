"""Status of a replica, as its owner sees it."""

from __future__ import annotations

from sycamorestand_consensus.core import Core
from sycamorestand_consensus.replica_types import MemberStatus
from sycamorestand_consensus.replica_types import ReplicaSizes
from sycamorestand_consensus.replica_types import ReplicaStatus


def starting_status(member_id: str) -> ReplicaStatus:
    """Return the status before the files are open."""
    return ReplicaStatus(member_id, "follower", 0, "", 0, 0, 0, (), "starting")


def running_status(
    core: Core, applied_index: int, payloads_refused: int
) -> ReplicaStatus:
    """Return the status of a member whose files are open."""
    state = core.state
    return ReplicaStatus(
        member_id=state.member_id,
        role=state.role.value,
        term=state.term,
        leader_id=state.leader_id,
        commit_index=state.commit_index,
        applied_index=applied_index,
        last_index=state.log.last_index,
        members=_member_statuses(core),
        state=state_name(core),
        payloads_refused=payloads_refused,
    )


def running_sizes(
    core: Core, received_bytes: int, disk_bytes: int
) -> ReplicaSizes:
    """Return what a member whose files are open holds."""
    state = core.state
    return ReplicaSizes(
        log=state.log.size_bytes,
        unsynced=state.log.size_after(state.stable_index),
        uncommitted=state.log.size_after(state.commit_index),
        snapshot=len(state.snapshot.data),
        received=received_bytes,
        disk=disk_bytes,
    )


def state_name(core: Core) -> str:
    """Return the ``state`` of ``ReplicaStatus`` for an open replica."""
    if core.state.blocked:
        return "disk_full"
    return "blank" if core.is_blank else "ok"


def _member_statuses(core: Core) -> tuple[MemberStatus, ...]:
    state = core.state
    statuses = []
    for member in state.membership:
        match_index = 0
        if member.member_id in state.progress:
            match_index = state.progress[member.member_id].match_index
        elif member.member_id == state.member_id:
            match_index = state.stable_index
        statuses.append(MemberStatus(*member, match_index))
    return tuple(statuses)


__all__ = ["running_sizes", "running_status", "starting_status", "state_name"]
