from __future__ import annotations

from hypothesis import given
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
import hypothesis.strategies as st
import pytest

from sycamorestand_model.declarations import Declarations
from sycamorestand_model.declarations import Rollout
from sycamorestand_model.declarations import Version
from sycamorestand_model.routes import SourceDocument
from sycamorestand_state.change_ids import MAX_CHANGE_ID_AGE_S
from sycamorestand_state.change_ids import MAX_CHANGE_IDS
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

    def test_nothing_else_goes_first(self) -> None:
        machine = ConfigurationMachine()
        drain = DrainVm("d", "ann", 0, "vm-1", "", 1.0)
        assert machine.apply(1, encode_command(drain)).outcome == "refused"


class TestResends:
    def test_a_resend_gets_the_first_answer(self) -> None:
        """The operator sees the answer that was lost, not a conflict.

        The change commits, its answer is lost, the client sends it again
        with the same id. A new leader stamps another time on it.
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
    def test_a_forgotten_id_conflicts(
        self, changes_between: int, later_s: float
    ) -> None:
        """A resend after the bound is told of a conflict and runs no more.

        The id is dropped, so the machine takes the resend for a new
        change; its base revision is older than what it did itself.
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
        ("document", "told"),
        [
            (SourceDocument(), "number 0 is below 7"),
            (SourceDocument(6, b"six"), "number 6 is below 7"),
            (SourceDocument(7, b"other"), "in force with other content"),
        ],
        ids=["without one", "older", "other content"],
    )
    def test_a_document_in_force_never_goes_back(
        self, document: SourceDocument, told: str
    ) -> None:
        """The operator who numbers documents sees number 7 acknowledged.

        Somebody else then applies declarations that were made without a
        document, or from an older one, on the newest revision. Taken, they
        would undo number 7, which is promised to stay in force.
        """
        cluster = Cluster()
        held = declare(document=SourceDocument(7, b"seven"))
        assert cluster.declare(held).outcome == "applied"
        result = cluster.declare(declare(document=document))
        assert result.outcome == "refused"
        assert told in result.message
        assert cluster.machine.in_force().declarations == held

    def test_the_same_document_stays_with_another_roll_out(self) -> None:
        cluster = Cluster()
        document = SourceDocument(7, b"seven")
        cluster.declare(declare(document=document))
        result = cluster.declare(declare(document=document, rollouts={}))
        assert result.outcome == "applied"


