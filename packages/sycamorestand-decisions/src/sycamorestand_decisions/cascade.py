"""Cascades: the step of a profile that a request begins at and ends at.

Some classes of requests are answered as well by cheap models as by strong
ones. Strong models alone cost several times too much. Beginning every request
at the cheap model pays for both models on hard classes, adds latency, and
releases bad answers that were not rated. The quality target is a constraint
for each class of requests; cost, weighted with latency by the profile, is the
objective.

A plan begins at one step and either accepts unrated answers or escalates them.
Its expected quality and cost follow from the learned pass rates and from how
often a rating arrives while the answer waits. The cheapest plan whose quality
meets the target with a margin of `MARGIN_DEVIATIONS` is used. If there is
none, requests begin at the strongest step. While a class is unknown, requests
begin at the strong step, except for an explored share whose answers are
accepted only with a good rating.
"""

from __future__ import annotations

from random import Random
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

from sycamorestand_decisions.objective import penalty
from sycamorestand_decisions.pass_rates import MAX_CLASSES
from sycamorestand_decisions.pass_rates import PassRate
from sycamorestand_decisions.pass_rates import PassRates
from sycamorestand_decisions.request_class import request_class
from sycamorestand_decisions.request_class import RequestFeatures

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from sycamorestand_model.declarations import Profile
    from sycamorestand_model.entry_reports import RatingCount

PASS_RATING: Final = 0.5
# In standard deviations. With two, a class five percentage points above the
# target needs hundreds of ratings before the cheap step is used; with none,
# half of the classes that seem to meet the target are just below it.
MARGIN_DEVIATIONS: Final = 1.0
EXPLORED_RATINGS: Final = 40.0
# Explored share while a step is unknown or may still prove good enough. The
# rarer ratings are, the longer this lasts, and each exploration costs the
# price of the cheap step.
EXPLORE_UNDECIDED: Final = 0.2
# Explored share of a class whose cheap step failed. The class may become easy
# with a new version; two in a hundred requests show that within a day at a low
# cost.
EXPLORE_FLOOR: Final = 0.02
INLINE_RATE_STEP: Final = 0.02
# A plan is kept for this many answers of its class. A few answers hardly
# change an estimate, and planning costs more than the rest of a decision.
REPLAN_ANSWERS: Final = 20
LATENCY_PRIOR_MS: Final = 500.0
# The bound on added latency must hold for slow answers as well as average
# ones. Token counts make about one in ten answers twice as slow as the
# average.
SLOW_ANSWER_FACTOR: Final = 2.0


class StepPrice(NamedTuple):
    """The version that a step would use now, and its expected cost."""

    version: str
    expected_micros: float


class Plan(NamedTuple):
    """One way to answer a request, with its expected results."""

    first_step: int
    accepts_unrated: bool
    quality: float
    cost_micros: float
    latency_ms: float
    known: bool


