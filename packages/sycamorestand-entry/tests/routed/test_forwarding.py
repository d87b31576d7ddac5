"""What holds for a request that another entry forwards."""

from __future__ import annotations

import logging
import re

import anyio
import pytest

from sycamorestand_bench.fakes.entry_group import ask_all
from sycamorestand_bench.fakes.entry_group import becomes_true
from sycamorestand_bench.fakes.entry_group import cut_found
from sycamorestand_bench.fakes.entry_group import cut_known
from sycamorestand_bench.fakes.entry_group import earn_arrivals
from sycamorestand_bench.fakes.entry_group import fail
from sycamorestand_bench.fakes.entry_group import first_arrivals
from sycamorestand_bench.fakes.entry_group import forwarded
from sycamorestand_bench.fakes.entry_group import hold_second_event
from sycamorestand_bench.fakes.entry_group import start_group
from sycamorestand_bench.fakes.entry_group import status
from sycamorestand_bench.fakes.routed import request_bytes
from sycamorestand_bench.fakes.routed import RoutedLoopback
from sycamorestand_bench.fakes.routed import start_routed
from sycamorestand_bench.fakes.server_cut import ServerCut
from sycamorestand_entry.routed.forwarding import ForwardedAttempt
from sycamorestand_entry.routed.forwarding import seal_attempt
from sycamorestand_entry.routed.forwarding import SignedRequest

pytestmark = pytest.mark.anyio


