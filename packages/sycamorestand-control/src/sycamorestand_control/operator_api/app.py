"""The operators' HTTP API as an ASGI application.

Uvicorn serves ``make_operator_app(backend, authenticate)`` in the control
process. Every path except the two health paths and the metrics requires a
bearer key. Every error is answered with JSON and a stable code, for example
``{"error": {"code": "forbidden", "message": "..."}}``.
"""

from __future__ import annotations

from collections.abc import Callable
import functools
import logging
from typing import Any
from typing import Final

import anyio
from anyio import CapacityLimiter

from sycamorestand_control.operator_api.asgi import answer_lifespan
from sycamorestand_control.operator_api.asgi import AsgiApp
from sycamorestand_control.operator_api.asgi import decode_json
from sycamorestand_control.operator_api.asgi import parse_query
from sycamorestand_control.operator_api.asgi import read_body
from sycamorestand_control.operator_api.asgi import Receive
from sycamorestand_control.operator_api.asgi import respond
from sycamorestand_control.operator_api.asgi import respond_text
from sycamorestand_control.operator_api.asgi import Response
from sycamorestand_control.operator_api.asgi import Scope
from sycamorestand_control.operator_api.asgi import Send
from sycamorestand_control.operator_api.asgi import single_header
from sycamorestand_control.operator_api.authentication import Authenticate
from sycamorestand_control.operator_api.backend import NoLeader
from sycamorestand_control.operator_api.backend import OperatorBackend
from sycamorestand_control.operator_api.backend import OutcomeUnknown
from sycamorestand_control.operator_api.backend import UnknownSubject
from sycamorestand_control.operator_api.errors import ApiError
from sycamorestand_control.operator_api.errors import BEHIND
from sycamorestand_control.operator_api.errors import FORBIDDEN
from sycamorestand_control.operator_api.errors import INTERNAL_ERROR
from sycamorestand_control.operator_api.errors import METHOD_NOT_ALLOWED
from sycamorestand_control.operator_api.errors import NO_LEADER
from sycamorestand_control.operator_api.errors import OUTCOME_UNKNOWN
from sycamorestand_control.operator_api.errors import UNAUTHENTICATED
from sycamorestand_control.operator_api.errors import UNKNOWN_PATH
from sycamorestand_control.operator_api.errors import UNKNOWN_SUBJECT
from sycamorestand_control.operator_api.plain import to_plain
from sycamorestand_control.operator_api.routes import Call
from sycamorestand_control.operator_api.routes import MAX_SMALL_BODY_BYTES
from sycamorestand_control.operator_api.routes import role_suffices
from sycamorestand_control.operator_api.routes import Route
from sycamorestand_control.operator_api.routes import ROUTES
from sycamorestand_control.order_turns import OrderTurns
from sycamorestand_control.wait_limit import WaitLimit
from sycamorestand_model.errors import SycamorestandError

logger = logging.getLogger(__name__)

BEARER: Final = "bearer "
METRICS_PATH: Final = "/metrics"
LEADER_WAIT_S: Final = 5.0
RETRY_PAUSE_S: Final = 0.2
RESEND_HINT: Final = (
    "the outcome is unknown; resend the same change id to any control "
    "process to learn it"
)


def _ignore_refusal(code: str) -> None:
    """Do nothing; the default where refusals are not counted."""


def _render_no_metrics() -> bytes:
    """Return an empty page; the default where there are no metrics."""
    return b""


def make_operator_app(
    backend: OperatorBackend,
    authenticate: Authenticate,
    count_refusal: Callable[[str], None] = _ignore_refusal,
    render_metrics: Callable[[], bytes] = _render_no_metrics,
    turns: OrderTurns | None = None,
) -> AsgiApp:
    """Return the ASGI application of the operators' API.

    ``count_refusal`` is called with the code of every error answer, and
    ``render_metrics`` returns the page of `METRICS_PATH`. Requests with
    large bodies wait for their ``turns``.
    """
    check_limiter = CapacityLimiter(1)
    own_turns = OrderTurns(0) if turns is None else turns

    async def app(scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] == "lifespan":
            await answer_lifespan(receive, send)
        elif scope["type"] == "http" and scope["path"] == METRICS_PATH:
            await respond_text(send, render_metrics())
        elif scope["type"] == "http":
            response = await answer(scope, receive)
            await respond(send, response)
        else:
            await send({"type": "websocket.close"})

    async def answer(scope: Scope, receive: Receive) -> Response:
        try:
            return await _answer_request(
                backend, authenticate, check_limiter, own_turns, scope, receive
            )
        except ApiError as error:
            count_refusal(error.code)
            return _error_response(error)

    return app


