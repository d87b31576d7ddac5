from __future__ import annotations

from typing import Any

from hypothesis import settings
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
import hypothesis.strategies as st
import msgspec
import pytest

from sycamorestand_model.backend_servers import Announcement
from sycamorestand_model.backend_servers import LoadReport
from sycamorestand_state.directory import BackendDirectory
from sycamorestand_state.directory import DirectoryDelta
from sycamorestand_state.directory import subset
from sycamorestand_state.loads import coarse_count
from sycamorestand_state.loads import MAX_LOADS
from sycamorestand_state.registry import NUMBER_RETENTION_S
from sycamorestand_state.registry import ORIGIN_LEASE_S
from sycamorestand_state.versioned_map import HISTORY_LENGTH


def server(
    name: str = "b1", incarnation: int = 1, sequence: int = 1, **fields: Any
) -> Announcement:
    return Announcement(
        name,
        "engine",
        "10.0.0.1:80",
        "Dalton",
        incarnation,
        sequence,
        ("nest@1",),
    )._replace(**fields)


@pytest.fixture
def control() -> BackendDirectory:
    return BackendDirectory("c1", 1)


@pytest.fixture
def entry() -> BackendDirectory:
    return BackendDirectory("e1", 1)


class TestAnnouncements:
    def test_late_and_duplicate_announcements_are_refused(
        self, control: BackendDirectory
    ) -> None:
        assert control.announce(server(sequence=2), 0.0)
        assert not control.announce(server(sequence=2), 0.0)
        assert not control.announce(server(sequence=1, capacity=1), 0.0)
        assert control.announce(server(incarnation=2, capacity=8), 0.0)
        assert control.servers()["b1"].capacity == 8

    def test_record_that_cannot_be_sent_is_not_kept(
        self, control: BackendDirectory
    ) -> None:
        """It was kept without a version, and no table that held it could be
        sent any more.
        """
        assert control.announce(server(), 0.0)
        before = (control.digest(), dict(control.servers()))
        with pytest.raises(OverflowError):
            control.announce(server("b2", capacity=2**64), 0.0)
        assert (control.digest(), dict(control.servers())) == before
        assert control.announce(server("b2"), 0.0)

    def test_renewals_cause_no_delta(self, control: BackendDirectory) -> None:
        for sequence in range(1, 20):
            load = LoadReport(running=sequence)
            control.announce(server(sequence=sequence, load=load), 0.0)
        assert control.version == 1

    def test_a_lease_expires_on_the_local_clock(
        self, control: BackendDirectory
    ) -> None:
        control.announce(server(lease_s=3.0), 10.0)
        assert control.expire(12.9) == ()
        assert control.expire(13.0) == ("b1",)

    def test_a_late_announcement_does_not_bring_a_server_back(
        self, control: BackendDirectory
    ) -> None:
        """Guards against new work for a server that is gone.

        The server leaves and its lease expires. Then an earlier
        announcement arrives that was delayed in the network.
        """
        control.announce(server(sequence=1), 0.0)
        control.announce(server(sequence=3, leaving=True), 1.0)
        control.expire(5.0)
        assert not control.announce(server(sequence=2), 5.0)
        assert control.servers() == {}

    def test_a_left_server_is_not_restored_by_another_origin(
        self, control: BackendDirectory
    ) -> None:
        """Guards against an older record that brings a left server back.

        One control process heard that the server leaves, another did not.
        The first one's record expires with the lease. The other's record is
        older and still shows the server as accepting work.
        """
        other = BackendDirectory("c2", 1)
        other.announce(server(sequence=1, lease_s=9.0), 0.0)
        control.apply_delta(other.own_full(), 0.0)
        control.announce(server(sequence=2, leaving=True), 1.0)
        assert control.servers()["b1"].leaving
        control.apply_delta(other.own_full(), 2.0)
        assert control.expire(4.0) == ("b1",)
        assert control.servers() == {}

    def test_a_later_announcement_cancels_a_leave(
        self, control: BackendDirectory
    ) -> None:
        """Guards against an available server that gets no work.

        The server announces to one control process that it leaves and
        later to another that it stays. The second one learns of the first
        announcement only after that.
        """
        other = BackendDirectory("c2", 1)
        other.announce(server(sequence=2, leaving=True), 0.0)
        control.announce(server(sequence=1), 0.0)
        control.announce(server(sequence=3), 0.0)
        control.apply_delta(other.own_full(), 0.0)
        assert not control.servers()["b1"].leaving


