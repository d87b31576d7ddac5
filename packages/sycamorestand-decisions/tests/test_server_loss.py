"""When silent servers are checked, and which of them count as lost."""

from __future__ import annotations

from collections.abc import Callable
from itertools import pairwise
import math
from typing import Final
from typing import NamedTuple

import pytest

from sycamorestand_decisions.server_loss import LOST_AFTER_DIALS
from sycamorestand_decisions.server_loss import MAX_INTERVAL_S
from sycamorestand_decisions.server_loss import ServerLoss
from sycamorestand_decisions.server_loss import SILENCE_S

ADDRESS: Final = "10.0.0.1:80"
OTHER: Final = "10.0.0.2:80"
NOBODY_WAITS: Final = math.inf
STEP_S: Final = 0.1
DIAL_TIMEOUT_S: Final = 1.0
LOAD_S: Final = 20.0


class CheckCase(NamedTuple):
    """The state of one server, and whether a check of it is due.

    ``checked_s`` and ``lost_s`` are the times of a check that reached the
    server and of one that did not; None stands for no such check.
    """

    name: str
    is_due: bool
    silent_since_s: float
    now_s: float = 10.0
    checked_s: float | None = None
    lost_s: float | None = None
    has_timed_out: bool = False


CHECK_CASES: Final = (
    CheckCase("silent while a request waits", True, 9.5),
    CheckCase("silent for a shorter time", False, 9.6),
    CheckCase("silent and no request waits", False, NOBODY_WAITS),
    CheckCase("silent and reached just before", False, 5.0, checked_s=9.6),
    CheckCase("silent and reached earlier", True, 5.0, checked_s=9.5),
    CheckCase("sent bytes since it was reached", False, 9.8, checked_s=9.0),
    CheckCase("dial timed out", True, NOBODY_WAITS, has_timed_out=True),
    CheckCase("dial timed out, sends bytes", True, 10.0, has_timed_out=True),
    CheckCase(
        "dial timed out, reached just before",
        True,
        NOBODY_WAITS,
        checked_s=9.9,
        has_timed_out=True,
    ),
    CheckCase("lost and no request waits", True, NOBODY_WAITS, lost_s=9.5),
    CheckCase("lost and dialled just before", False, 5.0, lost_s=9.6),
    CheckCase(
        "lost, dialled just before, dial timed out",
        False,
        5.0,
        lost_s=9.6,
        has_timed_out=True,
    ),
)


class TestCheckDue:
    @pytest.mark.parametrize("case", CHECK_CASES, ids=lambda case: case.name)
    def test_check_is_due_as_in_the_table(self, case: CheckCase) -> None:
        loss = ServerLoss()
        if case.checked_s is not None:
            loss.record_check(ADDRESS, reached=True, now_s=case.checked_s)
        if case.lost_s is not None:
            loss.record_check(ADDRESS, reached=False, now_s=case.lost_s)
        if case.has_timed_out:
            loss.record_timed_out_dial(ADDRESS)
        is_due = loss.is_check_due(ADDRESS, case.silent_since_s, case.now_s)
        assert is_due is case.is_due

    def test_state_of_one_server_makes_no_other_check_due(self) -> None:
        """A lost server would make all servers of the entry be dialled."""
        loss = ServerLoss()
        loss.record_check(ADDRESS, reached=False, now_s=1.0)
        loss.record_timed_out_dial(ADDRESS)
        assert not loss.is_check_due(OTHER, NOBODY_WAITS, 100.0)
        assert not loss.is_lost(OTHER)
        assert loss.dials_needed(OTHER) == LOST_AFTER_DIALS