async def _answer_request(
    backend: OperatorBackend,
    authenticate: Authenticate,
    check_limiter: CapacityLimiter,
    turns: OrderTurns,
    scope: Scope,
    receive: Receive,
) -> Response:
    health = _health_response(backend, scope["method"], scope["path"])
    if health is not None:
        return health
    # The key is checked before the path, so that a client without a valid
    # key cannot find out which paths exist.
    identity = authenticate(_bearer_key(scope))
    if identity is None:
        raise _unknown_key_error(backend)
    route = _find_route(scope["method"], scope["path"])
    if not role_suffices(identity.role, route.role):
        raise ApiError(403, FORBIDDEN, f"this takes the role {route.role}")
    fields = parse_query(scope)
    call = Call(backend, identity, fields, None, check_limiter)
    if not route.max_body_bytes:
        return await _call_route(route, call)
    async with read_body(
        scope, receive, route.max_body_bytes, turns.room
    ) as body:
        if len(body) <= MAX_SMALL_BODY_BYTES:
            call = call._replace(body=decode_json(body))
            return await _call_route(route, call)
        return await _call_route(
            route._replace(
                answer=functools.partial(
                    _answer_in_turn, route, turns, bytes(body)
                )
            ),
            call,
        )


async def _answer_in_turn(
    route: Route, turns: OrderTurns, body: bytes, call: Call
) -> Response:
    """Answer a request with a large body, in its turn.

    A change is tried for `LEADER_WAIT_S`, as one with a small body is. It
    holds no turn while no leader is known, and gives it back after each try:
    the next order would wait for as long.
    """
    total = WaitLimit(limit_s=LEADER_WAIT_S)
    unknown: OutcomeUnknown | None = None
    while True:
        try:
            if route.changes:
                await call.backend.wait_for_leader(total)
            with total.counted():
                async with turns.turn():
                    return await route.answer(
                        call._replace(
                            body=decode_json(body), waits=WaitLimit(len(body))
                        )
                    )
        except OutcomeUnknown as error:
            unknown = error
            if not total.left_s:
                raise
        except NoLeader:
            # An earlier try may still be committed.
            if not total.left_s:
                if unknown is not None:
                    raise unknown from None
                raise
        with total.counted():
            await anyio.sleep(RETRY_PAUSE_S)


def _unknown_key_error(backend: OperatorBackend) -> ApiError:
    """Return the error for a key that matches no operator.

    A voter with an empty disk knows no operators until it is repaired. A
    401 from it would stop the client, and no command would work during the
    repair. A 503 makes the client ask the next voter.
    """
    if backend.knows_operators():
        return ApiError(401, UNAUTHENTICATED, "no valid operator key")
    return ApiError(
        503,
        BEHIND,
        "this voter has no configuration yet; ask another one",
        retry_after_s=1,
    )


async def _call_route(route: Route, call: Call) -> Response:
    try:
        return await route.answer(call)
    except ApiError:
        raise
    except NoLeader as error:
        raise ApiError(
            503,
            NO_LEADER,
            str(error),
            retry_after_s=error.retry_after_s,
            leader_address=error.leader_address,
        ) from error
    except OutcomeUnknown as error:
        raise _outcome_unknown_error(str(error)) from error
    except UnknownSubject as error:
        raise ApiError(404, UNKNOWN_SUBJECT, str(error)) from error
    except SycamorestandError as error:
        raise _failure_error(route, str(error)) from error
    except Exception as error:
        # The text of an unexpected error may contain anything, so it is
        # logged and not sent. The process continues with the next request.
        logger.exception("operator request failed")
        raise _failure_error(
            route, "an internal error, see the log"
        ) from error


def _failure_error(route: Route, message: str) -> ApiError:
    if route.changes:
        return _outcome_unknown_error(message)
    return ApiError(500, INTERNAL_ERROR, message)


def _outcome_unknown_error(message: str) -> ApiError:
    return ApiError(
        503, OUTCOME_UNKNOWN, f"{message}; {RESEND_HINT}", retry_after_s=1
    )


def _health_response(
    backend: OperatorBackend, method: str, path: str
) -> Response | None:
    if method not in ("GET", "HEAD"):
        return None
    if path == "/healthz":
        return Response(200, {"alive": True})
    if path == "/readyz":
        ready = backend.ready()
        return Response(200 if ready else 503, {"ready": ready})
    return None


def _bearer_key(scope: Scope) -> str:
    value = single_header(scope, b"authorization")
    if value[: len(BEARER)].lower() != BEARER:
        return ""
    return value[len(BEARER) :].strip()


def _find_route(method: str, path: str) -> Route:
    route = ROUTES.get((method, path))
    if route is not None:
        return route
    allowed = [
        route_method
        for route_method, route_path in ROUTES
        if route_path == path
    ]
    if not allowed:
        raise ApiError(404, UNKNOWN_PATH, "there is nothing at this path")
    raise ApiError(
        405, METHOD_NOT_ALLOWED, f"this path takes {', '.join(allowed)}"
    )


def _error_response(error: ApiError) -> Response:
    body: dict[str, Any] = {"code": error.code, "message": str(error)}
    headers: list[tuple[bytes, bytes]] = []
    if error.findings:
        body["findings"] = to_plain(error.findings)
    if error.leader_address:
        body["leader_address"] = error.leader_address
    if error.retry_after_s:
        body["retry_after_s"] = error.retry_after_s
        headers.append((b"retry-after", str(error.retry_after_s).encode()))
    if error.status == 401:
        headers.append((b"www-authenticate", b"Bearer"))
    return Response(error.status, {"error": body}, tuple(headers))


__all__ = ["make_operator_app"]
