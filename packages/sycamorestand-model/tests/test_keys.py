from __future__ import annotations

from sycamorestand_model.keys import hash_key
from sycamorestand_model.keys import key_matches


class TestKeys:
    def test_only_the_hashed_key_matches(self) -> None:
        stored = hash_key("guild-1")
        assert key_matches("guild-1", stored)
        assert not key_matches("guild-2", stored)

    def test_a_damaged_hash_matches_nothing(self) -> None:
        assert not key_matches("guild-1", "b2$zz$00")
        assert not key_matches("guild-1", "")
