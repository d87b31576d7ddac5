"""A voter that starts on an empty folder, and gets its disk back."""

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
    def test_operator_may_ask_it_first(self, system: System) -> None:
        """A voter's disk is lost, and operators' settings still name it.

        It holds no operators' keys yet, so it cannot judge a key. It says
        that it is behind, and sycactl asks the next control process.
        """
        wiped = next(n for n in CONTROLS if n != system.leader())
        ports = sorted(system.ports, key=lambda p: p != system.port(wiped))
        with _blank_disk(system, wiped):
            wait_for(lambda: _is_listening(system, wiped), "it to listen")
            done = sycactl(system.folder, ports, "status")
        assert done.status == 0, done

    def test_lost_identity_is_not_shown_as_waiting(
        self, system: System
    ) -> None:
        """A voter starts with an empty folder, then with its old disk.

        The id of the empty folder is gone for good. An operator who puts
        it in somebody's place would wait for ever, so the status must not
        go on naming it only since its address answers.
        """
        leader = system.leader()
        swapped = next(name for name in CONTROLS if name != leader)
        with _blank_disk(system, swapped):
            wait_for(
                lambda: system.replacement_id(leader, swapped), "the joiner"
            )
        wait_for(lambda: not system.replacement_id(leader, swapped), "its end")


@contextmanager
def _blank_disk(system: System, control: str) -> Iterator[None]:
    """Run a control process on an empty folder, then on its own again."""
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
