"""The tables that control processes share, over a mesh without links."""

from __future__ import annotations

from sycamorestand_bench.addresses import free_address
from sycamorestand_control.control_directory import ControlDirectory
from sycamorestand_control.tables import SharedTables
from sycamorestand_model.backend_servers import Announcement
from sycamorestand_peer.codec import encode
from sycamorestand_peer.frames import Frame
from sycamorestand_peer.frames import seal
from sycamorestand_peer.mesh import PeerMesh
from sycamorestand_peer.messages import Heartbeat
from sycamorestand_state.directory import BackendDirectory

KEY = b"k" * 32
PEER = "127.0.0.1:1"


class TestIncarnation:
    def test_tables_are_newer_than_those_before_a_clock_was_set_back(
        self,
    ) -> None:
        """Others refused the servers that announce themselves here."""
        mesh = PeerMesh(free_address(), lambda: (KEY,), lambda *_: None)
        tables = SharedTables(mesh, ControlDirectory(mesh.address), lambda: ())
        tables.handle_announcement(
            Announcement("s", "engine", "10.0.0.1:80", "d", 1, 1, ("nest@1",))
        )
        earlier = mesh.incarnation + 10**12
        other = BackendDirectory("other", 1)
        empty = BackendDirectory(mesh.address, earlier).own_full()
        assert other.apply_delta(empty, 1.0) == "applied"
        messages = (encode(Heartbeat()),)
        echo = (earlier, 7)
        frame = Frame(PEER, mesh.address, 1, 1, *echo, messages)
        mesh._handle_frame(seal(frame, KEY), None)
        delta = tables._servers.own_full()
        assert other.apply_delta(delta, 2.0) == "applied"
        assert set(other.servers()) == {"s"}
