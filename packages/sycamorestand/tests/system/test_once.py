"""A call that must not be repeated runs once, whichever process is lost."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
import time

import pytest

from sycamorestand_bench.fakes.faults import Fault
from sycamorestand_bench.system.calls import ANSWERED
from sycamorestand_bench.system.calls import order
from sycamorestand_bench.system.calls import Reply
from sycamorestand_bench.system.system import CONTROLS
from sycamorestand_bench.system.system import ENTRIES
from sycamorestand_bench.system.system import System
from sycamorestand_bench.system.system import VICTIM
from sycamorestand_bench.system.system import wait_for

SLOW_S = 2.0
RETRIES = 5
ORDERS = 20
PENDING_CODES = ("still_running", "outcome_unknown")
OTHERS = tuple(name for name in ENTRIES if name != VICTIM)


class TestLostEntry:
    def test_order_runs_once_despite_a_lost_entry(
        self, system: System
    ) -> None:
        """A caller sends one order to two entries at once.

        The entry that has dispatched it is killed before the answer. Each
        retry at another entry, while the service still runs the order and
        afterwards, must get the answer that the order is running or that
        its outcome is unknown. No retry runs the order again.
        """
        key = "order-of-a-lost-entry"
        with _slow_services(system):
            first = system.pool.submit(order, system.entry(VICTIM), key)
            wait_for(lambda: system.order_run_count(key), "the dispatch")
            second = order(system.entry(OTHERS[0]), key)
            system.cluster.kill(VICTIM)
            lost = first.result()
            during = _retry(system, key)
            time.sleep(SLOW_S)
        after = _retry(system, key)
        system.restart_entry(VICTIM)
        restarted = order(system.entry(VICTIM), key)

        assert lost.run == "cut"
        for reply in (second, *during, *after, restarted):
            assert (reply.run, reply.code in PENDING_CODES) == (
                "unknown",
                True,
            )
        assert system.order_run_count(key) == 1

    def test_answer_is_recorded_before_it_is_returned(
        self, system: System
    ) -> None:
        """An entry is killed right after it has answered an order.

        The outcome is durable before the answer is sent. So a retry at
        another entry must get the same answer and cause no second run.
        """
        key = "order-that-was-answered"
        first = order(system.entry(VICTIM), key)
        system.cluster.kill(VICTIM)
        retries = _retry(system, key)
        system.restart_entry(VICTIM)
        assert first.run == ANSWERED
        assert all(reply == first for reply in retries), retries
        assert system.order_run_count(key) == 1
        assert system.charges_by_key()[key] == 1


class TestTwoEntries:
    def test_order_at_several_entries_runs_once(self, system: System) -> None:
        """An order arrives at every entry at the same time.

        One entry gets the claim and runs the order. The others answer that
        it is running. Once it has ended, each returns the recorded answer.
        """
        for number in range(ORDERS):
            key = f"at-once-{number}"
            calls = [
                system.pool.submit(order, system.entry(name), key)
                for name in ENTRIES
            ]
            replies = [call.result() for call in calls]
            answers = {r.text for r in replies if r.run == ANSWERED}
            assert len(answers) == 1, replies
            for reply in replies:
                assert reply.run == ANSWERED or reply.code in PENDING_CODES
            again = _retry(system, key)
            assert {reply.text for reply in again} == answers, again
            assert system.order_run_count(key) == 1

    @pytest.mark.parametrize("control", CONTROLS)
    def test_order_runs_once_despite_a_lost_control_process(
        self, system: System, control: str
    ) -> None:
        """One control process is lost; in one case it leads the ledger.

        Each order is sent to two entries. Its claim is durable before the
        loss, and its outcome follows after it. Whichever control process
        then leads the ledger, the order must run once, and a retry must get
        the recorded outcome.
        """
        keys = [f"{control}-lost-{number}" for number in range(ORDERS // 2)]
        with _slow_services(system):
            calls = {
                key: [
                    system.pool.submit(order, system.entry(name), key)
                    for name in OTHERS
                ]
                for key in keys
            }
            for key in keys:
                wait_for(
                    lambda key=key: system.order_run_count(key), "a dispatch"
                )
            system.cluster.kill(control)
            replies = {
                key: [call.result() for call in pair]
                for key, pair in calls.items()
            }
        settled = {key: _recorded_answer(system, key) for key in keys}
        system.restart_control(control)
        system.cluster.wait_ready(control)
        charges_by_key = system.charges_by_key()
        for key in keys:
            assert system.order_run_count(key) == 1, (key, replies[key])
            for reply in replies[key]:
                known = reply.run == ANSWERED
                assert not known or reply == settled[key], reply
                assert reply.run != "not_run", reply
            assert charges_by_key[key] == 1


@contextmanager
def _slow_services(system: System) -> Iterator[None]:
    for service in system.world.services:
        service.switch.fault = Fault("late", pause_s=SLOW_S)
    try:
        yield
    finally:
        for service in system.world.services:
            service.switch.fault = Fault()


def _retry(system: System, key: str) -> list[Reply]:
    return [
        order(system.entry(OTHERS[number % len(OTHERS)]), key)
        for number in range(RETRIES)
    ]


def _recorded_answer(system: System, key: str) -> Reply:
    def answered() -> Reply | None:
        reply = order(system.entry(OTHERS[0]), key)
        return reply if reply.run == ANSWERED else None

    reply: Reply = wait_for(answered, f"the recorded answer of {key}")
    return reply
