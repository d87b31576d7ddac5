from __future__ import annotations

from typing import Any

from sycamorestand_control.rating_exchange import MAX_ROWS
from sycamorestand_control.rating_exchange import RatingExchange
from sycamorestand_model.entry_reports import RatingCount

CLASS = "review"


class FakeMesh:
    def __init__(self) -> None:
        self.sent: dict[str, Any] = {}

    def send(self, address: str, message: Any) -> None:
        assert address not in self.sent
        self.sent[address] = message


def count(passed: int, rated: int, escalated: bool = False) -> RatingCount:
    return RatingCount("nest@1", CLASS, escalated, passed, rated)


class Process:
    """A control process with its entries and other control processes."""

    def __init__(self, entries: list[str], others: list[str]) -> None:
        self.mesh = FakeMesh()
        self.exchange = RatingExchange(
            self.mesh,  # type: ignore[arg-type]
            lambda: entries,
            lambda: others,
        )

    def sent(self) -> dict[str, tuple[RatingCount, ...]]:
        self.mesh.sent = {}
        self.exchange.exchange()
        return {to: m.ratings for to, m in self.mesh.sent.items()}


class TestRatingExchange:
    def test_an_entry_gets_the_ratings_of_all_others(self) -> None:
        process = Process(["e1", "e2"], ["c2"])
        process.exchange.add_ratings("e1", [count(3, 4)])
        process.exchange.add_ratings("e2", [count(1, 5)])
        process.exchange.add_ratings("c2", [count(10, 10)])
        sent = process.sent()
        assert sent["e1"] == (count(11, 15),)
        assert sent["e2"] == (count(13, 14),)

    def test_ratings_are_not_sent_back_to_their_sender(self) -> None:
        """Two control processes exchange the ratings of their entries.

        If one sent back the ratings that it got from the other, each round
        would count the same ratings again.
        """
        process = Process(["e1"], ["c2"])
        process.exchange.add_ratings("c2", [count(10, 10)])
        assert "c2" not in process.sent()

    def test_ratings_are_sent_once(self) -> None:
        process = Process(["e1", "e2"], [])
        process.exchange.add_ratings("e1", [count(3, 4)])
        assert process.sent() == {"e2": (count(3, 4),)}
        assert process.sent() == {}

    def test_escalated_requests_are_counted_separately(self) -> None:
        process = Process(["e2"], [])
        process.exchange.add_ratings("e1", [count(3, 4), count(1, 4, True)])
        assert set(process.sent()["e2"]) == {count(3, 4), count(1, 4, True)}

    def test_made_up_classes_do_not_grow_the_message(self) -> None:
        """A caller uses a new class name for each request."""
        process = Process(["e2"], [])
        rows = [
            RatingCount("nest@1", f"class-{n}", False, 1, 1)
            for n in range(MAX_ROWS * 2)
        ]
        process.exchange.add_ratings("e1", rows)
        assert len(process.sent()["e2"]) == MAX_ROWS
