"""Test the rating client against the faults of the rating service."""

from __future__ import annotations

import pytest

from sycamorestand_bench.fakes.declared import SMALL
from sycamorestand_bench.fakes.faults import Fault
from sycamorestand_bench.fakes.loopback import serve_on_port
from sycamorestand_bench.fakes.rating import FakeRating
from sycamorestand_entry.metrics import Metrics
from sycamorestand_entry.rating import RatedAnswer
from sycamorestand_entry.rating import RatingClient

pytestmark = pytest.mark.anyio

ANSWER = RatedAnswer("guild", SMALL, "any/s/single", [{}], "Cut A first.")
CASES = [
    (Fault(), 0.75),
    (Fault("slow", pause_s=0.05), 0.75),
    (Fault("late"), None),
    (Fault("silent"), None),
    (Fault("cut"), None),
    (Fault("refuse"), None),
    (Fault("error"), None),
    (Fault("garbage"), None),
    (Fault("wrong_type"), None),
]


class TestRatingFaults:
    @pytest.mark.parametrize(("fault", "expected"), CASES)
    async def test_client_returns_a_rating_or_none_within_the_timeout(
        self, fault: Fault, expected: float | None
    ) -> None:
        """Guard against a fault of the service that raises in the entry.

        The client returns a valid rating or None within its timeout, and
        the next call returns a rating.
        """
        rating = FakeRating({SMALL: 0.75})
        rating.switch.fault = fault
        async with serve_on_port(rating.application) as address:
            client = RatingClient(f"http://{address}", 0.3, Metrics())
            assert await client.rate(ANSWER) == expected
            rating.switch.fault = Fault()
            assert await client.rate(ANSWER) == 0.75
            await client.close()

    async def test_unreachable_service_gives_no_rating(self) -> None:
        client = RatingClient("http://127.0.0.1:1", 0.3, Metrics())
        assert await client.rate(ANSWER) is None
        await client.close()
