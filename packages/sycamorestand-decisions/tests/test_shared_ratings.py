from __future__ import annotations

from random import Random

from sycamorestand_decisions.cascade import CascadeLearner
from sycamorestand_decisions.cascade import StepPrice
from sycamorestand_decisions.pass_rates import MAX_EFFECTIVE_RATINGS
from sycamorestand_decisions.pass_rates import PassRates
from sycamorestand_model.declarations import CascadeStep
from sycamorestand_model.declarations import Profile
from sycamorestand_model.entry_reports import RatingCount

CLASS = "review"
PROFILE = Profile("review", (CascadeStep("small"), CascadeStep("large")), 0.8)
PRICES = (StepPrice("small@1", 10.0), StepPrice("large@1", 100.0))


def median_first_step(learner: CascadeLearner) -> int:
    """Return the step that most requests begin at."""
    random = Random(1)
    steps = [
        learner.first_step(PROFILE, CLASS, PRICES, 0.0, random)
        for _ in range(101)
    ]
    return sorted(steps)[50]


class TestSharedRatings:
    def test_an_entry_learns_from_the_others(self) -> None:
        """A new entry knows nothing of a class.

        Alone it would begin at the strong step until forty of its own answers
        are rated. The ratings of other entries show that the cheap step is
        good.
        """
        learner = CascadeLearner()
        assert median_first_step(learner) == 1
        learner.observe_ratings(
            [RatingCount("small@1", CLASS, False, 95, 100)]
        )
        assert median_first_step(learner) == 0

    def test_a_step_with_bad_ratings_elsewhere_is_not_begun_at(self) -> None:
        learner = CascadeLearner()
        learner.observe_ratings(
            [RatingCount("small@1", CLASS, False, 30, 100)]
        )
        assert median_first_step(learner) == 1

    def test_ratings_of_escalated_requests_are_counted_separately(
        self,
    ) -> None:
        learner = CascadeLearner()
        learner.observe_ratings([RatingCount("small@1", CLASS, True, 0, 200)])
        learner.observe_ratings(
            [RatingCount("small@1", CLASS, False, 95, 100)]
        )
        assert median_first_step(learner) == 0


class TestCounts:
    def test_a_batch_counts_like_its_ratings_one_by_one(self) -> None:
        batch, single = PassRates(), PassRates()
        batch.observe_counts("small@1", CLASS, 15, 20)
        for number in range(20):
            single.observe("small@1", CLASS, number % 4 != 3)
        one = single.rate("small@1", CLASS)
        many = batch.rate("small@1", CLASS)
        assert abs(one.mean - many.mean) < 0.01
        assert abs(one.ratings - many.ratings) < 1.0

    def test_a_large_batch_does_not_outweigh_the_memory(self) -> None:
        rates = PassRates()
        rates.observe_counts("small@1", CLASS, 9_000, 10_000)
        found = rates.rate("small@1", CLASS)
        assert found.ratings <= MAX_EFFECTIVE_RATINGS
        assert 0.88 < found.mean < 0.91
