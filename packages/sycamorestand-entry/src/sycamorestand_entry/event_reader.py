"""Reader of an engine's stream, which holds back usage and end events."""

from __future__ import annotations

from typing import Any
from typing import Final

from sycamorestand_entry.sse import decode_event
from sycamorestand_entry.sse import DONE
from sycamorestand_entry.sse import EVENT_END
from sycamorestand_entry.sse import EventBuffer
from sycamorestand_entry.sse import is_plain
from sycamorestand_entry.sse import MalformedStream
from sycamorestand_entry.sse import read_usage
from sycamorestand_entry.sse import split_events
from sycamorestand_entry.sse import Usage

BYTES_PER_TOKEN: Final = 4


class EventReader:
    """Tracks the progress of one answer over all of its connections.

    ``events`` counts the whole events returned so far; a run is resumed
    from there. ``usage`` and ``final_event`` come from the engine and are
    held back until the answer is charged.
    """

    def __init__(self) -> None:
        self.done = False
        self.events = 0
        self.usage: Usage | None = None
        self.final_event: dict[str, Any] = {}
        self._buffer = EventBuffer()
        self._failure: MalformedStream | None = None

    def raise_failure(self) -> None:
        """Raise the error found after the events that were returned last."""
        if self._failure is not None:
            raise self._failure

    def feed(self, data: bytes) -> bytes:
        """Return the whole events to forward.

        Raises `MalformedStream` for bad events and at a premature end,
        which is ``b""``.
        """
        if not data:
            raise MalformedStream("the stream ended without its last event")
        events = self._buffer.feed(data)
        if not events:
            return b""
        if is_plain(events):
            self.events += events.count(EVENT_END)
            return events
        return self._read_events(events)

    def is_forwardable(self, data: bytes) -> bool:
        """Return whether a read consists of whole text events only."""
        return self._buffer.is_whole(data) and is_plain(data)

    def count_forwarded(self, data: bytes) -> None:
        """Count events that were forwarded without `feed`."""
        self.events += data.count(EVENT_END)

    def expect_rest(self) -> None:
        """Prepare for the rest of the answer on another connection."""
        self._buffer = EventBuffer()
        self._failure = None

    def restart(self) -> None:
        """Prepare for a new answer from its beginning."""
        self.expect_rest()
        self.events = 0
        self.usage = None
        self.final_event = {}

    def estimate_usage(self, sent_bytes: int) -> bool:
        """Estimate a missing usage; return whether it was missing."""
        if self.usage is not None:
            return False
        # The answer is complete, so it is billed. Without a count from the
        # engine, each event counts as one token.
        self.usage = Usage(sent_bytes // BYTES_PER_TOKEN, self.events)
        return True

    def _read_events(self, events: bytes) -> bytes:
        plain: list[bytes] = []
        try:
            for event in split_events(events):
                self._read_event(event, plain)
        except MalformedStream as error:
            # The events before the malformed one are counted already, so
            # they must be returned before the run is resumed after them.
            self._failure = error
            if not plain:
                raise
        return b"".join(plain)

    def _read_event(self, event: bytes, plain: list[bytes]) -> None:
        if self.done or event.startswith(b":"):
            return
        if event == DONE:
            self.done = True
            return
        content = decode_event(event)
        if "error" in content:
            raise MalformedStream("the engine reported an error")
        usage = read_usage(content)
        if usage is not None:
            self.usage = usage
            # Some engines also report usage in events that carry text.
            if not content.get("choices"):
                self.final_event = content
                return
        self.events += 1
        plain.append(event)


__all__ = ["EventReader"]
