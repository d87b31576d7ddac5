from __future__ import annotations

from collections.abc import Callable

from hypothesis import given
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
import hypothesis.strategies as st
import pytest

from sycamorestand_model.declarations import Customer
from sycamorestand_model.declarations import Declarations
from sycamorestand_model.declarations import Rollout
from sycamorestand_model.declarations import Service
from sycamorestand_model.declarations import Version
from sycamorestand_model.routes import EngineTraits
from sycamorestand_model.routes import SourceDocument
from sycamorestand_state.audit_trail import MAX_TRAIL_BYTES
from sycamorestand_state.audit_trail import within_limits
from sycamorestand_state.change_ids import MAX_ANSWERS_BYTES
from sycamorestand_state.change_ids import MAX_CHANGE_ID_AGE_S
from sycamorestand_state.change_ids import MAX_CHANGE_IDS
from sycamorestand_state.change_ids import StoredAnswer
from sycamorestand_state.change_ids import StoredAnswers
from sycamorestand_state.commands import ANY_REVISION
from sycamorestand_state.commands import ApplyDeclarations
from sycamorestand_state.commands import Command
from sycamorestand_state.commands import CreateCluster
from sycamorestand_state.commands import DrainVm
from sycamorestand_state.commands import encode_command
from sycamorestand_state.commands import LiftQuarantine
from sycamorestand_state.commands import Quarantine
from sycamorestand_state.commands import Reinstate
from sycamorestand_state.commands import RotateSessionKey
from sycamorestand_state.commands import UndrainVm
from sycamorestand_state.commands import Withdraw
from sycamorestand_state.configuration import _HANDLERS
from sycamorestand_state.configuration import ConfigurationMachine
from sycamorestand_state.errors import MalformedCommand
from sycamorestand_state.errors import SnapshotUnreadable
from sycamorestand_state.references import MAX_DECLARATIONS_BYTES
from sycamorestand_state.results import ChangeResult

from .configurations import ADMIN
from .configurations import Cluster
from .configurations import declare


class TestFirstStart:
    def test_only_one_cluster_is_created(self) -> None:
        cluster = Cluster()
        second = CreateCluster("other", "eve", 2.0, "d", b"k", 3, "b2$x$y")
        assert cluster.run(second).outcome == "refused"
        identity = cluster.machine.cluster
        assert identity is not None
        assert (identity.cluster_id, identity.shard_count) == ("c", 1)

    def test_no_change_is_applied_before_the_creation(self) -> None:
        machine = ConfigurationMachine()
        drain = DrainVm("d", "ann", 0, "vm-1", "", 1.0)
        assert machine.apply(1, encode_command(drain)).outcome == "refused"


class TestResends:
    def test_a_resend_gets_the_first_answer(self) -> None:
        """Guards against a conflict as the answer to a resent change.

        The change commits and its answer is lost. The client resends it
        with the same id, and a new leader sets another time stamp.
        """
        cluster = Cluster()
        drain = DrainVm("d", "ann", 1, "vm-1", "repair", 2.0)
        first = cluster.run(drain)
        again = cluster.run(drain._replace(now_s=9.0))
        assert again == first._replace(duplicate=True)
        assert cluster.machine.revision == 2

    def test_the_same_id_for_another_change_is_refused(self) -> None:
        cluster = Cluster()
        cluster.run(DrainVm("d", "ann", 1, "vm-1", "", 2.0))
        other = cluster.run(DrainVm("d", "ann", 2, "vm-2", "", 2.0))
        assert (other.outcome, other.duplicate) == ("refused", False)
        assert cluster.machine.audit(2, 9)[0].outcome == "refused"

    @pytest.mark.parametrize(
        ("changes_between", "later_s"),
        [(MAX_CHANGE_IDS, 0.0), (1, MAX_CHANGE_ID_AGE_S + 1.0)],
        ids=["by count", "by age"],
    )
    def test_a_resend_with_an_evicted_id_conflicts(
        self, changes_between: int, later_s: float
    ) -> None:
        """Guards against a late resend that is applied a second time.

        The id was evicted, so the machine treats the resend as a new
        change. Its base revision is older than the revision that the first
        run created, which makes it a conflict.
        """
        cluster = Cluster()
        drain = DrainVm("d", "ann", 1, "vm-1", "", 2.0)
        cluster.run(drain)
        for number in range(changes_between):
            cluster.run(
                DrainVm(f"x{number}", "ann", -9, "x", "", 2.0 + later_s)
            )
        assert cluster.run(drain).outcome == "conflict"
        assert cluster.machine.revision == 2


