"""What the operators' interface needs from the control process."""

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
from sycamorestand_control.operator_api.types import StatusAnswer
from sycamorestand_control.operator_api.types import TransferAnswer
from sycamorestand_model.errors import SycamorestandError


class NoLeader(SycamorestandError):
    """No voter leads that can be reached, so nothing has been changed.

    ``leader_address`` names the leader's operator interface where it is
    known and only this process cannot forward to it.
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
    """A change was proposed and no answer came: it may be committed.

    The client resends it with the same change id, to any voter.
    """


class UnknownSubject(SycamorestandError):
    """The subject of a question is not known to the system."""


class OperatorBackend(Protocol):
    """The control process behind the interface.

    Every method may raise `NoLeader`; `change` and `replace_voter` may
    also raise `OutcomeUnknown`, and `explain` `UnknownSubject`.
    Declarations that arrive here have passed `check` without an error.
    """

    async def change(self, request: ChangeRequest) -> ChangeAnswer:
        """Commit one change, or say why not."""

    async def declarations(self) -> DeclarationsAnswer:
        """Return the committed declarations, with their key hashes."""

    async def in_force(self, revision: int) -> InForceAnswer:
        """Tell whether every live lease holder acts on the revision."""

    async def status(self) -> StatusAnswer:
        """Return this process's view; it works without a leader too."""

    async def audit(self, after: int, limit: int) -> AuditPage:
        """Return audit entries with a sequence above ``after``."""

    async def bills(self, customer: str, after: int, limit: int) -> BillPage:
        """Return charges; an empty customer means all of them."""

    async def nodes(self) -> tuple[NodeRow, ...]:
        """Return the entry processes."""

    async def backends(self) -> tuple[BackendRow, ...]:
        """Return the backend servers."""

    async def replace_voter(
        self, request: ReplaceVoterRequest
    ) -> ChangeAnswer:
        """Start the replacement of a voter, or refuse it."""

    async def rollouts(self) -> tuple[RolloutRow, ...]:
        """Return the roll-outs that are declared or under way."""

    async def explain(self, subject: str) -> Explanation:
        """Return why the system treats the subject as it does."""

    async def transfer_leadership(self, operator: str) -> TransferAnswer:
        """Hand leadership to another voter, before a planned stop."""

    def knows_operators(self) -> bool:
        """Tell whether this process can judge an operator's key."""

    def ready(self) -> bool:
        """Tell whether this process can answer operators now."""


__all__ = [
    "NoLeader",
    "OperatorBackend",
    "OutcomeUnknown",
    "UnknownSubject",
]
