"""Commands that check, compare or replace the declarations."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path
from typing import Any
from typing import NamedTuple

from sycamorestand.operator.changes import send_change
from sycamorestand.operator.client import ControlClient
from sycamorestand.operator.context import Action
from sycamorestand.operator.context import Context
from sycamorestand.operator.context import new_change_id
from sycamorestand.operator.exits import DONE
from sycamorestand.operator.exits import FINDINGS
from sycamorestand.operator.exits import UsageError
from sycamorestand.operator.offline import check_answer
from sycamorestand.operator.offline import check_lines
from sycamorestand_control.operator_api.plain import from_plain
from sycamorestand_model.check import check as check_loaded
from sycamorestand_model.codec import to_document
from sycamorestand_model.findings import Finding
from sycamorestand_model.findings import finding_line
from sycamorestand_model.findings import has_errors
from sycamorestand_model.load import load_folder
from sycamorestand_model.plan import plan_line_text
from sycamorestand_model.plan import PlanLine


class PlanAnswer(NamedTuple):
    """The differences between a folder and a revision, with notes."""

    revision: int
    lines: tuple[PlanLine, ...]
    notes: tuple[str, ...]


class ComparedAnswer(NamedTuple):
    """The findings of a check, with the differences to what is in force.

    The fields of `CheckAnswer` come first, so programs read both alike.
    """

    errors: int
    warnings: int
    findings: tuple[Finding, ...]
    plan: PlanAnswer


def check(folder: Path, *, against_in_force: bool = False) -> Action:
    """Check a folder of declarations and report every finding.

    :param folder: the declarations folder
    :param against_in_force: show after the findings what 'plan' shows, if
        none is an error; asks a control process and changes nothing
    """

    async def act(context: Context) -> int:
        loaded = load_folder(folder)
        findings = check_loaded(loaded)
        answer = check_answer(findings)
        is_last = has_errors(findings) or not against_in_force
        if is_last or not context.settings.json:
            # Findings are shown even if no control process answers.
            context.output.answer(answer, check_lines(answer))
        if is_last:
            return FINDINGS if has_errors(findings) else DONE
        document = to_document(loaded.declarations)
        planned = await _ask_plan(context.client(), document)
        compared = ComparedAnswer(*answer, planned)
        context.output.answer(compared, _plan_lines(planned))
        return DONE

    return act


def plan(folder: Path) -> Action:
    """Show what applying the folder would change, and with what effects.

    :param folder: the declarations folder
    """

    async def act(context: Context) -> int:
        document = _checked_document(context, folder)
        if document is None:
            return FINDINGS
        answer = await _ask_plan(context.client(), document)
        context.output.answer(answer, _plan_lines(answer))
        return DONE

    return act


def apply(
    folder: Path,
    *,
    wait: bool = False,
    change_id: str = "",
    base_revision: int = -1,
    message: str = "",
) -> Action:
    """Make the folder's declarations the next revision.

    The base revision defaults to the one that is committed now. Give the one
    that 'plan' showed, so that a change made since then causes a conflict.

    :param folder: the declarations folder
    :param wait: wait until the revision is in force everywhere
    :param change_id: the id of an earlier apply that is sent again
    :param base_revision: the revision that the folder is based on
    :param message: why, for the audit trail
    """

    async def act(context: Context) -> int:
        if change_id and base_revision < 0:
            # The base revision is part of a change's content. The control
            # processes refuse an id that was used with other content, even
            # if the first change was accepted.
            raise UsageError(
                "--change-id requires the --base-revision of the first attempt"
            )
        document = _checked_document(context, folder)
        if document is None:
            return FINDINGS
        client = context.client()
        base = base_revision
        if base < 0:
            base = await _show_plan(context, client, document)
        context.output.notice(f"base revision {base}")
        body = {
            "change_id": change_id or new_change_id(),
            "kind": "apply",
            "base_revision": base,
            "declarations": document,
            "message": message,
        }
        return await send_change(context, client, "/changes", body, wait)

    return act


def _checked_document(context: Context, folder: Path) -> dict[str, Any] | None:
    loaded = load_folder(folder)
    findings = check_loaded(loaded)
    if has_errors(findings):
        answer = check_answer(findings)
        context.output.answer(answer, check_lines(answer))
        return None
    for finding in findings:
        context.output.notice(finding_line(finding))
    return to_document(loaded.declarations)


async def _show_plan(
    context: Context, client: ControlClient, document: dict[str, Any]
) -> int:
    answer = await _ask_plan(client, document)
    for line in _plan_lines(answer):
        context.output.notice(line)
    return answer.revision


async def _ask_plan(
    client: ControlClient, document: dict[str, Any]
) -> PlanAnswer:
    reply = await client.post("/plan", {"declarations": document})
    return from_plain(PlanAnswer, reply)


def _plan_lines(answer: PlanAnswer) -> Iterable[str]:
    for line in answer.lines:
        yield plan_line_text(line)
    for note in answer.notes:
        yield f"note: {note}"
    count = len(answer.lines)
    yield f"{count} differences to revision {answer.revision}"


__all__ = ["apply", "check", "ComparedAnswer", "plan", "PlanAnswer"]
