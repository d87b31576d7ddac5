"""Authentic frames that are replayed later or to another process."""

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
NEVER_S = 60.0

pytestmark = pytest.mark.anyio


class Process:
    """A mesh, the senders of its messages, and a way to replay frames."""

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
        """Send recorded frames and wait until all are processed."""
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
    async def test_a_repeated_frame_is_refused(self) -> None:
        """A frame that is recorded and replayed must not run twice.

        The copy is authentic and carries a request that has already run.
        It is refused and counted; the next frame is delivered.
        """
        one = Process()
        async with running(one):
            first = one.frame(5, 1)
            await one.replay(first, first, one.frame(5, 2), first)
        assert one.received == [PEER, PEER]
        assert one.refusals() == {Refusal.REPEATED: 2}

    async def test_a_frame_for_another_receiver_is_refused(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        """A frame to an entry must not be accepted by a control process.

        Both have the cluster key, so only the receiver in the frame tells
        them apart. One line is logged for the peer, not one for each frame.
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
    async def test_frames_from_before_the_peer_restarted_are_refused(
        self, silence_s: float, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Frames of a peer's earlier incarnation must not be accepted.

        They may echo the current incarnation of this process. They are
        refused even if the new incarnation was silent for so long that a
        lower one could be accepted (a bound of 0 here), because they echo
        no frame that was sent since.
        """
        monkeypatch.setattr(CHANGE_BOUND, silence_s)
        one = Process()
        async with running(one):
            own = one.mesh.incarnation
            await one.replay(one.frame(5, 1), one.frame(6, 1))
            await one.replay(
                one.frame(5, 9),
                one.frame(5, 10, echo=(own, 0)),
                one.frame(5, 11, echo=(own - 1, 100)),
            )
        assert one.received == [PEER, PEER]
        assert one.refusals() == {
            Refusal.SENDER_INCARNATION: 2,
            Refusal.RECEIVER_INCARNATION: 1,
        }

    async def test_frames_from_before_this_process_restarted_are_refused(
        self, until: Any
    ) -> None:
        """A restarted entry must not accept replayed lease grants.

        It no longer knows the sequence numbers of its peers, but frames
        that were sent to its earlier incarnation echo that incarnation and
        are refused. The actual peer, which has not noticed the restart
        either, gets its messages through without help.
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
    async def test_a_peer_whose_clock_was_set_back_is_accepted(
        self, until: Any, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """A peer must not stay refused until its clock has caught up.

        A VM restarts with its clock set back. Its incarnation is lower than
        the one that its peer knows, and the peer still echoes the earlier
        one. After the silence bound (0 here) both accept each other's
        frames, because the VM echoes frames sent after its restart.
        """
        monkeypatch.setattr(CHANGE_BOUND, 0.0)
        address = free_address()
        one, two = Process(), Process(address)
        async with running(one):
            async with running(two):
                one.mesh.send(address, MESSAGE)
                two.mesh.send(one.mesh.address, MESSAGE)
                await until(lambda: one.received and two.received)
            await self._exchange(one, Process(address, incarnation=5))

    async def test_a_peer_whose_clock_was_set_back_is_heard_at_once(
        self, until: Any, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """It had no lease for seconds, and its tables were old for longer."""
        monkeypatch.setattr(CHANGE_BOUND, NEVER_S)
        address = free_address()
        one, two = Process(), Process(address)
        async with running(one):
            async with running(two):
                two.mesh.send(one.mesh.address, MESSAGE)
                await until(lambda: one.received)
            restarted = Process(address, incarnation=5)
            told: list[int] = []
            restarted.mesh.add_incarnation_listener(told.append)
            await self._exchange(one, restarted)
        assert restarted.mesh.incarnation > two.mesh.incarnation
        assert told == [restarted.mesh.incarnation]

    async def _exchange(self, one: Process, two: Process) -> None:
        one.received.clear()
        async with running(two):
            with anyio.fail_after(10):
                while not (one.received and two.received):
                    one.mesh.send(two.mesh.address, MESSAGE)
                    two.mesh.send(one.mesh.address, MESSAGE)
                    await anyio.sleep(0.05)

    async def test_frames_of_a_reopened_link_are_accepted_at_once(
        self, until: Any
    ) -> None:
        """Frames of a link that is closed and reopened must be accepted.

        If the new link numbered its frames from one again, the peer would
        refuse them as repeated until the numbers had caught up.
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
    async def test_a_peer_is_logged_once_until_it_was_quiet(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        refusals = Refusals()
        for now_s in (0.0, 1.0, 50.0, 50.0 + QUIET_S):
            refusals.add(Refusal.KEY, "10.0.0.1", now_s)
        assert refusals.counts[Refusal.KEY] == 4
        assert len(caplog.records) == 2

    async def test_the_number_of_logged_peers_is_bounded(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        """Bad frames under ever new names must not grow the peer table.

        Further frames are only counted. After a quiet period new peers are
        logged again.
        """
        refusals = Refusals()
        for number in range(MAX_PEERS + 100):
            refusals.add(Refusal.RECEIVER, str(number), 0.0)
        assert refusals.counts[Refusal.RECEIVER] == MAX_PEERS + 100
        assert len(caplog.records) == MAX_PEERS
        refusals.add(Refusal.RECEIVER, "late", QUIET_S)
        assert len(caplog.records) == MAX_PEERS + 1
