"""Tests of learned prefill times and of ranks at the engines."""

from __future__ import annotations

from collections.abc import Callable
import heapq
from random import Random
from typing import NamedTuple

import pytest

from sycamorestand_decisions.prefill import engine_rank
from sycamorestand_decisions.prefill import FIRST_RANK_S
from sycamorestand_decisions.prefill import MIN_TOKENS
from sycamorestand_decisions.prefill import PrefillRates
from sycamorestand_decisions.prefill import RANKS

SIZES = ("small", "middle", "large")
SMALL_S = 3e-6
LARGE_S = 30e-6


class Prompt(NamedTuple):
    sent_s: float
    read_s: float
    kind: str


class TestPrefillRates:
    def test_learns_the_rate_despite_queueing(self) -> None:
        """Half of the requests queue, some of them for seconds."""
        random = Random(5)
        rates = PrefillRates()
        for _ in range(300):
            tokens = int(random.lognormvariate(8.5, 0.8))
            wait_s = random.expovariate(2.0) if random.random() < 0.5 else 0.0
            prefill_s = tokens * LARGE_S
            rates.observe("words", "large", tokens, prefill_s + wait_s)
        expected = rates.prefill_s("words", SIZES, 2, 10_000)
        assert expected == pytest.approx(10_000 * LARGE_S, rel=0.5)

    def test_follows_an_engine_that_became_slower(self) -> None:
        rates = PrefillRates()
        for rate_s in (SMALL_S, 4 * SMALL_S):
            for _ in range(100):
                rates.observe("words", "small", 5_000, 5_000 * rate_s)
        expected = rates.prefill_s("words", SIZES, 0, 5_000)
        assert expected == pytest.approx(4 * 5_000 * SMALL_S, rel=0.3)

    def test_a_short_prompt_is_ignored(self) -> None:
        rates = PrefillRates()
        before = rates.prefill_s("words", SIZES, 0, 5_000)
        rates.observe("words", "small", MIN_TOKENS - 1, 4.0)
        assert rates.prefill_s("words", SIZES, 0, 5_000) == before

    def test_an_unseen_model_is_slower_than_the_next_smaller_one(
        self,
    ) -> None:
        """The entry has just started and no request has escalated yet."""
        rates = PrefillRates()
        expected = [
            rates.prefill_s("words", SIZES, n, 9_000) for n in range(3)
        ]
        assert expected == sorted(set(expected))
        rates.observe("words", "small", 9_000, 9_000 * SMALL_S)
        expected = [
            rates.prefill_s("words", SIZES, n, 9_000) for n in range(3)
        ]
        assert expected == sorted(set(expected))

    def test_a_route_without_models_has_a_rate(self) -> None:
        rates = PrefillRates()
        rates.observe("words", "", 10_000, 0.5)
        assert rates.prefill_s("words", (), 0, 10_000) == pytest.approx(0.5)


class TestEngineRank:
    def test_longer_prefills_rank_later(self) -> None:
        ranks = [
            engine_rank(FIRST_RANK_S * 2**n / 1.5, 0, 1e9) for n in range(14)
        ]
        assert ranks == sorted(ranks)
        assert ranks[0] == 0
        assert ranks[-1] == RANKS - 1

    @pytest.mark.parametrize("priority", [0, 1, 2, 9, 40])
    def test_the_priority_decides_among_similar_prefills(
        self, priority: int
    ) -> None:
        rank = engine_rank(0.05, priority, 2.0)
        assert engine_rank(0.05, 0, 2.0) <= rank <= RANKS - 1

    def test_a_request_that_is_late_anyway_gets_the_last_rank(self) -> None:
        """After a burst, some requests have waited beyond their target.

        If they were prefilled before others, they would make requests late
        that can still be in time.
        """
        assert engine_rank(0.05, 0, left_s=0.04) == RANKS - 1
        assert engine_rank(0.05, 0, left_s=-3.0) == RANKS - 1
        assert engine_rank(0.05, 0, left_s=0.06) < RANKS - 1

    def test_ranks_make_fewer_requests_late(self) -> None:
        """One digest in five among short questions on a busy engine.

        In order of arrival, every question behind a digest of 50,000 tokens
        waits for seconds. With short prefills first, fewer requests of either
        kind are late, as the questions take a small part of the engine's time.
        """
        as_they_come = late_by_kind(simulate(lambda prompt: 0))
        ranked = late_by_kind(
            simulate(lambda prompt: engine_rank(prompt.read_s, 0, 2.0))
        )
        assert as_they_come["question"] > 0.05
        assert ranked["question"] < as_they_come["question"] / 5
        assert ranked["digest"] <= as_they_come["digest"]


def simulate(rank: Callable[[Prompt], int]) -> list[tuple[Prompt, float]]:
    """Return prompts with their waits at one engine that follows ranks."""
    prompts = _prompts()
    waiting: list[tuple[int, int, Prompt]] = []
    waits: list[tuple[Prompt, float]] = []
    now_s = 0.0
    number = 0
    while number < len(prompts) or waiting:
        if not waiting:
            now_s = max(now_s, prompts[number].sent_s)
        while number < len(prompts) and prompts[number].sent_s <= now_s:
            prompt = prompts[number]
            heapq.heappush(waiting, (rank(prompt), number, prompt))
            number += 1
        _, _, prompt = heapq.heappop(waiting)
        waits.append((prompt, now_s - prompt.sent_s))
        now_s += prompt.read_s
    return waits


def late_by_kind(waits: list[tuple[Prompt, float]]) -> dict[str, float]:
    """Return the share of each kind without a first event within 2 s."""
    late: dict[str, list[bool]] = {}
    for prompt, wait_s in waits:
        late.setdefault(prompt.kind, []).append(wait_s + prompt.read_s > 2.0)
    return {kind: sum(found) / len(found) for kind, found in late.items()}


def _prompts() -> list[Prompt]:
    random = Random(11)
    prompts = []
    now_s = 0.0
    for _ in range(4_000):
        now_s += random.expovariate(7.0)
        if random.random() < 0.2:
            tokens = min(60_000, random.lognormvariate(9.0, 1.0))
            prompts.append(Prompt(now_s, tokens * LARGE_S, "digest"))
        else:
            prompts.append(Prompt(now_s, 0.03, "question"))
    return prompts
