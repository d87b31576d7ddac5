from __future__ import annotations

import math
from typing import NamedTuple

from hypothesis import settings
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
import hypothesis.strategies as st
import msgspec
import pytest

from sycamorestand_model.ledger import Charge
from sycamorestand_model.ledger import Claim
from sycamorestand_model.ledger import Dispatch
from sycamorestand_model.ledger import LedgerRecord
from sycamorestand_model.ledger import LedgerResult
from sycamorestand_model.ledger import Outcome
from sycamorestand_model.ledger import Pin
from sycamorestand_state.bills import charges_csv
from sycamorestand_state.bills import totals_csv
from sycamorestand_state.claims import ClaimLimits
from sycamorestand_state.claims import DISPATCHED_AGE_S
from sycamorestand_state.claims import MAX_DELAY_S
from sycamorestand_state.claims import NOT_KEPT_CONTENT_TYPE
from sycamorestand_state.claims import TAKEOVER_AGE_S
from sycamorestand_state.errors import SnapshotUnreadable
from sycamorestand_state.errors import UnknownCommand
from sycamorestand_state.ledger import decode_batch
from sycamorestand_state.ledger import encode_batch
from sycamorestand_state.ledger import LedgerLimits
from sycamorestand_state.ledger import LedgerMachine
from sycamorestand_state.ledger import shard_of
from sycamorestand_state.pins import MAX_IDLE_S
from sycamorestand_state.tombstones import GENERATION_S
from sycamorestand_state.tombstones import WINDOW_S

START_S = 1_800_000_000.0
SMALL = LedgerLimits(ClaimLimits(2, 8, 12), charges=2, pins=2, tombstones=3)


class Shard:
    """A ledger with its log, so that a test can replay the log."""

    def __init__(self, limits: LedgerLimits | None = None) -> None:
        self.limits = limits
        self.machine = LedgerMachine(0, limits)
        self.log: list[bytes] = []
        self.now_s = START_S

    def run(self, *records: LedgerRecord) -> list[LedgerResult]:
        self.log.append(encode_batch(records, self.now_s))
        return self.machine.apply(len(self.log), self.log[-1])

    def claim(
        self, key: str = "k", owner: str = "a", content: str = "f"
    ) -> LedgerResult:
        return self.run(Claim("guild", key, content, owner, self.now_s))[0]

    def dispatch(self, key: str = "k", owner: str = "a") -> LedgerResult:
        return self.run(Dispatch("guild", key, owner, "b1"))[0]

    def outcome(
        self, state: str, owner: str = "a", answer: bytes = b"", key: str = "k"
    ) -> LedgerResult:
        return self.run(
            Outcome("guild", key, owner, state, 200, "text/plain", answer)
        )[0]

    def charge(self, key: str = "k", cost_micros: int = 5) -> LedgerResult:
        return self.run(
            Charge("guild", key, "nest@1", cost_micros, 2, 3, self.now_s)
        )[0]

    def pin(self, session: str, version: str) -> LedgerResult:
        return self.run(Pin("guild", session, version, self.now_s))[0]


@pytest.fixture
def shard() -> Shard:
    return Shard()


@pytest.fixture
def small() -> Shard:
    return Shard(SMALL)