class TestDialsNeeded:
    def test_silent_server_needs_all_dials(self) -> None:
        """A single lost packet would make a slow server count as lost."""
        assert ServerLoss().dials_needed(ADDRESS) == LOST_AFTER_DIALS
        assert LOST_AFTER_DIALS > 1

    def test_timed_out_dial_of_a_request_counts_once(self) -> None:
        """With a count of each, a burst of requests would need no check."""
        loss = ServerLoss()
        for _ in range(5):
            loss.record_timed_out_dial(ADDRESS)
        assert loss.dials_needed(ADDRESS) == LOST_AFTER_DIALS - 1

    def test_lost_server_needs_one(self) -> None:
        loss = ServerLoss()
        loss.record_check(ADDRESS, reached=False, now_s=1.0)
        assert loss.dials_needed(ADDRESS) == 1
        loss.record_timed_out_dial(ADDRESS)
        assert loss.dials_needed(ADDRESS) == 1

    def test_check_that_reaches_the_server_cancels_a_timed_out_dial(
        self,
    ) -> None:
        """Two lost packets hours apart would make a server count as lost."""
        loss = ServerLoss()
        loss.record_timed_out_dial(ADDRESS)
        loss.record_check(ADDRESS, reached=True, now_s=1.0)
        assert loss.dials_needed(ADDRESS) == LOST_AFTER_DIALS
        assert not loss.suspected


class TestLoss:
    def test_timed_out_dial_alone_is_no_loss(self) -> None:
        """A server with a full accept queue would lose all its requests."""
        loss = ServerLoss()
        loss.record_timed_out_dial(ADDRESS)
        assert not loss.is_lost(ADDRESS)
        assert loss.lost == frozenset()
        assert loss.suspected == {ADDRESS}

    def test_only_the_first_check_reports_the_loss(self) -> None:
        """Each later check would log the loss again."""
        loss = ServerLoss()
        assert loss.record_check(ADDRESS, reached=False, now_s=1.0)
        assert not loss.record_check(ADDRESS, reached=False, now_s=2.0)
        assert loss.lost == loss.suspected == {ADDRESS}

    def test_reached_server_is_back(self) -> None:
        loss = ServerLoss()
        loss.record_check(ADDRESS, reached=False, now_s=1.0)
        assert not loss.record_check(ADDRESS, reached=True, now_s=2.0)
        assert not loss.is_lost(ADDRESS)
        assert not loss.suspected
        assert loss.dials_needed(ADDRESS) == LOST_AFTER_DIALS
        assert not loss.is_check_due(ADDRESS, NOBODY_WAITS, 100.0)

    def test_second_loss_is_reported_again(self) -> None:
        loss = ServerLoss()
        loss.record_check(ADDRESS, reached=False, now_s=1.0)
        loss.record_check(ADDRESS, reached=True, now_s=2.0)
        assert loss.record_check(ADDRESS, reached=False, now_s=3.0)
        assert loss.is_lost(ADDRESS)

    def test_results_do_not_change_with_the_state(self) -> None:
        """A caller that keeps the set of lost servers would see it change."""
        loss = ServerLoss()
        before = loss.lost, loss.suspected
        loss.record_check(ADDRESS, reached=False, now_s=1.0)
        assert before == (frozenset(), frozenset())


class TestForgetUnused:
    def test_state_of_unused_addresses_is_dropped(self) -> None:
        """A removed server would be dialled for as long as the entry runs."""
        loss = ServerLoss()
        for address in (ADDRESS, OTHER):
            loss.record_check(address, reached=False, now_s=1.0)
            loss.record_timed_out_dial(address)
        loss.forget_unused({OTHER})
        assert loss.lost == loss.suspected == {OTHER}
        assert loss.dials_needed(ADDRESS) == LOST_AFTER_DIALS
        assert not loss.is_check_due(ADDRESS, NOBODY_WAITS, 100.0)

    def test_timed_out_dial_of_an_unused_address_is_dropped(self) -> None:
        """A new server with the address would be suspected at its start."""
        loss = ServerLoss()
        loss.record_timed_out_dial(ADDRESS)
        loss.forget_unused(set())
        assert not loss.suspected

    def test_time_of_the_last_check_is_dropped(self) -> None:
        """A silent new server with the address would be checked too late."""
        loss = ServerLoss()
        loss.record_check(ADDRESS, reached=True, now_s=10.0)
        assert not loss.is_check_due(ADDRESS, 9.5, 10.1)
        loss.forget_unused(set())
        assert loss.is_check_due(ADDRESS, 9.5, 10.1)

    def test_time_of_the_last_check_of_a_used_address_is_kept(self) -> None:
        """A silent server would be dialled at each poll."""
        loss = ServerLoss()
        loss.record_check(ADDRESS, reached=True, now_s=10.0)
        loss.forget_unused({ADDRESS})
        assert not loss.is_check_due(ADDRESS, 9.5, 10.1)


