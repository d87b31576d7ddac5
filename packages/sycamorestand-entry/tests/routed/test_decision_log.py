"""The log tells the cause of a failed request from the request's id."""

from __future__ import annotations

from itertools import count
import logging
from typing import Any

import anyio
from anyio.abc import SocketStream
import pytest

from sycamorestand_bench.fakes.routed import answer_bytes
from sycamorestand_bench.fakes.routed import answer_head
from sycamorestand_bench.fakes.routed import event
from sycamorestand_bench.fakes.routed import read_to_end
from sycamorestand_bench.fakes.routed import request_bytes
from sycamorestand_bench.fakes.routed import SETTINGS
from sycamorestand_bench.fakes.routed import start_routed
from sycamorestand_bench.fakes.routed import stream_head
from sycamorestand_decisions.arrivals import Allowance
from sycamorestand_entry.routed.decision_log import DecisionLog
from sycamorestand_entry.routed.decision_log import Held
from sycamorestand_entry.routed.decision_log import MAX_DECISIONS

pytestmark = pytest.mark.anyio


@pytest.fixture(autouse=True)
def _capture_info_lines(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO)


def end_of(caplog: pytest.LogCaptureFixture, request: str) -> dict[str, Any]:
    """Return the fields of the line logged at the end of a request."""
    (found,) = [
        record.__dict__
        for record in caplog.records
        if record.message == "request ended"
        and record.__dict__["request"] == request
    ]
    return found


def decisions_of(
    caplog: pytest.LogCaptureFixture, request: str
) -> list[dict[str, Any]]:
    """Return the fields of the lines logged for a request's decisions."""
    return [
        record.__dict__
        for record in caplog.records
        if record.message == "request decision"
        and record.__dict__["request"] == request
    ]


