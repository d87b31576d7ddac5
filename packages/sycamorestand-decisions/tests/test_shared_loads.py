"""Stateful test of entries and control processes that share their loads."""

from __future__ import annotations

from typing import Final

from hypothesis import settings
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.strategies import booleans
from hypothesis.strategies import integers

from sycamorestand_decisions.load_checks import REPORT_LIFETIME_S
from sycamorestand_decisions.load_sums import CONTROL_REPEAT_S
from sycamorestand_decisions.load_sums import ENTRY_REPEAT_S
from sycamorestand_decisions.load_sums import INTERVAL_S
from sycamorestand_decisions.load_sums import LoadSums
from sycamorestand_decisions.load_sums import UnsentLoads
from sycamorestand_decisions.observed_loads import ObservedLoads
from sycamorestand_model.server_loads import LoadHeader

ENTRIES: Final = 4
CONTROLS: Final = 3
SERVERS: Final = ("s-1", "s-2")
ENTRY: Final = integers(0, ENTRIES - 1)
CONTROL: Final = integers(0, CONTROLS - 1)
SERVER: Final = integers(0, len(SERVERS) - 1)
# Reports, partial sums and sums each take an interval to arrive, and a server
# that is gone from the sums another.
QUIET_INTERVALS: Final = (
    round((REPORT_LIFETIME_S + ENTRY_REPEAT_S) / INTERVAL_S) + 4
)


class Entry:
    def __init__(self, control: int, now_s: float) -> None:
        self.loads = ObservedLoads()
        self.control = control
        self.work = dict.fromkeys(SERVERS, 0)
        for server in SERVERS:
            header = LoadHeader(0, 0, 8, 1.0)
            self.loads.record_header(server, header, now_s)


class Control:
    def __init__(self) -> None:
        self.sums = LoadSums()
        self.to_entries = UnsentLoads(ENTRY_REPEAT_S)
        self.to_others = UnsentLoads(CONTROL_REPEAT_S)


class SharedWork(RuleBasedStateMachine):
    """Entries start and end requests, move, and die; control processes too.

    The network is cut in two halves and heals. In any order of these events,
    once messages have been quiet for a while, each control process reports
    the sum of all work in its half, and each entry knows the others' part.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 100.0
        self.controls = [Control() for _ in range(CONTROLS)]
        self.entries = [Entry(n % CONTROLS, 100.0) for n in range(ENTRIES)]
        self.is_cut = False

    @rule(entry=ENTRY, server=SERVER, count=integers(1, 30))
    def start(self, entry: int, server: int, count: int) -> None:
        for _ in range(count):
            loads = self.entries[entry].loads
            loads.record_start(SERVERS[server], 100, self.now_s)
        self.entries[entry].work[SERVERS[server]] += count

    @rule(entry=ENTRY, server=SERVER)
    def end_all(self, entry: int, server: int) -> None:
        work = self.entries[entry].work
        for _ in range(work[SERVERS[server]]):
            loads = self.entries[entry].loads
            loads.record_end(SERVERS[server], 100, self.now_s)
        work[SERVERS[server]] = 0

    @rule(entry=ENTRY, control=CONTROL)
    def move(self, entry: int, control: int) -> None:
        self.entries[entry].control = control

    @rule(entry=ENTRY)
    def entry_dies(self, entry: int) -> None:
        """Its callers' requests end; it starts again with nothing."""
        control = self.entries[entry].control
        self.entries[entry] = Entry(control, self.now_s)

    @rule(control=CONTROL)
    def control_dies(self, control: int) -> None:
        self.controls[control] = Control()

    @rule(is_cut=booleans())
    def cut(self, is_cut: bool) -> None:
        """Cut the first control process and its entries off, or heal."""
        self.is_cut = is_cut

    @rule(count=integers(1, 4))
    def exchange(self, count: int) -> None:
        for _ in range(count):
            self.now_s += INTERVAL_S
            for number, entry in enumerate(self.entries):
                sums = self.controls[entry.control].sums
                news = entry.loads.take_report(self.now_s)
                sums.record_entry(f"e{number}", news, self.now_s)
            for number in range(CONTROLS):
                self.send(number)

    def send(self, number: int) -> None:
        control = self.controls[number]
        partial, total = control.sums.sums(SERVERS, self.now_s)
        for loads in control.to_others.take(partial, self.now_s):
            for other in range(CONTROLS):
                if other != number and self.half(other) == self.half(number):
                    self.controls[other].sums.record_partial(
                        f"c{number}", loads, self.now_s
                    )
        for loads in control.to_entries.take(total, self.now_s):
            for entry in self.entries:
                if entry.control == number:
                    entry.loads.record_shared(loads, self.now_s)

    def half(self, control: int) -> bool:
        return self.is_cut and control == 0

    @rule()
    def is_right_once_quiet(self) -> None:
        self.exchange(QUIET_INTERVALS)
        for number, control in enumerate(self.controls):
            members = [
                entry
                for entry in self.entries
                if self.half(entry.control) == self.half(number)
            ]
            total = control.sums.sums(SERVERS, self.now_s).total
            for server in SERVERS:
                work = sum(entry.work[server] for entry in members)
                load = total.get(server)
                assert (load.requests if load else 0) == work
                assert (load.tokens if load else 0) == 100 * work
                for entry in members:
                    seen = entry.loads.observed(server, self.now_s)
                    assert seen.own_requests == entry.work[server]
                    assert seen.others_requests == work - seen.own_requests


TestSharedWork = SharedWork.TestCase
TestSharedWork.settings = settings(
    max_examples=60, stateful_step_count=25, deadline=None
)
