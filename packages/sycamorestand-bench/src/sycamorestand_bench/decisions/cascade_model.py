"""Simulation of cascades over request classes with known pass rates.

An answer is rated while the caller waits, later, or never. A request that
the cheap version fails is more likely to fail at the strong one as well.
The oracle policy knows every pass rate and takes, in each class, the plan
with the lowest penalty that reaches the quality target. Of the baselines,
one always starts at the strong step, the other always at the cheap one.
"""

from __future__ import annotations

from math import exp
from random import Random
from typing import Final
from typing import Literal
from typing import NamedTuple
from typing import TYPE_CHECKING

from sycamorestand_decisions.cascade import CascadeLearner
from sycamorestand_decisions.cascade import StepPrice
from sycamorestand_decisions.objective import penalty
from sycamorestand_model.declarations import CascadeStep
from sycamorestand_model.declarations import Objective
from sycamorestand_model.declarations import Profile

if TYPE_CHECKING:
    from sycamorestand_bench.decisions.workload import User

CascadePolicy = Literal["product", "oracle", "always-strong", "cheap-first"]
POLICIES: Final[tuple[CascadePolicy, ...]] = (
    "product",
    "oracle",
    "always-strong",
    "cheap-first",
)

REQUESTS: Final = 16_000
WARM_UP: Final = 6_000
# Share of the requests whose difficulty is the same for both versions. For
# the others the strong version passes or fails independently.
SHARED_DIFFICULTY: Final = 0.4
LATE_RATING_BATCH: Final = 500
COST_SIGMA: Final = 0.5


class Step(NamedTuple):
    """One version of the model, with its mean cost and latency."""

    version: str
    cost_micros: float
    latency_ms: float


class RequestKind(NamedTuple):
    """A request class: its share of the requests and pass rate per step."""

    name: str
    share: float
    pass_rates: tuple[float, ...]


class CascadeCase(NamedTuple):
    """The requests and ratings of one run.

    ``drifted`` replaces ``kinds`` halfway through the requests that follow
    the warm-up. ``inline`` and ``late`` are the shares of answers that are
    rated while the caller waits, and later.
    """

    kinds: tuple[RequestKind, ...]
    inline: float = 0.3
    late: float = 0.4
    drifted: tuple[RequestKind, ...] | None = None


class CascadeFigures(NamedTuple):
    """Results of one policy over the requests after the warm-up.

    Cost and latency are means for each request; ``worst_class`` is the
    lowest pass rate of any class.
    """

    cost_micros: float
    quality: float
    latency_ms: float
    worst_class: float


STEPS: Final = (Step("small@1", 100.0, 400.0), Step("large@1", 1_000.0, 1_500))
PRICES: Final = tuple(StepPrice(s.version, s.cost_micros) for s in STEPS)
TARGET: Final = 0.9
KINDS: Final = (
    RequestKind("stock/s/single", 0.20, (0.985, 0.99)),
    RequestKind("status/s/single", 0.15, (0.97, 0.985)),
    RequestKind("summary/m/single", 0.15, (0.95, 0.97)),
    RequestKind("quote/m/chat", 0.10, (0.93, 0.97)),
    RequestKind("note/m/single", 0.10, (0.86, 0.96)),
    RequestKind("review/l/chat", 0.15, (0.70, 0.95)),
    RequestKind("nesting/l/chat", 0.10, (0.45, 0.94)),
    RequestKind("season/xl/chat", 0.05, (0.25, 0.93)),
)
# The mix shifts to hard classes, "summary" becomes hard and "note" easy.
DRIFTED: Final = (
    RequestKind("stock/s/single", 0.10, (0.985, 0.99)),
    RequestKind("status/s/single", 0.10, (0.97, 0.985)),
    RequestKind("summary/m/single", 0.15, (0.65, 0.97)),
    RequestKind("quote/m/chat", 0.10, (0.93, 0.97)),
    RequestKind("note/m/single", 0.15, (0.95, 0.96)),
    RequestKind("review/l/chat", 0.20, (0.70, 0.95)),
    RequestKind("nesting/l/chat", 0.15, (0.45, 0.94)),
    RequestKind("season/xl/chat", 0.05, (0.25, 0.93)),
)
CASES: Final = {
    "cascade": CascadeCase(KINDS),
    "cascade-late-ratings": CascadeCase(KINDS, inline=0.0, late=0.3),
    "cascade-drift": CascadeCase(KINDS, drifted=DRIFTED),
}