class TestPromises:
    async def test_request_is_forwarded_once_only(self) -> None:
        """Two entries that are cut off sent it to each other, without end."""
        async with start_group() as entries:
            async with anyio.create_task_group() as group:
                for entry in entries:
                    group.start_soon(cut_found, entry, "reset")
            before = [forwarded(entry) for entry in entries]
            answers = await ask_all(entries[0], 9)
            counts = [
                forwarded(entry) - count
                for entry, count in zip(entries, before, strict=True)
            ]
        assert [status(answer) for answer in answers] == [503] * 9
        assert counts[0] == 0
        assert counts[1] <= 9

    async def test_entry_whose_dials_hang_refuses_after_one(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        """It dialled for a second, in which another entry could answer."""
        caplog.set_level(logging.INFO)
        async with start_group(3) as (cut_off, *others):
            await cut_known(cut_off, "reset")
            ServerCut(others[0]).begin("hang")
            answers = await ask_all(cut_off, 12)
        paths = [str(vars(record).get("path")) for record in caplog.records]
        dials = [
            path.count("NotReached")
            for path in paths
            if path.startswith("ForwardedFor")
        ]
        assert [status(answer) for answer in answers] == [200] * 12
        assert max(dials) == 1

    async def test_refusal_of_the_other_entry_is_true(self) -> None:
        """A request that no server got was told to have an unknown outcome."""
        async with start_group() as (cut_off, other):
            await cut_found(cut_off, "reset")
            other.control.servers = {}
            before = len(cut_off.requests)
            answer = await cut_off.ask("/order/1")
            runs = len(cut_off.requests) - before
            refused = forwarded(other, "refused")
        assert status(answer) == 503
        assert refused == 1
        assert b"x-forwarding" not in answer
        assert runs == 0

    async def test_attempts_and_arrivals_are_counted_here(self) -> None:
        """The other entry counted the request again, as one of its own."""
        async with start_group(handler=fail) as (cut_off, other):
            await cut_known(cut_off, "reset")
            earn_arrivals(cut_off, 20)
            arrivals = [first_arrivals(cut_off), first_arrivals(other)]
            before = len(cut_off.requests)
            answer = await cut_off.ask("/stock/1")
            servers = [name for name, _ in cut_off.requests[before:]]
            added = [
                first_arrivals(cut_off) - arrivals[0],
                first_arrivals(other) - arrivals[1],
            ]
        assert status(answer) == 500
        assert len(servers) == len(set(servers)) == 2
        assert added == [1, 0]

    async def test_request_earns_arrivals_once(self) -> None:
        """Each entry that refused it made it earn again."""
        async with start_group(3) as (cut_off, *others):
            await cut_known(cut_off, "reset")
            for other in others:
                other.control.servers = {}
            before = first_arrivals(cut_off)
            answer = await cut_off.ask("/stock/1")
            added = first_arrivals(cut_off) - before
        assert status(answer) == 503
        assert added == 1

    async def test_retry_goes_to_another_server(self) -> None:
        """The other entry chose the server that had just failed."""
        async with start_group(handler=fail) as (cut_off, _):
            servers = cut_off.control.servers
            for name in list(servers)[2:]:
                del servers[name]
            await cut_known(cut_off, "reset")
            earn_arrivals(cut_off, 40)
            names = []
            for number in range(4):
                before = len(cut_off.requests)
                await cut_off.ask("/stock/1", x_attempt=f"a-{number}")
                names += [sorted(n for n, _ in cut_off.requests[before:])]
        assert names == [["s-0", "s-1"]] * 4

    async def test_server_gets_what_is_left_of_the_deadline(self) -> None:
        """The other entry counted the caller's time anew."""
        async with start_group() as (cut_off, _):
            await cut_found(cut_off, "reset")
            await cut_off.ask("/stock/1", x_deadline_ms="700")
            request = cut_off.requests[-1][1]
        found = re.search(rb"x-deadline-ms: (\d+)", request)
        assert found
        assert int(found.group(1)) <= 700

    async def test_server_and_caller_see_nothing_of_it(self) -> None:
        """The signed header lets its bearer choose rank and model."""
        async with start_group() as (cut_off, _):
            await cut_found(cut_off, "reset")
            answer = await cut_off.ask("/review/1")
            request = cut_off.requests[-1][1]
        assert b"forward" not in answer.lower()
        assert b"forward" not in request.lower()

    @pytest.mark.parametrize("value", ["", "YWJj", "!", "A" * 400])
    async def test_forged_header_is_refused(self, value: str) -> None:
        """Any caller could have skipped the choice of the version."""
        async with start_group() as (_, other):
            answer = await other.ask("/stock/1", x_forwarded_attempt=value)
            runs = len(other.requests)
        assert status(answer) == 400
        assert runs == 0

    async def test_signature_holds_for_its_request_only(self) -> None:
        """Whoever saw one could have used it for requests of his own."""
        async with start_group() as (first, other):
            sealed = seal_for(other, other)
            good = await other.ask("/stock/1", x_forwarded_attempt=sealed)
            others = [
                await other.ask("/stock/2", x_forwarded_attempt=sealed),
                await other.ask(
                    "/stock/1", x_attempt="a2", x_forwarded_attempt=sealed
                ),
                await first.ask("/stock/1", x_forwarded_attempt=sealed),
            ]
        assert status(good) == 200
        assert [status(answer) for answer in others] == [400] * 3

    async def test_key_of_another_entry_is_not_enough(self) -> None:
        """All entries took a key that each installation had in common."""
        async with start_group() as (first, other):
            sealed = seal_for(other, first)
            answer = await other.ask("/stock/1", x_forwarded_attempt=sealed)
            runs = len(other.requests)
        assert status(answer) == 400
        assert runs == 0

    async def test_entry_without_a_key_forwards_nothing(self) -> None:
        """An empty key would let everybody sign."""
        async with start_routed() as loopback:
            sealed = seal_for(loopback, loopback)
            answer = await loopback.ask("/stock/1", x_forwarded_attempt=sealed)
        assert status(answer) == 400

    async def test_entry_that_has_restarted_is_passed_over(self) -> None:
        """Others sign with the key that its last process had."""
        async with start_group(3) as (cut_off, *others):
            await cut_known(cut_off, "reset")
            control = cut_off.control
            control.entry_addresses = tuple(
                address._replace(forwarding_key=b"that of an earlier process")
                if address.vm == "vm-2"
                else address
                for address in control.entry_addresses
            )
            answers = await ask_all(cut_off, 12)
            refused = [forwarded(other, "refused") for other in others]
            answered = [forwarded(other) for other in others]
        assert [status(answer) for answer in answers] == [200] * 12
        assert answered == [0, 12]
        assert refused == [0, 0]

    async def test_caller_that_leaves_ends_the_run(self) -> None:
        """The server worked on for nobody."""
        async with start_group(handler=hold_second_event) as (cut_off, other):
            await cut_known(cut_off, "reset")
            before = len(cut_off.requests)
            async with await cut_off.connect() as stream:
                await stream.send(request_bytes("/review/1", x_attempt="r"))
                await becomes_true(lambda: len(cut_off.requests) > before)
            pool = other.entry.context.pool
            ended = await becomes_true(lambda: not pool.addresses_in_use())
        assert ended


def seal_for(receiver: RoutedLoopback, signer: RoutedLoopback) -> str:
    """Return a header for the receiver, signed with the signer's key."""
    attempt = ForwardedAttempt(receiver.entry.context.settings.vm, "stock")
    signed = SignedRequest(b"POST", b"/stock/1", b"a1", b"")
    key = signer.entry.context.settings.forwarding_key
    return seal_attempt(attempt, signed, key).decode()