class TestClaims:
    def test_a_second_caller_gets_the_recorded_answer(
        self, shard: Shard
    ) -> None:
        assert shard.claim().state == "created"
        assert shard.dispatch().state == "ok"
        assert shard.claim(owner="b").claim_state == "dispatched"
        shard.outcome("done", answer=b"held")
        second = shard.claim(owner="b")
        assert (second.state, second.claim_state) == ("exists", "done")
        assert (second.status, second.answer) == (200, b"held")

    def test_other_content_with_the_same_key_conflicts(
        self, shard: Shard
    ) -> None:
        shard.claim()
        assert shard.claim(content="other").state == "conflict"

    @pytest.mark.parametrize("owner", ["a", "b"])
    def test_only_one_dispatch_succeeds(
        self, shard: Shard, owner: str
    ) -> None:
        """Guards against a request that runs twice.

        The owner's dispatch is durable but its answer is lost. Neither a
        resend nor another attempt may get an "ok" for the same claim.
        """
        shard.claim()
        shard.dispatch()
        assert shard.dispatch(owner=owner).state == "conflict"

    def test_not_run_permits_another_attempt_in_the_same_batch(
        self, shard: Shard
    ) -> None:
        shard.claim()
        shard.dispatch()
        results = shard.run(
            Outcome("guild", "k", "a", "not_run"),
            Claim("guild", "k", "f", "a2", shard.now_s),
            Dispatch("guild", "k", "a2", "b2"),
        )
        assert [r.state for r in results] == ["ok", "created", "ok"]

    def test_a_late_not_run_does_not_release_a_later_attempts_claim(
        self, shard: Shard
    ) -> None:
        """Guards against a late record that lets a request run twice.

        Attempt a reports that it did not run; a2 claims and runs. Then a
        resend of a's outcome "not_run", or of its claim, arrives.
        """
        shard.claim()
        shard.outcome("not_run")
        shard.claim(owner="a2")
        shard.dispatch(owner="a2")
        assert shard.outcome("not_run").state == "conflict"
        assert shard.claim().state == "conflict"
        assert shard.claim(owner="c").claim_state == "dispatched"

    def test_an_undispatched_claim_is_taken_over(self, shard: Shard) -> None:
        """Guards against a retry that is blocked by a dead entry's claim.

        The entry claimed and died before its dispatch, so nothing was
        sent. If it is still alive, its later dispatch gets a conflict.
        """
        shard.claim()
        shard.now_s += TAKEOVER_AGE_S - 1.0
        assert shard.claim(owner="b").state == "exists"
        shard.now_s += 1.0
        assert shard.claim(owner="b").state == "created"
        assert shard.dispatch().state == "conflict"
        assert shard.dispatch(owner="b").state == "ok"

    def test_a_dispatched_claim_becomes_unknown_and_never_runs_again(
        self, shard: Shard
    ) -> None:
        """Guards against running a request that may have run already.

        The entry died after its dispatch, so it is unknown whether the
        backend server ran the request. If the owner is still alive and the
        answer arrives late, the answer is recorded.
        """
        shard.claim()
        shard.dispatch()
        shard.now_s += DISPATCHED_AGE_S
        assert shard.claim(owner="b").claim_state == "unknown"
        assert shard.dispatch(owner="b").state == "conflict"
        assert shard.outcome("not_run").state == "conflict"
        assert shard.outcome("done", answer=b"late").state == "ok"
        assert shard.claim(owner="b").answer == b"late"

    def test_done_needs_a_dispatch(self, shard: Shard) -> None:
        shard.claim()
        assert shard.outcome("done").state == "conflict"

    def test_a_resent_outcome_does_not_conflict(self, shard: Shard) -> None:
        shard.claim()
        shard.dispatch()
        shard.outcome("done", answer=b"x")
        assert shard.outcome("done", answer=b"x").state == "ok"
        assert shard.outcome("unknown").claim_state == "done"


