"""Change the configuration and replace lost voters during a soak.

The operator resends a change with the same id to one control process after
the other until it is accepted. The system must keep every change that it
has acknowledged.
"""

from __future__ import annotations

import time
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

from sycamorestand_bench.quickstart.world import DATA_CENTRES
from sycamorestand_bench.soak.monitor import InForce
from sycamorestand_bench.system.changes import Accepted
from sycamorestand_bench.system.changes import Change
from sycamorestand_bench.system.changes import send_change
from sycamorestand_bench.system.operators import NO_ANSWER
from sycamorestand_bench.system.operators import query
from sycamorestand_bench.system.operators import sycactl

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorestand_bench.soak.monitor import Monitor
    from sycamorestand_bench.system.system import System

PAUSE_S: Final = 0.1
# A request that was sent to a server before the change was in force may
# arrive this much later at most, over a delayed link.
IN_FLIGHT_S: Final = 0.6
OBSERVATION_S: Final = 1.0
# Most chats run on this version. While it is withdrawn, its fallback has to
# replace it.
VERSION: Final = "nest-small@3"
DATA_CENTRE: Final = DATA_CENTRES[-1]
CONFLICT_STATUSES: Final = (409, 412)


class ClosedPeriod(NamedTuple):
    """A period in which a version or data centre was to get nothing.

    ``runs`` is how many began there nevertheless.
    """

    subject: str
    from_s: float
    until_s: float
    runs: int


class SoakOperator:
    """Changes the configuration until stopped.

    `run` and `replace_lost_voters` each need a separate thread.
    """

    def __init__(self, system: System, monitor: Monitor, seed: int) -> None:
        self.accepted: list[Accepted] = []
        self.withdrawn: list[ClosedPeriod] = []
        self.drained: list[ClosedPeriod] = []
        self.replaced_voters = 0
        self._system = system
        self._monitor = monitor
        self._seed = seed
        self._stop = False
        self._stop_replacing = False
        self._port_index = 0

    def stop(self) -> None:
        """End `run`; a change that is not accepted yet is given up."""
        self._stop = True

    def stop_replacing(self) -> None:
        """End `replace_lost_voters`.

        Call it later than `stop`: if the last fault wipes a disk, the lost
        voter must still be replaced.
        """
        self._stop_replacing = True

    def run(self) -> None:
        """Close a version and a data centre in turn, and count their runs."""
        world = self._system.world
        while not self._stop:
            if self._change("withdraw", VERSION) and self._wait_in_force():
                self.withdrawn.append(
                    self._observe(VERSION, world.runs_on_version)
                )
            self._change("reinstate", VERSION)
            time.sleep(PAUSE_S)
            if self._change("drain-data-centre", DATA_CENTRE) and (
                self._wait_in_force()
            ):
                self.drained.append(
                    self._observe(DATA_CENTRE, world.runs_in_data_centre)
                )
            self._change("undrain-data-centre", DATA_CENTRE)
            time.sleep(PAUSE_S)

    def replace_lost_voters(self) -> None:
        """Replace voters whose process has restarted with an empty disk."""
        while not self._stop_replacing:
            for name in self._system.cluster.controls:
                self._replace_voter(name)
            time.sleep(OBSERVATION_S)

    def _change(self, kind: str, subject: str) -> bool:
        """Send a change until it is accepted; return False after `stop`."""
        number = len(self.accepted)
        change_id = f"soak-{self._seed}-{number}-{kind}"
        while not self._stop:
            base = self._newest_revision()
            sent = Change(change_id, kind, base)
            while not self._stop:
                answer = send_change(self._next_port(), sent, subject)
                if answer.status == 200:
                    revision = answer.body["revision"]
                    self.accepted.append(Accepted(sent, revision, 1))
                    return True
                if answer.status in CONFLICT_STATUSES:
                    break
                time.sleep(PAUSE_S)
            # Another change, such as a voter's replacement, came first. The
            # next attempt needs a new id and a new base revision.
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
        self._port_index += 1
        ports = self._system.ports
        return ports[self._port_index % len(ports)]

    def _wait_in_force(self) -> bool:
        revision = self.accepted[-1].revision
        while not self._stop:
            path = f"/in-force?revision={revision}"
            answer = query(self._next_port(), path)
            if answer.status == 200 and answer.body["in_force"]:
                self._monitor.in_force = InForce(revision, time.monotonic())
                return True
            time.sleep(PAUSE_S)
        return False

    def _observe(
        self, subject: str, count: Callable[[str], int]
    ) -> ClosedPeriod:
        time.sleep(IN_FLIGHT_S)
        from_s = time.monotonic()
        before = count(subject)
        time.sleep(OBSERVATION_S)
        runs = count(subject) - before
        return ClosedPeriod(subject, from_s, time.monotonic(), runs)

    def _replace_voter(self, name: str) -> None:
        for port in self._system.ports:
            answer = query(port, "/status")
            if answer.status == NO_ANSWER or answer.status != 200:
                continue
            old_id = _voter_at(answer.body, self._address(name))
            new_id = _replacement_id(answer.body, name)
            if not new_id or not old_id:
                continue
            completed = sycactl(
                self._system.folder, [port], "replace-voter", old_id, new_id
            )
            self.replaced_voters += completed.status == 0
            return

    def _address(self, name: str) -> str:
        return self._system.cluster.controls[name].peer_address


def _voter_at(status: dict[str, list[dict[str, str]]], address: str) -> str:
    for row in status["voters"]:
        if row["address"] == address:
            return row["voter_id"]
    return ""


def _replacement_id(status: dict[str, list[str]], name: str) -> str:
    for alarm in status.get("alarms", ()):
        if alarm.startswith(name) and "waits to replace" in alarm:
            return alarm.partition("(")[2].partition(")")[0]
    return ""


__all__ = ["ClosedPeriod", "SoakOperator"]
