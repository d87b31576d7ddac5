from __future__ import annotations

from sycamorestand_decisions.retry import HedgeBudget
from sycamorestand_decisions.retry import RetryBudget


class TestRetryBudget:
    def test_a_failing_pool_gets_few_retries(self) -> None:
        """All of a thousand requests in a second fail, for every customer.

        Without a budget the pool would get a thousand more. With it, retries
        are limited to the saved-up budget, at most a tenth.
        """
        budget = RetryBudget()
        granted = sum(
            budget.spend_retry(f"c{number % 10}", 0.001 * number, "error")
            for number in range(1_000)
        )
        assert 1 <= granted <= 100

    def test_one_customer_cannot_spend_the_budget_of_others(self) -> None:
        budget = RetryBudget()
        while budget.spend_retry("broken", 0.0, "error"):
            pass
        assert budget.spend_retry("healthy", 0.0, "error")

    def test_overload_is_never_retried(self) -> None:
        budget = RetryBudget()
        assert not budget.spend_retry("guild", 0.0, "overloaded")

    def test_successes_earn_a_tenth(self) -> None:
        budget = RetryBudget()
        while budget.spend_retry("guild", 0.0, "error"):
            pass
        for _ in range(50):
            budget.record_success("guild", 0.0)
        granted = 0
        while budget.spend_retry("guild", 0.0, "error"):
            granted += 1
        assert 4 <= granted <= 6

    def test_a_quiet_customer_may_retry_after_a_while(self) -> None:
        budget = RetryBudget()
        while budget.spend_retry("guild", 0.0, "error"):
            pass
        assert budget.spend_retry("guild", 10.0, "error")


class TestHedgeBudget:
    def test_only_idempotent_requests_that_wait_long_are_hedged(self) -> None:
        budget = HedgeBudget()
        assert not budget.spend_hedge(0.0, 99.0, False)
        assert not budget.spend_hedge(0.0, 0.0, True)
        assert budget.spend_hedge(0.0, 99.0, True)

    def test_hedges_stay_a_small_share(self) -> None:
        """All servers become slow together, so every request waits long.

        Hedging all requests would double the load. The budget allows its
        initial content and two in a hundred requests.
        """
        budget = HedgeBudget()
        hedged = 0
        for _ in range(1_000):
            budget.observe(0.1, 0.0)
            hedged += budget.spend_hedge(0.0, 99.0, True)
        assert hedged <= 26
