from __future__ import annotations

from random import Random

import pytest

from sycamorestand_decisions.cascade import CascadeLearner
from sycamorestand_decisions.cascade import request_class
from sycamorestand_decisions.cascade import RequestFeatures
from sycamorestand_decisions.cascade import StepPrice
from sycamorestand_model.declarations import CascadeStep
from sycamorestand_model.declarations import Objective
from sycamorestand_model.declarations import Profile

PROFILE = Profile("nest", (CascadeStep("small"), CascadeStep("large")), 0.9)
PRICES = (StepPrice("small@1", 100.0), StepPrice("large@1", 1_000.0))
KIND = "quote/m/single"


def learner_of(
    cheap_passes: float, ratings: int, inline: bool = True
) -> CascadeLearner:
    learner = CascadeLearner()
    learner.first_step(PROFILE, KIND, PRICES, 0.0, Random(1))
    for number in range(ratings):
        passed = number % 100 < 100 * cheap_passes
        observe(learner, "small@1", passed, 100.0)
        observe(learner, "large@1", number % 100 < 98, 1_000.0)
        if inline:
            learner.accept(PROFILE, 0, KIND, float(passed))
    return learner


def observe(
    learner: CascadeLearner, version: str, passed: bool | None, cost: float
) -> None:
    learner.observe(PROFILE.name, version, KIND, passed, cost, 400.0)


def mean_first_step(learner: CascadeLearner, idempotent: bool = True) -> float:
    random = Random(2)
    steps = [
        learner.first_step(PROFILE, KIND, PRICES, 0.0, random, idempotent)
        for _ in range(400)
    ]
    return sum(steps) / len(steps)


class TestFirstStep:
    def test_unknown_class_begins_strong_except_for_an_explored_share(
        self,
    ) -> None:
        assert 0.7 <= mean_first_step(learner_of(0.0, 0)) <= 0.9

    def test_good_cheap_step_is_used(self) -> None:
        assert mean_first_step(learner_of(0.98, 300)) == 0.0

    def test_bad_cheap_step_is_still_explored_a_little(self) -> None:
        share = mean_first_step(learner_of(0.3, 300))
        assert 0.94 <= share < 1.0

    def test_without_ratings_no_cheap_answer_is_released(self) -> None:
        """The rating service is down from the first day.

        No answer of the cheap version is known to be good. Unrated answers
        must not be released, and most requests must begin strong: at a higher
        cost, but with the quality that the profile demands.
        """
        learner = learner_of(0.0, 0)
        for _ in range(300):
            observe(learner, "small@1", None, 100.0)
        assert mean_first_step(learner) >= 0.7
        assert not learner.accept(PROFILE, 0, KIND, None)

    def test_bound_on_added_latency_excludes_the_cheap_step(self) -> None:
        """The cheap step takes 400 ms and the profile allows 100 ms.

        A request that escalates to the last step would add more latency than
        the profile allows, so none may begin at the cheap step.
        """
        learner = learner_of(0.95, 300)
        low_latency = PROFILE._replace(max_added_latency_ms=100)
        step = learner.first_step(low_latency, KIND, PRICES, 0.0, Random(1))
        assert step == 1

    def test_a_call_that_is_not_idempotent_is_never_explored(self) -> None:
        """Guards against running a call twice that must run once.

        The call gets one step, chosen by its pass rate alone. Its answer is
        released whatever the rating is, because the next step would run the
        call again.
        """
        learner = learner_of(0.3, 300)
        assert mean_first_step(learner, idempotent=False) == 1.0
        assert learner.accept(PROFILE, 0, KIND, 0.0, idempotent=False)

    def test_a_new_version_starts_from_its_models_ratings(self) -> None:
        learner = learner_of(0.98, 300)
        prices = (StepPrice("small@2", 100.0), PRICES[1])
        random = Random(3)
        steps = [
            learner.first_step(PROFILE, KIND, prices, 0.0, random)
            for _ in range(200)
        ]
        assert 0 < sum(steps) < 200


class TestAccept:
    def test_a_rating_decides(self) -> None:
        learner = learner_of(0.98, 300)
        assert learner.accept(PROFILE, 0, KIND, 0.9)
        assert not learner.accept(PROFILE, 0, KIND, 0.1)

    def test_the_last_step_is_always_released(self) -> None:
        assert CascadeLearner().accept(PROFILE, 1, KIND, 0.0)

    @pytest.mark.parametrize(
        ("passes", "accepted"), [(0.98, True), (0.5, False)]
    )
    def test_unrated_answers_follow_the_pass_rate_of_the_class(
        self, passes: float, accepted: bool
    ) -> None:
        learner = learner_of(passes, 300, inline=False)
        assert learner.accept(PROFILE, 0, KIND, None) is accepted


class TestDrift:
    def test_a_class_that_becomes_hard_begins_strong_again(self) -> None:
        """The mix drifts: requests of a class become hard.

        Ratings arrive late, so bad answers are released. After some hundred
        ratings the old ones have decayed, and the class must begin strong
        again.
        """
        learner = learner_of(0.98, 400, inline=False)
        for number in range(200):
            observe(learner, "small@1", number % 2 == 0, 100.0)
        assert mean_first_step(learner) >= 0.75


class TestObjective:
    def test_latency_weight_may_prefer_the_strong_step(self) -> None:
        """The cheap version is slow and the strong one is fast.

        The Guild's weight is on cost, so its requests begin cheap. The
        Authority's callers wait for answers, so its requests begin strong.
        """
        learner = learner_of(0.98, 50)
        for _ in range(300):
            learner.observe("nest", "small@1", KIND, True, 100.0, 900.0)
            learner.observe("nest", "large@1", KIND, True, 150.0, 300.0)
        guild = PROFILE._replace(objective=Objective(5.0, 1.0, 1.0))
        authority = PROFILE._replace(
            name="nest-fast", objective=Objective(1.0, 5.0, 1.0)
        )
        random = Random(1)
        args = (KIND, PRICES, 0.0, random)
        assert learner.first_step(guild, *args) == 0
        learner.first_step(authority, *args)
        assert learner.plan(authority, KIND).first_step == 1


class TestRequestClass:
    def test_names_task_size_and_kind(self) -> None:
        features = RequestFeatures("review", 1_000, turns=3)
        assert request_class(features) == "review/m/chat"

    def test_long_labels_are_cut(self) -> None:
        assert len(request_class(RequestFeatures("x" * 999, 10))) < 50
