"""Finding the lines of one request in the logs of several processes."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from sycamorestand.operator.explain_request import explanation_lines
from sycamorestand.operator.explain_request import find_request
from sycamorestand.operator.explain_request import parse_line
from sycamorestand.operator.run import run


def line(at: str, message: str, vm: str = "vm-1", **fields: Any) -> str:
    content = {"time": f"2026-01-01 {at}", "message": message, "vm": vm}
    return json.dumps({**content, "role": "entry", **fields})


LOG = [
    line("10:00:01,000", "lease lost: refusing work"),
    line("10:00:02,500", "request ended", request="r-2", took_ms=1),
    line("10:00:03,000", "request ended", request="r-1", took_ms=400),
    line("10:00:03,000", "request decision", request="r-1", number=1),
    line("10:00:03,000", "request decision", request="r-1", number=0),
    line("10:00:03,900", "leads", vm="vm-2"),
    line("10:00:09,000", "lease held"),
]


class TestFind:
    def test_decisions_are_ordered_before_the_end_line(self) -> None:
        found = find_request("r-1", reversed(LOG))
        numbers = [line.number for line in found.request]
        assert numbers[:2] == [0, 1]
        assert found.request[-1].message == "request ended"

    def test_changes_near_the_request_are_shown(self) -> None:
        """The lease was lost two seconds before the request was refused.

        Another VM's clock may be up to a second ahead, so its lines are
        shown up to a second after the request's end as well.
        """
        found = find_request("r-1", LOG)
        messages = [line.message for line in found.around]
        assert messages == ["lease lost: refusing work", "leads"]

    def test_prefix_of_a_log_collector_is_skipped(self) -> None:
        found = parse_line("  36.05 vm-1/entry " + LOG[0])
        assert found is not None
        assert found.message == "lease lost: refusing work"

    @pytest.mark.parametrize(
        "text", ["", "Traceback", "{", "{}", '{"time": 3}', "[1]", "{1}"]
    )
    def test_unparsable_lines_are_counted(self, text: str) -> None:
        found = find_request("r-1", [*LOG, text])
        assert found.skipped_lines == 1
        assert "1 lines are not log lines" in list(explanation_lines(found))


class TestCommand:
    def test_prints_the_lines_of_a_request(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        path = tmp_path / "entry.log"
        path.write_text("\n".join(LOG) + "\n")
        assert run(["explain-request", "r-1", str(path)]) == 0
        assert "took_ms=400" in capsys.readouterr().out

    def test_unknown_request_is_reported(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        path = tmp_path / "entry.log"
        path.write_text("\n".join(LOG))
        assert run(["explain-request", "r-9", str(path)]) != 0
        assert (
            "no log line of this request was found" in capsys.readouterr().out
        )

    def test_missing_file_is_reported(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert run(["explain-request", "r-1", "/no/such/file"]) != 0
        assert "/no/such/file" in capsys.readouterr().err
