"""Which servers an entry draws from."""

from __future__ import annotations

from collections import Counter

import pytest

from sycamorestand_decisions.candidates import Candidate
from sycamorestand_decisions.observed_servers import ObservedServers
from sycamorestand_decisions.observed_servers import SUBSET_SIZE
from sycamorestand_model.server_loads import LoadHeader
from sycamorestand_model.server_loads import ObservedLoad

SLOTS = 24


class TestMembers:
    @pytest.mark.parametrize("entries", [22, 94, 330])
    @pytest.mark.parametrize("count", [45, 150])
    def test_servers_are_in_equally_many_parts(
        self, entries: int, count: int
    ) -> None:
        """A server in no part idles, and one in many has no slot free."""
        uses: Counter[str] = Counter()
        for number in range(entries):
            uses.update(part(number / entries, names_of(count)))
        fair = entries * SUBSET_SIZE / count
        assert len(uses) == count
        assert min(uses.values()) > fair - 2
        assert max(uses.values()) < fair + 2

    @pytest.mark.parametrize("count", [12, 17, 45, 150])
    def test_a_server_that_leaves_changes_one_member(self, count: int) -> None:
        """Each change would otherwise close most connections of an entry.

        A part that goes on at the beginning of the circle may change by two.
        """
        names = names_of(count)
        changes: Counter[int] = Counter()
        for number in range(22):
            before = part(number / 22, names)
            for left in names[::3]:
                after = part(number / 22, [n for n in names if n != left])
                changes[max(len(before - after), len(after - before))] += 1
        assert max(changes) <= 2
        assert changes[2] <= 0.05 * changes.total()

    def test_full_and_unusable_servers_are_replaced(self) -> None:
        names = names_of(45)
        before = part(0.3, names)
        out = sorted(before)[:3]
        assert len(part(0.3, names, full=out) - before) == 3
        assert len(part(0.3, names, unusable=out) - before) == 3

    def test_full_servers_are_drawn_when_no_other_is_left(self) -> None:
        names = names_of(20)
        assert len(part(0.3, names, full=names)) == SUBSET_SIZE

    def test_disturbed_servers_are_named_unless_all_are(self) -> None:
        """A call ends before the server's disturbance does."""
        names = names_of(3)
        candidates = [Candidate(name, SLOTS) for name in names]

        def disturbed(slow: list[str], age_s: float) -> set[str]:
            servers = ObservedServers(
                lambda name, now_s: load(1.9 if name in slow else 1.2, age_s)
            )
            return set(servers.disturbed(candidates, 1.0))

        assert disturbed(names[:2], 0.1) == {"s0", "s1"}
        assert disturbed(names, 0.1) == set()
        assert disturbed(names[:2], 0.6) == set()


def names_of(count: int) -> list[str]:
    return [f"s{number}" for number in range(count)]


def load(slowness: float, age_s: float, running: int = 0) -> ObservedLoad:
    header = LoadHeader(running, 0, SLOTS, slowness)
    return ObservedLoad(header, age_s, 1.2, 0, 0, 0, 0, float("inf"))


def part(
    place: float,
    names: list[str],
    full: list[str] | tuple[()] = (),
    unusable: list[str] | tuple[()] = (),
) -> set[str]:
    servers = ObservedServers(
        lambda name, now_s: load(1.2, 0.1, SLOTS if name in full else 0)
    )
    servers.set_place(place)
    candidates = [Candidate(name, SLOTS) for name in names]
    members = servers.members(
        candidates, 0.0, lambda c: c.name not in unusable
    )
    return {candidate.name for candidate in members}
