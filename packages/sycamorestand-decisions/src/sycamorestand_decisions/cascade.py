"""At which step of a profile a request begins, and when it may stop.

The load pattern is a mix of classes of which cheap models answer some as
well as strong ones. Always strong pays several times too much; always
cheap first pays for both on hard classes, adds latency, and lets unrated
bad answers through. The quality target is a constraint for each class of
requests, cost (weighed with latency by the profile) is the objective.

A plan begins at one step and either accepts unrated answers or sends them
on. Its expected quality and cost follow from the learned pass rates and
from how often a rating comes while the answer waits. The cheapest plan
whose quality is at the target with `MARGIN_DEVIATIONS` to spare is taken;
where none is, the one of the highest quality. While a class is unknown,
requests begin at the strong step but for an explored share, whose answers
are accepted only with a good rating.

Shown by ``dev/bench decisions --scenario cascade`` and
``--scenario cascade-drift``.
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
# One deviation: at two, a class five points above the target needs
# hundreds of ratings before the cheap step is used; at none, half of the
# classes at the target are just below it.
MARGIN_DEVIATIONS: Final = 1.0
EXPLORED_RATINGS: Final = 40.0
# While a step is unknown, or may yet prove good enough. The rarer ratings
# are, the longer this lasts; its price is the cheap step's each time.
EXPLORE_UNDECIDED: Final = 0.2
# A class given up on may become easy again with a new version; two in a
# hundred requests find that out within a day and cost little.
EXPLORE_FLOOR: Final = 0.02
INLINE_STEP: Final = 0.02
# A plan is kept for this many answers of its class: a few hardly move
# an estimate, and planning costs more than the rest of a decision.
PLAN_EVERY: Final = 20
LATENCY_PRIOR_MS: Final = 500.0
# The bound on added latency holds for slow answers too, not the average
# one: token counts give answers twice the average in about one of ten.
SLOW_ANSWER: Final = 2.0


class StepPrice(NamedTuple):
    """The version that a step would use now, and its expected cost."""

    version: str
    expected_micros: float


class Plan(NamedTuple):
    """One way to answer, with what is expected of it."""

    first_step: int
    accepts_unrated: bool
    quality: float
    cost_micros: float
    latency_ms: float
    known: bool


class CascadeLearner:
    """What one process has learned about steps and request classes.

    ``first_step`` chooses where to begin; after each answer ``accept``
    tells whether it may be released; ``observe`` takes in the outcome,
    and again, with ``passed``, a rating that comes late.
    """

    def __init__(self) -> None:
        self._rates = PassRates()
        self._inline: dict[tuple[str, str], float] = {}
        self._prices: dict[str, tuple[StepPrice, ...]] = {}
        self._plans: dict[tuple[str, str, bool], Plan] = {}
        self._changes: dict[str, int] = {}

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

        A call that is not idempotent gets exactly one step: running it
        again at the next one would run it twice.
        """
        self._set_prices(profile.name, prices)
        plan = self.plan(profile, request_class, idempotent)
        if not idempotent or not plan.first_step:
            return plan.first_step
        step = plan.first_step - 1
        if not self._in_time(profile, request_class, step):
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
        """Tell whether a step's answer may be released to the caller."""
        if not idempotent or step >= len(profile.steps) - 1:
            return True
        self._learn_inline(profile.name, request_class, rating is not None)
        if rating is not None:
            return rating >= PASS_RATING
        plan = self._evaluate(profile, request_class, step, True)
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
        """Learn from one answer.

        ``escalated`` tells that an earlier step failed the same request:
        those are harder, and counted by themselves. A late rating of an
        answer observed before comes with a cost of zero.
        """
        if cost_micros > 0:
            self._rates.observe_use(
                step_version, request_class, cost_micros, latency_ms
            )
        self._count_change(request_class)
        if passed is not None:
            subject = _escalated(step_version) if escalated else step_version
            self._rates.observe(subject, request_class, passed)

    def observe_ratings(self, counts: Iterable[RatingCount]) -> None:
        """Take in ratings that other entries were given.

        Each entry alone sees few requests of a class: with ten of them
        it would take each ten times as long to learn that the cheap step
        is good enough, and the strong one is paid for meanwhile.
        """
        for count in counts:
            subject = count.version
            if count.escalated:
                subject = _escalated(subject)
            self._rates.observe_counts(
                subject, count.request_class, count.passed, count.rated
            )
            self._count_change(count.request_class, count.rated)

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
                self._single(profile, request_class, k)
                for k in range(last + 1)
            ]
        plans = [
            self._evaluate(profile, request_class, step, accepts)
            for step in range(last)
            for accepts in (True, False)
            if self._in_time(profile, request_class, step)
        ]
        return [*plans, self._single(profile, request_class, last)]

    def _choose_plan(
        self, profile: Profile, request_class: str, idempotent: bool
    ) -> Plan:
        plans = self.plans(profile, request_class, idempotent)
        good = [
            p for p in plans if p.known and p.quality >= profile.quality_target
        ]
        if not good:
            return max(plans, key=lambda p: (p.first_step, p.quality))
        strongest = plans[-1]
        return min(good, key=lambda p: _penalty(profile, p, strongest))

    def _set_prices(
        self, profile_name: str, prices: Sequence[StepPrice]
    ) -> None:
        if self._prices.get(profile_name) != tuple(prices):
            self._prices[profile_name] = tuple(prices)
            self._plans.clear()

    def _count_change(self, request_class: str, count: int = 1) -> None:
        before = self._changes.get(request_class, 0)
        self._changes[request_class] = before + count
        due = (before + count) // PLAN_EVERY > before // PLAN_EVERY
        if not due and len(self._changes) < MAX_CLASSES:
            return
        if len(self._changes) >= MAX_CLASSES:
            self._changes.clear()
        for key in [key for key in self._plans if key[1] == request_class]:
            del self._plans[key]

    def _evaluate(
        self, profile: Profile, request_class: str, step: int, accepts: bool
    ) -> Plan:
        """Return a plan from its first step on, all later ones included."""
        first = self._single(profile, request_class, step)
        if step >= len(profile.steps) - 1:
            return first
        nxt = self._evaluate(profile, request_class, step + 1, accepts)
        version = self._version(profile, step + 1)
        hard = self._rates.rate(_escalated(version), request_class)
        retried = _low(hard) if hard.ratings >= 10.0 else nxt.quality
        inline = self._inline.get((profile.name, request_class), 0.0)
        passed = first.quality
        if accepts:
            on = inline * (1.0 - passed)
            quality = passed + on * retried
        else:
            on = 1.0 - inline * passed
            unrated = (1.0 - inline) * nxt.quality
            quality = inline * passed + unrated
            quality += inline * (1.0 - passed) * retried
        return Plan(
            first_step=step,
            accepts_unrated=accepts,
            quality=quality,
            cost_micros=first.cost_micros + on * nxt.cost_micros,
            latency_ms=first.latency_ms + on * nxt.latency_ms,
            known=first.known,
        )

    def _single(self, profile: Profile, request_class: str, step: int) -> Plan:
        version = self._version(profile, step)
        rate = self._rates.rate(version, request_class)
        price = self._price(profile, step)
        return Plan(
            first_step=step,
            accepts_unrated=True,
            quality=_low(rate),
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

    def _in_time(
        self, profile: Profile, request_class: str, first_step: int
    ) -> bool:
        added_ms = sum(
            self._latency_ms(self._version(profile, step), request_class)
            for step in range(first_step, len(profile.steps) - 1)
        )
        return SLOW_ANSWER * added_ms <= profile.max_added_latency_ms

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

    def _learn_inline(
        self, profile_name: str, request_class: str, came: bool
    ) -> None:
        key = (profile_name, request_class)
        known = self._inline.get(key, 0.0)
        self._inline[key] = known + INLINE_STEP * (came - known)


def _low(rate: PassRate) -> float:
    return rate.low(MARGIN_DEVIATIONS)


def _escalated(version: str) -> str:
    # The suffix keeps the model's name in front of the separator, but
    # apart from it, so that hard requests do not spoil its estimate.
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
