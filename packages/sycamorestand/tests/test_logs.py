"""Writing log lines never blocks the process."""

from __future__ import annotations

from collections.abc import Iterator
import json
import logging
import os

import anyio
import pytest

from sycamorestand.bounded_output import BoundedOutput
from sycamorestand.bounded_output import FLUSH_S
from sycamorestand.bounded_output import MAX_BUFFER_BYTES

LINE = "x" * 1000


@pytest.fixture
def pipe() -> Iterator[tuple[int, int]]:
    reading, writing = os.pipe()
    yield reading, writing
    os.close(reading)
    os.close(writing)


def make_record(message: str, expendable: bool = False) -> logging.LogRecord:
    made = logging.makeLogRecord({"msg": message, "levelno": logging.INFO})
    made.expendable = expendable
    return made


def log_until_full(output: BoundedOutput, expendable: bool = False) -> int:
    """Log more than the buffer and the pipe hold; return the line count."""
    count = 2 * MAX_BUFFER_BYTES // len(LINE)
    for _ in range(count):
        output.emit(make_record(LINE, expendable))
    return count


class TestStalledReader:
    def test_emit_does_not_block(self, pipe: tuple[int, int]) -> None:
        # A paused terminal or a log collector that hangs doesn't read. A
        # blocking write would then stop the process, with all of its
        # requests, as soon as the pipe is full.
        _, writing = pipe
        output = BoundedOutput(writing)
        count = log_until_full(output)
        assert 0 < output.dropped < count

    def test_expendable_lines_are_dropped_first(
        self, pipe: tuple[int, int]
    ) -> None:
        _, writing = pipe
        output = BoundedOutput(writing)
        log_until_full(output, expendable=True)
        before = output.dropped
        assert before > 0
        output.emit(make_record("a request failed"))
        assert output.dropped == before

    def test_dropped_lines_are_reported_once_reading_resumes(
        self, pipe: tuple[int, int]
    ) -> None:
        reading, writing = pipe
        output = BoundedOutput(writing)
        output.setFormatter(logging.Formatter("%(message)s"))
        count = log_until_full(output)
        received = b""
        while b"log lines dropped" not in received:
            output.flush()
            received += os.read(reading, 65536)
        kept = received.count(LINE.encode() + b"\n")
        assert kept + output.dropped == count

    def test_closed_pipe_raises_nothing(self) -> None:
        reading, writing = os.pipe()
        os.close(reading)
        output = BoundedOutput(writing)
        output.emit(make_record("no reader is left"))
        os.close(writing)
        assert output.dropped == 1


class TestOutput:
    @pytest.mark.anyio
    async def test_lines_are_written_within_two_flush_intervals_in_order(
        self, pipe: tuple[int, int]
    ) -> None:
        reading, writing = pipe
        output = BoundedOutput(writing)
        output.setFormatter(logging.Formatter("%(message)s"))
        for number in range(3):
            output.emit(make_record(f"line {number}"))
        await anyio.sleep(2 * FLUSH_S)
        assert os.read(reading, 65536) == b"line 0\nline 1\nline 2\n"

    def test_long_line_is_written_whole(self, pipe: tuple[int, int]) -> None:
        reading, writing = pipe
        output = BoundedOutput(writing)
        output.setFormatter(logging.Formatter("%(message)s"))
        output.emit(make_record("y" * 20_000))
        received = b""
        while not received.endswith(b"\n"):
            output.flush()
            received += os.read(reading, 65536)
        assert received == b"y" * 20_000 + b"\n"

    def test_formatting_error_goes_to_standard_error(
        self, pipe: tuple[int, int], capsys: pytest.CaptureFixture[str]
    ) -> None:
        _, writing = pipe
        output = BoundedOutput(writing)
        made = logging.makeLogRecord({"msg": "%d", "args": ("no number",)})
        output.emit(made)
        assert "no number" in capsys.readouterr().err


class TestConfigureLogging:
    def test_line_is_json_with_its_fields(
        self, capfd: pytest.CaptureFixture[str]
    ) -> None:
        from sycamorestand.logs import configure_logging

        root = logging.getLogger()
        before = root.handlers[:]
        try:
            configure_logging("vm-1", "entry", "INFO")
            logging.getLogger("x").info(
                "request ended", extra={"request": "a1", "expendable": True}
            )
        finally:
            root.handlers[:] = before
        found = json.loads(capfd.readouterr().out)
        assert found["request"] == "a1"
        assert found["vm"] == "vm-1"
        assert "expendable" not in found
