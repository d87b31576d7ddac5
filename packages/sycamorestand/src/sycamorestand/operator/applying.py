"""The commands ``plan`` and ``apply``."""

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
from sycamorestand_model.check import check
from sycamorestand_model.codec import to_document
from sycamorestand_model.findings import finding_line
from sycamorestand_model.findings import has_errors
from sycamorestand_model.load import load_folder
from sycamorestand_model.plan import plan_line_text
from sycamorestand_model.plan import PlanLine


class PlanAnswer(NamedTuple):
    """What an apply would change, against which revision."""

    revision: int
    lines: tuple[PlanLine, ...]
    notes: tuple[str, ...]


def plan(folder: Path) -> Action:
    """Show what an apply of the folder would change, and what follows.

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

    Without --base-revision it is the committed revision of now; give the
    one that 'plan' showed to be sure that nobody came in between.

    :param folder: the declarations folder
    :param wait: wait until the revision is in force everywhere
    :param change_id: the id of an apply that is sent again
    :param base_revision: the revision that the folder was worked out on
    :param message: why, for the audit trail
    """

    async def act(context: Context) -> int:
        if change_id and base_revision < 0:
            # The same id with another base is another content, which the
            # control processes refuse although the first was accepted.
            raise UsageError(
                "--change-id needs the --base-revision that was sent first"
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
    findings = check(loaded)
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


__all__ = ["apply", "plan", "PlanAnswer"]
