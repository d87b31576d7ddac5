"""Blocks of prompt parts are part of the configuration."""

from __future__ import annotations

from sycamorestand_model.prompt_parts import BlockedPart
from sycamorestand_model.prompt_parts import MAX_TRIALS
from sycamorestand_model.prompt_parts import PartTrial
from sycamorestand_state.blocked_parts import MAX_BLOCKED_PARTS
from sycamorestand_state.commands import ANY_REVISION
from sycamorestand_state.commands import BlockPart
from sycamorestand_state.commands import ReleasePart
from sycamorestand_state.commands import SYSTEM
from sycamorestand_state.commands import TryPart
from sycamorestand_state.configuration import ConfigurationMachine
from sycamorestand_state.results import ChangeResult

from .configurations import Cluster


class Parts(Cluster):
    """A cluster whose leader blocks, tries and releases parts."""

    def block(
        self, part: str, customer: str = "club", for_everyone: bool = False
    ) -> ChangeResult:
        command = BlockPart(
            f"block-{next(self.ids)}",
            SYSTEM,
            ANY_REVISION,
            part,
            (customer,),
            for_everyone,
            False,
            "4 servers ended under it",
            2.0,
        )
        return self.run(command)

    def trial(self, part: str, number: int) -> ChangeResult:
        change_id = f"try-{next(self.ids)}"
        return self.run(
            TryPart(change_id, SYSTEM, ANY_REVISION, part, number, "e", 3.0)
        )

    def release(self, part: str) -> ChangeResult:
        change_id = f"release-{next(self.ids)}"
        return self.run(
            ReleasePart(change_id, "ann", ANY_REVISION, part, "mended", 4.0)
        )

    @property
    def blocked(self) -> dict[str, BlockedPart]:
        return self.machine.in_force().blocked_parts


class TestBlock:
    def test_block_concerns_its_customers_and_is_kept(self) -> None:
        cluster = Parts()
        assert cluster.block("bad").outcome == "applied"
        assert cluster.block("bad").outcome == "unchanged"
        assert cluster.blocked["bad"].concerns("club")
        assert not cluster.blocked["bad"].concerns("school")
        restored = ConfigurationMachine()
        restored.restore(cluster.machine.snapshot())
        assert restored.in_force().blocked_parts == cluster.blocked

    def test_further_customers_join_and_trials_are_kept(self) -> None:
        cluster = Parts()
        cluster.block("bad")
        cluster.trial("bad", 1)
        cluster.block("bad", "school")
        assert cluster.blocked["bad"].customers == ("club", "school")
        assert cluster.blocked["bad"].trials == 1
        cluster.block("bad", "school", for_everyone=True)
        assert cluster.blocked["bad"].concerns("anybody")

    def test_audit_trail_has_the_evidence(self) -> None:
        cluster = Parts()
        cluster.block("bad")
        (entry,) = cluster.machine.audit(1, 9)
        assert (entry.kind, entry.subject) == ("BlockPart", "bad")
        assert entry.evidence == "4 servers ended under it"

    def test_bad_name_is_refused(self) -> None:
        cluster = Parts()
        assert cluster.block("").outcome == "refused"
        assert cluster.block("x" * 65).outcome == "refused"

    def test_oldest_goes_where_all_are_blocked_for_everyone_alone(
        self,
    ) -> None:
        """Guards against a full table that ends every control process."""
        cluster = Parts()
        for number in range(MAX_BLOCKED_PARTS + 1):
            command = BlockPart(
                f"b{number}", SYSTEM, -1, f"p{number}", (), True, True, "", 2.0
            )
            assert cluster.run(command).outcome == "applied"
        assert cluster.machine.faults == 0
        assert "p0" not in cluster.blocked
        assert len(cluster.blocked) == MAX_BLOCKED_PARTS

    def test_customer_that_makes_up_parts_pushes_out_its_own(self) -> None:
        """A flood of made-up names would bring back what ends servers."""
        cluster = Parts()
        cluster.block("theirs", "school")
        for number in range(2 * MAX_BLOCKED_PARTS):
            cluster.block(f"made-up-{number}")
        assert len(cluster.blocked) == MAX_BLOCKED_PARTS
        assert "theirs" in cluster.blocked
        assert "made-up-0" not in cluster.blocked

    def test_restored_voter_drops_the_same_part(self) -> None:
        """Voters that disagree on the oldest part diverge for good."""
        cluster = Parts()
        for number in reversed(range(MAX_BLOCKED_PARTS)):
            cluster.block(f"part-{number}")
        restored = ConfigurationMachine()
        restored.restore(cluster.machine.snapshot())
        cluster.block("one-more")
        restored.apply(len(cluster.log), cluster.log[-1])
        assert restored.in_force().blocked_parts == cluster.blocked


class TestTrials:
    def test_trials_are_numbered_and_bounded(self) -> None:
        cluster = Parts()
        cluster.block("bad")
        for number in range(1, MAX_TRIALS + 1):
            assert cluster.trial("bad", number).outcome == "applied"
            assert cluster.trial("bad", number).outcome == "refused"
            assert cluster.blocked["bad"].trial == PartTrial(number, "e")
        assert cluster.trial("bad", MAX_TRIALS + 1).outcome == "refused"

    def test_part_that_is_not_blocked_is_not_tried(self) -> None:
        assert Parts().trial("bad", 1).outcome == "unchanged"


class TestRelease:
    def test_released_part_is_blocked_anew_with_its_trials(self) -> None:
        cluster = Parts()
        cluster.block("bad")
        cluster.trial("bad", 1)
        assert cluster.release("bad").outcome == "applied"
        assert cluster.blocked == {}
        assert cluster.release("bad").outcome == "unchanged"
        cluster.block("bad")
        assert cluster.blocked["bad"].trials == 0
