from __future__ import annotations

import pytest

from sycamorestand_state.tombstones import GENERATION_S
from sycamorestand_state.tombstones import MAX_OPEN_HASHES
from sycamorestand_state.tombstones import Tombstones
from sycamorestand_state.tombstones import WINDOW_S


class TestTombstones:
    def test_each_key_is_known_for_the_window(self) -> None:
        used = Tombstones()
        used.add("guild", "early", 0.0)
        used.add("guild", "late", GENERATION_S - 1.0)
        used.expire(GENERATION_S - 1.0 + WINDOW_S)
        assert used.holds("guild", "late")
        assert not used.holds("other", "late")
        used.expire(GENERATION_S + WINDOW_S)
        assert (len(used), used.holds("guild", "late")) == (0, False)

    @pytest.mark.parametrize(
        "count", [MAX_OPEN_HASHES - 1, MAX_OPEN_HASHES + 1]
    )
    def test_open_and_closed_keys_are_found_also_after_a_restart(
        self, count: int
    ) -> None:
        used = Tombstones()
        for number in range(count):
            used.add("guild", f"k{number}", 0.0)
        used.add("guild", "k0", 0.0)
        restored = Tombstones()
        restored.load(used.state())
        assert len(restored) == len(used) == count
        for held in (used, restored):
            assert held.holds("guild", "k0")
            assert held.holds("guild", f"k{count - 1}")
            assert not held.holds("guild", f"k{count}")
        assert restored.state() == used.state()
