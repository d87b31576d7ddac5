"""Authentic frames at the wrong time or place: recorded, sent again."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import anyio
import pynng
import pytest

from sycamorestand_bench.addresses import free_address
from sycamorestand_peer.codec import encode
from sycamorestand_peer.frames import Frame
from sycamorestand_peer.frames import seal
from sycamorestand_peer.mesh import PeerMesh
from sycamorestand_peer.messages import AddressList
from sycamorestand_peer.refusals import MAX_PEERS
from sycamorestand_peer.refusals import QUIET_S
from sycamorestand_peer.refusals import Refusal
from sycamorestand_peer.refusals import Refusals

KEY = b"k" * 32
PEER = "127.0.0.1:9"
MESSAGE = AddressList(())
CHANGE_BOUND = "sycamorestand_peer.mesh.INCARNATION_CHANGE_S"

pytestmark = pytest.mark.anyio


class Process:
    """A mesh, what it received, and a wire that recorded frames go into."""

    def __init__(self, address: str = "", incarnation: int = 0) -> None:
        self.received: list[str] = []
        self.mesh = PeerMesh(
            address or free_address(),
            lambda: (KEY,),
            lambda sender, message: self.received.append(sender),
        )
        self.mesh.incarnation = incarnation or self.mesh.incarnation

    def refusals(self) -> dict[Refusal, int]:
        counts = self.mesh.counters.refusals.counts
        return {kind: count for kind, count in counts.items() if count}

    async def replay(self, *frames: bytes) -> None:
        """Send recorded bytes and wait until all of them were judged."""
        with pynng.Pair1(dial=f"tcp://{self.mesh.address}") as wire:
            before = self.mesh.counters.frames_received
            for frame in frames:
                await wire.asend(frame)
            with anyio.fail_after(10):
                while self.mesh.counters.frames_received < before + len(
                    frames
                ):
                    await anyio.sleep(0.01)

    def frame(
        self,
        incarnation: int,
        sequence: int,
        echo: tuple[int, int] = (0, 0),
        receiver: str = "",
    ) -> bytes:
        to = receiver or self.mesh.address
        messages = (encode(MESSAGE),)
        return seal(
            Frame(PEER, to, incarnation, sequence, *echo, messages), KEY
        )


@asynccontextmanager
async def running(*processes: Process) -> AsyncIterator[None]:
    async with anyio.create_task_group() as tasks:
        for process in processes:
            await tasks.start(process.mesh.run)
        yield
        tasks.cancel_scope.cancel()


class TestReplay:
    async def test_a_frame_counts_once(self) -> None:
        """Someone on the network records a frame and sends it again.

        The second one is authentic to the last bit and carries a request
        that has run. It is dropped and counted; the next frame is served.
        """
        one = Process()
        async with running(one):
            first = one.frame(5, 1)
            await one.replay(first, first, one.frame(5, 2), first)
        assert one.received == [PEER, PEER]
        assert one.refusals() == {Refusal.REPEATED: 2}

    async def test_a_frame_for_another_receiver(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        """A frame that an entry was sent is played to a control process.

        Both know the cluster key, so only the receiver's name in the
        frame tells. One line is logged for the peer, not one a frame.
        """
        one = Process()
        frames = [one.frame(5, n, receiver="127.0.0.1:8") for n in (1, 2, 3)]
        async with running(one):
            await one.replay(*frames, one.frame(5, 4))
        assert one.received == [PEER]
        assert one.refusals() == {Refusal.RECEIVER: 3}
        lines = [r for r in caplog.records if "refusing" in r.message]
        assert len(lines) == 1
        assert lines[0].__dict__["peer"] == PEER

    @pytest.mark.parametrize("silence_s", [5.0, 0.0])
    async def test_frames_from_before_the_peer_restarted(
        self, silence_s: float, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """A peer restarts; frames of its earlier life are played again.

        They echo this process's own incarnation, as the peer had heard of
        it. Also when the new life has been silent for so long that a
        lower incarnation could be taken (a bound of 0 here), they echo
        nothing that was sent since, and are refused.
        """
        monkeypatch.setattr(CHANGE_BOUND, silence_s)
        one = Process()
        async with running(one):
            ours = one.mesh.incarnation
            await one.replay(one.frame(5, 1), one.frame(6, 1))
            await one.replay(
                one.frame(5, 9),
                one.frame(5, 10, echo=(ours, 0)),
                one.frame(5, 11, echo=(ours - 1, 100)),
            )
        assert one.received == [PEER, PEER]
        assert one.refusals() == {
            Refusal.SENDER_INCARNATION: 2,
            Refusal.RECEIVER_INCARNATION: 1,
        }

    async def test_frames_from_before_this_process_restarted(
        self, until: Any
    ) -> None:
        """An entry restarts and remembers no peer; old grants are played.

        What its peers sent to its earlier life echoes that life. It is
        refused, a later and a first one alike, while the true peer, which
        has yet to notice the restart too, gets through by itself.
        """
        earlier, peer = Process(), Process()
        async with running(peer):
            async with running(earlier):
                earlier.mesh.send(peer.mesh.address, MESSAGE)
                peer.mesh.send(earlier.mesh.address, MESSAGE)
                await until(lambda: peer.received and earlier.received)
            later = Process(earlier.mesh.address)
            async with running(later):
                old = (earlier.mesh.incarnation, 7)
                await later.replay(later.frame(5, 9, echo=old))
                assert PEER not in later.received
                assert later.refusals()[Refusal.RECEIVER_INCARNATION] >= 1
                while peer.mesh.address not in later.received:
                    peer.mesh.send(later.mesh.address, MESSAGE)
                    await anyio.sleep(0.05)


class TestRestart:
    async def test_a_peer_whose_clock_was_set_back_is_heard(
        self, until: Any, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """A VM comes back with its clock set back.

        Its incarnation is lower than the one that its peer knows, and the
        peer still echoes its earlier life. After the bound of silence (0
        here) both hear each other: it echoes what the peer sent after its
        restart. Nobody waits until the clock reaches its old time.
        """
        monkeypatch.setattr(CHANGE_BOUND, 0.0)
        address = free_address()
        one, two = Process(), Process(address)
        async with running(one):
            async with running(two):
                one.mesh.send(address, MESSAGE)
                two.mesh.send(one.mesh.address, MESSAGE)
                await until(lambda: one.received and two.received)
            await self._talk(one, Process(address, incarnation=5))

    async def _talk(self, one: Process, two: Process) -> None:
        one.received.clear()
        async with running(two):
            with anyio.fail_after(10):
                while not (one.received and two.received):
                    one.mesh.send(two.mesh.address, MESSAGE)
                    two.mesh.send(one.mesh.address, MESSAGE)
                    await anyio.sleep(0.05)

    async def test_a_link_made_anew_is_heard_at_once(self, until: Any) -> None:
        """A link is given up as idle, and a message opens another one.

        Its frames must not be numbered from one again: the peer would
        take them for repeated ones, until their count had caught up.
        """
        one, two = Process(), Process()
        async with running(one, two):
            for count in (1, 2, 3):
                one.mesh.send(two.mesh.address, MESSAGE)
                await until(lambda n=count: len(two.received) == n)
            one.mesh.close_link(two.mesh.address)
            one.mesh.send(two.mesh.address, MESSAGE)
            await until(lambda: len(two.received) == 4)
        assert two.refusals() == {}


class TestRefusals:
    async def test_logged_once_until_quiet(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        refusals = Refusals()
        for now_s in (0.0, 1.0, 50.0, 50.0 + QUIET_S):
            refusals.add(Refusal.KEY, "10.0.0.1", now_s)
        assert refusals.counts[Refusal.KEY] == 4
        assert len(caplog.records) == 2

    async def test_strangers_without_number_are_only_counted(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        """Someone sends bad frames under ever new names.

        The table of peers stays bounded, the count goes on, and once it
        is quiet again a new peer is logged as before.
        """
        refusals = Refusals()
        for number in range(MAX_PEERS + 100):
            refusals.add(Refusal.RECEIVER, str(number), 0.0)
        assert refusals.counts[Refusal.RECEIVER] == MAX_PEERS + 100
        assert len(caplog.records) == MAX_PEERS
        refusals.add(Refusal.RECEIVER, "late", QUIET_S)
        assert len(caplog.records) == MAX_PEERS + 1
