"""What waits at a link while its peer cannot be reached."""

from __future__ import annotations

from sycamorestand_peer.codec import decode
from sycamorestand_peer.link import Link
from sycamorestand_peer.link import LinkOwner
from sycamorestand_peer.mesh import MeshCounters
from sycamorestand_peer.messages import ConfigurationPush
from sycamorestand_peer.messages import Heartbeat

PUSHES = 20
PUSH_BYTES = 136_000


def make_link() -> Link:
    owner = LinkOwner(
        "127.0.0.1:1",
        1,
        lambda: b"key",
        lambda: 1,
        lambda: (0, 0),
        MeshCounters(),
        None,
    )
    return Link("127.0.0.1:2", owner)


def push(revision: int) -> ConfigurationPush:
    """Return a configuration as large as one of a thousand routes."""
    return ConfigurationPush(revision, bytes(PUSH_BYTES))


class TestSlowPeer:
    def test_only_the_newest_configuration_waits(self) -> None:
        """All entries are back after a loss of power, over slow links.

        Each renewal that comes before the first push has gone out asks for
        it again. Every copy kept, each entry's queue may hold up to 4 MB.
        One newest copy is all that an entry needs.
        """
        link = make_link()
        link.queue(Heartbeat())
        for revision in range(1, PUSHES + 1):
            link.queue(push(revision))
        whole_bytes = link.queued_bytes
        batch = link.take_batch()
        revisions = [
            decode(code, body).revision for code, body in batch if code == 5
        ]
        assert revisions == [PUSHES]
        assert whole_bytes < 2 * max(len(body) for _, body in batch)
        assert link.queued_bytes == 0

    def test_what_went_out_does_not_hold_the_next_one_back(self) -> None:
        """A push was sent and lost with the connection of a killed entry.

        The entry is back and asks again; the new push waits to be sent,
        whatever became of the one before.
        """
        link = make_link()
        link.queue(push(1))
        link.take_batch()
        link.queue(push(1))
        assert len(link.take_batch()) == 1