class TestDeltas:
    def test_a_delta_carries_added_and_removed_servers(
        self, control: BackendDirectory, entry: BackendDirectory
    ) -> None:
        control.announce(server("b1"), 0.0)
        assert entry.apply_delta(control.full(), 0.0) == "applied"
        control.announce(server("b2"), 1.0)
        control.expire(3.0)
        delta = control.delta_since(entry.copied_version("c1"))
        assert delta is not None
        assert (set(delta.changed), delta.removed) == ({"b2"}, ("b1",))
        assert entry.apply_delta(delta, 3.0) == "applied"
        assert set(entry.servers()) == {"b2"}
        assert entry.digest() == control.digest()

    def test_a_gap_or_a_new_epoch_requests_a_full_delta(
        self, control: BackendDirectory, entry: BackendDirectory
    ) -> None:
        """Guards against an entry that never learns of a server.

        First a delta is lost. Then the control process restarts and its
        versions start again. In both cases the entry requests and applies
        a full delta.
        """
        entry.apply_delta(control.full(), 0.0)
        control.announce(server("b1"), 0.0)
        control.announce(server("b2"), 0.0)
        second = control.delta_since(1)
        assert second is not None
        assert entry.apply_delta(second, 0.0) == "resync"
        assert entry.apply_delta(control.full(), 0.0) == "applied"
        restarted = BackendDirectory("c1", 2)
        empty_delta = restarted.delta_since(0)
        assert empty_delta is not None
        assert entry.apply_delta(empty_delta, 0.0) == "resync"
        assert entry.apply_delta(restarted.full(), 0.0) == "applied"
        assert entry.apply_delta(second, 0.0) == "stale"
        assert entry.servers() == {}

    def test_a_control_process_whose_clock_was_set_back_is_followed(
        self, entry: BackendDirectory
    ) -> None:
        """Its servers were unknown to the others until its clock was on."""
        before = BackendDirectory("c1", 1_000)
        before.announce(server("s-1"), 1.0)
        assert entry.apply_delta(before.own_full(), 1.0) == "applied"
        restarted = BackendDirectory("c1", 5)
        restarted.announce(server("s-2"), 2.0)
        assert entry.apply_delta(restarted.own_full(), 2.0) == "stale"
        restarted.begin_epoch(1_001)
        delta = restarted.own_delta_since(0)
        assert delta is not None
        assert entry.apply_delta(delta, 3.0) == "resync"
        assert entry.apply_delta(restarted.own_full(), 3.0) == "applied"
        assert set(entry.servers()) == {"s-2"}

    def test_a_different_digest_requests_a_full_delta(
        self, control: BackendDirectory, entry: BackendDirectory
    ) -> None:
        control.announce(server("b1"), 0.0)
        entry.apply_delta(control.full(), 0.0)
        empty_delta = control.delta_since(1)
        assert empty_delta is not None
        damaged = empty_delta._replace(digest=empty_delta.digest ^ 1)
        assert entry.apply_delta(damaged, 0.0) == "resync"
        assert entry.apply_delta(empty_delta, 0.0) == "resync"
        assert entry.apply_delta(control.full(), 0.0) == "applied"

    def test_an_unknown_version_has_no_delta(
        self, control: BackendDirectory
    ) -> None:
        for number in range(HISTORY_LENGTH + 1):
            control.announce(server(f"b{number}"), 0.0)
        assert control.delta_since(0) is None
        assert control.delta_since(1) is not None
        assert control.delta_since(control.version + 1) is None

    def test_a_silent_origin_is_dropped_and_its_late_deltas_are_stale(
        self, control: BackendDirectory, entry: BackendDirectory
    ) -> None:
        control.announce(server("b1"), 0.0)
        old = control.full()
        control.announce(server("b2"), 0.0)
        entry.apply_delta(control.full(), 0.0)
        assert entry.expire(ORIGIN_LEASE_S) == ("b1", "b2")
        assert entry.apply_delta(old, ORIGIN_LEASE_S) == "stale"
        assert entry.apply_delta(control.full(), 4.0) == "applied"

    def test_a_delta_is_decoded_as_encoded(
        self, control: BackendDirectory
    ) -> None:
        control.announce(server("b1"), 0.0)
        data = msgspec.msgpack.encode(control.full())
        assert msgspec.msgpack.decode(data, type=DirectoryDelta) == (
            control.full()
        )