class TestNumberedDocuments:
    @pytest.mark.parametrize(
        ("document", "message_part"),
        [
            (SourceDocument(), "number 0 is below 7"),
            (SourceDocument(6, b"six"), "number 6 is below 7"),
            (SourceDocument(7, b"other"), "in force with other content"),
        ],
        ids=["without one", "older", "other content"],
    )
    def test_an_older_document_is_refused(
        self, document: SourceDocument, message_part: str
    ) -> None:
        """Guards against undoing a numbered document that is in force.

        Document number 7 was acknowledged and must stay in force. Another
        operator then applies, on the newest revision, declarations without
        a document or from an older one.
        """
        cluster = Cluster()
        held = declare(document=SourceDocument(7, b"seven"))
        assert cluster.declare(held).outcome == "applied"
        result = cluster.declare(declare(document=document))
        assert result.outcome == "refused"
        assert message_part in result.message
        assert cluster.machine.in_force().declarations == held

    def test_the_same_document_is_applied_with_other_rollouts(self) -> None:
        cluster = Cluster()
        document = SourceDocument(7, b"seven")
        cluster.declare(declare(document=document))
        result = cluster.declare(declare(document=document, rollouts={}))
        assert result.outcome == "applied"


class TestRaces:
    def test_the_later_of_two_changes_gets_a_conflict_that_names_the_first(
        self,
    ) -> None:
        """Guards against declarations that silently undo another change.

        Two operators apply declarations that are based on revision 1. The
        later one gets a conflict that names the other operator's change,
        and nothing changes.
        """
        cluster = Cluster()
        cluster.declare(declare())
        late = cluster.run(
            ApplyDeclarations("late", "bob", 1, declare("2"), "", 3.0)
        )
        assert late.outcome == "conflict"
        assert "revision 2 by ann: ApplyDeclarations" in late.message
        assert cluster.machine.revision == 2

    @pytest.mark.parametrize("base", [0, 3])
    def test_another_base_revision_conflicts(self, base: int) -> None:
        cluster = Cluster()
        drain = DrainVm("d", "ann", base, "vm-1", "", 2.0)
        assert cluster.run(drain).outcome == "conflict"

    @pytest.mark.parametrize("base", [0, 3, ANY_REVISION])
    def test_declarations_need_the_revision_in_force_as_base(
        self, base: int
    ) -> None:
        cluster = Cluster()
        apply = ApplyDeclarations("a", "ann", base, declare(), "", 2.0)
        assert cluster.run(apply).outcome == "conflict"

    def test_a_change_of_one_subject_needs_no_base(self) -> None:
        """Guards against a resend that counts as a different change.

        A change is applied and its answer is lost; another change follows.
        The resend reaches a voter with a newer revision. As the change
        carries no base revision, it is the same and gets the first answer.
        """
        cluster = Cluster()
        drain = DrainVm("d", "ann", ANY_REVISION, "vm-1", "", 2.0)
        first = cluster.run(drain)
        assert first.outcome == "applied"
        cluster.run(DrainVm("e", "bob", ANY_REVISION, "vm-2", "", 2.0))
        again = cluster.run(drain._replace(now_s=3.0))
        assert again == first._replace(duplicate=True)


class TestAuditEntry:
    def test_an_entry_names_subject_base_and_message(self) -> None:
        cluster = Cluster()
        drain = DrainVm("d", "ann", 1, "vm-1", "new kernel", 2.0)
        cluster.run(drain)
        entry = cluster.machine.audit(0, 10)[-1]
        assert entry.subject == "vm-1"
        assert entry.base_revision == 1
        assert entry.message == "new kernel"
        assert entry.evidence == ""

    def test_the_message_of_declarations_is_not_repeated_as_evidence(
        self,
    ) -> None:
        cluster = Cluster()
        cluster.run(ApplyDeclarations("a", "ann", 1, declare(), "first", 2.0))
        entry = cluster.machine.audit(0, 10)[-1]
        assert (entry.message, entry.evidence) == ("first", "")


