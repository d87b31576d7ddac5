"""Every entry gets the retained sessions of all others exactly once."""

from __future__ import annotations

from sycamorestand_bench.fakes.in_memory_control import FakeMesh
from sycamorestand_control.session_relay import SessionRelay
from sycamorestand_peer.messages import SessionsStay


def stay(*places: int) -> SessionsStay:
    return SessionsStay("words", "v2", 0, places)


class Process:
    """A control process with two entries and one other control process."""

    def __init__(self) -> None:
        self.mesh = FakeMesh()
        self.relay = SessionRelay(
            self.mesh,  # type: ignore[arg-type]
            lambda: ["e1", "e2"],
            lambda: ["c2"],
        )

    def sent(self) -> dict[str, tuple[int, ...]]:
        self.mesh.sent = []
        self.relay.forward()
        by_address = {to: m.places for to, m in self.mesh.sent}
        assert len(by_address) == len(self.mesh.sent)
        return by_address


class TestSessionRelay:
    def test_each_entry_gets_the_sessions_of_all_others(self) -> None:
        process = Process()
        process.relay.handle_sessions_stay("e1", stay(1, 2))
        process.relay.handle_sessions_stay("e2", stay(3))
        process.relay.handle_sessions_stay("c2", stay(4))
        expected = {"e1": (3, 4), "e2": (1, 2, 4), "c2": (1, 2, 3)}
        assert process.sent() == expected

    def test_sessions_are_forwarded_only_once(self) -> None:
        process = Process()
        process.relay.handle_sessions_stay("e1", stay(1))
        process.sent()
        assert process.sent() == {}

    def test_sessions_are_not_sent_back_to_their_sender(self) -> None:
        process = Process()
        process.relay.handle_sessions_stay("c2", stay(4))
        assert process.sent() == {"e1": (4,), "e2": (4,)}