class TestLoads:
    def test_loads_are_bounded_rounded_and_aged(
        self, control: BackendDirectory, entry: BackendDirectory
    ) -> None:
        names = [f"b{number}" for number in range(MAX_LOADS + 5)]
        for name in names:
            load = LoadReport(running=13, age_s=0.5)
            control.announce(server(name, load=load), 0.0)
        update = control.loads(names, 1.0)
        assert len(update.loads) == MAX_LOADS
        entry.apply_loads(update, 7.0)
        relayed = entry.load("b0", 8.0)
        assert relayed is not None
        assert (relayed.running, relayed.age_s) == (12, 2.5)
        assert entry.load("b0", 90.0) is None

    @pytest.mark.parametrize(
        ("count", "rounded"), [(0, 0), (3, 3), (9, 8), (13, 12), (27, 24)]
    )
    def test_counts_are_rounded_down_by_about_a_quarter(
        self, count: int, rounded: int
    ) -> None:
        assert coarse_count(count) == rounded


class TestSubset:
    def test_removing_a_server_replaces_only_that_server(self) -> None:
        names = [f"b{number}" for number in range(50)]
        before = subset("vm-3", names, 8)
        names.remove(before[2])
        after = subset("vm-3", names, 8)
        assert set(before) - set(after) == {before[2]}
        assert len(set(after) - set(before)) == 1


CONTROLS = ("c1", "c2")
SERVERS = ("b1", "b2")


