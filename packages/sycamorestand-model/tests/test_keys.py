from __future__ import annotations

from sycamorestand_model.keys import hash_key
from sycamorestand_model.keys import key_matches


class TestKeys:
    def test_hash_matches_only_its_key(self) -> None:
        stored_hash = hash_key("guild-1")
        assert key_matches("guild-1", stored_hash)
        assert not key_matches("guild-2", stored_hash)

    def test_malformed_hash_matches_no_key(self) -> None:
        assert not key_matches("guild-1", "b2$zz$00")
        assert not key_matches("guild-1", "")
