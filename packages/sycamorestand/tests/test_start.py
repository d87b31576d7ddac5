"""A process that is stopped while it loads."""

from __future__ import annotations

import os
from pathlib import Path
import subprocess
import sys
from typing import Final

# In place of a library that the program loads first: it takes its time.
SLOW_LIBRARY: Final = """
import time
print("loading", flush=True)
time.sleep(60)
"""


class TestStopWhileLoading:
    def test_it_ends_as_a_planned_stop_does(self, tmp_path: Path) -> None:
        """A VM is restarted, and stopped again while its process loads.

        On a busy machine loading takes seconds; an entry that was stopped
        2.7 s after its start, and had not logged a line, ended with -15. A
        supervisor takes that for a crash.
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
        process.terminate()
        assert process.wait(timeout=20) == 0
        process.stdout.close()
