"""Replicas of both state machines, fed with generated commands."""

from __future__ import annotations

from typing import Any

from hypothesis import Phase
from hypothesis import settings
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
import hypothesis.strategies as st
import pytest

from sycamorestand_model.declarations import Declarations
from sycamorestand_model.ledger import Claim
from sycamorestand_model.routes import SourceDocument
from sycamorestand_peer.codec import pack_configuration
from sycamorestand_peer.codec import unpack_configuration
from sycamorestand_state.claims import ClaimLimits
from sycamorestand_state.codec import encode_state
from sycamorestand_state.commands import ANY_REVISION
from sycamorestand_state.commands import ApplyDeclarations
from sycamorestand_state.commands import CODES
from sycamorestand_state.commands import Command
from sycamorestand_state.commands import CreateCluster
from sycamorestand_state.commands import encode_command
from sycamorestand_state.configuration import ConfigurationMachine
from sycamorestand_state.ledger import CODES as RECORD_KINDS
from sycamorestand_state.ledger import encode_batch
from sycamorestand_state.ledger import LedgerLimits
from sycamorestand_state.ledger import LedgerMachine

from .generated import valid_declarations
from .generated import values

CHANGES = st.one_of(*(values(kind) for kind in CODES.values()))
# A failing sequence is shown as it was found: making it shorter takes minutes.
GENERATED = settings(
    max_examples=80, stateful_step_count=25, phases=(Phase.generate,)
)
SMALL_LIMITS = {
    "audit_trail.MAX_TRAIL_BYTES": 1_500,
    "audit_trail.MAX_ENTRIES": 8,
    "audit_trail.MAX_LINES": 3,
    "audit_trail.MAX_LINES_CHARACTERS": 200,
    "change_ids.MAX_ANSWERS_BYTES": 900,
    "change_ids.MAX_CHANGE_IDS": 6,
    "order_book.MAX_FINISHED_ORDERS": 2,
}
FEW_RECORDS = LedgerLimits(ClaimLimits(3, 9, 20), 3, 3, 3)
RECORDS = st.one_of(*(values(kind) for kind in RECORD_KINDS.values()))


class ConfigurationReplicas(RuleBasedStateMachine):
    """A replica that applies every command, and one that often restarts."""

    def __init__(self) -> None:
        super().__init__()
        self.steady = ConfigurationMachine()
        self.restarted = ConfigurationMachine()
        self.index = 0

    @initialize()
    def create(self) -> None:
        self.apply(CreateCluster("create", "ann", 1.0, "c", b"k", 1, "hash"))

    @rule(declarations=valid_declarations())
    def declare(self, declarations: Declarations) -> None:
        document = SourceDocument(self.index, b"%d" % self.index)
        command = ApplyDeclarations(
            f"declare-{self.index}",
            "ann",
            self.steady.revision,
            declarations._replace(document=document),
            "",
            2.0,
        )
        assert self.apply(command).outcome in ("applied", "refused")

    @rule(change=CHANGES, any_revision=st.booleans())
    def change(self, change: Any, any_revision: bool) -> None:
        if hasattr(change, "base_revision"):
            base = ANY_REVISION if any_revision else self.steady.revision
            change = change._replace(
                change_id=f"change-{self.index}", base_revision=base
            )
        self.apply(change)

    @rule()
    def restart(self) -> None:
        self.restarted = ConfigurationMachine()
        self.restarted.restore(self.steady.snapshot())

    @invariant()
    def both_replicas_have_the_same_state(self) -> None:
        assert self.steady.snapshot() == self.restarted.snapshot()

    @invariant()
    def no_handler_has_failed(self) -> None:
        assert self.steady.faults == 0

    @invariant()
    def entries_can_read_what_is_pushed(self) -> None:
        in_force = self.steady.in_force()
        read = unpack_configuration(pack_configuration(in_force))
        assert encode_state(read) == encode_state(in_force)

    def apply(self, command: Command) -> Any:
        self.index += 1
        encoded = encode_command(command)
        results = [
            machine.apply(self.index, encoded)
            for machine in (self.steady, self.restarted)
        ]
        assert results[0] == results[1]
        return results[0]


class LedgerReplicas(RuleBasedStateMachine):
    """A replica that applies every batch, and one that often restarts."""

    @initialize(limits=st.sampled_from((LedgerLimits(), FEW_RECORDS)))
    def create(self, limits: LedgerLimits) -> None:
        self.limits = limits
        self.steady = LedgerMachine(0, limits)
        self.restarted = LedgerMachine(0, limits)

    @rule(
        records=st.lists(RECORDS, max_size=4),
        now_s=values(float),
        is_same_clock=st.booleans(),
    )
    def apply(
        self, records: list[Any], now_s: float, is_same_clock: bool
    ) -> None:
        if is_same_clock:
            records = [
                record._replace(now_s=now_s)
                if hasattr(record, "now_s")
                else record
                for record in records
            ]
        batch = encode_batch(records, now_s)
        results = [
            machine.apply(1, batch)
            for machine in (self.steady, self.restarted)
        ]
        assert results[0] == results[1]
        assert len(results[0]) == len(records)

    @rule(now_s=st.floats(0, 1e11))
    def advance_time(self, now_s: float) -> None:
        self.apply([Claim("guild", "k", "f", "a", now_s)], now_s, True)

    @rule()
    def restart(self) -> None:
        self.restarted = LedgerMachine(0, self.limits)
        self.restarted.restore(self.steady.snapshot())

    @invariant()
    def both_replicas_have_the_same_state(self) -> None:
        assert self.steady.faults == 0
        assert self.steady.snapshot() == self.restarted.snapshot()


class TestConfigurationReplicas(ConfigurationReplicas.TestCase):
    """Guards against a committed change that ends every control process."""

    settings = GENERATED


class TestShortHistory(ConfigurationReplicas.TestCase):
    """Guards against replicas that forget different parts of their history."""

    settings = GENERATED

    @pytest.fixture(autouse=True)
    def limits(self, monkeypatch: pytest.MonkeyPatch) -> None:
        for name, limit in SMALL_LIMITS.items():
            monkeypatch.setattr(f"sycamorestand_state.{name}", limit)


class TestLedgerReplicas(LedgerReplicas.TestCase):
    """Guards against a committed batch that ends every control process."""

    settings = GENERATED
