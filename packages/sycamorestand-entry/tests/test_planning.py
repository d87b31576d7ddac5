"""Which version a request meets."""

from __future__ import annotations

from collections import Counter

import pytest

from sycamorestand_bench.fakes.declared import LARGE
from sycamorestand_bench.fakes.declared import LARGE_NEXT
from sycamorestand_bench.fakes.declared import OTHER_CALLER_KEY
from sycamorestand_bench.fakes.declared import SMALL
from sycamorestand_bench.fakes.declared import SMALL_NEXT
from sycamorestand_bench.fakes.engine import FakeEngine
from sycamorestand_bench.fakes.loopback import Loopback
from sycamorestand_bench.fakes.loopback import start_loopback
from sycamorestand_model.declarations import Rollout
from sycamorestand_model.in_force import RolloutShare

pytestmark = pytest.mark.anyio

EVERY = (SMALL, SMALL_NEXT, LARGE, LARGE_NEXT)


async def add_engine(loopback: Loopback) -> None:
    """Add an engine that holds every version."""
    await loopback.add_engine(FakeEngine("engine-1", EVERY), capacity=64)


def change(loopback: Loopback, **fields: object) -> None:
    """Change the configuration in force."""
    configuration = loopback.control.configuration
    loopback.control.configuration = configuration._replace(
        revision=configuration.revision + 1,
        **fields,  # type: ignore[arg-type]
    )


class TestRollout:
    async def test_share_of_new_work_meets_the_new_version(self) -> None:
        async with start_loopback() as loopback:
            await add_engine(loopback)
            share = RolloutShare("2", 0.25, 1, "running")
            change(loopback, shares={"nest-large": share})
            met: Counter[str] = Counter()
            for number in range(200):
                answer = await loopback.chat(
                    tokens=1, Idempotency_Key=f"request-{number}"
                )
                met[answer.headers["x-version"]] += 1
            assert 25 <= met[LARGE_NEXT] <= 80
            assert met[LARGE] == 200 - met[LARGE_NEXT]

    async def test_same_key_meets_the_same_version(self) -> None:
        async with start_loopback() as loopback:
            await add_engine(loopback)
            share = RolloutShare("2", 0.5, 1, "running")
            change(loopback, shares={"nest-large": share})
            met = {
                (await loopback.chat(Idempotency_Key="k")).headers["x-version"]
                for _ in range(5)
            }
            assert len(met) == 1

    async def test_quarantined_version_gets_nothing(self) -> None:
        """A roll-out's version is quarantined, its share not yet taken back.

        No new work meets it, whatever the share says.
        """
        async with start_loopback() as loopback:
            await add_engine(loopback)
            change(
                loopback,
                shares={"nest-large": RolloutShare("2", 1.0, 4, "running")},
                quarantined=(LARGE_NEXT,),
            )
            for _ in range(5):
                answer = await loopback.chat()
                assert answer.headers["x-version"] == LARGE


class TestWithdrawal:
    async def test_other_version_takes_over(self) -> None:
        async with start_loopback() as loopback:
            await add_engine(loopback)
            change(loopback, withdrawn=(LARGE,))
            answer = await loopback.chat()
            assert answer.headers["x-version"] == LARGE_NEXT

    async def test_stopped_rollout_does_not_take_over(self) -> None:
        """The stable version is withdrawn; a roll-out stands at no share.

        Its version showed harm or nothing yet, so the request is refused.
        """
        async with start_loopback() as loopback:
            await add_engine(loopback)
            change(
                loopback,
                withdrawn=(LARGE,),
                shares={"nest-large": RolloutShare("2", 0.0, 0, "stopped")},
            )
            error = (await loopback.chat()).json()["error"]
            assert (error["code"], error["run"]) == ("no_version", "not_run")

    async def test_a_roll_out_not_begun_does_not_take_over(self) -> None:
        """The next version is declared, its roll-out has not begun.

        The stable version is withdrawn in a hurry. The next one must not
        get all the work at once without having been seen at any share.
        """
        async with start_loopback() as loopback:
            await add_engine(loopback)
            declared = loopback.control.configuration.declarations
            rollouts = {"nest-large": Rollout("nest-large", "2")}
            change(
                loopback,
                withdrawn=(LARGE,),
                declarations=declared._replace(rollouts=rollouts),
            )
            error = (await loopback.chat()).json()["error"]
            assert (error["code"], error["run"]) == ("no_version", "not_run")

    async def test_all_versions_gone(self) -> None:
        async with start_loopback() as loopback:
            await add_engine(loopback)
            change(loopback, withdrawn=(LARGE, LARGE_NEXT))
            error = (await loopback.chat()).json()["error"]
            assert error["code"] == "no_version"


class TestCustomersList:
    async def test_only_the_named_version_is_met(self) -> None:
        async with start_loopback() as loopback:
            await add_engine(loopback)
            share = RolloutShare("2", 1.0, 4, "running")
            change(loopback, shares={"nest-small": share})
            answer = await loopback.chat("small", key=OTHER_CALLER_KEY)
            assert answer.headers["x-version"] == SMALL

    async def test_profile_without_an_allowed_model_is_refused(self) -> None:
        async with start_loopback() as loopback:
            await add_engine(loopback)
            answer = await loopback.chat("large", key=OTHER_CALLER_KEY)
            assert answer.json()["error"]["code"] == "not_allowed"
