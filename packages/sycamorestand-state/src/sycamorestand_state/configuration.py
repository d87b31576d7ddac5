"""The configuration as a state machine on the replicated log.

Every change carries a change id and the revision that it is based on. A
client resends a change after its answer was lost; without the change id,
the change would be applied twice. Two operators may change the same
revision at the same time; without the base revision, the later change
would silently undo the earlier one.
"""

from __future__ import annotations

from typing import Any
from typing import Final
from typing import NamedTuple

from sycamorestand_model.in_force import InForce
from sycamorestand_state.audit_trail import AuditTrail
from sycamorestand_state.audit_trail import within_limits
from sycamorestand_state.blocked_parts import block_part
from sycamorestand_state.blocked_parts import release_part
from sycamorestand_state.blocked_parts import try_part
from sycamorestand_state.change_ids import MAX_CHANGE_ID_CHARACTERS
from sycamorestand_state.change_ids import StoredAnswer
from sycamorestand_state.change_ids import StoredAnswers
from sycamorestand_state.changes import apply_declarations
from sycamorestand_state.changes import create_cluster
from sycamorestand_state.changes import drain_vm
from sycamorestand_state.changes import lift_quarantine
from sycamorestand_state.changes import quarantine
from sycamorestand_state.changes import reinstate
from sycamorestand_state.changes import rotate_session_key
from sycamorestand_state.changes import undrain_vm
from sycamorestand_state.changes import withdraw
from sycamorestand_state.codec import decode_state
from sycamorestand_state.codec import encode_state
from sycamorestand_state.codec import fingerprint
from sycamorestand_state.commands import ANY_REVISION
from sycamorestand_state.commands import ApplyDeclarations
from sycamorestand_state.commands import BASE_REQUIRED_KINDS
from sycamorestand_state.commands import BlockPart
from sycamorestand_state.commands import Change
from sycamorestand_state.commands import Command
from sycamorestand_state.commands import CreateCluster
from sycamorestand_state.commands import decode_command
from sycamorestand_state.commands import DrainDataCentre
from sycamorestand_state.commands import DrainVm
from sycamorestand_state.commands import LiftQuarantine
from sycamorestand_state.commands import Quarantine
from sycamorestand_state.commands import RecordOrder
from sycamorestand_state.commands import Reinstate
from sycamorestand_state.commands import ReleasePart
from sycamorestand_state.commands import RolloutStep
from sycamorestand_state.commands import RotateSessionKey
from sycamorestand_state.commands import StartRollout
from sycamorestand_state.commands import StopRollout
from sycamorestand_state.commands import SYSTEM
from sycamorestand_state.commands import TryPart
from sycamorestand_state.commands import UndrainDataCentre
from sycamorestand_state.commands import UndrainVm
from sycamorestand_state.commands import Withdraw
from sycamorestand_state.configuration_state import ConfigurationState
from sycamorestand_state.configuration_state import Decision
from sycamorestand_state.configuration_state import refused
from sycamorestand_state.configuration_state import to_in_force
from sycamorestand_state.data_centres import drain_data_centre
from sycamorestand_state.data_centres import undrain_data_centre
from sycamorestand_state.fault_guard import FAULT_FINDING
from sycamorestand_state.fault_guard import FaultGuard
from sycamorestand_state.order_book import OrderBook
from sycamorestand_state.order_book import OrderDecision
from sycamorestand_state.order_book import record_order
from sycamorestand_state.order_book import shortened
from sycamorestand_state.results import AuditEntry
from sycamorestand_state.results import ChangeResult
from sycamorestand_state.results import ClusterIdentity
from sycamorestand_state.results import OrderRecord
from sycamorestand_state.results import Outcome
from sycamorestand_state.results import RolloutState
from sycamorestand_state.rollouts import start_rollout
from sycamorestand_state.rollouts import step_rollout
from sycamorestand_state.rollouts import stop_rollout

# A conflict lists at most this many of the changes since its base revision,
# and as many lines of each change's difference.
MAX_CONFLICT_LINES: Final = 5

_HANDLERS: Final[dict[type[Any], Any]] = {
    CreateCluster: create_cluster,
    ApplyDeclarations: apply_declarations,
    Withdraw: withdraw,
    Reinstate: reinstate,
    StartRollout: start_rollout,
    RolloutStep: step_rollout,
    StopRollout: stop_rollout,
    Quarantine: quarantine,
    LiftQuarantine: lift_quarantine,
    DrainVm: drain_vm,
    UndrainVm: undrain_vm,
    RotateSessionKey: rotate_session_key,
    BlockPart: block_part,
    TryPart: try_part,
    ReleasePart: release_part,
    DrainDataCentre: drain_data_centre,
    UndrainDataCentre: undrain_data_centre,
}


class _Snapshot(NamedTuple):
    state: ConfigurationState
    answers: list[tuple[str, StoredAnswer]]
    audit: list[AuditEntry]
    orders: list[OrderRecord]
    order_fence: tuple[int, int]
    clock_s: float


