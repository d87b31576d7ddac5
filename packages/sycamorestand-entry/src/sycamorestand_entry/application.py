"""The ASGI application: dispatches requests and converts errors."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import logging
from typing import Any
from typing import TYPE_CHECKING

from sycamorestand_entry.announcements import answer_announcement
from sycamorestand_entry.cache_events import answer_cache_events
from sycamorestand_entry.chat import answer_chat
from sycamorestand_entry.errors import InternalError
from sycamorestand_entry.errors import RequestError
from sycamorestand_entry.errors import UnknownMethod
from sycamorestand_entry.errors import UnknownPath
from sycamorestand_entry.http_messages import CallerGone
from sycamorestand_entry.http_messages import read_headers
from sycamorestand_entry.http_messages import Receive
from sycamorestand_entry.http_messages import Request
from sycamorestand_entry.http_messages import Responder
from sycamorestand_entry.http_messages import Send
from sycamorestand_entry.http_protocol import WRITE_NOW
from sycamorestand_entry.listings import answer_addresses
from sycamorestand_entry.listings import answer_health
from sycamorestand_entry.listings import answer_metrics
from sycamorestand_entry.listings import answer_models
from sycamorestand_entry.listings import answer_readiness
from sycamorestand_entry.routed.application import RoutedEntry
from sycamorestand_entry.routed.header_names import DEFAULT_HEADER_NAMES
from sycamorestand_entry.services import answer_service
from sycamorestand_entry.services import PREFIX as SERVICES

if TYPE_CHECKING:
    from sycamorestand_entry.context import EntryContext

Handler = Callable[["EntryContext", Request, Responder], Awaitable[None]]
Application = Callable[[Any, Receive, Send], Awaitable[None]]

_LOG = logging.getLogger(__name__)
_ROUTES: dict[str, tuple[str, Handler]] = {
    "/v1/chat/completions": ("POST", answer_chat),
    "/v1/models": ("GET", answer_models),
    "/v1/addresses": ("GET", answer_addresses),
    "/backend/v1/announce": ("POST", answer_announcement),
    "/backend/v1/cache-events": ("POST", answer_cache_events),
    "/healthz": ("GET", answer_health),
    "/readyz": ("GET", answer_readiness),
    "/metrics": ("GET", answer_metrics),
}


def make_application(context: EntryContext) -> Application:
    """Return the application that answers every request of the entry."""

    routed = RoutedEntry(context, DEFAULT_HEADER_NAMES)

    async def application(scope: Any, receive: Receive, send: Send) -> None:
        if _is_routed(context, scope["path"]):
            await routed(scope, receive, send)
            return
        write_now = scope.get("extensions", {}).get(WRITE_NOW)
        responder = Responder(send, context.stopping, write_now)
        path = scope["path"]
        result = "ok"
        try:
            await _answer(context, scope, receive, responder)
        except RequestError as error:
            result = error.code
            if not responder.started:
                await responder.refuse(error)
        except CallerGone:
            result = "caller_gone"
        except Exception:
            result = InternalError.code
            _LOG.exception("request failed", extra={"path": path})
            if responder.started:
                raise
            await responder.refuse(InternalError("the entry failed"))
        finally:
            interface = _interface(path)
            context.metrics.requests.inc(
                {"interface": interface, "result": result}
            )

    return application


async def _answer(
    context: EntryContext, scope: Any, receive: Receive, responder: Responder
) -> None:
    headers = read_headers(scope["headers"], context.settings.max_header_bytes)
    path = scope["path"]
    request = Request(
        scope["method"],
        path,
        scope["raw_path"],
        scope["query_string"],
        headers,
        receive,
    )
    if request.raw_path.startswith(SERVICES):
        await answer_service(context, request, responder)
        return
    method, handler = _find_handler(path)
    if request.method != method:
        raise UnknownMethod(f"{path} takes {method}")
    await handler(context, request, responder)


def _is_routed(context: EntryContext, path: str) -> bool:
    """Return whether a request is for the routes that operators declare.

    The entry's own paths take precedence over declared routes.
    """
    if path in _ROUTES or path.startswith("/services/"):
        return False
    return bool(context.control.in_force().declarations.routes)


def _interface(path: str) -> str:
    if path in _ROUTES:
        return path
    return "/services" if path.startswith("/services/") else "other"


def _find_handler(path: str) -> tuple[str, Handler]:
    try:
        return _ROUTES[path]
    except KeyError:
        raise UnknownPath("no interface has this path") from None


__all__ = ["Application", "make_application"]