class TestWithdrawal:
    def test_declarations_do_not_end_a_withdrawal(self) -> None:
        """Guards against declarations that end a withdrawal.

        An operator withdraws nest@2, which the declarations still contain.
        The next declarations are applied, with a note that the version
        stays withdrawn.
        """
        cluster = Cluster()
        cluster.declare(declare())
        cluster.withdraw("nest@2")
        result = cluster.declare(declare(profiles={}, customers={}))
        assert result.outcome == "applied"
        assert "stays withdrawn" in result.notes[0]
        assert cluster.machine.in_force().withdrawn == ("nest@2",)

    def test_reinstate_ends_a_withdrawal(self) -> None:
        cluster = Cluster()
        cluster.declare(declare())
        cluster.withdraw("nest@2")
        cluster.run(Reinstate("r", "ann", 3, "nest@2", "mended", 4.0))
        assert cluster.machine.in_force().withdrawn == ()

    def test_a_declared_withdrawal_needs_other_declarations_to_end(
        self,
    ) -> None:
        cluster = Cluster()
        cluster.declare(declare())
        started = cluster.start()
        models = declare().models
        nest = models["nest"]
        versions = {
            **nest.versions,
            "2": Version("nest", "2", 100, 200, withdrawn=True),
        }
        models["nest"] = nest._replace(versions=versions)
        cluster.declare(declare(models=models))
        in_force = cluster.machine.in_force()
        assert in_force.withdrawn == ("nest@2",)
        assert in_force.shares["nest"].state == "stopped"
        refusal = cluster.run(
            Reinstate("r", "ann", started + 1, "nest@2", "", 5.0)
        )
        assert refusal.outcome == "refused"

    def test_an_unknown_version_is_refused_with_the_known_ones(self) -> None:
        cluster = Cluster()
        cluster.declare(declare())
        result = cluster.withdraw("nest@22")
        assert result.outcome == "refused"
        assert "nest@2, nest@3" in result.message

    def test_a_withdrawal_needs_no_base_revision(self) -> None:
        cluster = Cluster()
        cluster.declare(declare())
        assert cluster.withdraw("nest@2", ANY_REVISION).outcome == "applied"
        assert cluster.withdraw("nest@2", ANY_REVISION).outcome == "unchanged"


class TestDeclarations:
    def test_all_findings_are_returned_at_once(self) -> None:
        cluster = Cluster()
        broken = declare(
            stable="9",
            rollouts={"x": Rollout("x", "1", (0.5, 0.2))},
            operators={},
        )
        result = cluster.declare(broken)
        assert result.outcome == "refused"
        assert [line.partition(":")[0] for line in result.findings] == [
            "models.nest.stable",
            "rollouts.x",
            "rollouts.x.shares",
            "operators",
        ]
        assert cluster.machine.revision == 1

    def test_equal_declarations_create_no_revision(self) -> None:
        cluster = Cluster()
        cluster.declare(declare())
        assert cluster.declare(declare()).outcome == "unchanged"
        assert cluster.machine.revision == 2


class TestOtherChanges:
    def test_each_change_takes_effect_and_can_be_undone(self) -> None:
        cluster = Cluster()
        cluster.declare(declare())
        steps: list[Command] = [
            DrainVm("1", "ann", 2, "vm-1", "repair", 3.0),
            Quarantine("2", "system", ANY_REVISION, "nest@3", "errors", 3.0),
            RotateSessionKey("3", "ann", 4, b"new", 3.0),
        ]
        for step in steps:
            assert cluster.run(step).outcome == "applied"
        in_force = cluster.machine.in_force()
        assert in_force.draining_vms == ("vm-1",)
        assert in_force.quarantined == ("nest@3",)
        assert in_force.session_key == b"new"
        assert cluster.machine.previous_session_key == b"key"
        cluster.run(UndrainVm("4", "ann", 5, "vm-1", "", 4.0))
        cluster.run(LiftQuarantine("5", "ann", 6, "nest@3", "", 4.0))
        in_force = cluster.machine.in_force()
        assert (in_force.draining_vms, in_force.quarantined) == ((), ())
        assert in_force.revision == 7


