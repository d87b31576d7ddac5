"""Workloads: the requests of a run with arrival times and deadlines."""

from __future__ import annotations

from math import exp
from random import Random
from typing import Final
from typing import Literal
from typing import NamedTuple
from typing import TYPE_CHECKING

from sycamorestand_bench.decisions.queue_model import FULL_BATCH_SLOWDOWN
from sycamorestand_bench.decisions.queue_model import PREFILL_TOKENS_PER_S
from sycamorestand_bench.decisions.queue_model import TOKEN_S

if TYPE_CHECKING:
    from collections.abc import Callable

User = Literal["guild", "authority"]

SERVER_CAPACITY: Final = 16
MEAN_INPUT: Final = 800
MEAN_OUTPUT: Final = 150
SIGMA: Final = 0.6
# Standard deviation of the logarithm of the error in callers' estimates.
ESTIMATE_SIGMA: Final = 0.4
DEADLINE_S: Final = 12.0
LONG_OUTPUT: Final = 2_000
LONG_DEADLINE_S: Final = 90.0
PREFIX_TOKENS: Final = 2_400


class Size(NamedTuple):
    """The sizes of a user's deployment that the queue model needs."""

    servers: int
    customers: int
    entries: int


SIZES: Final[dict[User, Size]] = {
    "guild": Size(servers=9, customers=10, entries=10),
    "authority": Size(servers=5, customers=10, entries=10),
}


class Request(NamedTuple):
    """One request of the workload.

    ``deadline_s`` is a time on the virtual clock, and ``expected_s`` the
    caller's estimate of the duration.
    """

    request_id: int
    arrival_s: float
    customer: str
    input_tokens: int
    output_tokens: int
    deadline_s: float
    expected_s: float
    priority: int = 2
    prefix: str | None = None
    is_long: bool = False


class Mix(NamedTuple):
    """The mix of requests in a scenario.

    ``load`` is the offered work as a share of the capacity; ``profile``
    scales it over time, by ``peak`` at most. ``flood_share`` of the requests
    come from the first two customers; ``only_small`` leaves these out.
    """

    load: float
    duration_s: float = 45.0
    profile: Callable[[float], float] | None = None
    peak: float = 1.0
    flood_share: float = 0.2
    only_small: bool = False
    long_share: float = 0.0
    hot_share: float = 0.0
    hot_keys: int = 3
    prefix_share: float = 0.0
    prefixes: int = 200


def capacity_rps(size: Size, mix: Mix) -> float:
    """Return the number of requests a second that the servers can finish."""
    work_s = mean_work_s(mix) * FULL_BATCH_SLOWDOWN
    return size.servers * SERVER_CAPACITY / work_s


def mean_work_s(mix: Mix) -> float:
    """Return the mean time of a request alone on a server, uncached."""
    mean = MEAN_INPUT / PREFILL_TOKENS_PER_S + MEAN_OUTPUT * TOKEN_S
    with_prefix = mix.hot_share + (1 - mix.hot_share) * mix.prefix_share
    mean += with_prefix * PREFIX_TOKENS / PREFILL_TOKENS_PER_S
    extra = (LONG_OUTPUT - MEAN_OUTPUT) * TOKEN_S
    return mean + mix.long_share * extra


def make_requests(size: Size, mix: Mix, random: Random) -> list[Request]:
    """Return the requests in order of arrival.

    The arrivals are a thinned Poisson process: candidates arrive at the
    peak rate, and each is kept with the probability that the profile gives.
    """
    rate = capacity_rps(size, mix) * mix.load
    requests: list[Request] = []
    now_s = 0.0
    while True:
        now_s += random.expovariate(rate * mix.peak)
        if now_s >= mix.duration_s:
            return requests
        scale = 1.0 if mix.profile is None else mix.profile(now_s)
        keep = random.random() < scale / mix.peak
        request = _draw_request(len(requests), now_s, size, mix, random)
        small = request.customer not in FLOODING
        if keep and (small or not mix.only_small):
            requests.append(request)


FLOODING: Final = ("c0", "c1")


def _draw_request(
    request_id: int, now_s: float, size: Size, mix: Mix, random: Random
) -> Request:
    is_long = random.random() < mix.long_share
    output = LONG_OUTPUT if is_long else _draw_tokens(MEAN_OUTPUT, random)
    tokens = _draw_tokens(MEAN_INPUT, random)
    prefix = _draw_prefix(mix, random)
    tokens += PREFIX_TOKENS if prefix else 0
    work_s = tokens / PREFILL_TOKENS_PER_S + output * TOKEN_S
    deadline_s = LONG_DEADLINE_S if is_long else DEADLINE_S
    return Request(
        request_id=request_id,
        arrival_s=now_s,
        customer=_draw_customer(size, mix, random),
        input_tokens=tokens,
        output_tokens=output,
        deadline_s=now_s + deadline_s,
        expected_s=work_s * exp(random.gauss(0.0, ESTIMATE_SIGMA)),
        prefix=prefix,
        is_long=is_long,
    )


def _draw_customer(size: Size, mix: Mix, random: Random) -> str:
    if random.random() < mix.flood_share:
        return random.choice(FLOODING)
    return f"c{random.randrange(len(FLOODING), size.customers)}"


def _draw_prefix(mix: Mix, random: Random) -> str | None:
    if random.random() < mix.hot_share:
        return f"hot{random.randrange(mix.hot_keys)}"
    if random.random() < mix.prefix_share:
        return f"prefix{random.randrange(mix.prefixes)}"
    return None


def _draw_tokens(mean: float, random: Random) -> int:
    # exp(gauss) has the mean exp(sigma^2 / 2), which the scale cancels.
    scale = mean / exp(SIGMA**2 / 2)
    return max(8, int(scale * exp(random.gauss(0.0, SIGMA))))


__all__ = [
    "capacity_rps",
    "FLOODING",
    "make_requests",
    "mean_work_s",
    "Mix",
    "Request",
    "SERVER_CAPACITY",
    "Size",
    "SIZES",
    "User",
]
