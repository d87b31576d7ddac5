"""A planned stop while the process imports its modules."""

from __future__ import annotations

import os
from pathlib import Path
import signal
import subprocess
import sys
from typing import Any
from typing import Final

import anyio

from sycamorestand.run import _run_loop
from sycamorestand.start import _exit_on_sigterm

# Replaces the first library that the program imports; its import hangs.
SLOW_LIBRARY: Final = """
import time
print("loading", flush=True)
time.sleep(60)
"""


class TestStopWhileLoading:
    def test_sigterm_while_libraries_load_exits_with_0(
        self, tmp_path: Path
    ) -> None:
        """A process gets SIGTERM while it imports its libraries.

        On a busy machine the imports take seconds. An entry that got
        SIGTERM 2.7 s after its start, before its first log line, exited
        with -15, which a supervisor takes for a crash, and one that was
        told to read its settings again with -1.
        """
        (tmp_path / "anyio.py").write_text(SLOW_LIBRARY)
        process = subprocess.Popen(
            [sys.executable, "-m", "sycamorestand.start", "entry"],
            env={**os.environ, "PYTHONPATH": str(tmp_path)},
            stdout=subprocess.PIPE,
            text=True,
        )
        assert process.stdout is not None
        assert process.stdout.readline() == "loading\n"
        process.send_signal(signal.SIGHUP)
        process.terminate()
        assert process.wait(timeout=20) == 0
        process.stdout.close()

    def test_sigterm_while_the_role_loads_exits_with_0(self) -> None:
        """A control process that got SIGTERM at this point exited with 1."""
        stopped = []

        async def load_and_serve(
            values: dict[str, Any], stop: anyio.Event
        ) -> None:
            # Stands for an import, during which no other task runs.
            os.kill(os.getpid(), signal.SIGTERM)
            await stop.wait()
            stopped.append(True)

        before = signal.signal(signal.SIGTERM, _exit_on_sigterm)
        try:
            assert _run_loop(load_and_serve, {}) == 0
        finally:
            signal.signal(signal.SIGTERM, before)
        assert stopped
