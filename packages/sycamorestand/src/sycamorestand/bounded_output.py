"""A log handler that never waits for its reader.

A reader of standard output that stalls, or a terminal that somebody has
paused, blocks whoever writes to it. In an entry that is every request, in
a control process its heartbeats. So lines go to a bounded buffer, and
only as much is written as the pipe takes at once. What does not fit is
dropped and counted, lines of requests that went well first.
"""

from __future__ import annotations

import asyncio
from collections import deque
import logging
import os
import select
from typing import Final

# What a pipe that polls as writable takes without blocking (POSIX: at least
# PIPE_BUF, which is 4,096 here).
CHUNK_BYTES: Final = 4096
# Seconds of lines under a burst of failures, and little of 128 MB.
MAX_BUFFER_BYTES: Final = 512 * 1024
# Above this only lines that tell of trouble are kept.
EXPENDABLE_BYTES: Final = MAX_BUFFER_BYTES // 4
# It is set only where lines wait, and an empty flush costs under 1 us; at
# a kill the last quarter of a second is lost.
FLUSH_S: Final = 0.25
# A pause lasts no longer than writing this takes, 0.2 ms.
MAX_CHUNKS: Final = 32


class BoundedOutput(logging.Handler):
    """Writes records to a descriptor as it takes them.

    A record with a true attribute ``expendable`` is dropped first.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self.dropped = 0
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._lines: deque[bytes] = deque()
        self._bytes = 0
        self._unreported = 0
        self._timer: asyncio.TimerHandle | None = None

    def emit(self, record: logging.LogRecord) -> None:
        """Take a line in, or drop it where the buffer is full."""
        expendable = getattr(record, "expendable", False)
        bound = EXPENDABLE_BYTES if expendable else MAX_BUFFER_BYTES
        if self._bytes > bound:
            self.dropped += 1
            self._unreported += 1
            return
        try:
            self._append(self.format(record))
        except Exception:
            # A value that cannot be formatted must not end a request;
            # logging tells it on standard error.
            self.handleError(record)
            return
        self._schedule_flush()

    def flush(self) -> None:
        """Write what the descriptor takes now."""
        for _ in range(MAX_CHUNKS):
            if not self._lines or not self._poll.poll(0):
                break
            self._write_chunk()
        if self._unreported and self._bytes <= EXPENDABLE_BYTES:
            self._report_dropped()

    def _append(self, text: str) -> None:
        line = text.encode() + b"\n"
        self._lines.append(line)
        self._bytes += len(line)

    def _schedule_flush(self) -> None:
        if self._timer is not None:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            # Before and after the loop there is nothing to hold up.
            self.flush()
            return
        self._timer = loop.call_later(FLUSH_S, self._flush_on_timer)

    def _flush_on_timer(self) -> None:
        self._timer = None
        self.flush()
        if self._lines:
            self._schedule_flush()

    def _write_chunk(self) -> None:
        chunk = self._lines.popleft()
        while self._lines and len(chunk) < CHUNK_BYTES:
            chunk += self._lines.popleft()
        try:
            written = os.write(self._descriptor, chunk[:CHUNK_BYTES])
        except OSError:
            # Nobody reads any more; there is nowhere left to say so.
            self.dropped += 1 + len(self._lines)
            self._lines.clear()
            self._bytes = 0
            return
        self._bytes -= written
        if written < len(chunk):
            self._lines.appendleft(chunk[written:])

    def _report_dropped(self) -> None:
        count, self._unreported = self._unreported, 0
        record = logging.LogRecord(
            __name__,
            logging.WARNING,
            __file__,
            0,
            "log lines dropped",
            None,
            None,
        )
        record.lines = count
        self._append(self.format(record))


__all__ = ["BoundedOutput", "FLUSH_S", "MAX_BUFFER_BYTES"]
