"""A planned stop loses no request."""

from __future__ import annotations

import re
import socket

import anyio
import httpcore
import pytest

from sycamorestand_bench.fakes.declared import LARGE
from sycamorestand_bench.fakes.engine import expected_text
from sycamorestand_bench.fakes.engine import FakeEngine
from sycamorestand_bench.fakes.faults import Fault
from sycamorestand_bench.fakes.loopback import Answer
from sycamorestand_bench.fakes.loopback import CALLER_KEY
from sycamorestand_bench.fakes.loopback import Loopback
from sycamorestand_bench.fakes.loopback import SETTINGS
from sycamorestand_bench.fakes.loopback import start_loopback
from sycamorestand_bench.fakes.service import FakeService
from sycamorestand_entry.http_protocol import EntryProtocol
from sycamorestand_entry.ports import EntryAddress
from sycamorestand_entry.server import _Server
from sycamorestand_entry.server import accept_period_s

pytestmark = pytest.mark.anyio


def address(vm: str, data_centre: str = "marietta") -> EntryAddress:
    """Return the address of an entry on this VM."""
    return EntryAddress(vm, data_centre, "127.0.0.1", 1)


async def listed_vms(loopback: Loopback) -> list[str]:
    """Return the VMs in the address answer, in its order."""
    answer = await loopback.call("GET", "/v1/addresses", key="")
    return [entry["vm"] for entry in answer.json()["addresses"]]


def send_order(port: int, number: int) -> socket.socket:
    """Send an order and return its connection."""
    caller = socket.create_connection(("127.0.0.1", port), 1)
    caller.settimeout(5)
    caller.sendall(order_bytes(number))
    return caller


def order_bytes(number: int) -> bytes:
    """Return the request of an order with a unique key."""
    return (
        b"POST /services/orders/x HTTP/1.1\r\nhost: a\r\n"
        b"authorization: Bearer %b\r\nidempotency-key: k-%d\r\n"
        b"content-length: 0\r\n\r\n" % (CALLER_KEY.encode(), number)
    )


def read_answer(caller: socket.socket) -> bytes:
    """Return the next complete answer, which may come in several reads."""
    answer = b""
    while True:
        head, found, body = answer.partition(b"\r\n\r\n")
        length = re.search(rb"content-length: (\d+)", head)
        if found and length and len(body) >= int(length.group(1)):
            return answer
        piece = caller.recv(4096)
        if not piece:
            return answer
        answer += piece


async def wait_until_closed(loopback: Loopback) -> None:
    """Wait until the entry refuses connections."""
    with anyio.fail_after(20):
        while True:
            try:
                await anyio.connect_tcp("127.0.0.1", loopback.entry.port)
            except OSError:
                return
            await anyio.sleep(0.02)


class TestAcceptPeriod:
    async def test_covers_addresses_handed_out_after_the_stop(self) -> None:
        """Another entry hands out this address until it learns of the stop.

        The caller uses the address for the time-to-live from then on, so
        the time-to-live counted from the stop is too short.
        """
        settings = SETTINGS._replace(address_spread_s=2.0, address_ttl_s=5.0)
        assert accept_period_s(settings) >= 7.0


