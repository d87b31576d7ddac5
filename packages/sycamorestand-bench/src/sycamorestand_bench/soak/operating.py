"""The operator of a soak: changes, withdrawals, repairs of voters.

It sends each change until it is accepted, with the same id, to one control
process after the other. What it was told is what the system has promised.
"""

from __future__ import annotations

import time
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

from sycamorestand_bench.soak.watch import InForce
from sycamorestand_bench.system.changes import Accepted
from sycamorestand_bench.system.changes import Change
from sycamorestand_bench.system.changes import send_change
from sycamorestand_bench.system.operators import NO_ANSWER
from sycamorestand_bench.system.operators import query
from sycamorestand_bench.system.operators import sycactl

if TYPE_CHECKING:
    from sycamorestand_bench.soak.watch import Watch
    from sycamorestand_bench.system.system import System

PAUSE_S: Final = 0.1
# What was written to a server before the change was in force may still be
# on its way to it; a delayed link holds it this long at most.
ON_ITS_WAY_S: Final = 0.6
LOOK_S: Final = 1.0
# The version that most chats run on; another one has to take over.
VERSION: Final = "nest-small@3"
CONFLICT: Final = (409, 412)


class Withdrawn(NamedTuple):
    """A version that was out of use, and the runs that began meanwhile."""

    version: str
    from_s: float
    until_s: float
    runs: int


class Operating:
    """Changes the configuration until stopped; runs in its own thread."""

    def __init__(self, system: System, watch: Watch, seed: int) -> None:
        self.accepted: list[Accepted] = []
        self.withdrawn: list[Withdrawn] = []
        self.repaired = 0
        self._system = system
        self._watch = watch
        self._seed = seed
        self._stop = False
        self._stop_repairs = False
        self._turn = 0

    def stop(self) -> None:
        """End `run` after the change that is under way."""
        self._stop = True

    def stop_repairs(self) -> None:
        """End `repair_voters`; a lost disk may come with the last fault."""
        self._stop_repairs = True

    def run(self) -> None:
        """Withdraw and reinstate a version in turn."""
        while not self._stop:
            if self._change("withdraw") and self._wait_in_force():
                self._count_runs()
            self._change("reinstate")
            time.sleep(PAUSE_S)

    def repair_voters(self) -> None:
        """Put processes with empty disks in their old selves' places."""
        while not self._stop_repairs:
            for name in self._system.cluster.controls:
                self._repair(name)
            time.sleep(LOOK_S)

    def _change(self, kind: str) -> bool:
        """Send a change until it is accepted or the soak ends."""
        number = len(self.accepted)
        change_id = f"soak-{self._seed}-{number}-{kind}"
        while not self._stop:
            base = self._newest_revision()
            sent = Change(change_id, kind, base)
            while not self._stop:
                answer = send_change(self._next_port(), sent, VERSION)
                if answer.status == 200:
                    revision = answer.body["revision"]
                    self.accepted.append(Accepted(sent, revision, 1))
                    return True
                if answer.status in CONFLICT:
                    break
                time.sleep(PAUSE_S)
            # Somebody else's change, such as a repair, came in between.
            change_id = f"{change_id}+"
        return False

    def _newest_revision(self) -> int:
        revisions = [a.revision for a in self.accepted]
        for name in self._system.cluster.controls:
            answer = query(self._system.port(name), "/status")
            if answer.status == 200:
                revisions.append(answer.body["revision"])
        return max(revisions, default=0)

    def _next_port(self) -> int:
        self._turn += 1
        ports = self._system.ports
        return ports[self._turn % len(ports)]

    def _wait_in_force(self) -> bool:
        revision = self.accepted[-1].revision
        while not self._stop:
            path = f"/in-force?revision={revision}"
            answer = query(self._next_port(), path)
            if answer.status == 200 and answer.body["in_force"]:
                self._watch.in_force = InForce(revision, time.monotonic())
                return True
            time.sleep(PAUSE_S)
        return False

    def _count_runs(self) -> None:
        world = self._system.world
        time.sleep(ON_ITS_WAY_S)
        from_s = time.monotonic()
        before = world.runs_on_version(VERSION)
        time.sleep(LOOK_S)
        runs = world.runs_on_version(VERSION) - before
        until_s = time.monotonic()
        self.withdrawn.append(Withdrawn(VERSION, from_s, until_s, runs))

    def _repair(self, name: str) -> None:
        for port in self._system.ports:
            answer = query(port, "/status")
            if answer.status == NO_ANSWER or answer.status != 200:
                continue
            old_id = _voter_at(answer.body, self._address(name))
            new_id = _joiner(answer.body, name)
            if not new_id or not old_id:
                continue
            done = sycactl(
                self._system.folder, [port], "replace-voter", old_id, new_id
            )
            self.repaired += done.status == 0
            return

    def _address(self, name: str) -> str:
        return self._system.cluster.controls[name].peer_address


def _voter_at(status: dict[str, list[dict[str, str]]], address: str) -> str:
    for row in status["voters"]:
        if row["address"] == address:
            return row["voter_id"]
    return ""


def _joiner(status: dict[str, list[str]], name: str) -> str:
    for alarm in status.get("alarms", ()):
        if alarm.startswith(name) and "waits to replace" in alarm:
            return alarm.partition("(")[2].partition(")")[0]
    return ""


__all__ = ["Operating", "Withdrawn"]
