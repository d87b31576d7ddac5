"""The directory of control processes, with a clock of its own."""

from __future__ import annotations

from sycamorestand_control.control_directory import ControlDirectory
from sycamorestand_control.control_directory import ControlReport
from sycamorestand_control.control_directory import FORGET_AFTER_S
from sycamorestand_control.control_directory import HEARD_WITHIN_S
from sycamorestand_control.control_directory import MAX_CONTROLS
from sycamorestand_control.control_directory import PASSED_ON_WITHIN_S
from sycamorestand_control.control_directory import RECALLED_S
from sycamorestand_control.control_directory import TOLD_WITHIN_S

OWN = "10.0.0.1:1"
NAMED = "10.0.0.2:1"
HEARD = "10.0.0.3:1"
TOLD = "10.0.0.4:1"
REPORT = ControlReport("vm", "dalton")
SERVES = REPORT._replace(serves=True, in_cluster=True)


class Clock:
    """A clock that the test sets."""

    def __init__(self) -> None:
        self.at_s = 100.0

    def now_s(self) -> float:
        return self.at_s


def make_directory(clock: Clock) -> ControlDirectory:
    return ControlDirectory(OWN, (NAMED, OWN), clock.now_s)


class TestAddresses:
    def test_named_heard_and_told_are_listed(self) -> None:
        """A process asked only those in its settings, which may be gone."""
        directory = make_directory(Clock())
        directory.record(HEARD, REPORT._replace(known=(TOLD, OWN)))
        assert directory.addresses() == (NAMED, HEARD, TOLD)

    def test_told_address_is_forgotten_once_nobody_tells_of_it(self) -> None:
        """Two processes could keep a VM that is gone alive for ever."""
        clock = Clock()
        directory = make_directory(clock)
        directory.record(HEARD, REPORT._replace(known=(TOLD,)))
        assert TOLD not in directory.heard_lately()
        clock.at_s += TOLD_WITHIN_S
        directory.record(HEARD, REPORT)
        assert directory.addresses() == (NAMED, HEARD)

    def test_heard_address_is_forgotten_later_than_not_passed_on(
        self,
    ) -> None:
        clock = Clock()
        directory = make_directory(clock)
        directory.record(HEARD, REPORT)
        assert directory.heard_lately() == (HEARD,)
        clock.at_s += PASSED_ON_WITHIN_S
        assert directory.heard_lately() == ()
        assert HEARD in directory.addresses()
        clock.at_s += FORGET_AFTER_S
        directory.record(TOLD, REPORT)
        assert HEARD not in directory.addresses()
        assert directory.report_of(HEARD) is None

    def test_number_of_addresses_is_bounded(self) -> None:
        """Each VM that was ever replaced cost a report a second."""
        clock = Clock()
        directory = make_directory(clock)
        for number in range(2 * MAX_CONTROLS):
            clock.at_s += 0.01
            told = tuple(f"10.2.{number}.{n}:1" for n in range(3))
            report = REPORT._replace(known=told)
            directory.record(f"10.1.0.{number}:1", report)
        addresses = directory.addresses()
        assert len(addresses) == MAX_CONTROLS
        assert addresses[:2] == (NAMED, f"10.1.0.{2 * MAX_CONTROLS - 1}:1")

    def test_recalled_address_is_listed_for_a_while(self) -> None:
        """A process that starts later than the others was not told."""
        clock = Clock()
        directory = make_directory(clock)
        directory.recall((TOLD, OWN))
        directory.record(HEARD, REPORT._replace(known=(TOLD,)))
        clock.at_s += RECALLED_S - 1.0
        assert TOLD in directory.addresses()
        assert TOLD not in directory.heard_lately()
        clock.at_s += 1.0
        assert TOLD not in directory.addresses()

    def test_new_settings_replace_the_named(self) -> None:
        directory = make_directory(Clock())
        directory.set_named((OWN, TOLD))
        assert directory.addresses() == (TOLD,)


class TestReports:
    def test_only_processes_that_serve_are_serving(self) -> None:
        """Callers were sent to a voter that had no leader."""
        clock = Clock()
        directory = make_directory(clock)
        directory.record(HEARD, REPORT)
        directory.record(NAMED, SERVES._replace(has_disk=False))
        clock.at_s += 0.1
        directory.record(TOLD, SERVES)
        assert directory.serving() == (TOLD,)
        assert directory.with_disk() == (TOLD, HEARD)
        directory.record(TOLD, SERVES._replace(serves=False))
        assert directory.serving() == ()

    def test_silent_process_does_not_serve(self) -> None:
        """Callers were sent to a process that no longer answered."""
        clock = Clock()
        directory = make_directory(clock)
        directory.record(HEARD, SERVES)
        assert directory.is_heard(HEARD)
        clock.at_s += HEARD_WITHIN_S
        assert not directory.is_heard(HEARD)
        assert directory.serving() == directory.with_disk() == ()

    def test_cluster_that_was_heard_is_remembered(self) -> None:
        """A second cluster could form while the first is not heard."""
        clock = Clock()
        directory = make_directory(clock)
        directory.record(HEARD, REPORT)
        assert not directory.cluster_heard()
        directory.record(TOLD, SERVES)
        clock.at_s += 2 * FORGET_AFTER_S
        directory.record(HEARD, REPORT)
        assert directory.cluster_heard()

    def test_own_report_is_kept_but_not_listed(self) -> None:
        directory = make_directory(Clock())
        directory.record(OWN, SERVES)
        assert directory.report_of(OWN) == SERVES
        assert directory.addresses() == (NAMED,)
        assert not directory.is_heard(OWN)
        assert not directory.cluster_heard()


class TestRecall:
    def test_recalled_addresses_leave_room_for_told_ones(self) -> None:
        """A process that was told of was dropped for ones that are gone."""
        directory = make_directory(Clock())
        directory.recall(f"10.9.0.{n}:1" for n in range(MAX_CONTROLS))
        directory.record(HEARD, REPORT._replace(known=(TOLD,)))
        assert TOLD in directory.addresses()

    def test_recalled_address_is_forgotten_over_restarts(self) -> None:
        """An address that is gone was kept for good by restarts."""
        clock = Clock()
        known: tuple[str, ...] = ("10.9.0.9:1",)
        for _ in range(10):
            directory = make_directory(clock)
            directory.recall(known)
            clock.at_s += FORGET_AFTER_S / 2
            known = directory.addresses()
        assert "10.9.0.9:1" not in known
