from __future__ import annotations

from sycamorestand_decisions.retry import HedgeBudget
from sycamorestand_decisions.retry import RetryBudget


class TestRetryBudget:
    def test_a_failing_pool_gets_few_retries(self) -> None:
        """Every request of every customer fails, a thousand in a second.

        Without a budget the pool would get a thousand more. Here it gets
        what was saved up, at most a tenth.
        """
        budget = RetryBudget()
        granted = sum(
            budget.may_retry(f"c{number % 10}", 0.001 * number, "error")
            for number in range(1_000)
        )
        assert 1 <= granted <= 100

    def test_one_customer_cannot_spend_the_budget_of_others(self) -> None:
        budget = RetryBudget()
        while budget.may_retry("broken", 0.0, "error"):
            pass
        assert budget.may_retry("healthy", 0.0, "error")

    def test_overload_is_never_retried(self) -> None:
        budget = RetryBudget()
        assert not budget.may_retry("guild", 0.0, "overloaded")

    def test_successes_earn_a_tenth(self) -> None:
        budget = RetryBudget()
        while budget.may_retry("guild", 0.0, "error"):
            pass
        for _ in range(50):
            budget.record_success("guild", 0.0)
        granted = 0
        while budget.may_retry("guild", 0.0, "error"):
            granted += 1
        assert 4 <= granted <= 6

    def test_a_quiet_customer_may_retry_after_a_while(self) -> None:
        budget = RetryBudget()
        while budget.may_retry("guild", 0.0, "error"):
            pass
        assert budget.may_retry("guild", 10.0, "error")


class TestHedgeBudget:
    def test_only_idempotent_requests_that_wait_long_are_hedged(self) -> None:
        budget = HedgeBudget()
        assert not budget.may_hedge(0.0, 99.0, False)
        assert not budget.may_hedge(0.0, 0.0, True)
        assert budget.may_hedge(0.0, 99.0, True)

    def test_hedges_stay_a_small_share(self) -> None:
        """All servers become slow together, every request waits long.

        Hedging all would double the load. The budget lets through its
        savings and two in a hundred.
        """
        budget = HedgeBudget()
        hedged = 0
        for _ in range(1_000):
            budget.observe(0.1, 0.0)
            hedged += budget.may_hedge(0.0, 99.0, True)
        assert hedged <= 26
