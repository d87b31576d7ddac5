"""Crowds of clients that do not behave, at the product's own doors."""

from __future__ import annotations

from pathlib import Path
import re
from typing import Final

import anyio
import pytest

from sycamorestand_bench.processes import Cluster
from sycamorestand_bench.system.calls import readiness
from sycamorestand_bench.system.crowds import Door
from sycamorestand_bench.system.crowds import hold_crowd
from sycamorestand_bench.system.crowds import KINDS

# The memory of the smallest machine, and the default of the setting.
MEMORY_MB: Final = 128
HOLD_S: Final = 2.0
ANSWER_S: Final = 8.0
CROWDS: Final = (
    ("tiny requests", 16),
    ("unread answers", 48),
    ("named lines, no body", 500),
    ("large head", 200),
    ("bytes as chunks", 50),
)


class TestMemory:
    @pytest.mark.parametrize("role", ["control-1", "entry-1"])
    @pytest.mark.parametrize(("kind", "clients"), CROWDS)
    def test_crowd_stays_within_the_memory(
        self, kind: str, clients: int, role: str, tmp_path: Path
    ) -> None:
        """A few connections took more memory than the machine has."""
        with Cluster(tmp_path) as cluster:
            control = cluster.start_control("control-1", "east", first=True)
            entry = cluster.start_entry("entry-1", "east")
            cluster.wait_ready("control-1", "entry-1")
            port = entry.port
            if role == "control-1":
                port = control.operator_port
            door = Door("127.0.0.1", port, "/readyz")
            anyio.run(hold_crowd, KINDS[kind], door, clients, HOLD_S)
            assert cluster.exit_status(role) is None
            assert peak_mb(cluster.pid(role)) < MEMORY_MB
            assert readiness(f"127.0.0.1:{port}", ANSWER_S)


def peak_mb(pid: int) -> float:
    """Return the most memory that a process has had."""
    status = Path(f"/proc/{pid}/status").read_text()
    found = re.search(r"VmHWM:\s+(\d+) kB", status)
    assert found is not None
    return int(found[1]) / 1024
