"""The operator of the quickstart: runs ``sycactl`` as people do."""

from __future__ import annotations

import os
from pathlib import Path
import subprocess
import sys
from typing import Any
from typing import Final

import anyio
import msgspec

# An admin of the example, so that the first apply does not remove the
# operator who runs it.
ADMIN_KEY: Final = "demo-guild-admin"
COMMAND_TIMEOUT_S: Final = 40


class CommandFailed(Exception):
    """``sycactl`` ended with another status than expected."""


class Operator:
    """Runs commands against the control processes' addresses."""

    def __init__(self, folder: Path, controls: list[str]) -> None:
        self._key_file = folder / "operator.key"
        self._key_file.write_text(ADMIN_KEY)
        self._controls = controls

    async def run(self, *arguments: str) -> Any:
        """Run one command with ``--json`` and return what it printed."""
        return await anyio.to_thread.run_sync(self.run_blocking, *arguments)

    def run_blocking(self, *arguments: str) -> Any:
        """Run one command; raises `CommandFailed` with its messages."""
        environment = dict(
            os.environ,
            SYCACTL_CONTROLS=",".join(self._controls),
            SYCACTL_KEY_FILE=str(self._key_file),
        )
        program = Path(sys.executable).parent / "sycactl"
        done = subprocess.run(
            [str(program), *arguments, "--json"],
            env=environment,
            capture_output=True,
            timeout=COMMAND_TIMEOUT_S,
            check=False,
        )
        if done.returncode != 0:
            said = (done.stdout + done.stderr).decode()
            raise CommandFailed(f"{arguments}: {done.returncode}: {said}")
        return msgspec.json.decode(done.stdout)


__all__ = ["ADMIN_KEY", "CommandFailed", "Operator"]
