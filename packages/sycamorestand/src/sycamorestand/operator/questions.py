"""Commands that read the system's state and change nothing."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Iterable
from typing import Any
from typing import Final

from sycamorestand.operator.client import ControlClient
from sycamorestand.operator.context import Action
from sycamorestand.operator.context import Context
from sycamorestand.operator.exits import DONE
from sycamorestand_control.operator_api.plain import from_plain
from sycamorestand_control.operator_api.types import AuditEntry
from sycamorestand_control.operator_api.types import AuditPage
from sycamorestand_control.operator_api.types import BackendRow
from sycamorestand_control.operator_api.types import BillPage
from sycamorestand_control.operator_api.types import BillRow
from sycamorestand_control.operator_api.types import Explanation
from sycamorestand_control.operator_api.types import NodeRow
from sycamorestand_control.operator_api.types import RolloutRow
from sycamorestand_control.operator_api.types import RoomRow
from sycamorestand_control.operator_api.types import StatusAnswer
from sycamorestand_control.operator_api.types import VoterRow
from sycamorestand_model.errors import WireError

CSV_PAGE_ROWS: Final = 1_000


def status() -> Action:
    """Show the voters, the revision and what an operator must attend to."""

    async def act(context: Context) -> int:
        body = await context.client().ask("/status", {})
        answer = from_plain(StatusAnswer, body)
        context.output.answer(answer, _status_lines(answer))
        context.output.table(answer.voters, VoterRow)
        return DONE

    return act


def nodes() -> Action:
    """Show the entry processes and their configuration leases."""
    return _list_action("/nodes", "nodes", NodeRow)


def backends() -> Action:
    """Show the backend servers with their latest announcements."""
    return _list_action("/backends", "backends", BackendRow)


def room(service: str = "") -> Action:
    """Show the load of backend servers and what all entries have there.

    :param service: show only servers of this service or model version
    """

    return _list_action("/room", "room", RoomRow, {"service": service})


def rollout_status() -> Action:
    """Show the roll-outs, their steps and the reasons for their state."""
    return _list_action("/rollouts", "rollouts", RolloutRow)


def audit(*, after: int = 0, limit: int = 100) -> Action:
    """Show which changes each operator made, and which the system made itself.

    :param after: show only entries after this sequence number
    :param limit: show at most this many entries
    """

    async def act(context: Context) -> int:
        fields = {"after": after, "limit": limit}
        body = await context.client().ask("/audit", fields)
        page = from_plain(AuditPage, body)
        context.output.rows("audit", page.entries, AuditEntry)
        _print_next_page_hint(context, page.more, page.next_after)
        return DONE

    return act


def bills(
    customer: str = "",
    *,
    csv: bool = False,
    after: int = 0,
    limit: int = 100,
) -> Action:
    """Show the charges; with --csv, print all of them for a spreadsheet.

    :param customer: show only the charges of this customer
    :param csv: print every charge as CSV, regardless of the limit
    :param after: show only charges after this sequence number
    :param limit: show at most this many charges
    """

    async def act(context: Context) -> int:
        client = context.client()
        if csv:
            rows = [row async for row in _all_bills(client, customer, after)]
            context.output.csv(rows, BillRow)
            return DONE
        page = await _bill_page(client, customer, after, limit)
        context.output.rows("bills", page.rows, BillRow)
        _print_next_page_hint(context, page.more, page.next_after)
        return DONE

    return act


def explain(subject: str) -> Action:
    """Explain why the system treats a subject as it does.

    :param subject: a version, model, profile, customer, VM or backend server
    """

    async def act(context: Context) -> int:
        fields = {"subject": subject}
        body = await context.client().ask("/explain", fields)
        answer = from_plain(Explanation, body)
        context.output.answer(answer, answer.lines)
        return DONE

    return act


def _list_action(
    path: str,
    name: str,
    columns: Any,
    fields: dict[str, Any] | None = None,
) -> Action:
    async def act(context: Context) -> int:
        body = await context.client().ask(path, fields or {})
        if not isinstance(body, dict) or not isinstance(body.get(name), list):
            raise WireError(f"the answer has no list {name}")
        rows = [from_plain(columns, row) for row in body[name]]
        context.output.rows(name, rows, columns)
        return DONE

    return act


async def _all_bills(
    client: ControlClient, customer: str, after: int
) -> AsyncIterator[BillRow]:
    more = True
    while more:
        page = await _bill_page(client, customer, after, CSV_PAGE_ROWS)
        for row in page.rows:
            yield row
        # A page whose `next_after` doesn't advance would be requested forever.
        more = page.more and page.next_after > after
        after = page.next_after


async def _bill_page(
    client: ControlClient, customer: str, after: int, limit: int
) -> BillPage:
    fields = {"customer": customer, "after": after, "limit": limit}
    return from_plain(BillPage, await client.ask("/bills", fields))


def _status_lines(answer: StatusAnswer) -> Iterable[str]:
    yield (
        f"revision {answer.revision}, in force everywhere: "
        f"{answer.in_force_revision}"
    )
    yield f"leader {answer.leader or 'none'}, term {answer.term}"
    yield (
        f"{answer.entry_count} entry processes, "
        f"{answer.backend_server_count} backend servers"
    )
    for name in (
        "withdrawn",
        "quarantined",
        "draining_vms",
        "draining_data_centres",
        "alarms",
    ):
        values = getattr(answer, name)
        if values:
            yield f"{name.replace('_', ' ')}: {', '.join(values)}"


def _print_next_page_hint(
    context: Context, more: bool, next_after: int
) -> None:
    if more:
        context.output.notice(
            f"more rows follow; show them with --after {next_after}"
        )


__all__ = [
    "audit",
    "backends",
    "bills",
    "explain",
    "nodes",
    "rollout_status",
    "room",
    "status",
]
