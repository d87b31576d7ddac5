"""``sycactl explain-request``: one request's way, out of several logs."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
from datetime import datetime
from datetime import timedelta
from pathlib import Path
from typing import Any
from typing import Final
from typing import NamedTuple

import msgspec

from sycamorestand.operator.context import Action
from sycamorestand.operator.context import Context
from sycamorestand.operator.exits import DONE
from sycamorestand.operator.exits import FINDINGS
from sycamorestand.operator.exits import UsageError

# What changed on the same VM shortly before is often the cause: a lease is
# lost for 2 s before it is missed, a server ejected for its last answers.
LOOKBACK: Final = timedelta(seconds=3)
# Other VMs' clocks may differ by so much; their lines are shown from that
# much earlier and later, and in the order of their own clocks.
MAX_CLOCK_SKEW: Final = timedelta(seconds=1)
TIME_FORMAT: Final = "%Y-%m-%d %H:%M:%S,%f"
# Fields that every line has, or that are told apart from the others.
COMMON_FIELDS: Final = frozenset(
    {"time", "level", "logger", "message", "vm", "role", "request", "number"}
)


class LogLine(NamedTuple):
    """A line of a structured log."""

    at: datetime
    vm: str
    role: str
    message: str
    request: str
    number: int
    fields: dict[str, Any]


class Explanation(NamedTuple):
    """The lines of a request, and what changed around it."""

    request: tuple[LogLine, ...]
    around: tuple[LogLine, ...]
    skipped_lines: int


def explain_request(request: str, *log_files: Path) -> Action:
    """Show what the logs tell of one request, and what changed around it.

    :param request: the id of the request, as the caller sent it
    :param log_files: logs of entries and control processes
    """

    async def act(context: Context) -> int:
        explanation = find_request(request, _read_lines(log_files))
        context.output.answer(explanation, explanation_lines(explanation))
        return DONE if explanation.request else FINDINGS

    return act


def find_request(request: str, lines: Iterable[str]) -> Explanation:
    """Return the lines of a request in order, and those around it."""
    parsed: list[LogLine] = []
    skipped = 0
    for line in lines:
        log_line = parse_line(line)
        if log_line is None:
            skipped += 1
        else:
            parsed.append(log_line)
    request_lines = [line for line in parsed if line.request == request]
    # Decisions are written when the request ends, so it began before them.
    request_lines.sort(key=lambda line: (line.at, line.number))
    around = [
        line
        for line in parsed
        if not line.request and _is_near(line, request_lines)
    ]
    around.sort(key=lambda line: line.at)
    return Explanation(tuple(request_lines), tuple(around), skipped)


def parse_line(line: str) -> LogLine | None:
    """Return a line of a log, None where it is none.

    What a collector puts before the object, such as a time or a name, is
    passed over.
    """
    start = line.find("{")
    if start < 0:
        return None
    try:
        record = msgspec.json.decode(line[start:])
        at = datetime.strptime(record["time"], TIME_FORMAT)
    except (msgspec.MsgspecError, KeyError, TypeError, ValueError):
        return None
    return LogLine(
        at,
        str(record.get("vm", "")),
        str(record.get("role", "")),
        str(record.get("message", "")),
        str(record.get("request", "")),
        _decision_number(record),
        {k: v for k, v in record.items() if k not in COMMON_FIELDS},
    )


def explanation_lines(explanation: Explanation) -> Iterator[str]:
    """Return an explanation as lines for people."""
    if not explanation.request:
        yield "no line of this request"
    for line in explanation.request:
        yield _line_text(line)
    if explanation.around:
        yield "changes around it:"
    for line in explanation.around:
        yield "  " + _line_text(line)
    if explanation.skipped_lines:
        yield f"{explanation.skipped_lines} lines are no log lines"


def _decision_number(record: dict[str, Any]) -> int:
    """Return the place of a decision; the line of the end is the last."""
    number = record.get("number")
    return number if isinstance(number, int) else 1_000


def _is_near(line: LogLine, request_lines: list[LogLine]) -> bool:
    if not request_lines:
        return False
    duration_ms = max(
        int(entry.fields.get("took_ms", 0)) for entry in request_lines
    )
    begin = (
        request_lines[0].at - timedelta(milliseconds=duration_ms) - LOOKBACK
    )
    end = request_lines[-1].at
    if line.vm != request_lines[0].vm:
        begin, end = begin - MAX_CLOCK_SKEW, end + MAX_CLOCK_SKEW
    return begin <= line.at <= end


def _line_text(line: LogLine) -> str:
    at = line.at.strftime("%H:%M:%S.%f")[:-3]
    fields = " ".join(
        f"{name}={value}" for name, value in _nonempty_fields(line)
    )
    return f"{at} {line.vm}/{line.role} {line.message} {fields}".rstrip()


def _nonempty_fields(line: LogLine) -> Iterator[tuple[str, Any]]:
    for name, value in line.fields.items():
        if value not in ("", None):
            yield name, value


def _read_lines(paths: Iterable[Path]) -> Iterator[str]:
    for path in paths:
        try:
            with path.open(errors="replace") as lines:
                yield from lines
        except OSError as error:
            raise UsageError(f"{path}: {error.strerror}") from error


__all__ = [
    "Explanation",
    "explanation_lines",
    "explain_request",
    "find_request",
    "LogLine",
    "parse_line",
]
