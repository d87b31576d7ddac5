"""Handler of ``POST /backend/v1/cache-events``: engines' prefix caches.

The keys are those that the entry sent as ``X-Prefix-Key``. Events come late
and some are lost, so they only serve as hints for the selection of a
server; no answer depends on them.
"""

from __future__ import annotations

import time
from typing import Final
from typing import TYPE_CHECKING

import msgspec

from sycamorestand_entry.announcements import check_backend_key
from sycamorestand_entry.errors import BadRequest
from sycamorestand_entry.http_messages import JSON
from sycamorestand_entry.http_messages import read_body
from sycamorestand_entry.http_messages import Request
from sycamorestand_entry.http_messages import Responder

if TYPE_CHECKING:
    from sycamorestand_entry.context import EntryContext

MAX_EVENTS_BYTES: Final = 64 * 1024


class CacheEvents(msgspec.Struct, forbid_unknown_fields=True):
    """Prefixes that an engine has added to its cache or evicted from it."""

    name: str
    stored: list[str] = []
    dropped: list[str] = []


async def answer_cache_events(
    context: EntryContext, request: Request, responder: Responder
) -> None:
    """Record the cache events of a known engine."""
    check_backend_key(context, request)
    body = await read_body(request, MAX_EVENTS_BYTES)
    try:
        events = msgspec.json.decode(body, type=CacheEvents)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise BadRequest(f"no cache events: {error}") from None
    if events.name not in context.control.backend_servers():
        raise BadRequest("'name' is no known backend server")
    now_s = time.monotonic()
    record_cache_event = context.servers.record_cache_event
    record_cache_event(events.name, events.stored, True, now_s)
    record_cache_event(events.name, events.dropped, False, now_s)
    await responder.answer(200, JSON, b"{}")


__all__ = ["answer_cache_events"]
