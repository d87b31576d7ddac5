"""Sessions keep their version at every entry."""

from __future__ import annotations

import pytest

from sycamorestand_bench.fakes.control_port import FakeLedger
from sycamorestand_bench.fakes.declared import LARGE
from sycamorestand_bench.fakes.declared import LARGE_NEXT
from sycamorestand_bench.fakes.declared import OTHER_CALLER_KEY
from sycamorestand_bench.fakes.engine import FakeEngine
from sycamorestand_bench.fakes.loopback import Loopback
from sycamorestand_bench.fakes.loopback import start_loopback
from sycamorestand_entry.errors import BadRequest
from sycamorestand_entry.sessions import Session
from sycamorestand_entry.sessions import sign_session
from sycamorestand_entry.sessions import verify_session

pytestmark = pytest.mark.anyio


async def add_engine(loopback: Loopback) -> FakeEngine:
    """Add an engine that holds both versions of the large model."""
    engine = FakeEngine("engine-1", (LARGE, LARGE_NEXT))
    await loopback.add_engine(engine)
    return engine


def make_stable(loopback: Loopback, name: str) -> None:
    """Make another version of the large model the stable one."""
    configuration = loopback.control.configuration
    declarations = configuration.declarations
    models = dict(declarations.models)
    models["nest-large"] = models["nest-large"]._replace(stable=name)
    loopback.control.configuration = configuration._replace(
        revision=configuration.revision + 1,
        declarations=declarations._replace(models=models),
    )


def withdraw(loopback: Loopback, version: str) -> None:
    """Withdraw a version in the configuration in force."""
    loopback.control.configuration = loopback.control.configuration._replace(
        withdrawn=(version,)
    )


class TestSessionToken:
    async def test_next_request_stays_on_the_version(self) -> None:
        async with start_loopback() as loopback:
            await add_engine(loopback)
            first = await loopback.chat()
            make_stable(loopback, "2")
            token = first.headers["x-session-token"]
            second = await loopback.chat(X_Session_Token=token)
            fresh = await loopback.chat()
            assert second.headers["x-version"] == LARGE
            assert fresh.headers["x-version"] == LARGE_NEXT

    async def test_session_of_a_withdrawn_version_is_refused(self) -> None:
        """The version of a session is withdrawn between two requests.

        The next request of the session is refused with a code of its own
        and reaches no engine; new work goes to the other version.
        """
        async with start_loopback() as loopback:
            engine = await add_engine(loopback)
            token = (await loopback.chat()).headers["x-session-token"]
            withdraw(loopback, LARGE)
            refused = await loopback.chat(X_Session_Token=token)
            error = refused.json()["error"]
            assert error["code"] == "session_version_withdrawn"
            assert error["run"] == "not_run"
            assert len(engine.records) == 1
            fresh = await loopback.chat()
            assert fresh.headers["x-version"] == LARGE_NEXT

    async def test_session_of_a_quarantined_version_continues(self) -> None:
        """The version of a session is quarantined between two requests.

        New work goes to another version or is refused. The session keeps
        its version, because only a withdrawal ends it.
        """
        async with start_loopback() as loopback:
            await add_engine(loopback)
            first = await loopback.chat(X_Session="s-1")
            version = first.headers["x-version"]
            port = loopback.control
            port.configuration = port.configuration._replace(
                quarantined=(version,)
            )
            token = first.headers["x-session-token"]
            again = await loopback.chat(X_Session_Token=token)
            assert again.status == 200
            assert again.headers["x-version"] == version
            fresh = await loopback.chat(X_Session="s-2")
            assert fresh.headers.get("x-version") != version

    async def test_token_of_another_customer_is_refused(self) -> None:
        async with start_loopback() as loopback:
            await add_engine(loopback)
            token = (await loopback.chat()).headers["x-session-token"]
            refused = await loopback.chat(
                key=OTHER_CALLER_KEY, X_Session_Token=token
            )
            assert refused.status == 400

    async def test_session_of_a_version_not_allowed_is_refused(self) -> None:
        async with start_loopback() as loopback:
            engine = await add_engine(loopback)
            key = loopback.control.configuration.session_key
            token = sign_session(Session("other", "s-1", LARGE), key)
            refused = await loopback.chat(
                key=OTHER_CALLER_KEY, X_Session_Token=token
            )
            error = refused.json()["error"]
            assert error["code"] == "session_version_not_allowed"
            assert not engine.records

    @pytest.mark.parametrize("change", ["first", "last", "cut", "text"])
    async def test_changed_token_is_refused(self, change: str) -> None:
        token = sign_session(Session("guild", "s-1", LARGE), b"key")
        changed = {
            "first": ("B" if token[0] == "A" else "A") + token[1:],
            "last": token[:-8] + "AAAAAAA=",
            "cut": token[:20],
            "text": "no token",
        }
        with pytest.raises(BadRequest):
            verify_session(changed[change], "guild", (b"key",))


class TestSessionName:
    async def test_second_entry_keeps_the_pinned_version(self) -> None:
        """A session continues at another entry after a roll-out.

        The first entry pinned the version in the ledger, so the second
        entry keeps it although its new work goes to the next version.
        """
        ledger = FakeLedger()
        async with start_loopback(ledger=ledger) as one:
            await add_engine(one)
            await one.chat(X_Session="nesting-7")
            async with start_loopback(ledger=ledger) as two:
                two.control.servers.update(one.control.servers)
                make_stable(two, "2")
                answer = await two.chat(X_Session="nesting-7")
                assert answer.headers["x-version"] == LARGE

    async def test_named_session_of_a_withdrawn_version_is_refused(
        self,
    ) -> None:
        async with start_loopback() as loopback:
            await add_engine(loopback)
            await loopback.chat(X_Session="nesting-7")
            withdraw(loopback, LARGE)
            refused = await loopback.chat(X_Session="nesting-7")
            code = refused.json()["error"]["code"]
            assert code == "session_version_withdrawn"
