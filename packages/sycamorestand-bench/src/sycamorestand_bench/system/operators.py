"""Operate the system under test.

Commands run through ``sycactl``; requests go to a single control process.
"""

from __future__ import annotations

import os
from pathlib import Path
import subprocess
import sys
from typing import Any
from typing import Final
from typing import NamedTuple

import httpcore
import msgspec

from sycamorestand_bench.quickstart.operator import ADMIN_KEY
from sycamorestand_control.operator_api.routes import PREFIX

OPERATOR_KEY: Final = "demo-guild-operator"
COMMAND_TIMEOUT_S: Final = 60
REQUEST_TIMEOUT: Final = {
    "connect": 5.0,
    "read": 20.0,
    "write": 5.0,
    "pool": 20.0,
}
NO_ANSWER: Final = 0


class CommandResult(NamedTuple):
    """Exit status, decoded output and error text of a command."""

    status: int
    answer: Any
    messages: str


class Answer(NamedTuple):
    """Status and body of an answer; status `NO_ANSWER` if none came."""

    status: int
    body: Any


def sycactl(
    folder: Path, ports: list[int], *arguments: str, key: str = ADMIN_KEY
) -> CommandResult:
    """Run one ``sycactl`` command against the given operator ports."""
    key_file = folder / f"{key}.key"
    key_file.write_text(key)
    environment = dict(
        os.environ,
        SYCACTL_CONTROLS=",".join(f"127.0.0.1:{port}" for port in ports),
        SYCACTL_KEY_FILE=str(key_file),
    )
    program = Path(sys.executable).parent / "sycactl"
    completed = subprocess.run(
        [str(program), *arguments, "--json"],
        env=environment,
        capture_output=True,
        timeout=COMMAND_TIMEOUT_S,
        check=False,
    )
    answer = (
        msgspec.json.decode(completed.stdout) if completed.stdout else None
    )
    return CommandResult(
        completed.returncode, answer, completed.stderr.decode()
    )


def query(port: int, path: str) -> Answer:
    """Send a GET to one control process.

    The answer has the status `NO_ANSWER` where the process is unreachable.
    """
    return _request("GET", port, path, None)


def change(
    port: int,
    change_id: str,
    kind: str,
    subject: str,
    base_revision: int | None = None,
) -> Answer:
    """Send one change once, to one control process."""
    body: dict[str, Any] = {
        "change_id": change_id,
        "kind": kind,
        "subject": subject,
        "message": "a test",
    }
    if base_revision is not None:
        body["base_revision"] = base_revision
    return _request("POST", port, "/changes", body)


def transfer_leadership(port: int) -> Answer:
    """Ask the leader of the configuration log to transfer leadership."""
    return _request("POST", port, "/transfer-leadership", {})


def _request(method: str, port: int, path: str, body: Any) -> Answer:
    try:
        response = httpcore.request(
            method,
            f"http://127.0.0.1:{port}{PREFIX}{path}",
            headers={"Authorization": f"Bearer {ADMIN_KEY}"},
            content=msgspec.json.encode(body) if body is not None else None,
            extensions={"timeout": REQUEST_TIMEOUT},
        )
    except (
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
    ):
        return Answer(NO_ANSWER, None)
    return Answer(response.status, msgspec.json.decode(response.content))


__all__ = [
    "Answer",
    "query",
    "change",
    "CommandResult",
    "transfer_leadership",
    "NO_ANSWER",
    "OPERATOR_KEY",
    "sycactl",
]