class TestAuditTrail:
    def test_the_trail_names_changes_but_no_key_hashes(self) -> None:
        cluster = Cluster()
        cluster.declare(declare())
        key = ADMIN._replace(key_hashes=("b2$cc$secret-hash",))
        cluster.declare(declare("2", operators={"ann": key}, rollouts={}))
        cluster.withdraw("nest@9")
        entries = cluster.machine.audit(2, 10)
        assert [entry.outcome for entry in entries] == ["applied", "refused"]
        assert entries[0].log_index == 3
        assert "models.nest.stable: '1' -> '2'" in entries[0].difference
        assert "secret" not in repr(cluster.machine.audit(0, 10))


class TestSizes:
    """Guards against a history that fills the memory of every process."""

    def test_history_of_large_changes(self) -> None:
        cluster = Cluster()
        for turn in range(150):
            sections = {
                f"{turn}-{number}-{'x' * 100}": Service("s")
                for number in range(300)
            }
            # All names disagree, so that each is a finding.
            assert (
                cluster.declare(declare(services=sections)).outcome
                == "refused"
            )
            cluster.withdraw("nest@" + "y" * 20_000)
        sizes = cluster.machine.sizes()
        assert sizes.audit_trail <= MAX_TRAIL_BYTES
        assert sizes.answers <= MAX_ANSWERS_BYTES
        most_bytes = MAX_TRAIL_BYTES + MAX_ANSWERS_BYTES + 10_000
        assert len(cluster.machine.snapshot()) < most_bytes
        restored = ConfigurationMachine()
        restored.restore(cluster.machine.snapshot())
        assert restored.sizes() == sizes
        assert restored.snapshot() == cluster.machine.snapshot()

    @pytest.mark.parametrize("count", [1, 255, 256, 257, 300])
    @pytest.mark.parametrize("characters", [20, 60, 110, 20_000])
    def test_restored_history_is_the_same(
        self, count: int, characters: int
    ) -> None:
        """Guards against replicas whose audit trails differ."""
        cluster = Cluster()
        names = [f"{number}-{'x' * characters}" for number in range(count)]
        cluster.declare(declare(services={n: Service("s") for n in names}))
        cluster.declare(declare(services={n: Service(n) for n in names}))
        restored = ConfigurationMachine()
        restored.restore(cluster.machine.snapshot())
        assert restored.snapshot() == cluster.machine.snapshot()

    def test_answers_of_an_earlier_release(self) -> None:
        """Guards against replicas that know different changes."""
        result = ChangeResult("refused", 1, "", ("x" * 100_000,))
        kept = [(f"{n}", StoredAnswer(b"", result, 1.0)) for n in range(50)]
        assert StoredAnswers(kept).size_bytes <= MAX_ANSWERS_BYTES

    def test_oldest_entries_and_answers_go_first(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        module = "sycamorestand_state"
        monkeypatch.setattr(f"{module}.audit_trail.MAX_TRAIL_BYTES", 2_000)
        monkeypatch.setattr(f"{module}.change_ids.MAX_ANSWERS_BYTES", 2_000)
        cluster = Cluster()
        drains = [
            DrainVm(f"d{n}", "ann", ANY_REVISION, f"vm-{n}", "", 2.0)
            for n in range(60)
        ]
        for drain in drains:
            cluster.run(drain)
        entries = cluster.machine.audit(0, 99)
        assert entries[-1].change_id == "d59"
        assert 10 < len(entries) < 40
        assert cluster.run(drains[-1]).duplicate
        assert not cluster.run(drains[0]).duplicate
        assert cluster.machine.revision_at(entries[0].log_index - 1) is None
        assert cluster.machine.revision_at(61) == 61

    def test_lines_of_an_entry(self) -> None:
        lines = tuple(str(number) for number in range(1_000))
        assert within_limits(lines[:9], "lines") == lines[:9]
        assert within_limits(lines, "lines")[-1] == "and 745 more lines"
        (line, rest) = within_limits(("z" * 99_999, "a"), "findings")
        assert len(line) == 16_284
        assert rest == "and 1 more findings"


class TestSnapshot:
    def test_bytes_that_are_no_snapshot_are_refused(self) -> None:
        with pytest.raises(SnapshotUnreadable):
            ConfigurationMachine().restore(b"\x93\x01")


class TestAnyDeclarations:
    @given(st.from_type(Declarations))
    def test_any_declarations_get_an_answer_without_an_exception(
        self, declarations: Declarations
    ) -> None:
        """Guards against an exception that stops every replica.

        A faulty client may send any declarations that the types allow.
        """
        cluster = Cluster()
        try:
            result = cluster.declare(declarations)
        except MalformedCommand:
            assert cluster.log[1:] == []
            return
        assert result.outcome in ("applied", "refused")
        cluster.machine.snapshot()


BASES = st.sampled_from([0, -1])
VERSIONS = st.sampled_from(["nest@1", "nest@2", "nest@3"])


class ConfigurationRules(RuleBasedStateMachine):
    """Operators race and resend changes, and replicas restart.

    The invariants hold after each step.
    """

    def __init__(self) -> None:
        super().__init__()
        self.cluster = Cluster()
        self.sent: list[Command] = []
        self.first: dict[str, ChangeResult] = {}
        self.winners: dict[int, str] = {}
        self.revision = 1
        self.withdrawn: set[str] = set()

    @initialize()
    def begin(self) -> None:
        self._send(self._declaration("begin", 1, "1", "2"))

    def _declaration(
        self, change_id: str, base: int, stable: str, rolled: str
    ) -> ApplyDeclarations:
        rollouts = {}
        if rolled != stable:
            rollouts["nest"] = Rollout("nest", rolled, (0.1, 1.0))
        declarations = declare(stable, rollouts=rollouts)
        return ApplyDeclarations(change_id, "o", base, declarations, "", 2.0)

    def _id(self) -> str:
        return f"c{len(self.sent)}"

    def _send(self, command: Command) -> None:
        assert not isinstance(command, CreateCluster)
        before = self.cluster.machine.revision
        result = self.cluster.run(command)
        self.sent.append(command)
        change_id = getattr(command, "change_id", "")
        first = self.first.setdefault(change_id, result)
        if result.duplicate:
            assert result._replace(duplicate=False) == first
            assert self.cluster.machine.revision == before
        elif result.outcome == "applied":
            assert self.cluster.machine.revision == before + 1
            assert self.winners.setdefault(before, change_id) == change_id
            if isinstance(command, Reinstate):
                self.withdrawn.discard(command.version)
            if isinstance(command, Withdraw):
                self.withdrawn.add(command.version)
        else:
            assert self.cluster.machine.revision == before

    @rule(
        back=BASES, stable=st.sampled_from("12"), rolled=st.sampled_from("123")
    )
    def declare(self, back: int, stable: str, rolled: str) -> None:
        base = self.cluster.machine.revision + back
        self._send(self._declaration(self._id(), base, stable, rolled))

    @rule(back=BASES, version=VERSIONS, any_base=st.booleans())
    def withdraw(self, back: int, version: str, any_base: bool) -> None:
        base = self.cluster.machine.revision + back
        base = ANY_REVISION if any_base else base
        self._send(Withdraw(self._id(), "o", base, version, "", 2.0))

    @rule(back=BASES, version=VERSIONS)
    def reinstate(self, back: int, version: str) -> None:
        base = self.cluster.machine.revision + back
        self._send(Reinstate(self._id(), "o", base, version, "", 2.0))

    @rule()
    def start(self) -> None:
        self.cluster.start()
        self.winners.clear()

    @rule(data=st.data())
    def resend(self, data: st.DataObject) -> None:
        self._send(data.draw(st.sampled_from(self.sent)))

    @rule()
    def restart_from_snapshot(self) -> None:
        restored = ConfigurationMachine()
        restored.restore(self.cluster.machine.snapshot())
        assert restored.snapshot() == self.cluster.machine.snapshot()
        self.cluster.machine = restored

    @invariant()
    def revision_never_decreases(self) -> None:
        assert self.cluster.machine.revision >= self.revision
        self.revision = self.cluster.machine.revision
        assert self.cluster.machine.in_force().revision == self.revision

    @invariant()
    def withdrawn_stays_withdrawn(self) -> None:
        in_force = self.cluster.machine.in_force()
        assert self.withdrawn <= set(in_force.withdrawn)

    @invariant()
    def audit_is_complete(self) -> None:
        entries = self.cluster.machine.audit(0, 10_000)
        applied_revisions = [
            e.revision for e in entries if e.outcome == "applied"
        ]
        assert applied_revisions == list(
            range(1, self.cluster.machine.revision + 1)
        )

    def teardown(self) -> None:
        replica = ConfigurationMachine()
        for index, command in enumerate(self.cluster.log, start=1):
            replica.apply(index, command)
        assert replica.snapshot() == self.cluster.machine.snapshot()


TestConfigurationRules = ConfigurationRules.TestCase


class TestSize:
    def test_the_largest_document_is_accepted(self) -> None:
        """Guards against refusing a valid document for its size.

        A document of 4 MiB is within what clients may send. If it were
        refused, an operator with so many routes could change nothing.
        """
        cluster = Cluster()
        document = SourceDocument(7, bytes(4 * 1024 * 1024))
        result = cluster.declare(declare(document=document))
        assert result.outcome == "applied", result.message

    def test_a_larger_document_is_refused_with_the_limit(self) -> None:
        cluster = Cluster()
        document = SourceDocument(7, bytes(MAX_DECLARATIONS_BYTES))
        result = cluster.declare(declare(document=document))
        assert result.outcome == "refused"
        assert str(MAX_DECLARATIONS_BYTES) in result.message


class TestOptionalFields:
    """Guards against a field that is gone and ends every control process."""

    ENGINE = EngineTraits(64, 625_049)

    @pytest.mark.parametrize(
        ("before", "after", "line"),
        [
            (ENGINE, None, "services.s.engine: removed"),
            (None, ENGINE, "services.s.engine: added"),
            (
                ENGINE,
                ENGINE._replace(slots=8),
                "services.s.engine.slots: 64 -> 8",
            ),
        ],
        ids=["gone", "come", "changed"],
    )
    def test_engine_of_a_service(
        self,
        before: EngineTraits | None,
        after: EngineTraits | None,
        line: str,
    ) -> None:
        cluster = Cluster()
        service = Service("s", engine=before)
        cluster.declare(declare(services={"s": service}))
        changed = service._replace(engine=after)
        result = cluster.declare(declare(services={"s": changed}))
        assert result.outcome == "applied"
        assert cluster.machine.audit(2, 9)[-1].difference == (line,)

    @pytest.mark.parametrize("priorities", [(1, None), (None, 1)])
    def test_priority_of_a_customer(
        self, priorities: tuple[int | None, int | None]
    ) -> None:
        cluster = Cluster()
        for priority in priorities:
            customer = Customer("c", (), (), (), priority=priority)
            result = cluster.declare(declare(customers={"c": customer}))
            assert result.outcome == "applied"


class TestFailingHandler:
    @pytest.fixture
    def fail_with(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> Callable[[Exception], None]:
        def fail_with(error: Exception) -> None:
            def handler(*_: object) -> None:
                raise error

            monkeypatch.setitem(_HANDLERS, DrainVm, handler)

        return fail_with

    def test_every_replica_refuses_the_command(
        self, fail_with: Callable[[Exception], None]
    ) -> None:
        """Guards against a fault that ends each process at every start."""
        cluster = Cluster()
        copy = ConfigurationMachine()
        copy.restore(cluster.machine.snapshot())
        fail_with(ValueError("of this process"))
        drain = DrainVm("d", "ann", ANY_REVISION, "vm-1", "", 2.0)
        result = cluster.run(drain)
        assert result == copy.apply(2, cluster.log[-1])
        assert (result.outcome, result.revision) == ("refused", 1)
        assert cluster.machine.snapshot() == copy.snapshot()
        assert cluster.machine.faults == 1
        assert cluster.run(drain).duplicate

    @pytest.mark.parametrize("error", [MemoryError(), OSError()])
    def test_error_of_one_process_is_raised(
        self, fail_with: Callable[[Exception], None], error: Exception
    ) -> None:
        """Guards against a replica that alone refuses a command."""
        cluster = Cluster()
        fail_with(error)
        drain = DrainVm("d", "ann", ANY_REVISION, "vm-1", "", 2.0)
        with pytest.raises(type(error)):
            cluster.run(drain)
        assert cluster.machine.audit(1, 9) == []
        assert cluster.machine.faults == 0
