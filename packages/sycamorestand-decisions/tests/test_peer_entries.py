"""The choice of the entry that forwards a request."""

from __future__ import annotations

from collections import Counter
from random import Random

from sycamorestand_decisions.peer_entries import MAX_FORWARDED
from sycamorestand_decisions.peer_entries import PeerEntries
from sycamorestand_model.entry_reports import EntryAddress

SERVICE = "words"


def entry(
    number: int, data_centre: str = "a", is_cut_off: bool = False
) -> EntryAddress:
    unreached = (SERVICE,) if is_cut_off else ()
    return EntryAddress(
        f"vm-{number}",
        data_centre,
        "10.0.0.1",
        80,
        unreached=unreached,
        forwarding_key=b"k",
    )


def peers() -> PeerEntries:
    return PeerEntries("vm-0", "a", Random(1))


def spread(entries: list[EntryAddress], requests: int) -> Counter[str]:
    """Return how many requests, all under way, each entry gets."""
    chooser = peers()
    counts: Counter[str] = Counter()
    for _ in range(requests):
        chosen = chooser.choose(entries, SERVICE, 0.0)
        assert chosen is not None
        chooser.record_start(chosen.vm)
        counts[chosen.vm] += 1
    return counts


class TestChoice:
    def test_entries_that_cannot_forward_are_left_out(self) -> None:
        """Itself, one that stops or is cut off too, and one without a key."""
        entries = [
            entry(0),
            entry(1)._replace(stopping=True),
            entry(4)._replace(forwarding_key=b""),
            entry(2, is_cut_off=True),
            entry(3),
        ]
        assert set(spread(entries, 20)) == {"vm-3"}

    def test_one_that_is_cut_off_from_another_service_is_used(self) -> None:
        other = entry(1)._replace(unreached=("orders",))
        assert set(spread([entry(0), other], 5)) == {"vm-1"}

    def test_without_another_entry_there_is_no_choice(self) -> None:
        assert peers().choose([entry(0)], SERVICE, 0.0) is None


class TestLoad:
    def test_burst_is_spread(self) -> None:
        """All requests of a burst went to the same entry."""
        entries = [entry(n) for n in range(5)]
        counts = spread(entries, 100)
        assert min(counts.values()) >= 20
        assert max(counts.values()) <= 30

    def test_data_centre_is_kept_while_it_can_bear_the_load(self) -> None:
        """Bytes between data centres cost more."""
        near = [entry(n, is_cut_off=n < 2) for n in range(5)]
        far = [entry(n, "b") for n in range(5, 8)]
        assert set(spread([*near, *far], 60)) == {"vm-2", "vm-3", "vm-4"}

    def test_last_entry_of_a_data_centre_does_not_get_all(self) -> None:
        """All others lost their links together, and it failed under them."""
        near = [entry(n, is_cut_off=n < 9) for n in range(10)]
        far = [entry(n, "b") for n in range(10, 19)]
        counts = spread([*near, *far], 100)
        assert counts["vm-9"] <= 20

    def test_entry_that_refuses_is_left_alone_for_a_while(self) -> None:
        """It was asked again at once by all requests that it refused."""
        chooser = peers()
        entries = [entry(0), entry(1), entry(2)]
        chooser.record_refusal("vm-1", 0.4, 10.0)
        assert self._chosen(chooser, entries, 10.3) == {"vm-2"}
        assert self._chosen(chooser, entries, 10.5) == {"vm-1", "vm-2"}

    def test_long_refusal_is_not_kept_for_ever(self) -> None:
        chooser = peers()
        entries = [entry(0), entry(1), entry(2)]
        chooser.record_refusal("vm-1", 1e9, 10.0)
        assert self._chosen(chooser, entries, 11.1) == {"vm-1", "vm-2"}

    def test_unreachable_entry_is_left_alone_for_a_while(self) -> None:
        """Each request dialled it, and waited for that."""
        chooser = peers()
        entries = [entry(0), entry(1), entry(2)]
        chooser.record_unreachable("vm-1", 10.0)
        assert self._chosen(chooser, entries, 10.5) == {"vm-2"}
        assert self._chosen(chooser, entries, 11.1) == {"vm-1", "vm-2"}

    def test_only_entry_is_asked_although_it_refused(self) -> None:
        """One refusal, or one late dial, ended all service for a second."""
        chooser = peers()
        chooser.record_refusal("vm-1", 1.0, 10.0)
        chooser.record_unreachable("vm-1", 10.0)
        assert self._chosen(chooser, [entry(0), entry(1)], 10.1) == {"vm-1"}

    def _chosen(
        self, chooser: PeerEntries, entries: list[EntryAddress], now_s: float
    ) -> set[str]:
        chosen = [chooser.choose(entries, SERVICE, now_s) for _ in range(50)]
        return {entry.vm for entry in chosen if entry is not None}

    def test_requests_under_way_are_bounded(self) -> None:
        """They would fill the memory of an entry that is cut off."""
        chooser = peers()
        for _ in range(MAX_FORWARDED):
            chooser.record_start("vm-1")
        assert chooser.choose([entry(1)], SERVICE, 0.0) is None
        chooser.record_end("vm-1")
        assert chooser.choose([entry(1)], SERVICE, 0.0) == entry(1)