class TestLines:
    async def test_successful_request_logs_one_line(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        async with start_routed() as loopback:
            await loopback.add_server("s-1", _answer)
            await loopback.ask("/stock/1", x_attempt="r-1")
        end = end_of(caplog, "r-1")
        assert end["result"] == "ok"
        assert end["status"] == 200
        assert end["path"] == "Admitted s-1/- ok"
        assert end["expendable"]
        assert decisions_of(caplog, "r-1") == []

    async def test_line_names_the_shared_parts_of_the_prompt(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        """What requests have in common that end servers is in no line."""
        async with start_routed() as loopback:
            await loopback.add_server("s-1", _answer)
            parts = "a1:800, b2:410,c3:250"
            await loopback.ask("/stock/1", x_attempt="r-1", x_parts=parts)
            many = ",".join(f"{'p' * 40}{n}:1" for n in range(20))
            await loopback.ask("/stock/1", x_attempt="r-2", x_parts=many)
        assert end_of(caplog, "r-1")["shared_parts"] == "a1,b2"
        assert len(end_of(caplog, "r-2")["shared_parts"]) == 8 * 33 - 1

    async def test_request_that_does_not_wait_is_not_logged_as_held(
        self, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Time passes between two reads of the clock on a busy machine.

        Each request was logged as having waited for a lease.
        """
        clock_ms = count()
        monkeypatch.setattr(
            DecisionLog, "elapsed_ms", lambda log: next(clock_ms)
        )
        async with start_routed() as loopback:
            await loopback.add_server("s-1", _answer)
            await loopback.ask("/stock/1", x_attempt="r-8")
        assert "Held" not in end_of(caplog, "r-8")["path"]

    async def test_spent_arrival_share_is_logged_with_its_inputs(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        """Every server is full, and the arrival budget allows no retry."""
        allowance = Allowance(ratio=0.1, slack=0.0, window_s=60.0)

        async def full(request: bytes, stream: SocketStream) -> None:
            lines = (b"x-not-run: 1", b"content-length: 0")
            await stream.send(answer_head(request, *lines, status=503))

        settings = SETTINGS._replace(allowance=allowance)
        async with start_routed(settings) as loopback:
            await loopback.add_server("s-1", full)
            await loopback.add_server("s-2", full)
            await loopback.ask("/stock/1", x_attempt="r-3")
            arrivals = loopback.entry.context.metrics.arrivals
            labels = {"service": "stock", "kind": "denied"}
            assert arrivals.get(labels) == 1
        (denied,) = [
            decision
            for decision in decisions_of(caplog, "r-3")
            if decision["decision"] == "ArrivalDenied"
        ]
        assert denied["service"] == "stock"
        assert denied["entries"] == 0
        assert denied["first"] == 1
        assert denied["left"] < 1

    async def test_refusal_is_logged_with_its_reason_and_run_state(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        """No server of the service is known; the caller gets 503."""
        async with start_routed() as loopback:
            await loopback.ask(
                "/stock/1", x_attempt="r-2", x_deadline_ms="1000"
            )
        end = end_of(caplog, "r-2")
        assert end["result"] == "no_backend_server"
        assert end["run"] == "not_run"
        assert end["retry_after_s"] > 0
        assert not end["expendable"]
        held, refused = decisions_of(caplog, "r-2")
        assert held["decision"] == "Held"
        assert held["missing"] == "server"
        assert refused["decision"] == "NotAdmitted"
        assert refused["rule"] == "no_server"
        assert end["path"] == "Held not-admitted:no_server"

    async def test_missing_lease_is_logged_with_its_age(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        async with start_routed() as loopback:
            loopback.control.lease_s = -3.5
            await loopback.ask("/stock/1", x_attempt="r-3", x_deadline_ms="50")
        end = end_of(caplog, "r-3")
        assert end["result"] == "no_lease"
        assert end["lease_ms"] == -3500
        assert end["revision"] == loopback.control.in_force().revision

    async def test_server_that_breaks_off_is_logged(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        """The server closes without an answer; the order may have run."""

        async def close(request: bytes, stream: SocketStream) -> None:
            raise anyio.EndOfStream

        async with start_routed() as loopback:
            await loopback.add_server("s-1", close)
            await loopback.ask("/order/1", x_attempt="r-4")
        end = end_of(caplog, "r-4")
        assert end["run"] == "unknown"
        sent, attempt, not_repeated = decisions_of(caplog, "r-4")[1:]
        assert not_repeated["reason"] == "no attempt left"
        assert (sent["decision"], sent["server"]) == ("Sent", "s-1")
        assert sent["servers_known"] == 1
        assert attempt["outcome"] == "error"
        assert attempt["reason"]

    async def test_late_stream_logs_its_decisions(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        """The first event comes after the route's target latency."""

        async def answer(request: bytes, stream: SocketStream) -> None:
            await stream.send(stream_head(request) + event(1) + b"0\r\n\r\n")

        async with start_routed(SETTINGS) as loopback:
            await loopback.add_server("s-1", answer)
            in_force = loopback.control.in_force()
            declared = in_force.declarations
            review = declared.routes["review"]._replace(target_latency_ms=-1)
            routes = {**declared.routes, "review": review}
            loopback.control.configuration = in_force._replace(
                declarations=declared._replace(routes=routes)
            )
            await loopback.ask("/review/1", x_attempt="r-5")
        end = end_of(caplog, "r-5")
        assert end["result"] == "ok"
        assert end["late"]
        assert len(decisions_of(caplog, "r-5")) == 3

    async def test_long_pause_makes_a_stream_late(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        """The first event comes at once, the second after half a second.

        The route allows pauses of 0.3 s, so the answer is late. The log
        called it good when only the first event counted.
        """

        first_came = anyio.Event()

        async def answer(request: bytes, stream: SocketStream) -> None:
            await stream.send(stream_head(request) + event(1))
            await first_came.wait()
            await anyio.sleep(0.5)
            await stream.send(event(2) + b"0\r\n\r\n")

        async with start_routed(SETTINGS) as loopback:
            await loopback.add_server("s-1", answer)
            async with await loopback.connect() as stream:
                await stream.send(
                    request_bytes(
                        "/review/1",
                        x_attempt="r-7",
                        x_tokens="90,4",
                        x_hint="3",
                    )
                )
                assert b"id: 1" in await receive_until(stream, b"id: 1")
                first_came.set()
                await read_to_end(stream)
        end = end_of(caplog, "r-7")
        assert end["result"] == "ok"
        assert end["late"]
        assert end["longest_pause_ms"] >= 500
        assert end["prompt_tokens"] == 90
        assert end["max_answer_tokens"] == 4
        assert end["length_hint"] == 3
        assert end["events"] == 2


class TestDecisionLog:
    def test_number_of_decisions_is_bounded(self) -> None:
        log = DecisionLog()
        log.request = "r-6"
        for number in range(10 * MAX_DECISIONS):
            log.add(Held("server", number))
        with pytest.MonkeyPatch.context() as patch:
            written: list[str] = []
            patch.setattr(
                "sycamorestand_entry.routed.decision_log.LOG.info",
                lambda message, extra: written.append(message),
            )
            log.write("no_lease", 503, {})
        assert len(written) == MAX_DECISIONS


async def receive_until(stream: SocketStream, part: bytes) -> bytes:
    """Return the data read until it contains ``part``."""
    data = b""
    with anyio.fail_after(10):
        while part not in data:
            data += await stream.receive()
    return data


async def _answer(request: bytes, stream: SocketStream) -> None:
    await stream.send(answer_bytes(request))