class TestRaces:
    def test_the_later_of_two_operators_is_told_who_was_first(self) -> None:
        """Two operators plan on revision 1 and apply; one wins.

        The other's declarations would undo the first's silently. It gets
        a conflict that names who changed what, and nothing changes.
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
    def test_no_other_base_revision_is_taken(self, base: int) -> None:
        cluster = Cluster()
        drain = DrainVm("d", "ann", base, "vm-1", "", 2.0)
        assert cluster.run(drain).outcome == "conflict"

    @pytest.mark.parametrize("base", [0, 3, ANY_REVISION])
    def test_an_apply_needs_the_revision_in_force(self, base: int) -> None:
        cluster = Cluster()
        apply = ApplyDeclarations("a", "ann", base, declare(), "", 2.0)
        assert cluster.run(apply).outcome == "conflict"

    def test_a_change_of_one_subject_needs_no_base(self) -> None:
        """A change is accepted, its answer is lost, another one follows.

        The resend reaches a voter that has applied more since. It is the
        same change with no base of its own, and gets the first answer.
        """
        cluster = Cluster()
        drain = DrainVm("d", "ann", ANY_REVISION, "vm-1", "", 2.0)
        first = cluster.run(drain)
        assert first.outcome == "applied"
        cluster.run(DrainVm("e", "bob", ANY_REVISION, "vm-2", "", 2.0))
        again = cluster.run(drain._replace(now_s=3.0))
        assert again == first._replace(duplicate=True)


class TestAuditEntry:
    def test_it_names_subject_base_and_what_was_said(self) -> None:
        cluster = Cluster()
        drain = DrainVm("d", "ann", 1, "vm-1", "new kernel", 2.0)
        cluster.run(drain)
        entry = cluster.machine.audit(0, 10)[-1]
        assert entry.subject == "vm-1"
        assert entry.base_revision == 1
        assert entry.message == "new kernel"
        assert entry.evidence == ""

    def test_the_message_of_an_apply_is_no_evidence(self) -> None:
        cluster = Cluster()
        cluster.run(ApplyDeclarations("a", "ann", 1, declare(), "first", 2.0))
        entry = cluster.machine.audit(0, 10)[-1]
        assert (entry.message, entry.evidence) == ("first", "")


class TestWithdrawal:
    def test_declarations_do_not_bring_a_version_back(self) -> None:
        """A withdrawn version stays so, whatever files are applied later.

        Somebody withdraws nest@2 in a hurry; the files still declare it.
        The next apply, and one that drops and declares it anew, are
        accepted and say that it stays withdrawn.
        """
        cluster = Cluster()
        cluster.declare(declare())
        cluster.withdraw("nest@2")
        result = cluster.declare(declare(profiles={}, customers={}))
        assert result.outcome == "applied"
        assert "stays withdrawn" in result.notes[0]
        assert cluster.machine.in_force().withdrawn == ("nest@2",)

    def test_reinstate_is_the_only_way_back(self) -> None:
        cluster = Cluster()
        cluster.declare(declare())
        cluster.withdraw("nest@2")
        cluster.run(Reinstate("r", "ann", 3, "nest@2", "mended", 4.0))
        assert cluster.machine.in_force().withdrawn == ()

    def test_a_declared_withdrawal_is_one_as_well(self) -> None:
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

    def test_an_unknown_version_is_a_typing_error(self) -> None:
        cluster = Cluster()
        cluster.declare(declare())
        result = cluster.withdraw("nest@22")
        assert result.outcome == "refused"
        assert "nest@2, nest@3" in result.message

    def test_it_needs_no_base_revision(self) -> None:
        cluster = Cluster()
        cluster.declare(declare())
        assert cluster.withdraw("nest@2", ANY_REVISION).outcome == "applied"
        assert cluster.withdraw("nest@2", ANY_REVISION).outcome == "unchanged"


class TestDeclarations:
    def test_all_findings_come_together(self) -> None:
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

    def test_the_same_again_makes_no_revision(self) -> None:
        cluster = Cluster()
        cluster.declare(declare())
        assert cluster.declare(declare()).outcome == "unchanged"
        assert cluster.machine.revision == 2


class TestOtherChanges:
    def test_each_is_seen_in_force_and_undone(self) -> None:
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
    def test_it_tells_who_changed_what_and_no_secret(self) -> None:
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


class TestSnapshot:
    def test_bytes_that_are_none_are_told_apart(self) -> None:
        with pytest.raises(SnapshotUnreadable):
            ConfigurationMachine().restore(b"\x93\x01")


class TestAnyDeclarations:
    @given(st.from_type(Declarations))
    def test_they_are_answered_and_never_raise(
        self, declarations: Declarations
    ) -> None:
        """An exception here would stop every replica at the same command.

        Whatever the types allow may reach the log from a faulty client.
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
    """Operators race, resend and restart; the promises are invariants."""

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
    def revision_never_falls(self) -> None:
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
        made = [e.revision for e in entries if e.outcome == "applied"]
        assert made == list(range(1, self.cluster.machine.revision + 1))

    def teardown(self) -> None:
        replica = ConfigurationMachine()
        for index, command in enumerate(self.cluster.log, start=1):
            replica.apply(index, command)
        assert replica.snapshot() == self.cluster.machine.snapshot()


TestConfigurationRules = ConfigurationRules.TestCase


class TestSize:
    def test_the_largest_document_is_taken(self) -> None:
        """An installation's routes grow until its document has 4 MiB.

        It is valid and within what may be sent, so it has to be accepted;
        refused for its size, the operator could never change anything.
        """
        cluster = Cluster()
        document = SourceDocument(7, bytes(4 * 1024 * 1024))
        result = cluster.declare(declare(document=document))
        assert result.outcome == "applied", result.message

    def test_what_is_larger_still_is_refused_with_its_size(self) -> None:
        cluster = Cluster()
        document = SourceDocument(7, bytes(MAX_DECLARATIONS_BYTES))
        result = cluster.declare(declare(document=document))
        assert result.outcome == "refused"
        assert str(MAX_DECLARATIONS_BYTES) in result.message
