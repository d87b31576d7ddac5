"""Reading an engine's stream, with its bytes split into arbitrary reads."""

from __future__ import annotations

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import msgspec
import pytest

from sycamorestand_entry.event_reader import EventReader
from sycamorestand_entry.sse import MalformedStream
from sycamorestand_entry.sse import Usage

USAGE = b'data: {"choices":[],"usage":{"prompt_tokens":3,'
USAGE += b'"completion_tokens":4}}\n\n'
DONE = b"data: [DONE]\n\n"

texts = strategies.lists(strategies.text(max_size=12), max_size=8)
cuts = strategies.lists(strategies.integers(0, 400), max_size=12)


def token(text: str) -> bytes:
    """Return the event of one token."""
    content = {"choices": [{"index": 0, "delta": {"content": text}}]}
    return b"data: " + msgspec.json.encode(content) + b"\n\n"


def split_into_reads(stream: bytes, at: list[int]) -> list[bytes]:
    """Return the stream split into reads at these offsets."""
    places = sorted({min(place, len(stream)) for place in at})
    bounds = [0, *places, len(stream)]
    parts = [stream[a:b] for a, b in zip(bounds, bounds[1:], strict=False)]
    return [part for part in parts if part]


class TestEventReader:
    @settings(deadline=None)
    @given(texts, cuts)
    def test_result_does_not_depend_on_the_reads(
        self, words: list[str], at: list[int]
    ) -> None:
        events = [token(word) for word in words]
        stream = b"".join(events) + USAGE + DONE
        reader = EventReader()
        passed = b"".join(
            reader.feed(read) for read in split_into_reads(stream, at)
        )
        assert passed == b"".join(events)
        assert reader.done
        assert reader.usage == Usage(3, 4)
        assert reader.events == len(events)

    @settings(deadline=None)
    @given(texts, cuts, strategies.integers(0, 400))
    def test_count_matches_the_returned_events(
        self, words: list[str], at: list[int], end: int
    ) -> None:
        """The stream breaks off at any byte.

        The reader has returned whole events only, and its count is their
        number. A resume from that count neither loses nor repeats an event.
        """
        events = [token(word) for word in words]
        reader = EventReader()
        passed = b""
        for read in split_into_reads(b"".join(events)[:end], at):
            passed += reader.feed(read)
        assert passed == b"".join(events[: reader.events])

    @settings(deadline=None)
    @given(texts, strategies.binary(min_size=1, max_size=20), cuts)
    def test_events_before_garbage_are_returned(
        self, words: list[str], garbage: bytes, at: list[int]
    ) -> None:
        events = [token(word) for word in words]
        stream = b"".join(events) + b"\x00" + garbage + b"\n\n"
        reader = EventReader()
        passed = b""
        with pytest.raises(MalformedStream):
            for read in split_into_reads(stream, at):
                passed += reader.feed(read)
                reader.raise_failure()
            reader.feed(b"")
        assert passed == b"".join(events)

    def test_text_that_looks_like_an_end_is_returned(self) -> None:
        words = ['"usage":{', '"error":', "data: x", "\n\n", "a]b"]
        reader = EventReader()
        stream = b"".join(token(word) for word in words)
        assert reader.feed(stream) == stream
        assert reader.events == len(words)
        assert not reader.done

    def test_usage_in_every_event_is_read(self) -> None:
        usage = b',"usage":{"prompt_tokens":3,"completion_tokens":1}}\n\n'
        event = token("word").removesuffix(b"}\n\n") + usage
        reader = EventReader()
        assert reader.feed(event * 2) == event * 2
        reader.feed(DONE)
        assert reader.usage == Usage(3, 1)

    def test_accepts_crlf_and_drops_comments(self) -> None:
        reader = EventReader()
        stream = b": ping\r\n\r\n" + token("a").replace(b"\n\n", b"\r\n\r\n")
        assert reader.feed(stream) == token("a")

    def test_end_without_done_is_malformed(self) -> None:
        reader = EventReader()
        reader.feed(token("a"))
        with pytest.raises(MalformedStream):
            reader.feed(b"")

    def test_endless_event_is_malformed(self) -> None:
        reader = EventReader()
        with pytest.raises(MalformedStream):
            for _ in range(40):
                reader.feed(b"data: " + b"x" * 65_536)
