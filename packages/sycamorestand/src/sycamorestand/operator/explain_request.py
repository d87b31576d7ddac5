"""Collect the log lines of one request from the logs of several processes."""

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

# Changes on the same VM shortly before a request often explain its outcome.
# For example, an entry may lose its lease 2 s before it refuses a request for
# lack of a lease, and a server is ejected because of its last answers.
LOOKBACK: Final = timedelta(seconds=3)
# The clocks of other VMs may differ by this much. So lines of other VMs are
# shown from a period that is this much longer at both ends. They are sorted by
# the times in the lines, without correction.
MAX_CLOCK_SKEW: Final = timedelta(seconds=1)
TIME_FORMAT: Final = "%Y-%m-%d %H:%M:%S,%f"
# Fields that every line has, or that `LogLine` has an attribute for.
COMMON_FIELDS: Final = frozenset(
    {"time", "level", "logger", "message", "vm", "role", "request", "number"}
)


class LogLine(NamedTuple):
    """A parsed line of a structured log."""

    at: datetime
    vm: str
    role: str
    message: str
    request: str
    number: int
    fields: dict[str, Any]


class Explanation(NamedTuple):
    """The lines of a request, and lines of other events around it."""

    request: tuple[LogLine, ...]
    around: tuple[LogLine, ...]
    skipped_lines: int


def explain_request(request: str, *log_files: Path) -> Action:
    """Show the log lines of one request, and what changed around it.

    :param request: the id of the request, as the caller sent it
    :param log_files: log files of entry and control processes
    """

    async def act(context: Context) -> int:
        explanation = find_request(request, _read_lines(log_files))
        context.output.answer(explanation, explanation_lines(explanation))
        return DONE if explanation.request else FINDINGS

    return act


def find_request(request: str, lines: Iterable[str]) -> Explanation:
    """Return the lines of a request in order, and other events around it.

    Lines of other requests are left out. Lines that cannot be parsed are
    counted.
    """
    parsed: list[LogLine] = []
    skipped = 0
    for line in lines:
        log_line = parse_line(line)
        if log_line is None:
            skipped += 1
        else:
            parsed.append(log_line)
    request_lines = [line for line in parsed if line.request == request]
    # The decisions of a request are written when it ends, so their times are
    # later than its start. Lines with the same time are sorted by number.
    request_lines.sort(key=lambda line: (line.at, line.number))
    around = [
        line
        for line in parsed
        if not line.request and _is_near(line, request_lines)
    ]
    around.sort(key=lambda line: line.at)
    return Explanation(tuple(request_lines), tuple(around), skipped)


def parse_line(line: str) -> LogLine | None:
    """Return the parsed line, or None if it is not a log line.

    Text that a log collector puts before the JSON object, such as a time or
    a name, is skipped.
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
    """Yield an explanation as lines for people."""
    if not explanation.request:
        yield "no log line of this request was found"
    for line in explanation.request:
        yield _line_text(line)
    if explanation.around:
        yield "changes around the request:"
    for line in explanation.around:
        yield "  " + _line_text(line)
    if explanation.skipped_lines:
        yield f"{explanation.skipped_lines} lines are not log lines"


def _decision_number(record: dict[str, Any]) -> int:
    """Return the number of a decision, by which the lines are sorted.

    The line of the request's end has no number and comes last.
    """
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