class TestRetention:
    def test_a_key_is_known_for_the_whole_window(self, shard: Shard) -> None:
        shard.claim()
        shard.now_s += WINDOW_S
        assert shard.claim(owner="b").state == "created"
        shard.dispatch(owner="b")
        shard.now_s += WINDOW_S
        assert shard.claim(owner="c").claim_state == "unknown"
        shard.now_s += WINDOW_S + 1.0
        assert shard.claim(owner="d").state == "created"

    def test_an_evicted_key_is_expired_and_not_new(self, small: Shard) -> None:
        """Guards against a retry within the window that runs again.

        The full record of the first claim was evicted for newer ones. Its
        tombstone shows that the key was used.
        """
        small.claim("k0")
        small.dispatch("k0")
        small.outcome("done", key="k0")
        small.claim("k1")
        small.claim("k2")
        assert small.claim("k0", owner="b").state == "expired"
        assert small.outcome("unknown", key="k0").state == "expired"
        small.now_s += WINDOW_S + GENERATION_S + 1.0
        assert small.claim("k0", owner="c").state == "created"

    def test_a_full_shard_refuses_new_keys(self, small: Shard) -> None:
        states = [small.claim(f"k{number}").state for number in range(6)]
        assert states == ["created"] * 5 + ["full"]
        charged = [small.charge(f"k{number}").state for number in range(6)]
        assert charged == ["created"] * 5 + ["full"]
        assert small.charge("k0").state == "expired"

    def test_answers_are_bounded_and_states_are_kept(
        self, small: Shard
    ) -> None:
        """Guards against an empty body that is returned as the full answer.

        The call ran and its answer was recorded, then evicted for newer
        answers. The retry must learn that the call ran and that its answer
        is not kept.
        """
        for key, answer in (("k0", b"12345678"), ("k1", b"1234567")):
            small.claim(key)
            small.dispatch(key)
            small.outcome("done", answer=answer, key=key)
        assert small.machine.fill().answers_bytes == 7
        retry = small.claim("k0", owner="b")
        assert (retry.claim_state, retry.answer) == ("done", b"")
        assert retry.content_type == NOT_KEPT_CONTENT_TYPE
        small.claim("k2")
        small.dispatch("k2")
        small.outcome("done", answer=b"123456789", key="k2")
        assert (
            small.claim("k2", owner="b").content_type == NOT_KEPT_CONTENT_TYPE
        )

    def test_one_wrong_clock_expires_no_keys(self, shard: Shard) -> None:
        """Guards against keys that expire early and run twice.

        First the leader's clock is a year ahead, then an entry's.
        """
        shard.claim()
        ahead_s = START_S + 365 * 86_400.0
        batch = encode_batch([Pin("g", "s", "v", START_S)], ahead_s)
        shard.machine.apply(2, batch)
        shard.run(Pin("g", "s", "v", ahead_s))
        assert shard.claim(owner="b").claim_state == "claimed"

    def test_a_claim_that_was_delayed_too_long_is_expired(
        self, shard: Shard
    ) -> None:
        """Guards against a claim that a suspended entry sends a day late.

        The request ran elsewhere meanwhile and its key expired after the
        window, so the ledger knows nothing of the key.
        """
        shard.pin("s", "v")
        late = Claim("guild", "k", "f", "a", START_S - MAX_DELAY_S - 1.0)
        assert shard.run(late)[0].state == "expired"


class TestCharges:
    def test_a_second_charge_returns_the_first_cost(
        self, shard: Shard
    ) -> None:
        assert shard.charge(cost_micros=5).state == "created"
        again = shard.charge(cost_micros=9)
        assert (again.state, again.cost_micros) == ("exists", 5)
        assert shard.machine.bills(None, 0, 9).totals[0].cost_micros == 5

    @pytest.mark.parametrize("cost_micros", [-1, 2**62])
    def test_an_implausible_charge_is_refused(
        self, shard: Shard, cost_micros: int
    ) -> None:
        assert shard.charge(cost_micros=cost_micros).state == "conflict"
        assert shard.machine.bills(None, 0, 9).totals == ()

    def test_totals_remain_after_single_charges_expire(
        self, shard: Shard
    ) -> None:
        shard.charge("k1", 5)
        shard.now_s += WINDOW_S + 1.0
        shard.charge("k2", 7)
        bills = shard.machine.bills("guild", 0, 9)
        assert [(t.day, t.cost_micros) for t in bills.totals] == [
            ("2027-01-15", 5),
            ("2027-01-16", 7),
        ]
        assert [line.number for line in bills.charges] == [2]
        assert bills.dropped_until == 1

    def test_pages_of_charges_are_consecutive(self, shard: Shard) -> None:
        for number in range(5):
            shard.charge(f"k{number}")
        first = shard.machine.bills("guild", 0, 3)
        second = shard.machine.bills("guild", first.next_after, 3)
        assert [line.number for line in second.charges] == [4, 5]
        assert shard.machine.bills("other", 0, 3).totals == ()

    def test_csv_has_a_header_and_a_row_for_each_bill(
        self, shard: Shard
    ) -> None:
        shard.charge()
        bills = shard.machine.bills(None, 0, 9)
        assert totals_csv(bills).splitlines()[1] == (
            "guild,nest@1,2027-01-15,1,5,2,3"
        )
        assert charges_csv(bills).splitlines()[1].startswith("1,guild,k,")


