"""An interrupted roll-out resumes at the committed step."""

from __future__ import annotations

from threading import Event

from sycamorestand_bench.quickstart.caller import new_key
from sycamorestand_bench.system.calls import chat
from sycamorestand_bench.system.system import CONTROLS
from sycamorestand_bench.system.system import ENTRIES
from sycamorestand_bench.system.system import System
from sycamorestand_bench.system.system import wait_for

MODEL = "nest-small"
SHARES = (0.2, 0.4, 0.6, 0.8, 1.0)
ROLLOUT = f"""\
[rollouts.nest-small]
version = "4"
shares = {list(SHARES)}
min_samples = 10
min_step_s = 0.5
"""
CALLERS = 9


class TestLostLeader:
    def test_new_leader_resumes_at_the_committed_step(
        self, system: System
    ) -> None:
        """The leader is killed between two steps of a running roll-out.

        The new leader reads the step from the log and resumes there. The
        audit trail must show every step up to the last, each of them once.
        """
        declared = system.declarations / "rollouts" / "nest-small.toml"
        declared.write_text(ROLLOUT)
        system.sycactl("apply", str(system.declarations), "--wait")
        stop = Event()
        calls = [
            system.pool.submit(_call_until, stop, system.entry(name))
            for name in ENTRIES * (CALLERS // len(ENTRIES))
        ]
        try:
            system.sycactl("rollout", "start", MODEL)
            leader = system.leader()
            wait_for(lambda: _step(system, leader) >= 1, "the first step")
            system.cluster.kill(leader)
            successor = system.leader()
            last = len(SHARES) - 1
            wait_for(lambda: _step(system, successor) == last, "the last step")
        finally:
            stop.set()
            for call in calls:
                call.result()
        system.restart_control(leader)
        system.cluster.wait_ready(leader)

        steps = [f"{number} -> {number + 1}" for number in range(last)]
        for control in CONTROLS:
            assert _steps(system, control) == steps
        rollout = _rollout(system, successor)
        assert rollout["state"] == "completed", rollout


def _call_until(stop: Event, address: str) -> None:
    while not stop.is_set():
        chat(address, new_key("rollout"), tokens=2)


def _rollout(system: System, control: str) -> dict[str, object]:
    answer = system.query(control, "/rollouts")
    for row in answer["rollouts"]:
        if row["model"] == MODEL:
            found: dict[str, object] = row
            return found
    return {"step": -1}


def _step(system: System, control: str) -> int:
    step = _rollout(system, control)["step"]
    assert isinstance(step, int)
    return step


def _steps(system: System, control: str) -> list[str]:
    """Return the steps in the audit trail, for example ``0 -> 1``."""
    lines = [
        line
        for entry in system.audit(control)
        if entry["kind"] == "RolloutStep"
        for line in entry["difference"]
    ]
    return [line.partition(" step ")[2].split(",")[0] for line in lines]
