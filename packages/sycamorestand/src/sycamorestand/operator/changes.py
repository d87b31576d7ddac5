"""Commands that change the configuration, voters or leadership."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any
from typing import Final

from sycamorestand.operator.client import ControlClient
from sycamorestand.operator.context import Action
from sycamorestand.operator.context import Context
from sycamorestand.operator.context import new_change_id
from sycamorestand.operator.exits import CONFLICT
from sycamorestand.operator.exits import DONE
from sycamorestand.operator.exits import OutcomeLost
from sycamorestand.operator.exits import REFUSED
from sycamorestand.operator.waiting import wait_in_force
from sycamorestand_control.operator_api.plain import from_plain
from sycamorestand_control.operator_api.types import ChangeAnswer
from sycamorestand_control.operator_api.types import TransferAnswer
from sycamorestand_model.errors import WireError
from sycamorestand_model.findings import finding_line

OUTCOME_EXITS: Final = {
    "accepted": DONE,
    "duplicate": DONE,
    "conflict": CONFLICT,
    "refused": REFUSED,
}


def withdraw(
    version: str,
    *,
    wait: bool = False,
    change_id: str = "",
    message: str = "",
) -> Action:
    """Withdraw a version: it gets no new work and its sessions are refused.

    :param version: the version, as model@version
    :param wait: wait until the change is in force everywhere
    :param change_id: the id of a change that is sent again
    :param message: why, for the audit trail
    """
    return _change_action("withdraw", version, wait, change_id, message)


def reinstate(
    version: str,
    *,
    wait: bool = False,
    change_id: str = "",
    message: str = "",
) -> Action:
    """Reinstate a withdrawn version, so that it gets work again.

    :param version: the version, as model@version
    :param wait: wait until the change is in force everywhere
    :param change_id: the id of a change that is sent again
    :param message: why, for the audit trail
    """
    return _change_action("reinstate", version, wait, change_id, message)


def quarantine(
    version: str, *, change_id: str = "", message: str = ""
) -> Action:
    """Quarantine a version: it gets no new sessions while it is examined.

    :param version: the version, as model@version
    :param change_id: the id of a change that is sent again
    :param message: why, for the audit trail
    """
    return _change_action("quarantine", version, False, change_id, message)


def lift_quarantine(
    version: str, *, change_id: str = "", message: str = ""
) -> Action:
    """End the quarantine of a version.

    :param version: the version, as model@version
    :param change_id: the id of a change that is sent again
    :param message: why, for the audit trail
    """
    return _change_action(
        "lift-quarantine", version, False, change_id, message
    )


def release_part(
    part: str, *, wait: bool = False, change_id: str = "", message: str = ""
) -> Action:
    """Accept requests with a blocked prompt part again.

    :param part: the part, as the audit trail names it
    :param wait: wait until the change is in force everywhere
    :param change_id: the id of a change that is sent again
    :param message: why, for the audit trail
    """
    return _change_action("release-part", part, wait, change_id, message)


def start_rollout(
    model: str, *, change_id: str = "", message: str = ""
) -> Action:
    """Start the declared roll-out of a model, or resume it.

    :param model: the model
    :param change_id: the id of a change that is sent again
    :param message: why, for the audit trail
    """
    return _change_action("start-rollout", model, False, change_id, message)


def stop_rollout(
    model: str, *, wait: bool = False, change_id: str = "", message: str = ""
) -> Action:
    """Stop a model's roll-out: new work goes to the stable version.

    :param model: the model
    :param wait: wait until the change is in force everywhere
    :param change_id: the id of a change that is sent again
    :param message: why, for the audit trail
    """
    return _change_action("stop-rollout", model, wait, change_id, message)


def drain(
    vm: str, *, wait: bool = False, change_id: str = "", message: str = ""
) -> Action:
    """Prepare a VM's entry process for a planned stop.

    :param vm: the VM
    :param wait: wait until the change is in force everywhere
    :param change_id: the id of a change that is sent again
    :param message: why, for the audit trail
    """
    return _change_action("drain", vm, wait, change_id, message)


def undrain(
    vm: str, *, wait: bool = False, change_id: str = "", message: str = ""
) -> Action:
    """Let the entry process of a drained VM accept callers again.

    :param vm: the VM
    :param wait: wait until the change is in force everywhere
    :param change_id: the id of a change that is sent again
    :param message: why, for the audit trail
    """
    return _change_action("undrain", vm, wait, change_id, message)


def drain_data_centre(
    data_centre: str,
    *,
    wait: bool = False,
    change_id: str = "",
    message: str = "",
) -> Action:
    """Send the backend servers of a data centre no new work.

    :param data_centre: the data centre, as its servers announce it
    :param wait: wait until the change is in force everywhere
    :param change_id: the id of a change that is sent again
    :param message: why, for the audit trail
    """
    return _change_action(
        "drain-data-centre", data_centre, wait, change_id, message
    )


def undrain_data_centre(
    data_centre: str,
    *,
    wait: bool = False,
    change_id: str = "",
    message: str = "",
) -> Action:
    """Send the backend servers of a drained data centre work again.

    :param data_centre: the data centre
    :param wait: wait until the change is in force everywhere
    :param change_id: the id of a change that is sent again
    :param message: why, for the audit trail
    """
    return _change_action(
        "undrain-data-centre", data_centre, wait, change_id, message
    )


def rotate_session_key(*, change_id: str = "", message: str = "") -> Action:
    """Replace the key that signs session tokens by a new one.

    :param change_id: the id of a change that is sent again
    :param message: why, for the audit trail
    """
    return _change_action("rotate-session-key", "", False, change_id, message)


def replace_voter(old: str, new: str, *, change_id: str = "") -> Action:
    """Add one control process as a voter and remove another voter.

    :param old: the id of the lost voter, which is removed
    :param new: the id of the control process that replaces it
    :param change_id: the id of a change that is sent again
    """
    chosen = change_id or new_change_id()
    body = {"change_id": chosen, "old_id": old, "new_id": new}

    async def act(context: Context) -> int:
        client = context.client()
        return await send_change(
            context, client, "/replace-voter", body, wait=False
        )

    return act


def transfer_leadership() -> Action:
    """Transfer leadership to another voter, before a planned stop."""

    async def act(context: Context) -> int:
        client = context.client()
        body = await client.change("/transfer-leadership", {})
        answer = from_plain(TransferAnswer, body)
        line = f"{answer.leader} leads in term {answer.term}"
        context.output.answer(answer, [line])
        return DONE

    return act


async def send_change(
    context: Context,
    client: ControlClient,
    path: str,
    body: dict[str, Any],
    wait: bool,
) -> int:
    """Send one change, print its outcome and return the exit code.

    With ``wait``, wait until an accepted change is in force everywhere. The
    outcome is printed even if that takes too long. Raises `OutcomeLost` if
    the outcome is unknown.
    """
    change_id = body["change_id"]
    context.output.notice(f"change id {change_id}")
    try:
        reply = await client.change(path, body)
        answer = from_plain(ChangeAnswer, reply)
    except (OutcomeLost, WireError) as error:
        # An answer that cannot be decoded doesn't tell the outcome either.
        raise OutcomeLost(f"{error}; {resend_hint(body)}") from error
    code = OUTCOME_EXITS[answer.outcome]
    try:
        if wait and code == DONE:
            context.output.notice(_outcome_line(answer))
            await wait_in_force(context, client, answer.revision)
    finally:
        context.output.answer(answer, _answer_lines(answer))
    return code


def resend_hint(body: dict[str, Any]) -> str:
    """Return how to send the same change again to learn its outcome."""
    flags = f"--change-id {body['change_id']}"
    if body.get("base_revision") is not None:
        flags += f" --base-revision {body['base_revision']}"
    return f"run the same command with {flags} to learn the outcome"


def _change_action(
    kind: str, subject: str, wait: bool, change_id: str, message: str
) -> Action:
    body = {
        "change_id": change_id or new_change_id(),
        "kind": kind,
        "subject": subject,
        "message": message,
    }

    async def act(context: Context) -> int:
        client = context.client()
        return await send_change(context, client, "/changes", body, wait)

    return act


def _answer_lines(answer: ChangeAnswer) -> Iterable[str]:
    for finding in answer.findings:
        yield finding_line(finding)
    for other in answer.conflicts:
        yield (
            f"revision {other.revision} by {other.operator}: {other.summary}"
        )
    yield _outcome_line(answer)


def _outcome_line(answer: ChangeAnswer) -> str:
    suffix = f": {answer.message}" if answer.message else ""
    return f"{answer.outcome}, revision {answer.revision}{suffix}"


__all__ = [
    "drain",
    "drain_data_centre",
    "lift_quarantine",
    "release_part",
    "quarantine",
    "reinstate",
    "replace_voter",
    "resend_hint",
    "rotate_session_key",
    "send_change",
    "start_rollout",
    "stop_rollout",
    "transfer_leadership",
    "undrain",
    "undrain_data_centre",
    "withdraw",
]