def profile_of(user: User) -> Profile:
    """Return the example profile of a user.

    The guild gives cost the higher weight, the authority latency and
    exposure.
    """
    objective = (
        Objective(cost_weight=3.0)
        if user == "guild"
        else Objective(latency_weight=3.0, exposure_weight=3.0)
    )
    return Profile(
        name=f"{user}-assistant",
        steps=tuple(CascadeStep(s.version.split("@")[0]) for s in STEPS),
        quality_target=TARGET,
        objective=objective,
    )


def run_cascade(
    case: CascadeCase, user: User, policy: CascadePolicy, seed: int
) -> CascadeFigures:
    """Run all requests under one policy.

    The same seed gives the same requests under every policy.
    """
    random = Random(seed)
    runner = _PolicyRunner(case, profile_of(user), policy, Random(seed + 1))
    cost = latency_ms = 0.0
    counts_by_class: dict[str, list[int]] = {}
    late: list[_Answer] = []
    for number in range(REQUESTS):
        kinds = case.kinds
        if case.drifted and number >= (REQUESTS + WARM_UP) // 2:
            kinds = case.drifted
        request = _draw_request(kinds, random)
        answers = runner.answer(request, kinds)
        late.extend(answers)
        if len(late) >= LATE_RATING_BATCH:
            for answer in late:
                runner.rate_late(answer)
            late.clear()
        if number < WARM_UP:
            continue
        cost += sum(a.cost_micros for a in answers)
        latency_ms += sum(a.latency_ms for a in answers)
        counts = counts_by_class.setdefault(request.kind.name, [0, 0])
        counts[0] += answers[-1].passed
        counts[1] += 1
    measured = REQUESTS - WARM_UP
    return CascadeFigures(
        cost_micros=cost / measured,
        quality=sum(c[0] for c in counts_by_class.values()) / measured,
        latency_ms=latency_ms / measured,
        worst_class=min(c[0] / c[1] for c in counts_by_class.values()),
    )


class _Request(NamedTuple):
    kind: RequestKind
    passes: tuple[bool, ...]
    scale: float
    rated: tuple[float, ...]


class _Answer(NamedTuple):
    kind: RequestKind
    step: int
    passed: bool
    cost_micros: float
    latency_ms: float
    escalated: bool
    rated_late: bool


