"""Applies a schedule to running processes, from outside of them."""

from __future__ import annotations

import heapq
import resource
import shutil
from signal import SIGCONT
from signal import SIGSTOP
import time
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

from sycamorestand_bench.fakes.faults import Fault
from sycamorestand_bench.fakes.faults import FaultKind
from sycamorestand_bench.soak.schedule import LINK_SEPARATOR

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from sycamorestand_bench.soak.schedule import Schedule
    from sycamorestand_bench.soak.schedule import Step
    from sycamorestand_bench.system.fault_proxy import FaultProxy
    from sycamorestand_bench.system.system import System

TICK_S: Final = 0.02
# Long against the heartbeat of 0.1 s, short against the time limits.
DELAY_S: Final = 0.25
SEGMENTS: Final = "log-*.seg"
# Half of a frame, as a write leaves it that the loss of power cut off.
TORN_BYTES: Final = b"\x00\x00\x01\x7f" + b"\x5a" * 23
# Any write beyond the first byte of a file fails, as on a full disk.
FULL_DISK_BYTES: Final = 1
# A planned stop that takes longer is a finding.
STOP_BOUND_S: Final = 45.0
SERVER_FAULTS: Final[Mapping[str, FaultKind]] = {
    "server_error": "error",
    "server_cut": "cut",
    "server_silent": "silent",
    "server_garbage": "garbage",
    "server_refuse": "refuse",
}


class Event(NamedTuple):
    """Something that was done, by the clock of the soak."""

    at_s: float
    what: str
    target: str


class PlannedStop(NamedTuple):
    """A planned stop from its signal to its end, and the exit status."""

    process: str
    begun_s: float
    ended_s: float
    status: int


class _Due(NamedTuple):
    at_s: float
    number: int
    act: Callable[[], None]


