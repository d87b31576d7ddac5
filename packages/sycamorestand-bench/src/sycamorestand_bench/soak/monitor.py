"""Monitor every process while the soak runs.

As an operator's monitoring does, it checks that processes run, their memory
and open file descriptors, and the revision of each entry.
"""

from __future__ import annotations

from http.client import HTTPException
from pathlib import Path
import time
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

from sycamorestand_bench.system.calls import readiness

if TYPE_CHECKING:
    from sycamorestand_bench.processes import Cluster
    from sycamorestand_bench.soak.injector import Injector

POLL_INTERVAL_S: Final = 0.25
# The memory target of a control process. An entry has less to keep.
MAX_RESIDENT_BYTES: Final = 128 * 1024 * 1024
MAX_DESCRIPTORS: Final = 1024
ANSWER_TIMEOUT_S: Final = 1.0


class Finding(NamedTuple):
    """A broken promise and the evidence for it."""

    promise: str
    what: str


class InForce(NamedTuple):
    """A revision reported as in force everywhere, and the report's time."""

    revision: int
    at_s: float


class Monitor:
    """Collects findings until stopped; `run` needs a separate thread."""

    def __init__(self, cluster: Cluster, injector: Injector) -> None:
        self.findings: list[Finding] = []
        self.peak_bytes = 0
        self.peak_descriptors = 0
        self.in_force = InForce(0, 0.0)
        self._cluster = cluster
        self._injector = injector
        self._newest_revisions: dict[tuple[str, int], int] = {}
        self._reported: set[tuple[str, str]] = set()
        self._stop = False

    def stop(self) -> None:
        """End `run` after its current round."""
        self._stop = True

    def run(self) -> None:
        """Check every process in turn, until `stop`."""
        while not self._stop:
            for name in (*self._cluster.controls, *self._cluster.entries):
                self._check_process(name)
            time.sleep(POLL_INTERVAL_S)

    def report(self, promise: str, name: str, what: str) -> None:
        """Record a finding, once for each promise and process."""
        if (promise, name) not in self._reported:
            self._reported.add((promise, name))
            self.findings.append(Finding(promise, f"{name}: {what}"))

    def _check_process(self, name: str) -> None:
        if self._injector.is_expected_down(name):
            return
        status = self._cluster.exit_status(name)
        if status is not None and not self._injector.is_expected_down(name):
            self.report(
                "lives", name, f"ended unexpectedly with status {status}"
            )
            return
        try:
            pid = self._cluster.pid(name)
            self._check_resources(name, pid)
        except (OSError, KeyError):
            # The injector has ended the process since the check above.
            return
        if name in self._cluster.entries:
            self._check_revision(name, pid)

    def _check_resources(self, name: str, pid: int) -> None:
        folder = Path("/proc") / str(pid)
        pages = int((folder / "statm").read_text().split()[1])
        resident_bytes = pages * PAGE_BYTES
        descriptors = len(list((folder / "fd").iterdir()))
        self.peak_bytes = max(self.peak_bytes, resident_bytes)
        self.peak_descriptors = max(self.peak_descriptors, descriptors)
        if resident_bytes > MAX_RESIDENT_BYTES:
            self.report("bounded", name, f"{resident_bytes} bytes resident")
        if descriptors > MAX_DESCRIPTORS:
            self.report("bounded", name, f"{descriptors} descriptors")

    def _check_revision(self, name: str, pid: int) -> None:
        in_force = self.in_force
        address = f"127.0.0.1:{self._cluster.entries[name].port}"
        try:
            answer = readiness(address, ANSWER_TIMEOUT_S)
        except (OSError, HTTPException):
            return
        revision = answer["revision"]
        before = self._newest_revisions.get((name, pid), 0)
        self._newest_revisions[(name, pid)] = max(revision, before)
        if revision < before:
            self.report(
                "no revert",
                name,
                f"revision went from {before} back to {revision}",
            )
        if answer["lease_remaining_s"] > 0 and revision < in_force.revision:
            self.report(
                "in force everywhere",
                name,
                f"serves at {revision}, {in_force.revision} is in force",
            )


PAGE_BYTES: Final = 4096

__all__ = ["Finding", "InForce", "Monitor"]
