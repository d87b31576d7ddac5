"""The routes of the operators' API and their handlers."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import Final
from typing import NamedTuple

from anyio import CapacityLimiter
from anyio import to_thread

from sycamorestand_control.operator_api.asgi import Response
from sycamorestand_control.operator_api.backend import OperatorBackend
from sycamorestand_control.operator_api.errors import ApiError
from sycamorestand_control.operator_api.errors import BEHIND
from sycamorestand_control.operator_api.errors import FORBIDDEN
from sycamorestand_control.operator_api.errors import INVALID_REQUEST
from sycamorestand_control.operator_api.plain import to_plain
from sycamorestand_control.operator_api.requests import DEFAULT_PAGE_ROWS
from sycamorestand_control.operator_api.requests import read_change
from sycamorestand_control.operator_api.requests import read_declarations
from sycamorestand_control.operator_api.requests import read_empty
from sycamorestand_control.operator_api.requests import read_plan
from sycamorestand_control.operator_api.requests import read_query
from sycamorestand_control.operator_api.requests import read_replace_voter
from sycamorestand_control.operator_api.types import ChangeAnswer
from sycamorestand_control.operator_api.types import ChangeRequest
from sycamorestand_control.operator_api.types import OperatorIdentity
from sycamorestand_control.operator_api.types import Role
from sycamorestand_control.operator_api.types import ROLES
from sycamorestand_control.wait_limit import WaitLimit
from sycamorestand_model.declarations import Declarations
from sycamorestand_model.findings import Finding
from sycamorestand_model.findings import has_errors
from sycamorestand_model.plan import plan

PREFIX: Final = "/operator/v1"
MAX_SMALL_BODY_BYTES: Final = 65_536
# Declarations as large as the limit of their folder fit as JSON, including
# escapes.
MAX_DECLARATIONS_BODY_BYTES: Final = 4_194_304
ADMIN_KINDS: Final = frozenset({"rotate-session-key"})

OUTCOME_STATUS: Final = {
    "accepted": 200,
    "duplicate": 200,
    "conflict": 409,
    "refused": 422,
}


class Call(NamedTuple):
    """An authenticated request whose body has been read.

    ``checks`` limits how many checks of declarations run at once. A call that
    holds the turn of orders waits for ``waits`` at most.
    """

    backend: OperatorBackend
    identity: OperatorIdentity
    query: dict[str, str]
    body: Any
    checks: CapacityLimiter
    waits: WaitLimit | None = None


class Route(NamedTuple):
    """The handler of a method and path, and the role that it requires.

    With ``changes``, the outcome is unknown if the handler fails halfway.
    """

    answer: Callable[[Call], Awaitable[Response]]
    role: Role = "viewer"
    max_body_bytes: int = 0
    changes: bool = False


def role_suffices(held: str, wanted: str) -> bool:
    """Return whether a role includes another: viewer < operator < admin."""
    return ROLES.index(held) >= ROLES.index(wanted)


async def _status(call: Call) -> Response:
    read_query(call.query, {})
    return Response(200, to_plain(await call.backend.status()))


async def _declarations(call: Call) -> Response:
    read_query(call.query, {})
    answer = await call.backend.declarations()
    body = to_plain(answer)
    if call.identity.role != "admin":
        _hide_key_hashes(body["declarations"])
    return Response(200, body)


async def _plan(call: Call) -> Response:
    wanted, findings = await _check_declarations(call, read_plan(call.body))
    current = await call.backend.declarations()
    difference = await to_thread.run_sync(
        plan, current.declarations, wanted, limiter=call.checks
    )
    return Response(
        200,
        {
            "revision": current.revision,
            "findings": to_plain(findings),
            **to_plain(difference),
        },
    )


async def _change(call: Call) -> Response:
    request = read_change(call.body)
    request = request._replace(operator=call.identity.name)
    if request.kind in ADMIN_KINDS and call.identity.role != "admin":
        raise ApiError(403, FORBIDDEN, f"{request.kind} takes the role admin")
    if request.kind == "apply":
        return await _apply(call, request)
    return _change_response(await call.backend.change(request, call.waits))


async def _apply(call: Call, request: ChangeRequest) -> Response:
    declarations, findings = await _check_declarations(
        call, call.body["declarations"]
    )
    if has_errors(findings):
        message = "the declarations have errors; nothing was changed"
        return _change_response(ChangeAnswer("refused", 0, message, findings))
    if call.identity.role != "admin":
        await _refuse_operator_changes(call.backend, request, declarations)
    answer = await call.backend.change(
        request._replace(declarations=declarations), call.waits
    )
    return _change_response(
        answer._replace(findings=answer.findings + findings)
    )


async def _check_declarations(
    call: Call, document: object
) -> tuple[Declarations, tuple[Finding, ...]]:
    """Read and check declarations in a worker thread.

    For the largest declarations this takes more than a second. On the event
    loop, it would delay the voter's heartbeats and cost it the leadership.
    Only one check runs at a time, so that clients cannot start many.
    """
    return await to_thread.run_sync(
        read_declarations, document, limiter=call.checks
    )


async def _refuse_operator_changes(
    backend: OperatorBackend, request: ChangeRequest, wanted: Declarations
) -> None:
    """Raise `ApiError` if a non-admin's apply changes the operators.

    Otherwise everyone who may apply could become an admin. The operators
    are compared with those of the base revision. A change that is committed
    after the comparison makes the apply a conflict, so it cannot bypass the
    check. An apply with an older base is a conflict or a resend; it is left
    to the backend.
    """
    if request.base_revision is None:
        raise ApiError(
            422,
            INVALID_REQUEST,
            "an apply without base_revision takes the role admin",
        )
    current = await backend.declarations()
    if request.base_revision > current.revision:
        raise ApiError(
            503,
            BEHIND,
            "this process has not reached the base revision yet; resend",
            retry_after_s=1,
        )
    if request.base_revision < current.revision:
        return
    if wanted.operators != current.declarations.operators:
        raise ApiError(
            403, FORBIDDEN, "a change of operators takes the role admin"
        )


async def _in_force(call: Call) -> Response:
    fields = read_query(call.query, {"revision": 0})
    return Response(
        200, to_plain(await call.backend.in_force(fields["revision"]))
    )


async def _audit(call: Call) -> Response:
    fields = read_query(call.query, {"after": 0, "limit": DEFAULT_PAGE_ROWS})
    return Response(200, to_plain(await call.backend.audit(**fields)))


async def _bills(call: Call) -> Response:
    defaults: dict[str, int | str] = {
        "customer": "",
        "after": 0,
        "limit": DEFAULT_PAGE_ROWS,
    }
    fields = read_query(call.query, defaults)
    return Response(200, to_plain(await call.backend.bills(**fields)))


async def _nodes(call: Call) -> Response:
    read_query(call.query, {})
    return Response(200, {"nodes": to_plain(await call.backend.nodes())})


async def _backends(call: Call) -> Response:
    read_query(call.query, {})
    rows = await call.backend.backends()
    return Response(200, {"backends": to_plain(rows)})


async def _room(call: Call) -> Response:
    fields = read_query(call.query, {"service": ""})
    rows = await call.backend.room(**fields)
    return Response(200, {"room": to_plain(rows)})


async def _rollouts(call: Call) -> Response:
    read_query(call.query, {})
    rows = await call.backend.rollouts()
    return Response(200, {"rollouts": to_plain(rows)})


async def _explain(call: Call) -> Response:
    subject = read_query(call.query, {"subject": ""})["subject"]
    if not subject:
        raise ApiError(422, INVALID_REQUEST, "give a subject")
    return Response(200, to_plain(await call.backend.explain(subject)))


async def _replace_voter(call: Call) -> Response:
    request = read_replace_voter(call.body)
    request = request._replace(operator=call.identity.name)
    return _change_response(await call.backend.replace_voter(request))


async def _transfer_leadership(call: Call) -> Response:
    read_empty(call.body)
    answer = await call.backend.transfer_leadership(call.identity.name)
    return Response(200, to_plain(answer))


def _change_response(answer: ChangeAnswer) -> Response:
    return Response(OUTCOME_STATUS[answer.outcome], to_plain(answer))


def _hide_key_hashes(document: dict[str, Any]) -> None:
    for section in ("customers", "operators"):
        for table in document[section].values():
            table["key_hashes"] = [None] * len(table["key_hashes"])


ROUTES: Final[dict[tuple[str, str], Route]] = {
    ("GET", f"{PREFIX}/status"): Route(_status),
    ("GET", f"{PREFIX}/declarations"): Route(_declarations),
    ("POST", f"{PREFIX}/plan"): Route(
        _plan, max_body_bytes=MAX_DECLARATIONS_BODY_BYTES
    ),
    ("POST", f"{PREFIX}/changes"): Route(
        _change, "operator", MAX_DECLARATIONS_BODY_BYTES, changes=True
    ),
    ("GET", f"{PREFIX}/in-force"): Route(_in_force),
    ("GET", f"{PREFIX}/audit"): Route(_audit),
    ("GET", f"{PREFIX}/bills"): Route(_bills, "operator"),
    ("GET", f"{PREFIX}/nodes"): Route(_nodes),
    ("GET", f"{PREFIX}/backends"): Route(_backends),
    ("GET", f"{PREFIX}/room"): Route(_room),
    ("GET", f"{PREFIX}/rollouts"): Route(_rollouts),
    ("GET", f"{PREFIX}/explain"): Route(_explain),
    ("POST", f"{PREFIX}/replace-voter"): Route(
        _replace_voter, "admin", MAX_SMALL_BODY_BYTES, changes=True
    ),
    ("POST", f"{PREFIX}/transfer-leadership"): Route(
        _transfer_leadership, "admin", MAX_SMALL_BODY_BYTES, changes=True
    ),
}

__all__ = ["Call", "PREFIX", "role_suffices", "Route", "ROUTES"]
