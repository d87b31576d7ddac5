"""A log handler that never blocks on its output.

A reader of standard output that stalls, or a paused terminal, blocks the
process that writes to it. That would stop all requests of an entry and the
heartbeats of a control process. So the handler puts lines into a bounded
buffer and writes only as much as the pipe accepts without blocking. Lines
that don't fit are dropped and counted; lines of successful requests are
dropped first.
"""

from __future__ import annotations

import asyncio
from collections import deque
import logging
import os
import select
from typing import Final

# A pipe that polls as writable accepts this much without blocking (POSIX: at
# least PIPE_BUF, which is 4,096 on Linux).
CHUNK_BYTES: Final = 4096
# Holds the lines of several seconds during a burst of failures, and is a
# small part of the memory target of 128 MB.
MAX_BUFFER_BYTES: Final = 512 * 1024
# Above this many buffered bytes, expendable lines are dropped.
EXPENDABLE_BYTES: Final = MAX_BUFFER_BYTES // 4
# Delay of a flush in seconds. The timer runs only while lines are buffered,
# and an empty flush costs under 1 us. A killed process loses the lines of the
# last quarter of a second.
FLUSH_S: Final = 0.25
# Chunks written by one flush. Writing them takes 0.2 ms, which is the longest
# time that a flush holds up the event loop.
MAX_CHUNKS: Final = 32


class BoundedOutput(logging.Handler):
    """Writes records to a descriptor without blocking.

    ``dropped`` counts the lines that were lost. If the buffer fills up,
    records with a true attribute ``expendable`` are dropped first.
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
        """Buffer the record's line, or drop it if the buffer is full."""
        expendable = getattr(record, "expendable", False)
        bound = EXPENDABLE_BYTES if expendable else MAX_BUFFER_BYTES
        if self._bytes > bound:
            self.dropped += 1
            self._unreported += 1
            return
        try:
            self._append(self.format(record))
        except Exception:
            # A value that cannot be formatted must not fail the request.
            # `handleError` prints the error to standard error.
            self.handleError(record)
            return
        self._schedule_flush()

    def flush(self) -> None:
        """Write as much as the descriptor accepts without blocking.

        Once the buffer has room again, log how many lines were dropped.
        """
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
            # Without a running event loop the write delays no other task.
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
            # The reader has closed the pipe, so the error cannot be logged.
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
