"""Run ``sycactl`` as an operator of the quickstart's system."""

from __future__ import annotations

import os
from pathlib import Path
import subprocess
import sys
from typing import Any
from typing import Final

import anyio
import msgspec

# The first apply, which this operator runs, removes every operator that the
# example does not declare. This is the key of an admin whom it declares.
ADMIN_KEY: Final = "demo-guild-admin"
COMMAND_TIMEOUT_S: Final = 40


class CommandFailed(Exception):
    """Raised when ``sycactl`` ends with a status other than 0."""


class Operator:
    """Runs ``sycactl`` commands against control processes."""

    def __init__(self, folder: Path, controls: list[str]) -> None:
        self._key_file = folder / "operator.key"
        self._key_file.write_text(ADMIN_KEY)
        self._controls = controls

    async def run(self, *arguments: str) -> Any:
        """Run one command in a thread and return its decoded output.

        Raises `CommandFailed` with the command's messages.
        """
        return await anyio.to_thread.run_sync(self.run_blocking, *arguments)

    def run_blocking(self, *arguments: str) -> Any:
        """Run one command with ``--json`` and return its decoded output.

        Raises `CommandFailed` with the command's messages.
        """
        environment = dict(
            os.environ,
            SYCACTL_CONTROLS=",".join(self._controls),
            SYCACTL_KEY_FILE=str(self._key_file),
        )
        program = Path(sys.executable).parent / "sycactl"
        completed = subprocess.run(
            [str(program), *arguments, "--json"],
            env=environment,
            capture_output=True,
            timeout=COMMAND_TIMEOUT_S,
            check=False,
        )
        if completed.returncode != 0:
            messages = (completed.stdout + completed.stderr).decode()
            raise CommandFailed(
                f"{arguments}: {completed.returncode}: {messages}"
            )
        return msgspec.json.decode(completed.stdout)


__all__ = ["ADMIN_KEY", "CommandFailed", "Operator"]
