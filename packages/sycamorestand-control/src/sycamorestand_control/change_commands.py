"""Turn operators' changes into log commands, and results into answers."""

from __future__ import annotations

import hashlib
from typing import Final
from typing import TYPE_CHECKING

from sycamorestand_control.operator_api.types import ChangeAnswer
from sycamorestand_control.operator_api.types import Conflict
from sycamorestand_model.findings import ERROR
from sycamorestand_model.findings import Finding
from sycamorestand_state.commands import ANY_REVISION
from sycamorestand_state.commands import ApplyDeclarations
from sycamorestand_state.commands import DrainDataCentre
from sycamorestand_state.commands import DrainVm
from sycamorestand_state.commands import LiftQuarantine
from sycamorestand_state.commands import Quarantine
from sycamorestand_state.commands import Reinstate
from sycamorestand_state.commands import ReleasePart
from sycamorestand_state.commands import RotateSessionKey
from sycamorestand_state.commands import StartRollout
from sycamorestand_state.commands import StopRollout
from sycamorestand_state.commands import UndrainDataCentre
from sycamorestand_state.commands import UndrainVm
from sycamorestand_state.commands import Withdraw

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorestand_control.operator_api.types import ChangeRequest
    from sycamorestand_state.commands import Command
    from sycamorestand_state.results import ChangeResult

SESSION_KEY_BYTES: Final = 32


def make_command(
    request: ChangeRequest, now_s: float, cluster_key: bytes
) -> Command:
    """Return the log command for a change.

    A change without a base revision applies to any revision. The revision
    of the receiving voter must not be used instead: a resend through
    another voter would then be a different command.
    """
    base = request.base_revision
    if base is None:
        base = ANY_REVISION
    if request.kind == "rotate-session-key":
        return _rotate(request, base, now_s, cluster_key)
    return _MAKERS[request.kind](request, base, now_s)


def make_answer(
    result: ChangeResult, conflicts: tuple[Conflict, ...]
) -> ChangeAnswer:
    """Return the operator's answer for the result of a committed change."""
    message = "; ".join(part for part in (result.message, *result.notes))
    if result.duplicate and result.outcome in ("applied", "unchanged"):
        return ChangeAnswer("duplicate", result.revision, message)
    if result.outcome in ("applied", "unchanged"):
        return ChangeAnswer("accepted", result.revision, message)
    findings = tuple(
        Finding(ERROR, "", "", finding) for finding in result.findings
    )
    if result.outcome == "conflict":
        return ChangeAnswer(
            "conflict", result.revision, message, (), conflicts
        )
    return ChangeAnswer("refused", result.revision, message, findings)


def _apply(request: ChangeRequest, base: int, now_s: float) -> Command:
    if request.declarations is None:
        raise ValueError("an apply carries declarations")
    return ApplyDeclarations(
        request.change_id,
        request.operator,
        base,
        request.declarations,
        request.message,
        now_s,
    )


def _start_rollout(request: ChangeRequest, base: int, now_s: float) -> Command:
    return StartRollout(
        request.change_id,
        request.operator,
        base,
        request.subject,
        request.message,
        now_s,
    )


def _stop_rollout(request: ChangeRequest, base: int, now_s: float) -> Command:
    return StopRollout(
        request.change_id,
        request.operator,
        base,
        request.subject,
        ANY_REVISION,
        request.message or f"stopped by {request.operator}",
        "",
        now_s,
    )


def _rotate(
    request: ChangeRequest, base: int, now_s: float, cluster_key: bytes
) -> Command:
    """Return a key rotation whose key is derived from the change id.

    A resend through another control process must result in the same
    command, so the key cannot be random. The derivation uses the cluster
    key, so the new key is as secret as that one.
    """
    session_key = hashlib.blake2b(
        request.change_id.encode(),
        digest_size=SESSION_KEY_BYTES,
        key=cluster_key[:64],
    ).digest()
    return RotateSessionKey(
        request.change_id,
        request.operator,
        base,
        session_key,
        now_s,
    )


def _make_with_reason(
    command_type: Callable[..., Command],
) -> Callable[[ChangeRequest, int, float], Command]:
    """Return a function that makes a command with a subject and a reason."""

    def make(request: ChangeRequest, base: int, now_s: float) -> Command:
        return command_type(
            request.change_id,
            request.operator,
            base,
            request.subject,
            request.message,
            now_s,
        )

    return make


_MAKERS: Final = {
    "apply": _apply,
    "withdraw": _make_with_reason(Withdraw),
    "reinstate": _make_with_reason(Reinstate),
    "start-rollout": _start_rollout,
    "stop-rollout": _stop_rollout,
    "quarantine": _make_with_reason(Quarantine),
    "lift-quarantine": _make_with_reason(LiftQuarantine),
    "drain": _make_with_reason(DrainVm),
    "undrain": _make_with_reason(UndrainVm),
    "drain-data-centre": _make_with_reason(DrainDataCentre),
    "undrain-data-centre": _make_with_reason(UndrainDataCentre),
    "release-part": _make_with_reason(ReleasePart),
}

__all__ = ["make_answer", "make_command"]
