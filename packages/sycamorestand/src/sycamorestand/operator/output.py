"""Print the answers of ``sycactl`` as tables, lines, CSV or JSON.

Answers go to stdout and everything else to stderr, so that a pipe gets only
the answer. Text from the system is printed without markup and control
characters, since customers choose some of it.
"""

from __future__ import annotations

from collections.abc import Iterable
import csv
from datetime import datetime
from datetime import UTC
import json
import sys
from typing import Any
from typing import Final
from typing import TextIO

from rich.console import Console
from rich.table import Table
from rich.text import Text

from sycamorestand_control.operator_api.plain import to_plain

# A spreadsheet treats a cell that starts with one of these as a formula, and
# callers choose the request keys.
FORMULA_STARTS: Final = ("=", "+", "-", "@", "\t", "\r")
PIPE_WIDTH: Final = 160


class Output:
    """Prints the answer of one command, for people or as JSON."""

    def __init__(
        self,
        as_json: bool,
        stdout: TextIO | None = None,
        stderr: TextIO | None = None,
    ) -> None:
        self._as_json = as_json
        self._stdout = sys.stdout if stdout is None else stdout
        self._stderr = sys.stderr if stderr is None else stderr
        self._has_answered = False
        self._console = _console(self._stdout)

    def notice(self, text: str) -> None:
        """Print one line to stderr, such as progress or a warning."""
        self._stderr.write(f"{to_printable(text)}\n")
        self._stderr.flush()

    def answer(self, message: Any, lines: Iterable[str]) -> None:
        """Print a typed message as JSON, or the given lines for people."""
        if self._as_json:
            self._write_json(to_plain(message))
            return
        for line in lines:
            self._stdout.write(f"{to_printable(line)}\n")

    def rows(self, name: str, rows: Iterable[Any], columns: Any) -> None:
        """Print typed rows as a table or as JSON under the key ``name``.

        ``columns`` is the type of the rows; its fields are the columns.
        """
        if self._as_json:
            self._write_json({name: to_plain(list(rows))})
            return
        self._console.print(_table(rows, columns._fields))

    def table(self, rows: Iterable[Any], columns: Any) -> None:
        """Print a table below an answer's lines; with JSON, print nothing."""
        if not self._as_json:
            self._console.print(_table(rows, columns._fields))

    def csv(self, rows: Iterable[Any], columns: Any) -> None:
        """Print typed rows as CSV with a header row."""
        writer = csv.writer(self._stdout, lineterminator="\n")
        writer.writerow(columns._fields)
        for row in rows:
            writer.writerow([_csv_cell(value) for value in row])

    def failure(self, code: str, text: str) -> None:
        """Print why the command ends without success.

        Programs read a single JSON object. So if the answer has already been
        printed, only stderr and the exit code report the failure.
        """
        if self._as_json and not self._has_answered:
            self._write_json({"error": {"code": code, "message": text}})
        self.notice(f"sycactl: {text}")

    def _write_json(self, value: Any) -> None:
        self._has_answered = True
        self._stdout.write(f"{json.dumps(value)}\n")


def to_printable(text: str) -> str:
    """Return text with a space in place of each non-printable character.

    Control characters could otherwise control the operator's terminal.
    """
    return "".join(c if c.isprintable() else " " for c in text)


def time_text(at_s: float) -> str:
    """Return a time in UTC, for example ``2026-03-01 14:05:00Z``."""
    return f"{datetime.fromtimestamp(at_s, UTC):%Y-%m-%d %H:%M:%S}Z"


def _console(stdout: TextIO) -> Console:
    if stdout.isatty():
        return Console(file=stdout)
    return Console(file=stdout, width=PIPE_WIDTH)


def _table(rows: Iterable[Any], fields: tuple[str, ...]) -> Table:
    table = Table(box=None, pad_edge=False)
    for field in fields:
        table.add_column(_heading(field), overflow="fold")
    for row in rows:
        cells = zip(fields, row, strict=True)
        table.add_row(*(_cell(field, value) for field, value in cells))
    return table


def _heading(field: str) -> str:
    return "time" if field == "at_s" else field.replace("_", " ")


def _cell(field: str, value: Any) -> Text:
    if field == "at_s":
        return Text(time_text(value))
    if isinstance(value, tuple):
        return Text(to_printable(", ".join(str(part) for part in value)))
    return Text(to_printable("-" if value in (None, "") else str(value)))


def _csv_cell(value: Any) -> Any:
    if isinstance(value, str) and value.startswith(FORMULA_STARTS):
        return f"'{value}"
    return value


__all__ = ["to_printable", "Output", "time_text"]
