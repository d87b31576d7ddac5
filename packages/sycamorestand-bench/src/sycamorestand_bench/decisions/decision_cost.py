"""CPU time of the decisions for one request, by candidates and customers."""

from __future__ import annotations

from random import Random
import time
from typing import Final
from typing import TYPE_CHECKING

from sycamorestand_bench.decisions.cascade_model import PRICES
from sycamorestand_bench.decisions.cascade_model import profile_of
from sycamorestand_decisions.admission import Admission
from sycamorestand_decisions.admission import Ticket
from sycamorestand_decisions.cascade import CascadeLearner
from sycamorestand_decisions.cascade import request_class
from sycamorestand_decisions.cascade import RequestFeatures
from sycamorestand_decisions.retry import RetryBudget
from sycamorestand_decisions.selection import Candidate
from sycamorestand_decisions.selection import ServerSelector
from sycamorestand_decisions.versions import choose_version
from sycamorestand_model.declarations import Model
from sycamorestand_model.declarations import Version
from sycamorestand_model.in_force import InForce

if TYPE_CHECKING:
    from sycamorestand_bench.decisions.figures import Figures
    from sycamorestand_bench.decisions.workload import User

REQUESTS: Final = 2_000
IN_FLIGHT: Final = 40
CANDIDATES: Final = (3, 9, 30, 60, 120)
CUSTOMERS: Final = (10, 100, 1_000)
MODEL: Final = Model("small", "1", {"1": Version("small", "1", 1, 1)})


def decision_cost(user: User, seed: int) -> Figures:
    """Measure the CPU time of the decisions for one request.

    The slopes are microseconds for each further candidate and customer.
    """
    base_micros = _cost_micros(user, 60, 10, seed)
    row = {"cpu_us": base_micros, "refusal_us": _refusal_micros(seed)}
    for count in CANDIDATES:
        row[f"candidates_{count}"] = _cost_micros(user, count, 10, seed)
    for count in CUSTOMERS:
        row[f"customers_{count}"] = _cost_micros(user, 60, count, seed)
    row["per_candidate_us"] = (
        row["candidates_120"] - row["candidates_9"]
    ) / 111
    row["per_customer_us"] = (
        row["customers_1000"] - row["customers_10"]
    ) / 990
    return {"product": row}


def _cost_micros(
    user: User, candidates: int, customers: int, seed: int
) -> float:
    """Return the CPU time a request, with `IN_FLIGHT` always in flight."""
    random = Random(seed)
    state = _DecisionState(user, candidates, customers, random)
    for number in range(IN_FLIGHT):
        state.begin(number, 0.0)
    started_s = time.process_time()
    for number in range(IN_FLIGHT, IN_FLIGHT + REQUESTS):
        now_s = number * 0.01
        state.begin(number, now_s)
        state.end(number - IN_FLIGHT, now_s)
    return (time.process_time() - started_s) / REQUESTS * 1e6


def _refusal_micros(seed: int) -> float:
    """Return the CPU time of an offer that a full pool refuses."""
    admission = Admission()
    admission.set_capacity("small@1", 1)
    for number in range(100):
        admission.offer(_ticket(number, "c0", 0.0), 0.0)
    started_s = time.process_time()
    for number in range(100, 100 + REQUESTS):
        admission.offer(_ticket(number, "c0", 0.0), 0.0)
    return (time.process_time() - started_s) / REQUESTS * 1e6


class _DecisionState:
    """The decision objects that one entry holds."""

    def __init__(
        self, user: User, candidates: int, customers: int, random: Random
    ) -> None:
        self.admission = Admission()
        self.admission.set_capacity("small@1", IN_FLIGHT + 1)
        self.selector = ServerSelector(random)
        self.learner = CascadeLearner()
        self.retries = RetryBudget()
        self.profile = profile_of(user)
        self.in_force = InForce()
        self.random = random
        self.customers = [f"c{index}" for index in range(customers)]
        self.candidates = [
            Candidate(f"s{index}", 16, random.randrange(9), 0, 0.5)
            for index in range(candidates)
        ]
        self.server: dict[int, str] = {}

    def begin(self, number: int, now_s: float) -> None:
        """Make all decisions for a request up to its dispatch."""
        features = RequestFeatures("review", 100 * (number % 50))
        kind = request_class(features)
        self.learner.first_step(self.profile, kind, PRICES, now_s, self.random)
        choose_version(MODEL, self.in_force, self.random.random())
        customer = self.customers[number % len(self.customers)]
        self.admission.offer(_ticket(number, customer, now_s), now_s)
        key = f"session{number % 200}"
        name = self.selector.choose(self.candidates, now_s, key)
        if name is not None:
            self.server[number] = name
            self.selector.record_start(name, now_s)

    def end(self, number: int, now_s: float) -> None:
        """Record that a request finished with success."""
        kind = request_class(RequestFeatures("review", 100 * (number % 50)))
        name = self.server.pop(number, None)
        if name is not None:
            self.selector.record_first_byte(name, now_s, 0.1)
            self.selector.record_finish(name, now_s, 1.0, "ok")
        self.admission.finish(number, now_s, 1.0, False)
        self.admission.start_ready(now_s)
        self.learner.accept(self.profile, 0, kind, 1.0)
        self.learner.observe(
            self.profile.name, "small@1", kind, True, 100.0, 400.0
        )
        self.retries.record_success(self.customers[0], now_s)


def _ticket(number: int, customer: str, now_s: float) -> Ticket:
    return Ticket(number, customer, 1.0, "small@1", 2, now_s + 10.0, 1.0)


__all__ = ["decision_cost"]
