"""The choice of the version that a request runs on."""

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

ALL_VERSIONS = (SMALL, SMALL_NEXT, LARGE, LARGE_NEXT)


async def add_engine(loopback: Loopback) -> None:
    """Add an engine that holds every version."""
    await loopback.add_engine(
        FakeEngine("engine-1", ALL_VERSIONS), capacity=64
    )


def change_configuration(loopback: Loopback, **fields: object) -> None:
    """Change the configuration in force."""
    configuration = loopback.control.configuration
    loopback.control.configuration = configuration._replace(
        revision=configuration.revision + 1,
        **fields,  # type: ignore[arg-type]
    )


class TestRollout:
    async def test_new_version_gets_its_share_of_new_work(self) -> None:
        async with start_loopback() as loopback:
            await add_engine(loopback)
            share = RolloutShare("2", 0.25, 1, "running")
            change_configuration(loopback, shares={"nest-large": share})
            versions: Counter[str] = Counter()
            for number in range(200):
                answer = await loopback.chat(
                    tokens=1, Idempotency_Key=f"request-{number}"
                )
                versions[answer.headers["x-version"]] += 1
            assert 25 <= versions[LARGE_NEXT] <= 80
            assert versions[LARGE] == 200 - versions[LARGE_NEXT]

    async def test_same_key_gets_the_same_version(self) -> None:
        async with start_loopback() as loopback:
            await add_engine(loopback)
            share = RolloutShare("2", 0.5, 1, "running")
            change_configuration(loopback, shares={"nest-large": share})
            versions = {
                (await loopback.chat(Idempotency_Key="k")).headers["x-version"]
                for _ in range(5)
            }
            assert len(versions) == 1

    async def test_quarantined_version_gets_no_new_work(self) -> None:
        """The version of a roll-out is quarantined at a share above 0.

        It gets no new work although the share has not been reset yet.
        """
        async with start_loopback() as loopback:
            await add_engine(loopback)
            change_configuration(
                loopback,
                shares={"nest-large": RolloutShare("2", 1.0, 4, "running")},
                quarantined=(LARGE_NEXT,),
            )
            for _ in range(5):
                answer = await loopback.chat()
                assert answer.headers["x-version"] == LARGE


class TestWithdrawal:
    async def test_other_version_replaces_the_withdrawn_one(self) -> None:
        async with start_loopback() as loopback:
            await add_engine(loopback)
            change_configuration(loopback, withdrawn=(LARGE,))
            answer = await loopback.chat()
            assert answer.headers["x-version"] == LARGE_NEXT

    async def test_version_of_a_stopped_rollout_gets_no_work(self) -> None:
        """The stable version is withdrawn while a roll-out is stopped.

        The version of the roll-out has shown harm or has no samples yet, so
        the request is refused.
        """
        async with start_loopback() as loopback:
            await add_engine(loopback)
            change_configuration(
                loopback,
                withdrawn=(LARGE,),
                shares={"nest-large": RolloutShare("2", 0.0, 0, "stopped")},
            )
            error = (await loopback.chat()).json()["error"]
            assert (error["code"], error["run"]) == ("no_version", "not_run")

    async def test_version_of_a_rollout_not_begun_gets_no_work(self) -> None:
        """The stable version is withdrawn before a roll-out has begun.

        The next version is declared already. It must not get all the work
        at once without any samples at a smaller share.
        """
        async with start_loopback() as loopback:
            await add_engine(loopback)
            declared = loopback.control.configuration.declarations
            rollouts = {"nest-large": Rollout("nest-large", "2")}
            change_configuration(
                loopback,
                withdrawn=(LARGE,),
                declarations=declared._replace(rollouts=rollouts),
            )
            error = (await loopback.chat()).json()["error"]
            assert (error["code"], error["run"]) == ("no_version", "not_run")

    async def test_refuses_when_all_versions_are_withdrawn(self) -> None:
        async with start_loopback() as loopback:
            await add_engine(loopback)
            change_configuration(loopback, withdrawn=(LARGE, LARGE_NEXT))
            error = (await loopback.chat()).json()["error"]
            assert error["code"] == "no_version"


class TestAllowedVersions:
    async def test_customer_gets_only_the_allowed_version(self) -> None:
        async with start_loopback() as loopback:
            await add_engine(loopback)
            share = RolloutShare("2", 1.0, 4, "running")
            change_configuration(loopback, shares={"nest-small": share})
            answer = await loopback.chat("small", key=OTHER_CALLER_KEY)
            assert answer.headers["x-version"] == SMALL

    async def test_profile_without_an_allowed_model_is_refused(self) -> None:
        async with start_loopback() as loopback:
            await add_engine(loopback)
            answer = await loopback.chat("large", key=OTHER_CALLER_KEY)
            assert answer.json()["error"]["code"] == "not_allowed"
