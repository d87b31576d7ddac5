"""Entry and control processes as the program starts them."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from signal import SIGSEGV
import time

import pytest

from sycamorestand.run import main
from sycamorestand_bench.processes import Cluster
from sycamorestand_model.keys import hash_key


@pytest.fixture
def cluster(tmp_path: Path) -> Iterator[Cluster]:
    """Return one control and one entry process, both ready."""
    with Cluster(tmp_path) as cluster:
        cluster.start_control(
            "control-1",
            "dalton",
            first=True,
            admin_key_hash=hash_key("admin"),
            voters_wanted=1,
        )
        cluster.wait_ready("control-1")
        cluster.start_entry("entry-1", "dalton", address_ttl_s=0.0)
        cluster.wait_ready("entry-1")
        yield cluster


def open_files(pid: int) -> set[str]:
    folder = Path(f"/proc/{pid}/fd")
    return {str(path.readlink()) for path in folder.iterdir()}


class TestProcesses:
    def test_no_process_uses_io_uring_or_starts_a_child(
        self, cluster: Cluster
    ) -> None:
        """An event loop that sets up io_uring keeps a descriptor of it open.

        uvloop sets up io_uring whatever its environment variable says. So
        the test reads the open descriptors of both processes.
        """
        for name in ("control-1", "entry-1"):
            pid = cluster.pid(name)
            files = open_files(pid)
            assert "anon_inode:[eventpoll]" in files
            assert "anon_inode:[io_uring]" not in files
            children = Path(f"/proc/{pid}/task/{pid}/children").read_text()
            assert children == ""

    def test_planned_stop_exits_with_status_0(self, cluster: Cluster) -> None:
        assert cluster.stop("entry-1") == 0
        assert cluster.stop("control-1") == 0

    def test_segmentation_fault_leaves_a_stack_trace(
        self, cluster: Cluster
    ) -> None:
        """An entry ends with a segmentation fault.

        The process ends before it can write a log line. The fault handler
        must have written the stack of each thread, which shows the place.
        """
        cluster.send_signal("entry-1", SIGSEGV)
        while cluster.exit_status("entry-1") is None:
            time.sleep(0.01)
        log = cluster.log_text("entry-1")
        assert "Fatal Python error: Segmentation fault" in log
        assert "run.py" in log

    def test_killed_processes_restart(self, cluster: Cluster) -> None:
        """The control process restarts with the data folder that it had."""
        cluster.kill("entry-1")
        cluster.kill("control-1")
        cluster.start_control("control-1", "dalton", voters_wanted=1)
        cluster.start_entry("entry-1", "dalton", address_ttl_s=0.0)
        cluster.wait_ready("control-1", "entry-1")


class TestMain:
    def test_missing_settings_are_reported(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert main(["control", "--vm", "c"]) == 2
        stderr = capsys.readouterr().err
        assert "--data-centre" in stderr

    def test_entry_without_a_control_address_is_refused(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        """Without a control address the entry could not request a lease."""
        assert main(["entry", "--vm", "e", "--control-addresses", ","]) == 2
        assert "--control-addresses: must list" in capsys.readouterr().err

    def test_missing_settings_name_their_variables(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert main(["control", "--vm", "c"]) == 2
        stderr = capsys.readouterr().err
        assert "SYCAMORESTAND_CLUSTER_KEY_FILE" in stderr