class TestHasRecords:
    @pytest.mark.parametrize(
        "record",
        [
            lambda loss: loss.record_timed_out_dial(ADDRESS),
            lambda loss: loss.record_refused_dial(ADDRESS),
            lambda loss: loss.record_check(ADDRESS, True, 1.0),
            lambda loss: loss.record_check(ADDRESS, False, 1.0),
        ],
    )
    def test_all_that_is_recorded_counts(
        self, record: Callable[[ServerLoss], None]
    ) -> None:
        """The records of servers that have left would never be dropped."""
        loss = ServerLoss()
        assert not loss.has_records
        record(loss)
        assert loss.has_records
        loss.forget_unused(set())
        assert not loss.has_records


class SimulatedServer:
    """A server that is silent or not, and accepts dials or not."""

    def __init__(
        self,
        accepts: bool = True,
        is_silent: bool = True,
        has_request: bool = True,
    ) -> None:
        self.accepts = accepts
        self.is_silent = is_silent
        self.has_request = has_request
        self.dials_s: list[float] = []
        self.checks = 0
        self.lost_s: list[float] = []
        self.back_s: list[float] = []
        self.busy_until_s = -math.inf
        self.last_byte_s = -math.inf

    def silent_since_s(self) -> float:
        """Return the time that a check of it is measured from."""
        return max(self.last_byte_s, 0.0 if self.has_request else math.inf)


class Simulation:
    """Checks of several servers in steps of `STEP_S`, without I/O.

    A dial that is not accepted takes `DIAL_TIMEOUT_S`.
    """

    def __init__(self, servers: dict[str, SimulatedServer]) -> None:
        self.servers = servers
        self.loss = ServerLoss()
        self._step = 0

    @property
    def now_s(self) -> float:
        """The time since the begin."""
        return round(self._step * STEP_S, 6)

    def run(self, duration_s: float) -> None:
        """Play all steps of this time."""
        for _ in range(round(duration_s / STEP_S)):
            self._step += 1
            self.loss.forget_unused(set(self.servers))
            for address, server in self.servers.items():
                self._play(address, server)

    def _play(self, address: str, server: SimulatedServer) -> None:
        if not server.is_silent:
            server.last_byte_s = self.now_s
        if self.now_s < server.busy_until_s:
            return
        if server.busy_until_s > -math.inf:
            server.busy_until_s = -math.inf
            self._record(address, server, reached=False)
            return
        since_s = server.silent_since_s()
        if not self.loss.is_check_due(address, since_s, self.now_s):
            return
        server.checks += 1
        if server.accepts:
            server.dials_s.append(self.now_s)
            self._record(address, server, reached=True)
            return
        for number in range(self.loss.dials_needed(address)):
            server.dials_s.append(self.now_s + number * DIAL_TIMEOUT_S)
        server.busy_until_s = server.dials_s[-1] + DIAL_TIMEOUT_S - STEP_S / 2

    def _record(
        self, address: str, server: SimulatedServer, reached: bool
    ) -> None:
        was_lost = self.loss.is_lost(address)
        since_s = server.silent_since_s()
        if self.loss.record_check(address, reached, self.now_s, since_s):
            server.lost_s.append(self.now_s)
        if was_lost and reached:
            server.back_s.append(self.now_s)


