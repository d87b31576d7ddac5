"""The order of a stream's events, over all the runs that made them."""

from __future__ import annotations

import re
from typing import Final

from sycamorestand_entry.upstream import MalformedAnswer

_EVENT_ID: Final = re.compile(rb"(?:^|\n)id: ?([^\r\n]*)")
MAX_ID_DIGITS: Final = 18


class EventOrder:
    """Knows the last event that the caller has.

    A run that goes on behind it must go on with the next one. Without the
    check a server that begins anew, or skips what it believes to have
    sent, would give the caller pieces twice or leave some out, and the
    stream would look whole.
    """

    def __init__(self, last: bytes) -> None:
        self.last = last

    def take(self, events: bytes) -> int:
        """Take whole events and return how many carry an id.

        Raises `MalformedAnswer` where they are out of order.
        """
        last = self.last
        ids = _EVENT_ID.findall(events)
        for event_id in ids:
            numbers = _is_number(event_id) and _is_number(last)
            if numbers and int(event_id) != int(last) + 1:
                raise MalformedAnswer("its events are out of order")
            last = event_id
        self.last = last
        return len(ids)


def _is_number(event_id: bytes) -> bool:
    return event_id.isdigit() and len(event_id) <= MAX_ID_DIGITS


__all__ = ["EventOrder"]
