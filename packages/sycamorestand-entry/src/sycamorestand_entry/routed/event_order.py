"""Order of a stream's events across the servers that produced them."""

from __future__ import annotations

import re
from typing import Final

from sycamorestand_entry.upstream import MalformedAnswer

_EVENT_ID: Final = re.compile(rb"(?:^|\n)id: ?([^\r\n]*)")
MAX_ID_DIGITS: Final = 18


class EventOrder:
    """Check that a resumed stream continues without gaps or repeats.

    ``last_id`` is the id of the last event that the caller has. A server that
    resumes the stream must continue with the next id. Without this check a
    server that restarts the answer, or skips events that it believes to
    have sent, would repeat or omit parts of a stream that looks complete.
    """

    def __init__(self, last_id: bytes) -> None:
        self.last_id = last_id

    def accept(self, events: bytes) -> int:
        """Accept whole events and return how many of them have an id.

        Raises `MalformedAnswer` if a numeric id does not follow the one
        before it.
        """
        last_id = self.last_id
        ids = _EVENT_ID.findall(events)
        for event_id in ids:
            numbers = _is_number(event_id) and _is_number(last_id)
            if numbers and int(event_id) != int(last_id) + 1:
                raise MalformedAnswer("its events are out of order")
            last_id = event_id
        self.last_id = last_id
        return len(ids)


def _is_number(event_id: bytes) -> bool:
    return event_id.isdigit() and len(event_id) <= MAX_ID_DIGITS


__all__ = ["EventOrder"]
