"""Server-sent events of engines, split at event boundaries.

The event of a token is forwarded as the received bytes. Only events that
end an answer or report an error are parsed as JSON.
"""

from __future__ import annotations

from typing import Any
from typing import Final
from typing import NamedTuple

import msgspec

EVENT_END: Final = b"\n\n"
DATA: Final = b"data:"
_NEXT_DATA: Final = EVENT_END + DATA
DONE: Final = b"data: [DONE]\n\n"
# Quotes in generated text are escaped, so the byte strings with quotes can
# only be members of the event itself.
_MARKERS: Final = (b'"usage":{', b'"usage": {', b'"error":', b"[DONE]")
MAX_EVENT_BYTES: Final = 1024 * 1024


class MalformedStream(ValueError):
    """The bytes are not an event stream of the expected form."""


class Usage(NamedTuple):
    """Token counts as reported by the engine."""

    input_tokens: int
    output_tokens: int


class EventBuffer:
    """Buffers the beginning of an event until its end has arrived."""

    def __init__(self) -> None:
        self._incomplete = b""

    def is_whole(self, data: bytes) -> bool:
        """Return whether the data begins and ends at event boundaries."""
        return not self._incomplete and data.endswith(EVENT_END)

    def feed(self, data: bytes) -> bytes:
        """Return all events that are complete after this read."""
        if self._incomplete:
            data = self._incomplete + data
        if b"\r\n" in data:
            data = data.replace(b"\r\n", b"\n")
        end = data.rfind(EVENT_END) + len(EVENT_END)
        if end < len(EVENT_END):
            end = 0
        self._incomplete = data[end:]
        if len(self._incomplete) > MAX_EVENT_BYTES:
            raise MalformedStream("an event has no end")
        return data[:end]


def is_plain(events: bytes) -> bool:
    """Return whether all events are data without usage, error or end."""
    count = events.count(EVENT_END)
    if not events.startswith(DATA):
        return False
    if count > 1 and events.count(_NEXT_DATA) != count - 1:
        return False
    return not any(mark in events for mark in _MARKERS)


def split_events(events: bytes) -> list[bytes]:
    """Return the events as a list, each with its terminating blank line."""
    parts = events.split(EVENT_END)
    return [part + EVENT_END for part in parts if part]


def decode_event(event: bytes) -> dict[str, Any]:
    """Return the JSON object of one event.

    Raises `MalformedStream` if there is none.
    """
    if not event.startswith(DATA):
        raise MalformedStream("an event has no data")
    try:
        decoded = msgspec.json.decode(event[len(DATA) :])
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise MalformedStream("an event has no JSON") from error
    if not isinstance(decoded, dict):
        raise MalformedStream("an event has no JSON object")
    return decoded


def encode_event(content: dict[str, Any]) -> bytes:
    """Return an event with the content as JSON."""
    return b"data: " + msgspec.json.encode(content) + EVENT_END


def read_usage(content: dict[str, Any]) -> Usage | None:
    """Return the usage of an event, None if it is missing or invalid."""
    usage = content.get("usage")
    if not isinstance(usage, dict):
        return None
    sent = usage.get("prompt_tokens")
    received = usage.get("completion_tokens")
    if not isinstance(sent, int) or not isinstance(received, int):
        return None
    if sent < 0 or received < 0:
        return None
    return Usage(sent, received)


__all__ = [
    "decode_event",
    "DONE",
    "encode_event",
    "EVENT_END",
    "EventBuffer",
    "is_plain",
    "MalformedStream",
    "read_usage",
    "split_events",
    "Usage",
]
