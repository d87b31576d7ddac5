"""Runs the tests that KNOWN-RED.txt lists, and lets only them fail.

A line ``test PATH::CLASS::NAME: what was seen`` names a test, with or
without its parameters. One that passes again fails the run, so that its
line goes with the mend.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any
from typing import Final

import pytest

LIST: Final = Path(__file__).with_name("KNOWN-RED.txt")
MARK: Final = "test "


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Expect the listed tests to fail."""
    listed = tuple(_listed())
    for item in items:
        whole = item.nodeid
        if whole in listed or whole.partition("[")[0] in listed:
            item.add_marker(pytest.mark.xfail(strict=True, run=True))


def pytest_terminal_summary(terminalreporter: Any) -> None:
    """Print what is passed over."""
    for report in terminalreporter.stats.get("xfailed", []):
        terminalreporter.write_line(f"known red: {report.nodeid}")


def _listed() -> list[str]:
    lines = LIST.read_text().splitlines()
    named = [s.removeprefix(MARK) for s in lines if s.startswith(MARK)]
    return [line.partition(": ")[0] for line in named]