class TestImplausibleFigures:
    """Guards against a batch that ends every control process."""

    @pytest.mark.parametrize("now_s", [math.nan, math.inf, 1e13])
    @pytest.mark.parametrize("entry_now_s", [math.nan, math.inf, 1e13])
    def test_time_without_a_date_does_not_move_the_clock(
        self, shard: Shard, now_s: float, entry_now_s: float
    ) -> None:
        records = (
            Claim("guild", "k", "f", "a", entry_now_s),
            Charge("guild", "k", "nest@1", 5, 2, 3, entry_now_s),
        )
        results = shard.machine.apply(1, encode_batch(records, now_s))
        assert [result.state for result in results] == ["created", "created"]
        assert shard.machine.snapshot()
        assert shard.charge("later").state == "created"
        assert shard.machine.faults == 0

    def test_total_that_no_snapshot_can_hold_is_refused(
        self, shard: Shard, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        limit = "sycamorestand_state.charges.MAX_TOTAL"
        monkeypatch.setattr(limit, 8)
        assert shard.charge("k1").state == "created"
        assert shard.charge("k2").state == "conflict"
        assert shard.charge("k3", cost_micros=3).state == "created"

    def test_record_whose_handler_fails_is_refused_alone(
        self, shard: Shard, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        def fail(*_: object) -> LedgerResult:
            raise ValueError

        monkeypatch.setattr(shard.machine._pins, "pin", fail)
        claim = Claim("guild", "k", "f", "a", START_S)
        pin = Pin("guild", "s", "nest@1", START_S)
        states = [result.state for result in shard.run(pin, claim)]
        assert states == ["conflict", "created"]
        assert shard.machine.faults == 1


class TestPins:
    def test_two_entries_agree_on_a_session(self, shard: Shard) -> None:
        assert shard.pin("s", "nest@1").version == "nest@1"
        assert shard.pin("s", "nest@2").version == "nest@1"

    def test_the_pin_of_a_session_in_use_is_never_evicted(
        self, small: Shard
    ) -> None:
        small.pin("s1", "nest@1")
        small.pin("s2", "nest@1")
        assert small.pin("s3", "nest@1").state == "full"
        small.now_s += MAX_IDLE_S
        assert small.pin("s1", "nest@2").version == "nest@1"
        small.now_s += 1.0
        assert small.pin("s2", "nest@2").state == "created"


class TestFormat:
    def test_a_batch_is_decoded_as_encoded(self) -> None:
        records = [
            Claim("g", "k", "f", "a", 1.0),
            Dispatch("g", "k", "a", "b"),
        ]
        assert decode_batch(encode_batch(records, 2.0)) == (2.0, records)

    def test_an_unknown_record_code_is_named_in_the_error(self) -> None:
        data = msgspec.msgpack.encode((1.0, [(99, [])]))
        with pytest.raises(UnknownCommand, match="code 99"):
            decode_batch(data)

    def test_a_snapshot_of_another_shard_is_refused(self) -> None:
        with pytest.raises(SnapshotUnreadable, match="shard 1"):
            LedgerMachine(0).restore(LedgerMachine(1).snapshot())

    def test_shards_are_stable_and_even(self) -> None:
        assert shard_of("guild", "k", 16) == 15
        counts = [0] * 4
        for number in range(4000):
            counts[shard_of("guild", f"k{number}", 4)] += 1
        assert min(counts) > 900


class Attempt(NamedTuple):
    owner: str
    key: str


# Most rules use one key, to provoke races; the other keys reach the bounds.
KEYS = st.sampled_from(["k0", "k0", "k0", "k0", "k1", "k2"])
RECENT = st.integers(1, 5)


class LedgerRules(RuleBasedStateMachine):
    """Entries claim, dispatch, die and resend in a network that reorders.

    A record that was sent may be delivered again at any time. Each key runs
    at most once and is charged at most once.
    """

    def __init__(self) -> None:
        super().__init__()
        self.shard = Shard(SMALL._replace(tombstones=2))
        self.sent: list[LedgerRecord] = []
        self.attempts: list[Attempt] = []
        self.owners_that_wrote: set[str] = set()
        self.owners_that_gave_up: set[str] = set()
        self.runs = {"k0": 0, "k1": 0, "k2": 0}
        self.charged = {"k0": 0, "k1": 0, "k2": 0}

    def _apply(self, record: LedgerRecord) -> None:
        self.sent.append(record)
        result = self.shard.run(record)[0]
        if isinstance(record, Charge) and result.state == "created":
            self.charged[record.request_key] += 1
        if isinstance(record, Dispatch) and result.state == "ok":
            self._write(record)

    def _write(self, record: Dispatch) -> None:
        # An entry that gave up waiting for the dispatch must not write.
        if record.owner in self.owners_that_gave_up:
            return
        assert record.owner not in self.owners_that_wrote
        self.owners_that_wrote.add(record.owner)
        if record.backend_server == "refuses":
            outcome = Outcome(
                "guild", record.request_key, record.owner, "not_run"
            )
            self.sent.append(outcome)
            return
        self.runs[record.request_key] += 1

    @rule(key=KEYS, server=st.sampled_from(["runs", "refuses"]))
    def claim_and_dispatch(self, key: str, server: str) -> None:
        self.claim(key)
        self.dispatch(1, server)

    @rule(key=KEYS)
    def claim(self, key: str) -> None:
        attempt = Attempt(f"a{len(self.attempts)}", key)
        self.attempts.append(attempt)
        now_s = self.shard.now_s
        self._apply(Claim("guild", key, "f", attempt.owner, now_s))

    @precondition(lambda self: self.attempts)
    @rule(recent=RECENT, server=st.sampled_from(["runs", "refuses"]))
    def dispatch(self, recent: int, server: str) -> None:
        attempt = self.attempts[-recent:][0]
        if (
            attempt.owner
            not in self.owners_that_wrote | self.owners_that_gave_up
        ):
            self._apply(Dispatch("guild", attempt.key, attempt.owner, server))

    @precondition(lambda self: self.attempts)
    @rule(recent=RECENT, state=st.sampled_from(["done", "unknown"]))
    def end(self, recent: int, state: str) -> None:
        attempt = self.attempts[-recent:][0]
        if attempt.owner in self.owners_that_wrote:
            self._apply(Outcome("guild", attempt.key, attempt.owner, state))

    @precondition(lambda self: self.attempts)
    @rule(recent=RECENT)
    def give_up(self, recent: int) -> None:
        attempt = self.attempts[-recent:][0]
        if attempt.owner not in self.owners_that_wrote:
            self.owners_that_gave_up.add(attempt.owner)
            self._apply(
                Outcome("guild", attempt.key, attempt.owner, "not_run")
            )

    @rule(key=KEYS, cost_micros=st.integers(1, 9))
    def charge(self, key: str, cost_micros: int) -> None:
        now_s = self.shard.now_s
        self._apply(Charge("guild", key, "v", cost_micros, 1, 1, now_s))

    @precondition(lambda self: self.sent)
    @rule(recent=st.integers(1, 12))
    def resend(self, recent: int) -> None:
        self._apply(self.sent[-recent:][0])

    @rule(step_s=st.sampled_from([1.0, TAKEOVER_AGE_S, DISPATCHED_AGE_S]))
    def advance_time(self, step_s: float) -> None:
        self.shard.now_s += step_s

    @rule()
    def restart_from_snapshot(self) -> None:
        restored = LedgerMachine(0, self.shard.limits)
        restored.restore(self.shard.machine.snapshot())
        assert restored.snapshot() == self.shard.machine.snapshot()
        self.shard.machine = restored

    @invariant()
    def each_key_runs_at_most_once(self) -> None:
        assert max(self.runs.values()) <= 1

    @invariant()
    def each_key_is_charged_at_most_once(self) -> None:
        assert max(self.charged.values()) <= 1
        totals = self.shard.machine.bills(None, 0, 9).totals
        charges = sum(total.charges for total in totals)
        assert charges == sum(self.charged.values())

    def teardown(self) -> None:
        replica = LedgerMachine(0, self.shard.limits)
        for index, command in enumerate(self.shard.log, start=1):
            replica.apply(index, command)
        assert replica.snapshot() == self.shard.machine.snapshot()


LedgerRules.TestCase.settings = settings(
    max_examples=400, stateful_step_count=40
)
TestLedgerRules = LedgerRules.TestCase
