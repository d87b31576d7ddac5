"""Tests of affinity keys of prompts."""

from __future__ import annotations

from random import Random

import pytest

from sycamorestand_decisions.affinity import prefix_key
from sycamorestand_decisions.selection import Candidate
from sycamorestand_decisions.selection import ServerSelector


class TestPrefixKey:
    @pytest.mark.parametrize(
        ("parts", "key"),
        [
            (["system", "club", "question"], "club"),
            (["system", "question"], "system"),
            (["question"], "question"),
            ([""], ""),
            ([], ""),
        ],
    )
    def test_key(self, parts: list[str], key: str) -> None:
        assert prefix_key(parts) == key

    def test_every_entry_places_one_prefix_on_the_same_server(self) -> None:
        """Requests of one club share all parts but the last.

        Placed by the last part, they went to different servers, each of which
        read the club's history again. Callers waited for that, and the engines
        had less capacity for other requests.
        """
        servers = [Candidate(f"engine-{n}", 64) for n in range(9)]
        chosen = {
            ServerSelector(Random(entry)).choose(
                servers, 0.0, prefix_key(["system", "club", f"turn-{entry}"])
            )
            for entry in range(20)
        }
        assert len(chosen) == 1
