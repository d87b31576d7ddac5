"""Inject the faults of a schedule into running processes from outside."""

from __future__ import annotations

import heapq
import math
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
from sycamorestand_bench.system.crowds import Door
from sycamorestand_bench.system.crowds import hold_crowd
from sycamorestand_bench.system.crowds import KINDS
from sycamorestand_bench.system.endless_bytes import send_endless_request

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from sycamorestand_bench.quickstart.load import Load
    from sycamorestand_bench.soak.schedule import Schedule
    from sycamorestand_bench.soak.schedule import Step
    from sycamorestand_bench.system.fault_proxy import FaultProxy
    from sycamorestand_bench.system.system import System

POLL_INTERVAL_S: Final = 0.02
# Longer than the heartbeat interval of 0.1 s, shorter than any timeout.
LINK_DELAY_S: Final = 0.25
SEGMENTS: Final = "log-*.seg"
# The first part of a frame, as left by a write that a power loss interrupts.
TORN_BYTES: Final = b"\x00\x00\x01\x7f" + b"\x5a" * 23
# A limit on the file size of the process: every write beyond the first byte
# of a file fails, as on a full disk.
FULL_DISK_BYTES: Final = 1
# A planned stop that takes longer ends with SIGKILL and is a finding.
STOP_TIMEOUT_S: Final = 45.0
ENDING_PROMPT: Final = "a prompt under which engines end"
ENGINE_LIMIT_PER_S: Final = 3.0
ENDING_REQUEST: Final = "a request under which engines end"
# The kinds of a crowd, and how many clients there are of each.
CROWD: Final[Mapping[str, int]] = {
    "tiny requests": 3,
    "unread answers": 10,
    "named lines, no body": 300,
    "bytes as chunks": 3,
    "empty line after an answer": 30,
}
SERVER_FAULTS: Final[Mapping[str, FaultKind]] = {
    "server_error": "error",
    "server_cut": "cut",
    "server_silent": "silent",
    "server_garbage": "garbage",
    "server_refuse": "refuse",
}


class Event(NamedTuple):
    """A fault, or a start, resumption or planned end of a process.

    ``at_s`` is by `time.monotonic`.
    """

    at_s: float
    what: str
    target: str


class PlannedStop(NamedTuple):
    """A planned stop of a process, with its exit status.

    ``begun_s`` is the time of the signal, ``ended_s`` that of the end.
    """

    process: str
    begun_s: float
    ended_s: float
    status: int


class _TimedAction(NamedTuple):
    at_s: float
    number: int
    act: Callable[[], None]