class TestLoad:
    def test_only_the_server_without_power_is_lost(self) -> None:
        """A server that reads a long prompt would lose its requests."""
        simulation = Simulation(
            {
                "no-power": SimulatedServer(accepts=False),
                "prefill": SimulatedServer(),
                "flowing": SimulatedServer(is_silent=False),
                "unused": SimulatedServer(has_request=False),
                "unused-no-power": SimulatedServer(
                    accepts=False, has_request=False
                ),
            }
        )
        simulation.run(LOAD_S)
        servers = simulation.servers
        no_power = servers["no-power"]
        assert simulation.loss.lost == {"no-power"}
        found_s = SILENCE_S + LOST_AFTER_DIALS * DIAL_TIMEOUT_S
        assert found_s - STEP_S <= no_power.lost_s[0] <= found_s + 2 * STEP_S
        assert len(no_power.lost_s) == 1
        assert not any(
            server.lost_s
            for name, server in servers.items()
            if name != "no-power"
        )

    def test_each_server_is_dialled_no_oftener_than_needed(self) -> None:
        """Dials of all entries would fill the accept queue of a server."""
        no_power = SimulatedServer(accepts=False)
        prefill = SimulatedServer()
        flowing = SimulatedServer(is_silent=False)
        unused = SimulatedServer(has_request=False)
        simulation = Simulation(
            {"a": no_power, "b": prefill, "c": flowing, "d": unused}
        )
        simulation.run(LOAD_S)
        assert (len(flowing.dials_s), len(unused.dials_s)) == (0, 0)
        interval_s = SILENCE_S
        for earlier_s, later_s in pairwise(prefill.dials_s):
            late_s = later_s - earlier_s - interval_s
            assert -STEP_S / 2 <= late_s <= 2 * STEP_S
            interval_s = min(2 * interval_s, MAX_INTERVAL_S)
        assert prefill.dials_s[-1] >= LOAD_S - MAX_INTERVAL_S - 2 * STEP_S
        after_s = LOAD_S - no_power.lost_s[0]
        period_s = SILENCE_S + DIAL_TIMEOUT_S
        later = len(no_power.dials_s) - LOST_AFTER_DIALS
        assert least(after_s, period_s) <= later <= after_s / period_s + 1
        assert len(no_power.dials_s) == no_power.checks + 1

    def test_server_is_back_at_the_first_dial_that_it_accepts(self) -> None:
        """A server that has power again would get no work for long."""
        server = SimulatedServer(accepts=False)
        simulation = Simulation({"a": server, "b": SimulatedServer()})
        simulation.run(LOAD_S)
        server.accepts = True
        begin_s = simulation.now_s
        simulation.run(LOAD_S)
        limit_s = SILENCE_S + DIAL_TIMEOUT_S + 2 * STEP_S
        assert len(server.back_s) == 1
        assert begin_s < server.back_s[0] <= begin_s + limit_s
        assert not simulation.loss.suspected

    def test_timed_out_dial_shortens_the_check_by_one_dial(self) -> None:
        """A request and the check would both wait for the first timeout."""
        server = SimulatedServer(accepts=False, has_request=False)
        simulation = Simulation({"a": server})
        simulation.run(1.0)
        simulation.loss.record_timed_out_dial("a")
        simulation.run(5.0)
        found_s = 1.0 + (LOST_AFTER_DIALS - 1) * DIAL_TIMEOUT_S
        assert found_s <= server.lost_s[0] <= found_s + 2 * STEP_S

    def test_server_that_flows_again_is_checked_no_more(self) -> None:
        """A server would be dialled without need after each long prompt."""
        server = SimulatedServer()
        simulation = Simulation({"a": server})
        simulation.run(5.0)
        assert server.dials_s
        server.is_silent = False
        dials = len(server.dials_s)
        simulation.run(5.0)
        assert len(server.dials_s) == dials


def least(duration_s: float, period_s: float) -> int:
    """Return the least number of events, each up to two steps late."""
    return int(duration_s / (period_s + 2 * STEP_S))


class TestRefusedDial:
    def test_server_is_unreachable_but_not_lost(self) -> None:
        """What runs there goes on; only new requests cannot be sent."""
        loss = ServerLoss()
        loss.record_refused_dial("a")
        assert loss.is_unreachable("a")
        assert not loss.is_lost("a")

    def test_it_is_checked_until_it_accepts(self) -> None:
        """No request dials a server while all servers are unreachable."""
        loss = ServerLoss()
        loss.record_refused_dial("a")
        assert loss.is_check_due("a", math.inf, 10.0)
        loss.record_check("a", True, 10.0)
        assert loss.is_unreachable("a")
        assert not loss.is_check_due("a", math.inf, 10.4)
        assert loss.is_check_due("a", math.inf, 10.6)
        loss.record_accepted_dial("a")
        assert not loss.has_unreachable

    def test_it_is_forgotten_with_its_server(self) -> None:
        loss = ServerLoss()
        loss.record_refused_dial("a")
        loss.forget_unused(set())
        assert not loss.has_unreachable
