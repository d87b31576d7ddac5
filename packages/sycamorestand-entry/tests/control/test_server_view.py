"""What an entry knows of servers that said in an answer that they leave."""

from __future__ import annotations

import msgspec

from sycamorestand_entry.control.server_view import MAX_LEFT_SERVERS
from sycamorestand_entry.control.server_view import ServerView
from sycamorestand_model.backend_servers import Announcement
from sycamorestand_state.directory import BackendDirectory

CONTROL = "10.0.0.1:7000"


def server(name: str = "s-1", **fields: int) -> Announcement:
    row = Announcement(
        name, "service", "10.0.0.9:80", "marietta", 1, 4, ("stock",)
    )
    return row._replace(**fields)  # type: ignore[arg-type]


def told_by_control(view: ServerView, *announced: Announcement) -> None:
    """Apply all of control's servers, as after a move to it."""
    directory = BackendDirectory(CONTROL, 1)
    for announcement in announced:
        directory.announce(announcement, 0.0)
    payload = msgspec.msgpack.encode(directory.full())
    assert view.apply_directory_delta(CONTROL, payload, 0.0)


class TestLeaving:
    def test_later_report_that_it_is_ready_does_not_count(self) -> None:
        """A report from before the answer brought the server back."""
        view = ServerView("entry", 1)
        told_by_control(view, server())
        told = view.record_leaving(server(), 0.0)
        assert told is not None
        assert (told.leaving, told.sequence) == (True, 5)
        view.announce(server(sequence=9), 0.1)
        told_by_control(view, server(sequence=12))
        assert view.servers()["s-1"].leaving

    def test_holds_while_control_is_lost(self) -> None:
        """The server was listed again once its own record had run out."""
        view = ServerView("entry", 1)
        told_by_control(view, server())
        view.record_leaving(server(), 0.0)
        view.announce(server(sequence=9), 2.0)
        for now_s in range(3, 90):
            view.announce(server(sequence=10 + now_s), now_s)
            view.expire(now_s)
        assert view.servers()["s-1"].leaving

    def test_server_that_started_again_is_not_leaving(self) -> None:
        view = ServerView("entry", 1)
        told_by_control(view, server())
        view.record_leaving(server(), 0.0)
        view.announce(server(incarnation=2, sequence=1), 0.1)
        assert view.record_leaving(server(), 0.2) is None
        assert not view.servers()["s-1"].leaving
        again = server(incarnation=2, sequence=1)
        assert view.record_leaving(again, 0.3) is not None

    def test_holds_where_it_was_announced_as_leaving_before(self) -> None:
        """A later report that it is ready counted after all."""
        view = ServerView("entry", 1)
        view.announce(server(leaving=True), 0.0)
        assert view.record_leaving(server(), 0.0) is None
        view.announce(server(sequence=9), 0.1)
        assert view.servers()["s-1"].leaving

    def test_holds_for_a_server_that_is_not_announced_now(self) -> None:
        """Its announcement had run out when the answer came."""
        view = ServerView("entry", 1)
        assert view.record_leaving(server(), 0.0) is None
        view.announce(server(sequence=9), 0.1)
        assert view.servers()["s-1"].leaving

    def test_control_is_told_once(self) -> None:
        """Each answer of a leaving server was a message to control."""
        view = ServerView("entry", 1)
        told_by_control(view, server())
        assert view.record_leaving(server(), 0.0) is not None
        assert view.record_leaving(server(), 0.0) is None
        assert view.record_leaving(server("s-9"), 0.0) is None

    def test_table_is_bounded(self) -> None:
        view = ServerView("entry", 1)
        for number in range(MAX_LEFT_SERVERS + 10):
            name = f"s-{number}"
            view.announce(server(name), 0.0)
            assert view.record_leaving(server(name), 0.0) is not None
        assert len(view._left) == MAX_LEFT_SERVERS