class Injector:
    """Plays one schedule and records each event in ``events``.

    Signals go only to processes that the system's cluster has started.
    """

    def __init__(
        self, system: System, server_proxies: Mapping[str, FaultProxy]
    ) -> None:
        self.events: list[Event] = []
        self.stops: list[PlannedStop] = []
        self.limited_s = math.inf
        self.rested_s = math.inf
        self.leave_announced_s: dict[str, float] = {}
        self.load: Load | None = None
        self._system = system
        self._cluster = system.cluster
        self._server_proxies = server_proxies
        self._stopping: dict[str, float] = {}
        self._killed: set[str] = set()
        self._actions: list[_TimedAction] = []
        self._action_count = 0

    def play(self, schedule: Schedule, begin_s: float) -> None:
        """Play all steps and return when the last fault has ended.

        ``begin_s`` is the start of the load, by `time.monotonic`.
        """
        for step in schedule.steps:
            self._schedule_at(begin_s + step.at_s, self._make_action(step))
        while self._actions or self._stopping:
            now_s = time.monotonic()
            while self._actions and self._actions[0].at_s <= now_s:
                heapq.heappop(self._actions).act()
            self._collect_stopped(now_s)
            time.sleep(POLL_INTERVAL_S)

    def heal(self) -> None:
        """End the faults of all proxies and start processes that are down."""
        for proxy in (
            *self._system.cluster.proxies.values(),
            *self._list_server_proxies(),
        ):
            self._system.call_in_loop(proxy.heal)
        for name in self._process_names():
            if not self._cluster.is_started(name):
                self._start(name)

    def is_expected_down(self, name: str) -> bool:
        """Tell whether the injector has ended or is stopping a process."""
        return name in self._stopping or not self._cluster.is_started(name)

    def _list_server_proxies(self) -> list[FaultProxy]:
        return list(self._server_proxies.values())

    def _process_names(self) -> tuple[str, ...]:
        return (*self._cluster.controls, *self._cluster.entries)

    def _schedule_at(self, at_s: float, act: Callable[[], None]) -> None:
        self._action_count += 1
        heapq.heappush(
            self._actions, _TimedAction(at_s, self._action_count, act)
        )

    def _schedule_after(self, for_s: float, act: Callable[[], None]) -> None:
        self._schedule_at(time.monotonic() + for_s, act)

    def _make_action(self, step: Step) -> Callable[[], None]:
        def begin() -> None:
            self._record_event(step.fault, step.target)
            self._inject_fault(step)

        return begin

    def _record_event(self, what: str, target: str) -> None:
        self.events.append(Event(time.monotonic(), what, target))

    def _inject_fault(self, step: Step) -> None:
        match step.fault:
            case "kill_all":
                for name in self._group_members(step.target):
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
                self._inject_link_fault(step)
            case "isolate" | "reset" | "delay":
                self._inject_proxy_fault(step)
            case "servers_cut" | "servers_refused" | "servers_hung":
                self._cut_from_servers(step)
            case "server_leaves":
                self._announce_leave(step.target)
            case "ending_prompt":
                self._start_ending(step, ENDING_PROMPT)
                if self.load is not None:
                    self.load.ending_prompt = ENDING_PROMPT
            case "ending_request":
                self._start_ending(step, ENDING_REQUEST)
                if self.load is not None:
                    self.load.ending_request = ENDING_REQUEST
            case "late_prompt":
                self._start_ending(step, ENDING_PROMPT, step.for_s)
                if self.load is not None:
                    self.load.ending_prompt = ENDING_PROMPT
            case "late_request":
                self._start_ending(step, ENDING_REQUEST, step.for_s)
                if self.load is not None:
                    self.load.ending_request = ENDING_REQUEST
            case "power":
                for name in self._process_names():
                    fault = "wipe" if name == step.target else "kill"
                    self._kill(name, step.for_s, fault)
            case "server_rest":
                self._rest_engines(step.for_s)
            case "server_endless":
                self._answer_endlessly(step)
            case "request_endless":
                self._ask_endlessly(step)
            case "crowd":
                self._bring_crowd(step)
            case "server_limit":
                self._limit_engines(step.for_s)
            case fault:
                self._inject_server_fault(
                    step.target, SERVER_FAULTS[fault], step
                )

    def _group_members(self, group: str) -> tuple[str, ...]:
        if group == "controls":
            return tuple(self._cluster.controls)
        if group == "entries":
            return tuple(self._cluster.entries)
        return self._process_names()

    def _kill(self, name: str, for_s: float, fault: str = "kill") -> None:
        if not self._cluster.is_started(name):
            return
        self._stopping.pop(name, None)
        self._cluster.kill(name)
        if fault == "wipe":
            shutil.rmtree(self._cluster.controls[name].data_folder)
            self._cluster.controls[name].data_folder.mkdir()
        elif fault == "torn_tail":
            self._append_torn_frames(name)
        self._schedule_after(for_s, lambda: self._start(name))

    def _append_torn_frames(self, name: str) -> None:
        folder = self._cluster.controls[name].data_folder
        segments = sorted(folder.rglob(SEGMENTS))
        for group in {path.parent for path in segments}:
            newest = max(path for path in segments if path.parent == group)
            with newest.open("ab") as file:
                file.write(TORN_BYTES)

    def _start(self, name: str) -> None:
        if self._cluster.is_started(name):
            return
        self._record_event("start", name)
        if name in self._cluster.controls:
            self._system.restart_control(name)
        else:
            node = self._cluster.entries[name]
            self._cluster.start_entry(name, node.data_centre)

    def _freeze(self, name: str, for_s: float) -> None:
        # A freeze may also hit a process during its planned stop.
        if not self._cluster.is_started(name):
            return
        pid = self._cluster.pid(name)
        self._cluster.send_signal(name, SIGSTOP)

        def resume() -> None:
            if self._is_same_process(name, pid):
                self._cluster.send_signal(name, SIGCONT)
                self._record_event("thaw", name)

        self._schedule_after(for_s, resume)

    def _is_same_process(self, name: str, pid: int) -> bool:
        started = self._cluster.is_started(name)
        return started and self._cluster.pid(name) == pid

    def _stop(self, name: str, for_s: float) -> None:
        if self.is_expected_down(name):
            return
        self._stopping[name] = time.monotonic()
        self._cluster.terminate(name)

        def start_again() -> None:
            if name in self._stopping:
                self._schedule_after(POLL_INTERVAL_S, start_again)
            else:
                self._start(name)

        self._schedule_after(for_s, start_again)

    def _collect_stopped(self, now_s: float) -> None:
        for name, begun_s in list(self._stopping.items()):
            status = self._cluster.exit_status(name)
            if status is None and now_s - begun_s < STOP_TIMEOUT_S:
                continue
            del self._stopping[name]
            if status is None:
                self._cluster.kill(name)
                status = -1
            else:
                self._cluster.remove_ended(name)
            self._record_event("stopped", name)
            self.stops.append(PlannedStop(name, begun_s, now_s, status))

    def _fill_disk(self, name: str, for_s: float) -> None:
        if not self._cluster.is_started(name):
            return
        pid = self._cluster.pid(name)
        unlimited = resource.RLIM_INFINITY
        full = (FULL_DISK_BYTES, unlimited)
        resource.prlimit(pid, resource.RLIMIT_FSIZE, full)

        def lift_limit() -> None:
            if not self._is_same_process(name, pid):
                return
            no_limit = (unlimited, unlimited)
            try:
                resource.prlimit(pid, resource.RLIMIT_FSIZE, no_limit)
            except ProcessLookupError:
                # It has ended since; the monitor tells whether it may have.
                self._record_event("ended", name)

        self._schedule_after(for_s, lift_limit)

    def _inject_link_fault(self, step: Step) -> None:
        sender, _, receiver = step.target.partition(LINK_SEPARATOR)
        proxy = self._cluster.proxies[receiver]
        address = self._address(sender)
        if step.fault == "silence":
            self._system.call_in_loop(proxy.blackhole, address)
            return
        if step.fault == "cut":
            self._system.call_in_loop(proxy.cut, address)
            back = self._cluster.proxies[sender]
            self._system.call_in_loop(back.cut, self._address(receiver))
            self._schedule_after(
                step.for_s, lambda: self._system.call_in_loop(back.heal)
            )
        else:
            self._system.call_in_loop(proxy.hold, True, address)
        self._schedule_after(
            step.for_s, lambda: self._system.call_in_loop(proxy.heal)
        )

    def _address(self, name: str) -> str:
        if name in self._cluster.controls:
            return self._cluster.controls[name].peer_address
        return self._cluster.entries[name].peer_address

    def _inject_proxy_fault(self, step: Step) -> None:
        proxy = self._server_proxies.get(step.target)
        is_server = proxy is not None
        if proxy is None:
            proxy = self._cluster.proxies[step.target]
        if step.fault == "reset":
            self._system.call_in_loop(proxy.reset)
            return
        if step.fault == "delay":
            self._system.call_in_loop(proxy.delay, LINK_DELAY_S)
        else:
            self._system.call_in_loop(proxy.cut)
        faulted_proxies = [proxy]
        if step.fault == "isolate" and not is_server:
            address = self._address(step.target)
            for other in self._cluster.proxies.values():
                if other is not proxy:
                    self._system.call_in_loop(other.cut, address)
                    faulted_proxies.append(other)

        def heal() -> None:
            for faulted in faulted_proxies:
                self._system.call_in_loop(faulted.heal)

        self._schedule_after(step.for_s, heal)

    def _cut_from_servers(self, step: Step) -> None:
        """Cut one entry off from all backend servers; others reach them."""
        proxies = self._list_server_proxies()
        for proxy in proxies:
            inject = {
                "servers_cut": proxy.cut,
                "servers_refused": proxy.refuse,
                "servers_hung": proxy.hang,
            }[step.fault]
            self._system.call_in_loop(inject, step.target)

        def heal() -> None:
            for proxy in proxies:
                self._system.call_in_loop(proxy.heal)

        self._schedule_after(step.for_s, heal)

    def _answer_endlessly(self, step: Step) -> None:
        proxy = self._server_proxies[step.target]
        self._system.call_in_loop(proxy.answer_endlessly)
        self._schedule_after(
            step.for_s, lambda: self._system.call_in_loop(proxy.heal)
        )

    def _ask_endlessly(self, step: Step) -> None:
        port = self._cluster.entries[step.target].port

        def begin() -> None:
            self._system.tasks.start_soon(
                send_endless_request, "127.0.0.1", port, step.for_s
            )

        self._system.call_in_loop(begin)

    def _bring_crowd(self, step: Step) -> None:
        """Let clients of several kinds stand at one process."""
        if step.target in self._cluster.controls:
            port = self._cluster.controls[step.target].operator_port
        else:
            port = self._cluster.entries[step.target].port
        door = Door("127.0.0.1", port, "/readyz")

        def begin() -> None:
            for name, clients in CROWD.items():
                self._system.tasks.start_soon(
                    hold_crowd, KINDS[name], door, clients, step.for_s
                )

        self._system.call_in_loop(begin)

    def _start_ending(
        self, step: Step, message: str, after_s: float = 0.0
    ) -> None:
        """Let requests with this message end the engines they reach.

        They do so at once, or ``after_s`` after they came. It lasts until
        the end of the run; an engine is back after the step's duration.
        """

        def end(name: str) -> None:
            # The engine's own task ends with its connection.
            proxy = self._server_proxies[name]
            self._system.tasks.start_soon(proxy.end, step.for_s)

        world = self._system.world
        self._system.call_in_loop(world.start_ending, message, end, after_s)

    def _limit_engines(self, for_s: float) -> None:
        """Let all engines name a limit for some time."""
        world = self._system.world

        def set_limit(limit_per_s: float | None) -> None:
            for engine in world.engines:
                engine.limit_per_s = limit_per_s

        self._system.call_in_loop(set_limit, ENGINE_LIMIT_PER_S)
        self.limited_s = time.monotonic()
        self._schedule_after(
            for_s, lambda: self._system.call_in_loop(set_limit, None)
        )

    def _rest_engines(self, for_s: float) -> None:
        """Let all engines turn requests away and ask for rest."""
        world = self._system.world
        self.rested_s = time.monotonic()

        def set_rest() -> None:
            for engine in world.engines:
                engine.rests_until_s = self.rested_s + for_s

        self._system.call_in_loop(set_rest)

    def _announce_leave(self, name: str) -> None:
        self._system.call_in_loop(self._system.world.announce_leave, name)
        self.leave_announced_s[name] = time.monotonic()

    def _inject_server_fault(
        self, name: str, kind: FaultKind, step: Step
    ) -> None:
        switch = self._system.world.server(name).switch
        fault = Fault(kind, 2, pause_s=step.for_s)
        self._system.call_in_loop(setattr, switch, "fault", fault)

        def end() -> None:
            self._system.call_in_loop(setattr, switch, "fault", Fault())

        self._schedule_after(step.for_s, end)


__all__ = ["ENGINE_LIMIT_PER_S", "Event", "Injector", "PlannedStop"]