class TestPlannedStop:
    async def test_removes_its_address_and_still_accepts(self) -> None:
        """The entry begins its stop while callers still use its address.

        It no longer hands out its address, but answers further requests
        and asks callers to close their connections.
        """
        settings = SETTINGS._replace(address_ttl_s=1.0)
        async with start_loopback(settings) as loopback:
            await loopback.add_engine(FakeEngine("engine-1", (LARGE,)))
            loopback.control.entry_addresses = (
                address("vm-1"),
                address("vm-2"),
            )
            assert await listed_vms(loopback) == ["vm-1", "vm-2"]
            loopback.entry.begin_stop()
            assert await listed_vms(loopback) == ["vm-2"]
            answer = await loopback.chat()
            assert answer.status == 200
            assert answer.headers["connection"] == "close"
            ready = await loopback.call("GET", "/readyz")
            assert ready.status == 503
            assert loopback.control.stopping

    async def test_connections_in_the_backlog_are_answered(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Connections in the backlog were reset when accepting stopped."""
        callers: list[socket.socket] = []
        stop_accepting = _Server.stop_accepting

        def connect_first(server: _Server) -> None:
            # The event loop runs nothing else until the listener is closed.
            for number in range(5):
                callers.append(send_order(loopback.entry.port, number))
            stop_accepting(server)

        monkeypatch.setattr(_Server, "stop_accepting", connect_first)
        async with start_loopback() as loopback:
            await loopback.add_service(FakeService("s-1", ("orders",)))
            loopback.entry.begin_stop()
            await wait_until_closed(loopback)
            answers = [
                await anyio.to_thread.run_sync(caller.recv, 4096)
                for caller in callers
            ]
            for caller in callers:
                caller.close()
        assert len(answers) == 5
        assert all(answer.startswith(b"HTTP/1.1 200") for answer in answers)

    @pytest.mark.parametrize("close", ["end_idle", "shutdown"])
    async def test_arrived_request_is_not_closed_as_idle(
        self, close: str, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """The request arrived while the process was busy, before the close."""
        protocols: list[EntryProtocol] = []
        connection_made = EntryProtocol.connection_made

        def record_protocol(
            protocol: EntryProtocol, transport: object
        ) -> None:
            protocols.append(protocol)
            connection_made(protocol, transport)  # type: ignore[arg-type]

        monkeypatch.setattr(EntryProtocol, "connection_made", record_protocol)
        async with start_loopback() as loopback:
            await loopback.add_service(FakeService("s-1", ("orders",)))
            caller = send_order(loopback.entry.port, 1)
            first = await anyio.to_thread.run_sync(read_answer, caller)
            # From here until the close the event loop runs nothing else.
            caller.sendall(order_bytes(2))
            getattr(protocols[0], close)()
            second = await anyio.to_thread.run_sync(read_answer, caller)
            caller.close()
        assert first.startswith(b"HTTP/1.1 200")
        assert second.startswith(b"HTTP/1.1 200")

    async def test_pipelined_requests_are_all_answered(self) -> None:
        """The first answer closed the connection under the second request."""
        async with start_loopback() as loopback:
            service = FakeService("s-1", ("orders",))
            service.switch.fault = Fault("slow", pause_s=0.5)
            await loopback.add_service(service)
            caller = send_order(loopback.entry.port, 1)
            caller.sendall(order_bytes(2) + order_bytes(3))
            with anyio.fail_after(10):
                while not service.records:
                    await anyio.sleep(0.01)
            loopback.entry.begin_stop()
            answers = b""
            with anyio.fail_after(20):
                while piece := await anyio.to_thread.run_sync(
                    caller.recv, 4096
                ):
                    answers += piece
            caller.close()
        assert answers.count(b"HTTP/1.1 200") == 3
        assert answers.count(b"connection: close") == 1

    async def test_running_answers_are_finished(self) -> None:
        """A stream and an order are running when the entry stops.

        New connections are refused; both answers arrive complete and are
        charged before the process ends.
        """
        settings = SETTINGS._replace(keep_alive_s=1, chunk_gap_s=10)
        async with start_loopback(settings) as loopback:
            engine = FakeEngine("engine-1", (LARGE,))
            engine.switch.fault = Fault("slow", after=2, pause_s=1.5)
            service = FakeService("s-1", ("orders",))
            service.switch.fault = Fault("slow", pause_s=1.5)
            await loopback.add_engine(engine)
            await loopback.add_service(service)
            answers: list[Answer] = []

            async def stream() -> None:
                answers.append(
                    await loopback.chat(stream=True, Idempotency_Key="k")
                )

            async def order() -> None:
                answers.append(
                    await loopback.call(
                        "POST", "/services/orders/x", Idempotency_Key="k-2"
                    )
                )

            async with anyio.create_task_group() as group:
                group.start_soon(stream)
                group.start_soon(order)
                with anyio.fail_after(10):
                    while not (engine.records and service.records):
                        await anyio.sleep(0.01)
                loopback.entry.begin_stop()
                await wait_until_closed(loopback)
                assert not answers
            texts = [a.text() for a in answers if b"data:" in a.body]
            assert texts == [expected_text(LARGE, "k", 8)]
            assert len(loopback.ledger.charges) == 2

    async def test_late_answer_is_recorded_before_the_end(self) -> None:
        """The entry stops after a caller's deadline, before the answer.

        The process runs until the answer has arrived and is recorded.
        """
        async with start_loopback() as loopback:
            service = FakeService("s-1", ("orders",))
            service.switch.fault = Fault("slow", pause_s=2.5)
            await loopback.add_service(service)
            await loopback.call(
                "POST",
                "/services/orders/x",
                Idempotency_Key="k",
                X_Deadline_Ms="1000",
            )
            loopback.entry.begin_stop()
            with anyio.fail_after(20):
                await loopback.entry.stopped.wait()
            outcome = loopback.ledger.outcomes["guild", "k"]
            assert outcome.state == "done"


class TestAddresses:
    async def test_own_data_centre_comes_first(self) -> None:
        async with start_loopback() as loopback:
            loopback.control.entry_addresses = (
                address("vm-9", "dalton"),
                address("vm-3")._replace(load=0.9),
                address("vm-2"),
                address("vm-4")._replace(stopping=True),
                address("vm-5"),
            )
            configuration = loopback.control.configuration
            loopback.control.configuration = configuration._replace(
                draining_vms=("vm-5",)
            )
            assert await listed_vms(loopback) == ["vm-2", "vm-3", "vm-9"]

    async def test_entries_that_reach_no_server_are_left_out(self) -> None:
        """Callers went on to call them for as long as a cut lasted."""
        async with start_loopback() as loopback:
            loopback.control.entry_addresses = (
                address("vm-2"),
                address("vm-3")._replace(unreached=("orders",)),
            )
            assert await listed_vms(loopback) == ["vm-2"]

    async def test_url_of_an_ipv6_address(self) -> None:
        async with start_loopback() as loopback:
            loopback.control.entry_addresses = (
                EntryAddress("vm-1", "marietta", "fd00::7", 8080),
            )
            answer = await loopback.call("GET", "/v1/addresses", key="")
            urls = [entry["url"] for entry in answer.json()["addresses"]]
            assert urls == ["http://[fd00::7]:8080"]


class TestStoppedEntry:
    async def test_new_connections_are_refused(self) -> None:
        async with start_loopback() as loopback:
            loopback.entry.begin_stop()
            await wait_until_closed(loopback)
            with pytest.raises(httpcore.ConnectError):
                await loopback.call("GET", "/healthz")
