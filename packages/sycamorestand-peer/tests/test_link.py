"""The queue of a link while its peer cannot be reached."""

from __future__ import annotations

from sycamorestand_peer.byte_room import ByteRoom
from sycamorestand_peer.codec import decode
from sycamorestand_peer.codec import encode
from sycamorestand_peer.link import Link
from sycamorestand_peer.link import LinkOwner
from sycamorestand_peer.link import TOTAL_QUEUE_BYTES
from sycamorestand_peer.loop_clock import LoopClock
from sycamorestand_peer.mesh import MeshCounters
from sycamorestand_peer.messages import ConfigurationPush
from sycamorestand_peer.messages import Heartbeat
from sycamorestand_peer.messages import ReplicaPayload

PUSHES = 20
PUSH_BYTES = 136_000


def make_link(room: ByteRoom | None = None) -> Link:
    owner = LinkOwner(
        "127.0.0.1:1",
        lambda: 1,
        lambda: b"key",
        lambda: 1,
        lambda: (0, 0),
        MeshCounters(),
        None,
        room or ByteRoom(TOTAL_QUEUE_BYTES),
        LoopClock(),
    )
    return Link("127.0.0.1:2", owner)


def push(revision: int) -> ConfigurationPush:
    """Return a push as large as a configuration of a thousand routes."""
    return ConfigurationPush(revision, bytes(PUSH_BYTES))


def payload(size_bytes: int) -> ReplicaPayload:
    return ReplicaPayload(0, "member", bytes(size_bytes))


class TestSlowPeer:
    def test_only_the_newest_configuration_stays_queued(self) -> None:
        """Repeated requests must not fill the queue with configurations.

        After a power loss all entries reconnect over slow links, and each
        lease renewal requests the configuration until it has arrived. If
        every copy were kept, the queue of each entry could grow to 4 MB.
        """
        link = make_link()
        link.queue(Heartbeat())
        for revision in range(1, PUSHES + 1):
            link.queue(push(revision))
        bytes_before = link.queued_bytes
        batch = link.take_batch()
        revisions = [
            decode(code, body).revision for code, body in batch if code == 5
        ]
        assert revisions == [PUSHES]
        assert bytes_before < 2 * max(len(body) for _, body in batch)
        assert link.queued_bytes == 0

    def test_a_sent_configuration_does_not_prevent_a_second_one(self) -> None:
        """A push that was lost with its connection must be sent again.

        An entry is killed while a push is sent to it, restarts and requests
        the configuration again.
        """
        link = make_link()
        link.queue(push(1))
        link.take_batch()
        link.queue(push(1))
        assert len(link.take_batch()) == 1


class TestManyPeers:
    """Guards against queues to many slow peers that fill the memory."""

    def test_links_share_their_room(self) -> None:
        room = ByteRoom(1_000_000)
        links = [make_link(room) for _ in range(10)]
        for link in links:
            for _ in range(9):
                link.queue(payload(PUSH_BYTES))
        assert 500_000 < room.used_bytes <= room.limit_bytes
        for link in links:
            while link.queued_bytes:
                link.take_batch()
        assert room.used_bytes == 0

    def test_slow_peers_leave_room_to_the_others(self) -> None:
        """Guards against voters that hear nothing beside slow entries."""
        room = ByteRoom(16 * 2**20)
        for _ in range(4):
            slow = make_link(room)
            for _ in range(200):
                slow.queue(payload(58_000))
        voter = make_link(room)
        voter.queue(payload(2**20))
        assert voter.queued_bytes > 2**20

    def test_full_room_holds_no_heartbeat_back(self) -> None:
        """Guards against peers that are lost because of others."""
        link = make_link(ByteRoom(0))
        link.queue(Heartbeat())
        assert len(link.take_batch()) == 1

    def test_configuration_is_encoded_once_for_all(self) -> None:
        room = ByteRoom(1_000_000)
        newest = push(7)
        bodies = []
        for _ in range(60):
            link = make_link(room)
            link.queue(newest)
            ((_, body),) = link.take_batch()
            bodies.append(body)
        assert all(body is bodies[0] for body in bodies)
        assert bodies[0] == encode(newest)[1]
