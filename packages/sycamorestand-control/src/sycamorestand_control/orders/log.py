"""The part of the configuration log that orders need."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

from sycamorestand_control.groups import CONFIGURATION_GROUP
from sycamorestand_state.commands import encode_command
from sycamorestand_state.commands import RecordOrder
from sycamorestand_state.results import ChangeResult
from sycamorestand_state.results import OrderRecord

if TYPE_CHECKING:
    from sycamorestand_control.groups import LogGroups
    from sycamorestand_state.configuration import ConfigurationMachine

# Below `SEND_WITHIN_S`: if committing the intent took longer, the order could
# no longer be sent.
COMMIT_TIMEOUT_S: Final = 1.5


class LeaderLog(NamedTuple):
    """The functions of the configuration log that the leader's orders use.

    ``leading_term`` returns None while this process does not lead.
    ``barrier`` returns once this process has applied all committed entries,
    and raises ``ConsensusError``. ``commit`` raises ``ControlError``.
    """

    leading_term: Callable[[], int | None]
    barrier: Callable[[], Awaitable[None]]
    lease_remaining_s: Callable[[], float]
    orders: Callable[[], tuple[OrderRecord, ...]]
    commit: Callable[[RecordOrder], Awaitable[ChangeResult]]


def make_leader_log(
    groups: LogGroups, configuration: ConfigurationMachine
) -> LeaderLog:
    """Return the `LeaderLog` of a control process."""
    replica = groups.replicas[CONFIGURATION_GROUP]

    def leading_term() -> int | None:
        status = replica.status()
        return status.term if status.role == "leader" else None

    async def commit(record: RecordOrder) -> ChangeResult:
        command = encode_command(record)
        result: ChangeResult = await groups.propose(
            CONFIGURATION_GROUP, command, COMMIT_TIMEOUT_S
        )
        return result

    return LeaderLog(
        leading_term,
        replica.read_barrier,
        replica.leader_lease_remaining_s,
        configuration.orders,
        commit,
    )


__all__ = ["LeaderLog", "make_leader_log"]
