"""Sessions that stay reach every entry, and none twice."""

from __future__ import annotations

from sycamorestand_bench.fakes.telling_control import Mailbox
from sycamorestand_control.session_relay import SessionRelay
from sycamorestand_peer.messages import SessionsStay


def stay(*places: int) -> SessionsStay:
    return SessionsStay("words", "v2", 0, places)


class Process:
    """A control process with two entries, and another one it knows."""

    def __init__(self) -> None:
        self.mailbox = Mailbox()
        self.relay = SessionRelay(
            self.mailbox,  # type: ignore[arg-type]
            lambda: ["e1", "e2"],
            lambda: ["c2"],
        )

    def sent(self) -> dict[str, tuple[int, ...]]:
        self.mailbox.sent = []
        self.relay.forward()
        told = {to: m.places for to, m in self.mailbox.sent}
        assert len(told) == len(self.mailbox.sent)
        return told


class TestSessionRelay:
    def test_each_entry_gets_those_of_all_the_others(self) -> None:
        process = Process()
        process.relay.handle_sessions_stay("e1", stay(1, 2))
        process.relay.handle_sessions_stay("e2", stay(3))
        process.relay.handle_sessions_stay("c2", stay(4))
        expected = {"e1": (3, 4), "e2": (1, 2, 4), "c2": (1, 2, 3)}
        assert process.sent() == expected

    def test_what_was_passed_on_is_not_told_again(self) -> None:
        process = Process()
        process.relay.handle_sessions_stay("e1", stay(1))
        process.sent()
        assert process.sent() == {}

    def test_nothing_goes_back_to_another_control_process(self) -> None:
        process = Process()
        process.relay.handle_sessions_stay("c2", stay(4))
        assert process.sent() == {"e1": (4,), "e2": (4,)}
