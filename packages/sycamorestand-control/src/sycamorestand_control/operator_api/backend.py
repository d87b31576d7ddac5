"""The interface between the operators' API and the control process."""

from __future__ import annotations

from typing import Protocol

from sycamorestand_control.operator_api.types import AuditPage
from sycamorestand_control.operator_api.types import BackendRow
from sycamorestand_control.operator_api.types import BillPage
from sycamorestand_control.operator_api.types import ChangeAnswer
from sycamorestand_control.operator_api.types import ChangeRequest
from sycamorestand_control.operator_api.types import DeclarationsAnswer
from sycamorestand_control.operator_api.types import Explanation
from sycamorestand_control.operator_api.types import InForceAnswer
from sycamorestand_control.operator_api.types import NodeRow
from sycamorestand_control.operator_api.types import ReplaceVoterRequest
from sycamorestand_control.operator_api.types import RolloutRow
from sycamorestand_control.operator_api.types import RoomRow
from sycamorestand_control.operator_api.types import StatusAnswer
from sycamorestand_control.operator_api.types import TransferAnswer
from sycamorestand_control.wait_limit import WaitLimit
from sycamorestand_model.errors import SycamorestandError


class NoLeader(SycamorestandError):
    """Raised if no leader can be reached; nothing has been changed.

    ``leader_address`` is the address of the leader's operator API if the
    leader is known but this process cannot forward the request to it.
    """

    def __init__(
        self,
        message: str,
        retry_after_s: int = 1,
        leader_address: str = "",
    ) -> None:
        super().__init__(message)
        self.retry_after_s = retry_after_s
        self.leader_address = leader_address


class OutcomeUnknown(SycamorestandError):
    """Raised if a change was proposed but not answered.

    The change may be committed. The client resends it with the same change
    id to any voter.
    """


class UnknownSubject(SycamorestandError):
    """Raised if `OperatorBackend.explain` does not know the subject."""


class OperatorBackend(Protocol):
    """The control process as the operators' API calls it.

    Every coroutine method may raise `NoLeader`. `change` and
    `replace_voter` may also raise `OutcomeUnknown`, and `explain` may raise
    `UnknownSubject`. Declarations in a request have passed
    `sycamorestand_model.check.check` without errors.
    """

    async def wait_for_leader(self, waits: WaitLimit) -> None:
        """Wait until a leader is known, within ``waits``."""

    async def change(
        self, request: ChangeRequest, waits: WaitLimit | None = None
    ) -> ChangeAnswer:
        """Commit one change, or return why it was not committed.

        Waits for ``waits`` at most, else for some seconds.
        """

    async def declarations(self) -> DeclarationsAnswer:
        """Return the committed declarations, with their key hashes."""

    async def in_force(self, revision: int) -> InForceAnswer:
        """Return whether every live lease holder acts on the revision."""

    async def status(self) -> StatusAnswer:
        """Return this process's view, which needs no leader."""

    async def audit(self, after: int, limit: int) -> AuditPage:
        """Return audit entries with a sequence above ``after``."""

    async def bills(self, customer: str, after: int, limit: int) -> BillPage:
        """Return charges after a sequence; "" selects all customers."""

    async def nodes(self) -> tuple[NodeRow, ...]:
        """Return one row for each entry process."""

    async def backends(self) -> tuple[BackendRow, ...]:
        """Return one row for each backend server."""

    async def room(self, service: str) -> tuple[RoomRow, ...]:
        """Return a row for each server of a service or version; "": all."""

    async def replace_voter(
        self, request: ReplaceVoterRequest
    ) -> ChangeAnswer:
        """Start the replacement of a voter, or return why it is refused."""

    async def rollouts(self) -> tuple[RolloutRow, ...]:
        """Return the roll-outs that are declared or in progress."""

    async def explain(self, subject: str) -> Explanation:
        """Return why the system treats the subject as it does."""

    async def transfer_leadership(self, operator: str) -> TransferAnswer:
        """Transfer leadership to another voter before a planned stop."""

    def knows_operators(self) -> bool:
        """Return whether this process has received a configuration."""

    def ready(self) -> bool:
        """Return whether this process can answer operators now."""


__all__ = [
    "NoLeader",
    "OperatorBackend",
    "OutcomeUnknown",
    "UnknownSubject",
]