class DirectoryRules(RuleBasedStateMachine):
    """Announcements and deltas are lost, duplicated and reordered.

    A control process that has seen a server leave never shows it as
    staying because of an older announcement. Exchanging deltas with their
    digests makes all directories equal again.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        self.numbers = {name: (1, 0) for name in SERVERS}
        self.leaving = dict.fromkeys(SERVERS, False)
        self.epochs = {"c1": 1, "c2": 1}
        self.directories = {
            name: BackendDirectory(name, 1) for name in CONTROLS
        }
        self.directories["e1"] = BackendDirectory("e1", 1)
        self.announcements: list[tuple[float, Announcement]] = []
        self.deltas: list[tuple[str, DirectoryDelta]] = []
        self.left: dict[tuple[str, str], tuple[int, int]] = {}

    @rule(
        name=st.sampled_from(SERVERS),
        control=st.sampled_from((*CONTROLS, "lost")),
        capacity=st.integers(1, 2),
        lease_s=st.sampled_from([1.0, 9.0]),
    )
    def announce(
        self, name: str, control: str, capacity: int, lease_s: float
    ) -> None:
        incarnation, sequence = self.numbers[name]
        self.numbers[name] = (incarnation, sequence + 1)
        announcement = server(
            name,
            incarnation,
            sequence + 1,
            capacity=capacity,
            lease_s=lease_s,
            leaving=self.leaving[name],
        )
        self.announcements.append((self.now_s, announcement))
        if control != "lost":
            self.directories[control].announce(announcement, self.now_s)

    @rule(name=st.sampled_from(SERVERS), leaving=st.booleans())
    def leave_or_stay(self, name: str, leaving: bool) -> None:
        self.leaving[name] = leaving

    @rule(name=st.sampled_from(SERVERS))
    def restart_server(self, name: str) -> None:
        self.numbers[name] = (self.numbers[name][0] + 1, 0)
        self.leaving[name] = False

    @precondition(lambda self: self.announcements)
    @rule(recent=st.integers(1, 6), control=st.sampled_from(CONTROLS))
    def deliver_late_announcement(self, recent: int, control: str) -> None:
        sent_s, announcement = self.announcements[-recent:][0]
        if self.now_s - sent_s < NUMBER_RETENTION_S:
            self.directories[control].announce(announcement, self.now_s)

    @rule(step_s=st.sampled_from([0.5, 2.0, 4.0]))
    def advance_time(self, step_s: float) -> None:
        self.now_s += step_s
        for directory in self.directories.values():
            directory.expire(self.now_s)

    @rule(control=st.sampled_from(CONTROLS), whole=st.booleans())
    def send(self, control: str, whole: bool) -> None:
        other = CONTROLS[1 - CONTROLS.index(control)]
        origin = self.directories[control]
        version = self.directories[other].copied_version(control)
        own = None if whole else origin.own_delta_since(version)
        self.deltas.append((other, own or origin.own_full()))
        if control == "c1":
            version = self.directories["e1"].copied_version(control)
            merged = None if whole else origin.delta_since(version)
            self.deltas.append(("e1", merged or origin.full()))

    @precondition(lambda self: self.deltas)
    @rule(recent=st.integers(1, 6))
    def deliver(self, recent: int) -> None:
        receiver, delta = self.deltas[-recent:][0]
        self.directories[receiver].apply_delta(delta, self.now_s)

    @rule(control=st.sampled_from(CONTROLS))
    def restart_control(self, control: str) -> None:
        self.epochs[control] += 1
        self.directories[control] = BackendDirectory(
            control, self.epochs[control]
        )
        for name in SERVERS:
            self.left.pop((control, name), None)

    @invariant()
    def a_left_server_is_not_shown_as_staying(self) -> None:
        for process, directory in self.directories.items():
            for name, shown in directory.servers().items():
                number = (shown.incarnation, shown.sequence)
                seen = self.left.get((process, name), (0, 0))
                if shown.leaving:
                    self.left[process, name] = max(seen, number)
                elif process != "e1":
                    assert number > seen

    @rule(sender=st.sampled_from(CONTROLS))
    def exchange(self, sender: str) -> None:
        self._exchange(sender, CONTROLS[1 - CONTROLS.index(sender)])

    @rule()
    def converge(self) -> None:
        for _ in range(4):
            self._exchange("c1", "c2")
            self._exchange("c2", "c1")
        self._update_entry()
        entry, control = self.directories["e1"], self.directories["c1"]
        assert entry.servers() == control.servers()
        assert entry.digest() == control.digest()
        for name in SERVERS:
            self._check_equal_or_left(name)

    def _exchange(self, sender: str, receiver: str) -> None:
        origin, target = self.directories[sender], self.directories[receiver]
        delta = origin.own_delta_since(target.copied_version(sender))
        if delta is None or target.apply_delta(delta, self.now_s) != "applied":
            outcome = target.apply_delta(origin.own_full(), self.now_s)
            assert outcome == "applied"

    def _update_entry(self) -> None:
        origin, target = self.directories["c1"], self.directories["e1"]
        delta = origin.delta_since(target.copied_version("c1"))
        if delta is None or target.apply_delta(delta, self.now_s) != "applied":
            assert target.apply_delta(origin.full(), self.now_s) == "applied"

    def _check_equal_or_left(self, name: str) -> None:
        one = self.directories["c1"].servers().get(name)
        other = self.directories["c2"].servers().get(name)
        # A directory that has seen the server leave hides it. The other one
        # may hold an older record until its lease there expires.
        if one is None or other is None:
            return
        assert one == other


DirectoryRules.TestCase.settings = settings(
    max_examples=200, stateful_step_count=40
)
TestDirectoryRules = DirectoryRules.TestCase