class ConfigurationSizes(NamedTuple):
    """What the history of changes takes, in bytes."""

    audit_trail: int
    answers: int


class ConfigurationMachine:
    """Applies committed commands to the configuration, in log order."""

    def __init__(self) -> None:
        self._state = ConfigurationState()
        self._answers = StoredAnswers()
        self._audit = AuditTrail()
        self._order_book = OrderBook()
        self._clock_s = 0.0
        self._in_force = to_in_force(self._state)
        self._guard = FaultGuard()

    @property
    def faults(self) -> int:
        """How many commands were refused because their handler failed."""
        return self._guard.faults

    @property
    def revision(self) -> int:
        """The revision in force; it never decreases."""
        return self._state.revision

    @property
    def cluster(self) -> ClusterIdentity | None:
        """The identity of the cluster, None before its creation."""
        return self._state.cluster

    @property
    def previous_session_key(self) -> bytes:
        """The session key before the last rotation.

        Tokens that it signed are still valid.
        """
        return self._state.previous_session_key

    def in_force(self) -> InForce:
        """Return the configuration that entries act on.

        It is the same object until the configuration changes.
        """
        return self._in_force

    def rollout(self, model: str) -> RolloutState | None:
        """Return the committed roll-out of a model."""
        return self._state.rollouts.get(model)

    def rollouts(self) -> tuple[RolloutState, ...]:
        """Return all committed roll-outs, including stopped ones."""
        return tuple(self._state.rollouts.values())

    def orders(self) -> tuple[OrderRecord, ...]:
        """Return the orders to engines, ordered by their last change."""
        return tuple(self._order_book.orders.values())

    def audit(self, after_index: int, limit: int) -> list[AuditEntry]:
        """Return up to ``limit`` audit entries after an index of the log."""
        return self._audit.after(after_index, limit)

    def revision_at(self, index: int) -> int | None:
        """Return the revision after an applied index of the log.

        Returns None if the audit trail does not reach back that far.
        """
        return self._audit.revision_at(index)

    def sizes(self) -> ConfigurationSizes:
        """Return what the history of changes takes in memory."""
        return ConfigurationSizes(
            self._audit.size_bytes, self._answers.size_bytes
        )

    def check(self, command: bytes) -> None:
        """Raise `MalformedCommand` or `UnknownCommand` for unreadable bytes.

        The leader appends no command that this raises for.
        """
        decode_command(command)

    def apply(self, index: int, command: bytes) -> ChangeResult:
        """Apply the command at this index of the log.

        Raises `MalformedCommand` or `UnknownCommand` if the command cannot
        be read: another release may read it, and this replica must not go
        on without it. A refusal or conflict is returned as a result.
        """
        decoded = decode_command(command)
        # The wall clocks of leaders differ, and ages must not decrease
        # after a leader change.
        self._clock_s = max(self._clock_s, decoded.now_s)
        if isinstance(decoded, RecordOrder):
            return self._apply_order(index, decoded)
        return self._apply_change(index, decoded)

    def snapshot(self) -> bytes:
        """Return the whole state as bytes; equal states give equal bytes."""
        return encode_state(
            _Snapshot(
                self._state,
                self._answers.items(),
                self._audit.entries,
                list(self._order_book.orders.values()),
                (self._order_book.term, self._order_book.sequence),
                self._clock_s,
            )
        )

    def restore(self, data: bytes) -> None:
        """Replace the whole state by that of a snapshot.

        Raises `SnapshotUnreadable` for bytes that are no snapshot.
        """
        loaded = decode_state(data, _Snapshot)
        self._state = loaded.state
        self._answers = StoredAnswers(loaded.answers)
        self._audit = AuditTrail(loaded.audit)
        orders = {o.order_id: shortened(o) for o in loaded.orders}
        self._order_book = OrderBook(orders, *loaded.order_fence)
        self._clock_s = loaded.clock_s
        self._in_force = to_in_force(self._state)

    def _apply_change(self, index: int, command: Change) -> ChangeResult:
        self._answers.drop_expired(self._clock_s)
        command_fingerprint = fingerprint(
            (type(command).__name__, _without_time(command))
        )
        known = self._answers.get(command.change_id)
        if known is not None:
            return self._answer_resend(
                index, command, known, command_fingerprint
            )
        decision, in_force = self._guard.call(
            lambda: self._evaluate(command),
            (refused(self._state, FAULT_FINDING), self._in_force),
            _described(index, command, command.change_id),
        )
        result = self._commit(index, command, decision, in_force)
        self._answers.store(
            command.change_id,
            StoredAnswer(command_fingerprint, result, self._clock_s),
        )
        return result

    def _answer_resend(
        self,
        index: int,
        command: Change,
        known: StoredAnswer,
        command_fingerprint: bytes,
    ) -> ChangeResult:
        if known.fingerprint == command_fingerprint:
            return known.result._replace(duplicate=True)
        decision = refused(
            self._state,
            "this change id was used for another change; choose a new one",
        )
        return self._commit(index, command, decision, self._in_force)

    def _evaluate(self, command: Change) -> tuple[Decision, InForce]:
        """Return the decision and the configuration that it puts in force.

        Handlers change nothing in place.
        """
        decision = self._decide(command)
        if decision.outcome != "applied":
            return decision, self._in_force
        state = decision.state._replace(revision=self.revision + 1)
        return decision._replace(state=state), to_in_force(state)

    def _decide(self, command: Change) -> Decision:
        finding = self._envelope_finding(command)
        if finding:
            return refused(self._state, finding)
        conflict = self._conflict(command)
        if conflict:
            return Decision("conflict", self._state, findings=conflict)
        handler = _HANDLERS[type(command)]
        decision: Decision = handler(self._state, command)
        return decision

    def _envelope_finding(self, command: Change) -> str:
        if not 0 < len(command.change_id) <= MAX_CHANGE_ID_CHARACTERS:
            return f"change_id: has 1 to {MAX_CHANGE_ID_CHARACTERS} characters"
        if isinstance(command, CreateCluster):
            return ""
        if self._state.cluster is None:
            return "there is no cluster yet; create it first"
        return ""

    def _conflict(self, command: Change) -> tuple[str, ...]:
        if isinstance(command, CreateCluster):
            return ()
        base = command.base_revision
        if base == ANY_REVISION and not isinstance(
            command, BASE_REQUIRED_KINDS
        ):
            return ()
        if base == self.revision:
            return ()
        return (
            f"based on revision {base}, but {self.revision} is in force",
            *self._changes_since(base),
        )

    def _changes_since(self, base_revision: int) -> list[str]:
        since = [
            f"revision {entry.revision} by {entry.operator}: {entry.kind}, "
            + "; ".join(entry.difference[:MAX_CONFLICT_LINES])
            for entry in self._audit.entries
            if entry.outcome == "applied"
            and entry.revision > base_revision
            and entry.kind != RecordOrder.__name__
        ]
        return since[-MAX_CONFLICT_LINES:]

    def _commit(
        self,
        index: int,
        command: Change,
        decision: Decision,
        in_force: InForce,
    ) -> ChangeResult:
        self._state = decision.state
        self._in_force = in_force
        message = _message(command)
        evidence = decision.evidence
        self._audit.append(
            AuditEntry(
                index,
                self.revision,
                self._clock_s,
                command.operator,
                command.change_id,
                type(command).__name__,
                decision.difference or decision.findings or decision.notes,
                decision.outcome,
                "" if evidence == message else evidence,
                _subject(command),
                command.base_revision,
                message,
            )
        )
        findings = within_limits(decision.findings, "findings")
        return ChangeResult(
            decision.outcome,
            self.revision,
            "\n".join(findings),
            findings,
            within_limits(decision.notes, "notes"),
        )

    def _apply_order(self, index: int, command: RecordOrder) -> ChangeResult:
        decision = self._guard.call(
            lambda: record_order(self._order_book, command),
            OrderDecision(self._order_book, False, FAULT_FINDING),
            _described(index, command, command.order_id),
        )
        self._order_book = decision.book
        outcome: Outcome = "applied" if decision.changed else "unchanged"
        if decision.finding:
            outcome = "refused"
        # A resend that changed nothing is left out of the audit trail, as
        # each retry of the leader would add an entry.
        if outcome != "unchanged":
            self._audit.append(
                AuditEntry(
                    index,
                    self.revision,
                    self._clock_s,
                    SYSTEM,
                    command.order_id,
                    type(command).__name__,
                    (decision.finding or _order_line(command),),
                    outcome,
                    command.detail,
                    command.backend_server,
                )
            )
        findings = (decision.finding,) if decision.finding else ()
        return ChangeResult(outcome, self.revision, decision.finding, findings)


def _described(index: int, command: Command, change_id: str) -> dict[str, Any]:
    return {
        "index": index,
        "kind": type(command).__name__,
        "change_id": change_id,
    }


def _without_time(command: Change) -> Change:
    # The leader sets a new time stamp on each resend.
    return command._replace(now_s=0.0)


def _subject(command: Change) -> str:
    for field in ("version", "model", "vm", "part", "data_centre"):
        if hasattr(command, field):
            return str(getattr(command, field))
    return ""


def _message(command: Change) -> str:
    for field in ("message", "reason"):
        if hasattr(command, field):
            return str(getattr(command, field))
    return ""


def _order_line(command: RecordOrder) -> str:
    return (
        f"order {command.order_id} {command.term}.{command.sequence}: "
        f"{command.action} {command.target} at {command.backend_server}, "
        f"{command.phase}"
    )


__all__ = ["ConfigurationMachine", "ConfigurationSizes"]