class CascadeLearner:
    """Learned results of steps by request class, and the plans from them.

    ``first_step`` chooses the step to begin at. After each answer, ``accept``
    decides whether to release it. ``observe`` records the outcome, and is
    called again with ``passed`` when a rating arrives late.
    """

    def __init__(self) -> None:
        self._rates = PassRates()
        self._inline_rates: dict[tuple[str, str], float] = {}
        self._prices: dict[str, tuple[StepPrice, ...]] = {}
        self._plans: dict[tuple[str, str, bool], Plan] = {}
        self._answer_counts: dict[str, int] = {}

    def first_step(
        self,
        profile: Profile,
        request_class: str,
        prices: Sequence[StepPrice],
        now_s: float,
        random: Random,
        idempotent: bool = True,
    ) -> int:
        """Return the index of the step to begin with.

        A call that is not idempotent gets exactly one step, because escalating
        it would run it twice.
        """
        self._set_prices(profile.name, prices)
        plan = self.plan(profile, request_class, idempotent)
        if not idempotent or not plan.first_step:
            return plan.first_step
        step = plan.first_step - 1
        if not self._is_in_time(profile, request_class, step):
            return plan.first_step
        share = self._explored_share(
            profile, prices[step].version, request_class
        )
        return step if random.random() < share else plan.first_step

    def accept(
        self,
        profile: Profile,
        step: int,
        request_class: str,
        rating: float | None,
        idempotent: bool = True,
    ) -> bool:
        """Return whether a step's answer may be released to the caller.

        The call also updates how often ratings arrive while the answer waits.
        """
        if not idempotent or step >= len(profile.steps) - 1:
            return True
        self._update_inline_rate(
            profile.name, request_class, rating is not None
        )
        if rating is not None:
            return rating >= PASS_RATING
        plan = self._plan_from(profile, request_class, step, True)
        return plan.known and plan.quality >= profile.quality_target

    def observe(
        self,
        profile_name: str,
        step_version: str,
        request_class: str,
        passed: bool | None,
        cost_micros: float,
        latency_ms: float,
        escalated: bool = False,
    ) -> None:
        """Record one answer.

        With ``escalated``, an earlier step failed the same request. Such
        requests are harder, so they are counted separately. A late rating of
        an answer that was observed before comes with a cost of zero.
        """
        if cost_micros > 0:
            self._rates.observe_use(
                step_version, request_class, cost_micros, latency_ms
            )
        self._count_answers(request_class)
        if passed is not None:
            subject = _escalated(step_version) if escalated else step_version
            self._rates.observe(subject, request_class, passed)

    def observe_ratings(self, counts: Iterable[RatingCount]) -> None:
        """Record ratings that other entries received.

        Each entry sees few requests of a class. Without the others' ratings,
        each of ten entries would take ten times as long to learn that the
        cheap step is good enough, and would pay for the strong step meanwhile.
        """
        for count in counts:
            subject = count.version
            if count.escalated:
                subject = _escalated(subject)
            self._rates.observe_counts(
                subject, count.request_class, count.passed, count.rated
            )
            self._count_answers(count.request_class, count.rated)

    def plan(
        self, profile: Profile, request_class: str, idempotent: bool = True
    ) -> Plan:
        """Return the plan that new requests of a class follow."""
        key = (profile.name, request_class, idempotent)
        plan = self._plans.get(key)
        if plan is None:
            plan = self._choose_plan(profile, request_class, idempotent)
            self._plans[key] = plan
        return plan

    def plans(
        self, profile: Profile, request_class: str, idempotent: bool = True
    ) -> list[Plan]:
        """Return every plan that keeps the bound on added latency."""
        last = len(profile.steps) - 1
        if not idempotent:
            return [
                self._single_step_plan(profile, request_class, k)
                for k in range(last + 1)
            ]
        plans = [
            self._plan_from(profile, request_class, step, accepts)
            for step in range(last)
            for accepts in (True, False)
            if self._is_in_time(profile, request_class, step)
        ]
        return [*plans, self._single_step_plan(profile, request_class, last)]

    def _choose_plan(
        self, profile: Profile, request_class: str, idempotent: bool
    ) -> Plan:
        plans = self.plans(profile, request_class, idempotent)
        acceptable = [
            p for p in plans if p.known and p.quality >= profile.quality_target
        ]
        if not acceptable:
            return max(plans, key=lambda p: (p.first_step, p.quality))
        strongest = plans[-1]
        return min(acceptable, key=lambda p: _penalty(profile, p, strongest))

    def _set_prices(
        self, profile_name: str, prices: Sequence[StepPrice]
    ) -> None:
        if self._prices.get(profile_name) != tuple(prices):
            self._prices[profile_name] = tuple(prices)
            self._plans.clear()

    def _count_answers(self, request_class: str, count: int = 1) -> None:
        before = self._answer_counts.get(request_class, 0)
        self._answer_counts[request_class] = before + count
        due = (before + count) // REPLAN_ANSWERS > before // REPLAN_ANSWERS
        if not due and len(self._answer_counts) < MAX_CLASSES:
            return
        if len(self._answer_counts) >= MAX_CLASSES:
            self._answer_counts.clear()
        for key in [key for key in self._plans if key[1] == request_class]:
            del self._plans[key]

    def _plan_from(
        self, profile: Profile, request_class: str, step: int, accepts: bool
    ) -> Plan:
        """Return the plan that begins at a step, including all later steps."""
        first = self._single_step_plan(profile, request_class, step)
        if step >= len(profile.steps) - 1:
            return first
        next_plan = self._plan_from(profile, request_class, step + 1, accepts)
        version = self._version(profile, step + 1)
        hard = self._rates.rate(_escalated(version), request_class)
        retried = (
            _lower_bound(hard) if hard.ratings >= 10.0 else next_plan.quality
        )
        inline = self._inline_rates.get((profile.name, request_class), 0.0)
        passed = first.quality
        if accepts:
            escalation_share = inline * (1.0 - passed)
            quality = passed + escalation_share * retried
        else:
            escalation_share = 1.0 - inline * passed
            unrated = (1.0 - inline) * next_plan.quality
            quality = inline * passed + unrated
            quality += inline * (1.0 - passed) * retried
        return Plan(
            first_step=step,
            accepts_unrated=accepts,
            quality=quality,
            cost_micros=first.cost_micros
            + escalation_share * next_plan.cost_micros,
            latency_ms=first.latency_ms
            + escalation_share * next_plan.latency_ms,
            known=first.known,
        )

    def _single_step_plan(
        self, profile: Profile, request_class: str, step: int
    ) -> Plan:
        version = self._version(profile, step)
        rate = self._rates.rate(version, request_class)
        price = self._price(profile, step)
        return Plan(
            first_step=step,
            accepts_unrated=True,
            quality=_lower_bound(rate),
            cost_micros=self._rates.cost(version, request_class, price),
            latency_ms=self._latency_ms(version, request_class),
            known=rate.ratings >= EXPLORED_RATINGS,
        )

    def _explored_share(
        self, profile: Profile, version: str, request_class: str
    ) -> float:
        rate = self._rates.rate(version, request_class)
        may_be_good = rate.mean + rate.deviation >= profile.quality_target
        if rate.ratings < EXPLORED_RATINGS or may_be_good:
            return EXPLORE_UNDECIDED
        return EXPLORE_FLOOR

    def _is_in_time(
        self, profile: Profile, request_class: str, first_step: int
    ) -> bool:
        added_ms = sum(
            self._latency_ms(self._version(profile, step), request_class)
            for step in range(first_step, len(profile.steps) - 1)
        )
        return SLOW_ANSWER_FACTOR * added_ms <= profile.max_added_latency_ms

    def _latency_ms(self, version: str, request_class: str) -> float:
        return self._rates.latency(version, request_class, LATENCY_PRIOR_MS)

    def _version(self, profile: Profile, step: int) -> str:
        prices = self._prices.get(profile.name, ())
        if step < len(prices):
            return prices[step].version
        return profile.steps[step].model

    def _price(self, profile: Profile, step: int) -> float:
        prices = self._prices.get(profile.name, ())
        return prices[step].expected_micros if step < len(prices) else 1.0

    def _update_inline_rate(
        self, profile_name: str, request_class: str, arrived: bool
    ) -> None:
        key = (profile_name, request_class)
        known = self._inline_rates.get(key, 0.0)
        self._inline_rates[key] = known + INLINE_RATE_STEP * (arrived - known)


def _lower_bound(rate: PassRate) -> float:
    return rate.low(MARGIN_DEVIATIONS)


def _escalated(version: str) -> str:
    # The prefix changes the model's name in front of the separator, so that
    # the ratings of hard requests do not affect the estimate of the model
    # itself.
    return f"escalated:{version}"


def _penalty(profile: Profile, plan: Plan, strongest: Plan) -> float:
    cost_ratio = plan.cost_micros / max(strongest.cost_micros, 1e-9)
    latency_ratio = plan.latency_ms / max(strongest.latency_ms, 1e-9)
    return penalty(profile.objective, cost_ratio, latency_ratio)


__all__ = [
    "CascadeLearner",
    "PASS_RATING",
    "Plan",
    "request_class",
    "RequestFeatures",
    "StepPrice",
]
