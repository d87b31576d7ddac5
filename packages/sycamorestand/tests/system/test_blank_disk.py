"""A voter that starts on an empty folder, then with its old disk."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
import shutil

from sycamorestand_bench.system.operators import NO_ANSWER
from sycamorestand_bench.system.operators import query
from sycamorestand_bench.system.operators import sycactl
from sycamorestand_bench.system.system import CONTROLS
from sycamorestand_bench.system.system import System
from sycamorestand_bench.system.system import wait_for


class TestBlankDisk:
    def test_sycactl_passes_over_a_voter_with_an_empty_folder(
        self, system: System
    ) -> None:
        """A voter has lost its disk, and operators' settings still list it.

        It holds no operators' keys yet, so it cannot check a key. It answers
        that it is behind, and sycactl must ask the next control process.
        """
        wiped = next(n for n in CONTROLS if n != system.leader())
        ports = sorted(system.ports, key=lambda p: p != system.port(wiped))
        with _blank_disk(system, wiped):
            wait_for(
                lambda: _is_listening(system, wiped),
                "the wiped voter to listen",
            )
            done = sycactl(system.folder, ports, "status")
        assert done.status == 0, done

    def test_abandoned_id_is_no_longer_shown_as_replacement(
        self, system: System
    ) -> None:
        """A voter starts with an empty folder, then with its old disk.

        The id created for the empty folder never comes back. Replacing a
        voter by it would wait forever. So the status must stop listing it,
        although the address of that process still answers.
        """
        leader = system.leader()
        swapped = next(name for name in CONTROLS if name != leader)
        with _blank_disk(system, swapped):
            wait_for(
                lambda: system.replacement_id(leader, swapped),
                "the replacement id",
            )
        wait_for(
            lambda: not system.replacement_id(leader, swapped),
            "the replacement id to disappear",
        )


@contextmanager
def _blank_disk(system: System, control: str) -> Iterator[None]:
    """Run a control process on an empty folder, then on its old one."""
    folder = system.cluster.controls[control].data_folder
    kept = folder.with_suffix(".kept")
    system.cluster.kill(control)
    folder.rename(kept)
    folder.mkdir()
    system.restart_control(control)
    try:
        yield
    finally:
        system.cluster.kill(control)
        shutil.rmtree(folder)
        kept.rename(folder)
        system.restart_control(control)
        system.cluster.wait_ready(control)


def _is_listening(system: System, control: str) -> bool:
    return query(system.port(control), "/status").status != NO_ANSWER