class Injector:
    """Plays one schedule; ``events`` tells what was done and when.

    Signals go only to processes that the system's cluster started.
    """

    def __init__(
        self, system: System, server_gates: Mapping[str, FaultProxy]
    ) -> None:
        self.events: list[Event] = []
        self.stops: list[PlannedStop] = []
        self.left_s: dict[str, float] = {}
        self._system = system
        self._cluster = system.cluster
        self._server_gates = server_gates
        self._stopping: dict[str, float] = {}
        self._killed: set[str] = set()
        self._due: list[_Due] = []
        self._number = 0

    def play(self, schedule: Schedule, begin_s: float) -> None:
        """Play all steps and return when the last one has ended."""
        for step in schedule.steps:
            self._at(begin_s + step.at_s, self._begin(step))
        while self._due or self._stopping:
            now_s = time.monotonic()
            while self._due and self._due[0].at_s <= now_s:
                heapq.heappop(self._due).act()
            self._end_stops(now_s)
            time.sleep(TICK_S)

    def heal(self) -> None:
        """End whatever is still harmed and start what is not running."""
        for gate in (*self._system.cluster.proxies.values(), *self._gates()):
            self._system.call_in_loop(gate.heal)
        for name in self._processes():
            if not self._cluster.is_started(name):
                self._start(name)

    def is_expected_down(self, name: str) -> bool:
        """Tell whether the end of a process was caused from here."""
        return name in self._stopping or not self._cluster.is_started(name)

    def _gates(self) -> list[FaultProxy]:
        return list(self._server_gates.values())

    def _processes(self) -> tuple[str, ...]:
        return (*self._cluster.controls, *self._cluster.entries)

    def _at(self, at_s: float, act: Callable[[], None]) -> None:
        self._number += 1
        heapq.heappush(self._due, _Due(at_s, self._number, act))

    def _after(self, for_s: float, act: Callable[[], None]) -> None:
        self._at(time.monotonic() + for_s, act)

    def _begin(self, step: Step) -> Callable[[], None]:
        def begin() -> None:
            self._say(step.fault, step.target)
            self._apply(step)

        return begin

    def _say(self, what: str, target: str) -> None:
        self.events.append(Event(time.monotonic(), what, target))

    def _apply(self, step: Step) -> None:
        match step.fault:
            case "kill_all":
                for name in self._group(step.target):
                    self._kill(name, step.for_s)
            case "kill" | "wipe" | "torn_tail":
                self._kill(step.target, step.for_s, step.fault)
            case "freeze":
                self._freeze(step.target, step.for_s)
            case "stop":
                self._stop(step.target, step.for_s)
            case "disk_full":
                self._fill_disk(step.target, step.for_s)
            case "cut" | "one_way" | "silence":
                self._harm_link(step)
            case "isolate" | "reset" | "delay":
                self._harm_gate(step)
            case "server_leaves":
                self._leave(step.target)
            case fault:
                self._harm_server(step.target, SERVER_FAULTS[fault], step)

    def _group(self, group: str) -> tuple[str, ...]:
        if group == "controls":
            return tuple(self._cluster.controls)
        if group == "entries":
            return tuple(self._cluster.entries)
        return self._processes()

    def _kill(self, name: str, for_s: float, how: str = "kill") -> None:
        if not self._cluster.is_started(name):
            return
        self._stopping.pop(name, None)
        self._cluster.kill(name)
        if how == "wipe":
            shutil.rmtree(self._cluster.controls[name].data_folder)
            self._cluster.controls[name].data_folder.mkdir()
        elif how == "torn_tail":
            self._tear(name)
        self._after(for_s, lambda: self._start(name))

    def _tear(self, name: str) -> None:
        folder = self._cluster.controls[name].data_folder
        segments = sorted(folder.rglob(SEGMENTS))
        for group in {path.parent for path in segments}:
            newest = max(path for path in segments if path.parent == group)
            with newest.open("ab") as file:
                file.write(TORN_BYTES)

    def _start(self, name: str) -> None:
        if self._cluster.is_started(name):
            return
        self._say("start", name)
        if name in self._cluster.controls:
            self._system.restart_control(name)
        else:
            node = self._cluster.entries[name]
            self._cluster.start_entry(name, node.data_centre)

    def _freeze(self, name: str, for_s: float) -> None:
        # Also in the middle of a planned stop.
        if not self._cluster.is_started(name):
            return
        pid = self._cluster.pid(name)
        self._cluster.send_signal(name, SIGSTOP)

        def thaw() -> None:
            if self._runs_as(name, pid):
                self._cluster.send_signal(name, SIGCONT)
                self._say("thaw", name)

        self._after(for_s, thaw)

    def _runs_as(self, name: str, pid: int) -> bool:
        started = self._cluster.is_started(name)
        return started and self._cluster.pid(name) == pid

    def _stop(self, name: str, for_s: float) -> None:
        if self.is_expected_down(name):
            return
        self._stopping[name] = time.monotonic()
        self._cluster.terminate(name)

        def start_again() -> None:
            if name in self._stopping:
                self._after(TICK_S, start_again)
            else:
                self._start(name)

        self._after(for_s, start_again)

    def _end_stops(self, now_s: float) -> None:
        for name, begun_s in list(self._stopping.items()):
            status = self._cluster.exit_status(name)
            if status is None and now_s - begun_s < STOP_BOUND_S:
                continue
            del self._stopping[name]
            if status is None:
                self._cluster.kill(name)
                status = -1
            else:
                self._cluster.forget(name)
            self._say("stopped", name)
            self.stops.append(PlannedStop(name, begun_s, now_s, status))

    def _fill_disk(self, name: str, for_s: float) -> None:
        if not self._cluster.is_started(name):
            return
        pid = self._cluster.pid(name)
        unlimited = resource.RLIM_INFINITY
        full = (FULL_DISK_BYTES, unlimited)
        resource.prlimit(pid, resource.RLIMIT_FSIZE, full)

        def free() -> None:
            if self._runs_as(name, pid):
                room = (unlimited, unlimited)
                resource.prlimit(pid, resource.RLIMIT_FSIZE, room)

        self._after(for_s, free)

    def _harm_link(self, step: Step) -> None:
        sender, _, receiver = step.target.partition(LINK_SEPARATOR)
        gate = self._cluster.proxies[receiver]
        address = self._address(sender)
        if step.fault == "silence":
            self._system.call_in_loop(gate.blackhole, address)
            return
        if step.fault == "cut":
            self._system.call_in_loop(gate.cut, address)
            back = self._cluster.proxies[sender]
            self._system.call_in_loop(back.cut, self._address(receiver))
            self._after(
                step.for_s, lambda: self._system.call_in_loop(back.heal)
            )
        else:
            self._system.call_in_loop(gate.hold, True, address)
        self._after(step.for_s, lambda: self._system.call_in_loop(gate.heal))

    def _address(self, name: str) -> str:
        if name in self._cluster.controls:
            return self._cluster.controls[name].peer_address
        return self._cluster.entries[name].peer_address

    def _harm_gate(self, step: Step) -> None:
        gate = self._server_gates.get(step.target)
        is_server = gate is not None
        if gate is None:
            gate = self._cluster.proxies[step.target]
        if step.fault == "reset":
            self._system.call_in_loop(gate.reset)
            return
        if step.fault == "delay":
            self._system.call_in_loop(gate.delay, DELAY_S)
        else:
            self._system.call_in_loop(gate.cut)
        harmed = [gate]
        if step.fault == "isolate" and not is_server:
            address = self._address(step.target)
            for other in self._cluster.proxies.values():
                if other is not gate:
                    self._system.call_in_loop(other.cut, address)
                    harmed.append(other)

        def heal() -> None:
            for one in harmed:
                self._system.call_in_loop(one.heal)

        self._after(step.for_s, heal)

    def _leave(self, name: str) -> None:
        self._system.call_in_loop(self._system.world.leave, name)
        self.left_s[name] = time.monotonic()

    def _harm_server(self, name: str, kind: FaultKind, step: Step) -> None:
        switch = self._system.world.server(name).switch
        fault = Fault(kind, 2, pause_s=step.for_s)
        self._system.call_in_loop(setattr, switch, "fault", fault)

        def end() -> None:
            self._system.call_in_loop(setattr, switch, "fault", Fault())

        self._after(step.for_s, end)


__all__ = ["Event", "Injector", "PlannedStop"]
