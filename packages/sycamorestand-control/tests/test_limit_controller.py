"""The leader alone grants what servers take; all processes know limits."""

from __future__ import annotations

from sycamorestand_bench.fakes.in_memory_control import FakeMesh
from sycamorestand_control.limit_controller import LimitController
from sycamorestand_control.limit_controller import REPEAT_INTERVAL_S
from sycamorestand_decisions.server_limits import NO_LIMIT
from sycamorestand_peer.messages import LimitsNamed
from sycamorestand_peer.messages import TokensGranted
from sycamorestand_peer.messages import TokensWanted

LIMITS = {"s-1": 0.01}
QUESTION = TokensWanted(4, ("s-1",), 3, LIMITS)


class FakeGroups:
    """The log groups of a control process that leads or does not."""

    def __init__(self) -> None:
        self.leads = True

    def is_leader(self, group: int) -> bool:
        return self.leads

    def leader_address(self, group: int) -> str:
        return "c1" if self.leads else "c2"


class Harness:
    """A control process with two entries and one other control process."""

    def __init__(self) -> None:
        self.mesh = FakeMesh()
        self.groups = FakeGroups()
        self.servers = {"s-1", "s-2"}
        self.cold_limits_per_s: dict[str, float] = {}
        self.entries = ["e1", "e2"]
        self.limits = LimitController(
            self.mesh,  # type: ignore[arg-type]
            self.groups,  # type: ignore[arg-type]
            lambda: self.entries,
            lambda: ["c2"],
            lambda: self.servers,
            lambda server: self.cold_limits_per_s.get(server, NO_LIMIT),
        )

    def sent(self, kind: type) -> list:
        return [(to, m) for to, m in self.mesh.sent if type(m) is kind]


class TestGrants:
    def test_leader_grants_what_the_limit_allows(self) -> None:
        harness = Harness()
        harness.limits.handle_wanted("e1", QUESTION)
        harness.limits.handle_wanted("e2", QUESTION)
        assert harness.sent(TokensGranted) == [
            ("e1", TokensGranted(4, {"s-1": 1})),
            ("e2", TokensGranted(4, {})),
        ]
        assert (harness.limits.asked, harness.limits.granted) == (6, 1)

    def test_others_forward_the_question_and_pass_the_answer_on(self) -> None:
        """Each control process granted the whole limit to its entries."""
        harness = Harness()
        harness.groups.leads = False
        harness.limits.handle_wanted("e1", QUESTION)
        forwarded = QUESTION._replace(entry="e1")
        assert ("c2", forwarded) in harness.sent(TokensWanted)
        granted = TokensGranted(4, {"s-1": 1}, "e1")
        harness.limits.handle_granted("c2", granted)
        assert harness.sent(TokensGranted) == [
            ("e1", TokensGranted(4, {"s-1": 1}))
        ]

    def test_question_is_forwarded_once(self) -> None:
        """Two processes that each took the other for the leader would have
        passed a question to and fro.
        """
        harness = Harness()
        harness.groups.leads = False
        harness.limits.handle_wanted("c2", QUESTION._replace(entry="e9"))
        assert harness.mesh.sent == []

    def test_leader_answers_by_the_process_that_forwards(self) -> None:
        harness = Harness()
        harness.limits.handle_wanted("c2", QUESTION._replace(entry="e9"))
        assert harness.sent(TokensGranted) == [
            ("c2", TokensGranted(4, {"s-1": 1}, "e9"))
        ]

    def test_former_leader_begins_anew(self) -> None:
        """Tokens of an earlier term were granted a second time."""
        harness = Harness()
        harness.limits.handle_wanted("e1", QUESTION)
        harness.groups.leads = False
        harness.limits.push(0.0)
        harness.groups.leads = True
        harness.limits.handle_wanted("e1", QUESTION)
        tokens = [m.tokens for _, m in harness.sent(TokensGranted)]
        assert tokens == [{"s-1": 1}, {"s-1": 1}]


class TestNews:
    def test_limits_go_to_entries_and_other_processes(self) -> None:
        """An entry that sends the server nothing hears nothing of it."""
        harness = Harness()
        harness.limits.handle_wanted("e1", TokensWanted(1, (), 0, LIMITS))
        assert harness.sent(TokensWanted) == [
            ("c2", TokensWanted(0, (), 0, LIMITS))
        ]
        harness.limits.push(1.0)
        assert {to for to, _ in harness.sent(LimitsNamed)} == {"e1", "e2"}

    def test_entry_that_has_just_started_is_told(self) -> None:
        harness = Harness()
        harness.limits.handle_wanted("e1", QUESTION)
        harness.limits.push(1.0)
        harness.mesh.sent.clear()
        harness.entries.append("e3")
        harness.limits.push(1.1)
        assert harness.sent(LimitsNamed) == [("e3", LimitsNamed(LIMITS))]

    def test_unchanged_limits_are_repeated_seldom(self) -> None:
        """Each message may be lost with its link."""
        harness = Harness()
        harness.limits.handle_wanted("e1", QUESTION)
        for tick in range(40):
            harness.limits.push(tick * 0.25)
        told = [to for to, _ in harness.sent(LimitsNamed)]
        assert told.count("e1") == 10.0 / REPEAT_INTERVAL_S

    def test_what_is_taken_back_is_told_as_well(self) -> None:
        harness = Harness()
        harness.limits.handle_wanted("e1", QUESTION)
        taken_back = TokensWanted(2, (), 0, {"s-1": NO_LIMIT})
        harness.limits.handle_wanted("e2", taken_back)
        harness.limits.push(1.0)
        (_, told), *_ = harness.sent(LimitsNamed)
        assert told.limits_per_s == {"s-1": NO_LIMIT}
        assert harness.limits.limited_servers == 0

    def test_servers_that_left_are_forgotten(self) -> None:
        harness = Harness()
        harness.limits.handle_wanted("e1", QUESTION)
        harness.servers.clear()
        harness.limits.push(1.0)
        assert harness.limits.limits_per_s == {}
