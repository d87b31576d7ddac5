"""Log a group that makes no progress: why, since when, and who answers."""

from __future__ import annotations

import logging
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

import anyio

from sycamorestand_peer.clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorestand_consensus.replica import Replica
    from sycamorestand_peer.mesh import PeerMesh

LOG: Final = logging.getLogger(__name__)
POLL_S: Final = 0.5
# An election takes up to 1.4 s.
SETTLE_S: Final = 1.5
REPEAT_S: Final = 10.0
# Links carry a heartbeat each half second.
ANSWERS_WITHIN_S: Final = 1.5


class GroupProgress(NamedTuple):
    """Why a group makes no progress, and which of its voters answer.

    ``reason`` is empty while it makes progress. The voters are peer
    addresses, without this process's own.
    """

    reason: str
    answering: tuple[str, ...] = ()
    silent: tuple[str, ...] = ()


def group_progress(replica: Replica, mesh: PeerMesh) -> GroupProgress:
    """Return the progress of a group as one of its processes sees it."""
    status = replica.status()
    voters = [
        member.address
        for member in status.members
        if member.voter and member.address != mesh.address
    ]
    silence_s = {address: mesh.silence_s(address) for address in voters}
    if status.state != "ok":
        reason = status.state
    elif not status.leader_id:
        reason = "no leader"
    elif status.role == "leader" and replica.leader_lease_remaining_s() <= 0:
        reason = "no majority answers this leader"
    else:
        reason = ""
    return GroupProgress(
        reason,
        tuple(a for a in voters if silence_s[a] < ANSWERS_WITHIN_S),
        tuple(a for a in voters if silence_s[a] >= ANSWERS_WITHIN_S),
    )


class ProgressWatch:
    """Logs a group without progress, and when it makes progress again.

    A line comes once the group has had none for `SETTLE_S`, when the reason
    or the voters that answer change, and each `REPEAT_S`.
    """

    def __init__(
        self, group: int, progress: Callable[[], GroupProgress]
    ) -> None:
        self._group = group
        self._progress = progress
        self._since_s: float | None = None
        self._logged: GroupProgress | None = None
        self._logged_s = 0.0

    async def run(self) -> None:
        """Check until cancelled."""
        while True:
            self.check(boottime_s())
            await anyio.sleep(POLL_S)

    def check(self, now_s: float) -> None:
        """Log what has changed since the last check."""
        progress = self._progress()
        if not progress.reason:
            self._log_recovery(now_s)
            return
        if self._since_s is None:
            self._since_s = now_s
        lasted_s = now_s - self._since_s
        is_repeated = progress == self._logged
        if lasted_s < SETTLE_S or (
            is_repeated and now_s - self._logged_s < REPEAT_S
        ):
            return
        self._logged, self._logged_s = progress, now_s
        LOG.warning(
            "group makes no progress",
            extra={
                "group": self._group,
                "reason": progress.reason,
                "for_s": round(lasted_s, 1),
                "answering": progress.answering,
                "silent": progress.silent,
            },
        )

    def _log_recovery(self, now_s: float) -> None:
        if self._logged is not None and self._since_s is not None:
            lasted_s = round(now_s - self._since_s, 1)
            LOG.info(
                "group makes progress again",
                extra={"group": self._group, "after_s": lasted_s},
            )
        self._since_s = self._logged = None


__all__ = ["group_progress", "GroupProgress", "ProgressWatch", "SETTLE_S"]