class _PolicyRunner:
    """Runs the steps of requests as one policy decides."""

    def __init__(
        self,
        case: CascadeCase,
        profile: Profile,
        policy: CascadePolicy,
        random: Random,
    ) -> None:
        self._case = case
        self._profile = profile
        self._policy = policy
        self._random = random
        self._learner = CascadeLearner()

    def answer(
        self, request: _Request, kinds: tuple[RequestKind, ...]
    ) -> list[_Answer]:
        """Run the steps of one request until an answer is accepted."""
        answers: list[_Answer] = []
        step, accepts = self._first_step(request.kind)
        failed_before = False
        while True:
            answer = self._run_step(request, step, failed_before)
            answers.append(answer)
            inline = request.rated[step] < self._case.inline
            self._record(answer, answer.passed if inline else None)
            if self._accepts(answer, inline, accepts):
                return answers
            failed_before = inline
            step += 1

    def rate_late(self, answer: _Answer) -> None:
        """Report an answer's late rating, if it has one, to the learner."""
        if answer.rated_late and self._policy == "product":
            self._learner.observe(
                self._profile.name,
                STEPS[answer.step].version,
                answer.kind.name,
                answer.passed,
                0.0,
                0.0,
                answer.escalated,
            )

    def _first_step(self, kind: RequestKind) -> tuple[int, bool]:
        if self._policy == "always-strong":
            return len(STEPS) - 1, True
        if self._policy == "cheap-first":
            return 0, True
        if self._policy == "oracle":
            return oracle_plan(kind, self._case.inline, self._profile)
        step = self._learner.first_step(
            self._profile, kind.name, PRICES, 0.0, self._random
        )
        return step, True

    def _accepts(self, answer: _Answer, inline: bool, accepts: bool) -> bool:
        if self._policy == "product":
            rating = float(answer.passed) if inline else None
            return self._learner.accept(
                self._profile, answer.step, answer.kind.name, rating
            )
        if answer.step == len(STEPS) - 1:
            return True
        return answer.passed if inline else accepts

    def _run_step(
        self, request: _Request, step: int, escalated: bool
    ) -> _Answer:
        rated = request.rated[step]
        inline, late = self._case.inline, self._case.late
        return _Answer(
            kind=request.kind,
            step=step,
            passed=request.passes[step],
            cost_micros=STEPS[step].cost_micros * request.scale,
            latency_ms=STEPS[step].latency_ms * request.scale,
            escalated=escalated,
            rated_late=inline <= rated < inline + late,
        )

    def _record(self, answer: _Answer, passed: bool | None) -> None:
        if self._policy == "product":
            self._learner.observe(
                self._profile.name,
                STEPS[answer.step].version,
                answer.kind.name,
                passed,
                answer.cost_micros,
                answer.latency_ms,
                answer.escalated,
            )


def oracle_plan(
    kind: RequestKind, inline: float, profile: Profile
) -> tuple[int, bool]:
    """Return the feasible plan with the lowest penalty.

    A plan is its first step and whether it accepts unrated answers of that
    step. Starting at the strong step is always feasible; a plan that starts
    at the cheap step must be expected to reach the quality target.
    """
    cheap, strong = kind.pass_rates
    strong_after_failure = _pass_after_failure(cheap, strong)
    plans = [
        (
            cheap + inline * (1 - cheap) * strong_after_failure,
            inline * (1 - cheap),
            (0, True),
        ),
        (
            inline * (cheap + (1 - cheap) * strong_after_failure)
            + (1 - inline) * strong,
            1 - inline * cheap,
            (0, False),
        ),
    ]
    direct = (penalty(profile.objective, 1.0, 1.0), (len(STEPS) - 1, True))
    feasible = [direct]
    for quality, escalated, plan in plans:
        if quality >= TARGET:
            cost = STEPS[0].cost_micros / STEPS[1].cost_micros + escalated
            latency = STEPS[0].latency_ms / STEPS[1].latency_ms + escalated
            feasible.append((penalty(profile.objective, cost, latency), plan))
    return min(feasible)[1]


def _pass_after_failure(cheap: float, strong: float) -> float:
    """Return the strong step's pass rate on requests the cheap one failed."""
    shared = max(0.0, strong - cheap) / (1 - cheap) if cheap < 1 else 0.0
    return SHARED_DIFFICULTY * shared + (1 - SHARED_DIFFICULTY) * strong


def _draw_request(kinds: tuple[RequestKind, ...], random: Random) -> _Request:
    kind = random.choices(kinds, [k.share for k in kinds])[0]
    difficulty = random.random()
    independent = random.random()
    strong = difficulty if random.random() < SHARED_DIFFICULTY else independent
    passes = (
        difficulty < kind.pass_rates[0],
        strong < kind.pass_rates[1],
    )
    scale = exp(random.gauss(0.0, COST_SIGMA) - COST_SIGMA**2 / 2)
    return _Request(kind, passes, scale, (random.random(), random.random()))


__all__ = [
    "CascadeCase",
    "CascadeFigures",
    "CASES",
    "oracle_plan",
    "POLICIES",
    "profile_of",
    "run_cascade",
    "TARGET",
]
