"""What all entries together start into the slots that they share."""

from __future__ import annotations

from collections import deque

import pytest

from sycamorestand_decisions.shared_room import RoomShare
from sycamorestand_decisions.shared_room import SharedRoom

STEP_S = 0.25
# Entries know the others' requests as they were a second ago.
KNOWN_STEPS = 4


class Entries:
    """Entries that start what they may, with late knowledge of others."""

    def __init__(self, count: int, slots: int) -> None:
        self.running = [0] * count
        self.wanted = [10_000] * count
        self.slots = slots
        self._shares = [RoomShare() for _ in range(count)]
        self._known = deque([self.running[:]], maxlen=KNOWN_STEPS + 1)
        self._step = 0

    def run(self, steps: int) -> list[int]:
        """Run steps of a quarter second; return what runs after each."""
        totals = []
        for _ in range(steps):
            self._step += 1
            known = self._known[0]
            known_total = sum(known)
            for number, share in enumerate(self._shares):
                own = self.running[number]
                in_flight = known_total - known[number] + own
                free = max(0, self.slots - in_flight)
                room = SharedRoom(free, in_flight, own)
                now_s = self._step * STEP_S + number * 0.001
                may = share.capacity(room, len(self._shares), 10_000, now_s)
                self.running[number] = max(own, min(may, self.wanted[number]))
            # A tenth of what runs ends in each step.
            totals.append(sum(self.running))
            self.running = [
                own - (own * 3 + number + self._step) % 30 // 27
                if own < 10
                else own - own // 10
                for number, own in enumerate(self.running)
            ]
            self._known.append(self.running[:])
        return totals


@pytest.mark.parametrize(("count", "slots"), [(10, 480), (330, 4_000)])
class TestSum:
    def test_sum_stays_near_the_room(self, count: int, slots: int) -> None:
        """Guards against entries that all start into the same free slots."""
        entries = Entries(count, slots)
        entries.run(40)
        totals = entries.run(80)
        assert max(totals) <= slots + count
        assert min(totals) >= 0.7 * slots

    def test_first_callers_do_not_take_the_room_repeatedly(
        self, count: int, slots: int
    ) -> None:
        totals = Entries(count, slots).run(12)
        assert max(totals) <= slots + count

    def test_entry_with_new_callers_gets_room(
        self, count: int, slots: int
    ) -> None:
        """Guards against an entry without requests that never gets slots."""
        entries = Entries(count, slots)
        entries.wanted[0] = 0
        entries.run(40)
        assert entries.running[0] == 0
        entries.wanted[0] = 10_000
        entries.run(40)
        assert entries.running[0] >= 0.25 * slots / count


class TestRoomShare:
    def test_no_free_slot_still_runs_one(self) -> None:
        share = RoomShare()
        assert share.capacity(SharedRoom(0, 90, 0), 10, 50, 0.0) == 1

    def test_never_more_than_before(self) -> None:
        share = RoomShare()
        assert share.capacity(SharedRoom(90, 0, 0), 0, 7, 0.0) == 7
