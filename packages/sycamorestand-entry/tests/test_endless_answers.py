"""Servers whose answers have bytes without end that are no body."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

from hypothesis import given
from hypothesis import settings
import hypothesis.strategies as st
import pytest

from sycamorestand_entry.upstream import MalformedAnswer
from sycamorestand_entry.upstream import MAX_HEAD_BYTES
from sycamorestand_entry.upstream import READ_AHEAD_BYTES
from sycamorestand_entry.upstream import UpstreamConnection

CHUNKED: Final = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
FIELDS: Final = b"".join(b"x%d: v\r\n" % number for number in range(64))
# What comes once, and what comes after it without end.
ENDLESS: Final = {
    "head": (b"HTTP/1.1 200 OK\r\n", FIELDS),
    "field of a head": (b"HTTP/1.1 200 OK\r\nx: ", b"v" * 1024),
    "hints": (b"", b"HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n" * 16),
    "trailers": (CHUNKED + b"1\r\na\r\n0\r\n", FIELDS),
    "field of a trailer": (CHUNKED + b"1\r\na\r\n0\r\nx: ", b"v" * 1024),
    "chunk extension": (CHUNKED + b"1;x=", b"v" * 1024),
}
# What an answer, or what is none, may be made of.
PIECES: Final = (
    b"HTTP/1.1 200 OK\r\n",
    b"HTTP/1.1 103 Hints\r\n",
    b"transfer-encoding: chunked\r\n",
    b"content-length: 3\r\n",
    b"x: v\r\n",
    b"y: ",
    b"\r\n",
    b"1\r\na\r\n",
    b"1;x=",
    b"0\r\n",
    b"v",
    b"\x00",
)
MOST_BYTES: Final = 1024 * 1024
SENT_BYTES: Final = 128 * 1024


class FakeTransport(asyncio.Transport):
    """A transport that a test feeds by hand."""

    def __init__(self) -> None:
        super().__init__()
        self.is_aborted = False
        self.is_paused = False

    def write(self, data: object) -> None:
        pass

    def abort(self) -> None:
        self.is_aborted = True

    def pause_reading(self) -> None:
        self.is_paused = True


def answer_bytes(
    feed: Callable[[bytes], bool], first: bytes, more: bytes
) -> int:
    """Feed an answer until it is refused; return the bytes after it began."""
    if first:
        feed(first)
    sent_bytes = 0
    while sent_bytes < MOST_BYTES and feed(more):
        sent_bytes += len(more)
    return sent_bytes


class TestEndlessAnswers:
    @pytest.mark.parametrize("kind", ENDLESS)
    def test_answer_without_end_is_refused(self, kind: str) -> None:
        """An entry kept 481 MB of one answer's trailers."""
        loop = asyncio.new_event_loop()
        transport = FakeTransport()
        connection = UpstreamConnection(loop)
        connection.connection_made(transport)
        connection.send(b"GET /x HTTP/1.1\r\nhost: x\r\n\r\n")

        def feed(data: bytes) -> bool:
            connection.data_received(data)
            return not transport.is_aborted

        assert answer_bytes(feed, *ENDLESS[kind]) <= SENT_BYTES
        assert isinstance(connection._error, MalformedAnswer)
        loop.close()

    @settings(max_examples=200, deadline=None)
    @given(
        pieces=st.lists(
            st.tuples(st.sampled_from(PIECES), st.integers(1, 3000)),
            max_size=12,
        ),
        read_bytes=st.integers(1, 100_000),
    )
    def test_any_bytes_are_kept_up_to_the_bounds(
        self, pieces: list[tuple[bytes, int]], read_bytes: int
    ) -> None:
        loop = asyncio.new_event_loop()
        transport = FakeTransport()
        connection = UpstreamConnection(loop)
        connection.connection_made(transport)
        connection.send(b"GET /x HTTP/1.1\r\nhost: x\r\n\r\n")
        data = b"".join(piece * count for piece, count in pieces)
        most_bytes = MAX_HEAD_BYTES + READ_AHEAD_BYTES + 2 * read_bytes
        for start in range(0, len(data), read_bytes):
            if transport.is_aborted or transport.is_paused:
                break
            connection.data_received(data[start : start + read_bytes])
            fields = connection._headers
            kept_bytes = sum(len(k) + len(v) for k, v in fields.items())
            assert kept_bytes + connection._body_bytes <= most_bytes
        loop.close()

    def test_answer_of_many_small_chunks_is_not_refused(self) -> None:
        """The framing of a long stream is longer than its bound in all."""
        loop = asyncio.new_event_loop()
        transport = FakeTransport()
        connection = UpstreamConnection(loop)
        connection.connection_made(transport)
        connection.send(b"GET /x HTTP/1.1\r\nhost: x\r\n\r\n")
        connection.data_received(CHUNKED)
        for _ in range(SENT_BYTES):
            connection.data_received(b"1\r\na\r\n")
            connection._body.clear()
        connection.data_received(b"0\r\nx: v\r\n\r\n")
        assert not transport.is_aborted
        loop.close()
