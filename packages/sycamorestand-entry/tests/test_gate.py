"""The gate before every dispatch, also before retries."""

from __future__ import annotations

import anyio
import pytest

from sycamorestand_bench.fakes.control_port import FakeControlPort
from sycamorestand_bench.fakes.control_port import FakeLedger
from sycamorestand_bench.fakes.declared import guild_configuration
from sycamorestand_bench.fakes.declared import LARGE
from sycamorestand_bench.fakes.declared import LARGE_NEXT
from sycamorestand_bench.fakes.declared import SMALL
from sycamorestand_bench.fakes.engine import FakeEngine
from sycamorestand_bench.fakes.faults import Fault
from sycamorestand_bench.fakes.loopback import Answer
from sycamorestand_bench.fakes.loopback import start_loopback
from sycamorestand_entry.gate import check_dispatch
from sycamorestand_entry.gate import DispatchIntent
from sycamorestand_model.backend_servers import Announcement

CHAT = DispatchIntent("guild", "large", LARGE, "engine-1")
ORDER = DispatchIntent("guild", "", "orders", "s-1", claim_held=True)
REFUSED = [
    (CHAT._replace(customer="nobody"), "not_allowed"),
    (CHAT._replace(customer="other"), "not_allowed"),
    (CHAT._replace(profile="unknown"), "not_allowed"),
    (CHAT._replace(target=SMALL), "not_allowed"),
    (CHAT._replace(target="nest-large@9"), "no_version"),
    (CHAT._replace(target=LARGE_NEXT), "no_version"),
    (
        CHAT._replace(target=LARGE_NEXT, in_session=True),
        "session_version_withdrawn",
    ),
    (
        CHAT._replace(target=SMALL, in_session=True),
        "session_version_not_allowed",
    ),
    (CHAT._replace(backend_server="engine-9"), "no_backend_server"),
    (CHAT._replace(backend_server="leaving"), "no_backend_server"),
    (CHAT._replace(backend_server="s-1"), "no_backend_server"),
    (ORDER._replace(claim_held=False), "not_allowed"),
    (ORDER._replace(customer="other"), "not_allowed"),
    (ORDER._replace(target="unknown"), "not_allowed"),
]


def make_control() -> FakeControlPort:
    """Return a control port with one withdrawn version."""
    configuration = guild_configuration()._replace(withdrawn=(LARGE_NEXT,))
    control = FakeControlPort(configuration, FakeLedger())
    engine = Announcement(
        "engine-1", "engine", "127.0.0.1:1", "marietta", 1, 1, (LARGE,)
    )
    control.servers = {
        "engine-1": engine,
        "leaving": engine._replace(name="leaving", leaving=True),
        "s-1": engine._replace(name="s-1", versions=("orders",)),
    }
    return control


class TestCheckDispatch:
    @pytest.mark.parametrize("intent", [CHAT, ORDER])
    def test_allows_a_valid_intent(self, intent: DispatchIntent) -> None:
        assert check_dispatch(make_control(), intent) is None

    @pytest.mark.parametrize(("intent", "code"), REFUSED)
    def test_refuses_with_the_code_of_the_cause(
        self, intent: DispatchIntent, code: str
    ) -> None:
        refusal = check_dispatch(make_control(), intent)
        assert refusal is not None
        assert (refusal.code, refusal.run) == (code, "not_run")

    @pytest.mark.parametrize("lease_s", [0.0, -1.0])
    def test_refuses_without_a_lease(self, lease_s: float) -> None:
        control = make_control()
        control.lease_s = lease_s
        refusal = check_dispatch(control, CHAT)
        assert refusal is not None
        assert refusal.code == "no_lease"

    def test_refuses_a_server_whose_data_centre_is_drained(self) -> None:
        """The server was chosen just before the order came."""
        control = make_control()
        control.configuration = control.configuration._replace(
            draining_data_centres=("marietta",)
        )
        for intent in (CHAT, ORDER):
            refusal = check_dispatch(control, intent)
            assert refusal is not None
            assert (refusal.code, refusal.run) == (
                "no_backend_server",
                "not_run",
            )

    def test_refuses_a_quarantined_version(self) -> None:
        control = make_control()
        control.configuration = control.configuration._replace(
            quarantined=(LARGE,)
        )
        refusal = check_dispatch(control, CHAT)
        assert refusal is not None
        assert refusal.code == "no_version"


@pytest.mark.anyio
class TestRetryPassesTheGate:
    async def test_version_withdrawn_before_a_retry(self) -> None:
        """The engine fails, and its version is withdrawn before the retry.

        The gate refuses the retry. The first attempt was written, so the
        refusal says ``unknown`` and not ``not_run``.
        """
        async with start_loopback() as loopback:
            engine = FakeEngine("engine-1", (LARGE,))
            engine.switch.fault = Fault("late", times=1)
            await loopback.add_engine(engine)
            answers: list[Answer] = []

            async def ask() -> None:
                answers.append(await loopback.chat())

            async with anyio.create_task_group() as group:
                group.start_soon(ask)
                with anyio.fail_after(10):
                    while not engine.records:
                        await anyio.sleep(0.01)
                withdrawn = loopback.control.configuration._replace(
                    withdrawn=(LARGE,)
                )
                loopback.control.configuration = withdrawn
            error = answers[0].json()["error"]
            assert (error["code"], error["run"]) == ("no_version", "unknown")
            assert len(engine.records) == 1

    async def test_last_server_leaves_before_a_retry(self) -> None:
        """The only engine fails and leaves before the retry.

        No server is left for a retry, and the first attempt may have run.
        """
        async with start_loopback() as loopback:
            engine = FakeEngine("engine-1", (LARGE,))
            engine.switch.fault = Fault("late")
            await loopback.add_engine(engine)
            answers: list[Answer] = []

            async def ask() -> None:
                answers.append(await loopback.chat())

            async with anyio.create_task_group() as group:
                group.start_soon(ask)
                with anyio.fail_after(10):
                    while not engine.records:
                        await anyio.sleep(0.01)
                loopback.control.servers.clear()
            error = answers[0].json()["error"]
            assert (error["code"], error["run"]) == (
                "no_backend_server",
                "unknown",
            )

    async def test_leaving_server_gets_no_new_work(self) -> None:
        async with start_loopback() as loopback:
            engine = FakeEngine("engine-1", (LARGE,))
            await loopback.add_engine(engine)
            servers = loopback.control.servers
            servers["engine-1"] = servers["engine-1"]._replace(leaving=True)
            answer = await loopback.chat()
            error = answer.json()["error"]
            assert (error["code"], error["run"]) == (
                "no_backend_server",
                "not_run",
            )
            assert not engine.records
