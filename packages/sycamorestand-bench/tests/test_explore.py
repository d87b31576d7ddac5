from __future__ import annotations

import json
import subprocess
import sys
from typing import Final

import pytest

from sycamorestand_bench.explore.mutants import MUTANTS
from sycamorestand_bench.explore.mutants import without_safeguard
from sycamorestand_bench.explore.run import play
from sycamorestand_bench.explore.run import STEPS_A_RUN
from sycamorestand_bench.scenarios.explore import explore
from sycamorestand_bench.scenarios.explore import main

# Seeds whose runs broke a promise while the core was being written. The
# draws have changed since, so they are kept as further runs only; what
# was wrong has tests of its own in the consensus package.
SEEDS_OF_EARLIER_FAULTS: Final = (25, 104, 519, 903, 1563, 4439, 6770)

# A seed whose run misses the safeguard. Changes of core or draws shift
# them; then find another one with
#   dev/bench explore --without NAME --steps 9000000
SEEDS_THAT_MISS: Final = {
    "answer-before-sync": 77,
    "claim-without-promise": 54,
    "commit-earlier-terms": 20155,
    "count-own-unsynced-entries": 12,
    "end-promises-without-restart": 4,
    "forget-promise-in-restart": 2478,
    "lease-at-once-after-transfer": 4,
    "led-before-first-lease": 960,
    "read-without-round": 264,
    "truncate-without-conflict": 4,
    "two-changes-at-once": 159,
    "vote-before-sync": 80,
    "vote-despite-promise": 4,
    "vote-for-anyone": 3,
    "vote-twice": 2,
}


class TestMutants:
    @pytest.mark.parametrize("name", sorted(MUTANTS))
    def test_a_missing_safeguard_breaks_a_promise(self, name: str) -> None:
        # An exploration that cannot fail proves nothing. The same run
        # finds a fault without the safeguard and none with it.
        seed = SEEDS_THAT_MISS[name]
        with without_safeguard(name):
            assert play(seed, STEPS_A_RUN).fault is not None
        assert play(seed, STEPS_A_RUN).fault is None


class TestExplore:
    def test_random_faults_break_no_promise(self) -> None:
        summary = explore(seed=1, steps=45_000)
        assert summary.faults == ()
        assert summary.committed > 100
        assert summary.elections > 30

    @pytest.mark.parametrize("seed", SEEDS_OF_EARLIER_FAULTS)
    def test_a_seed_that_found_a_fault_finds_none_now(self, seed: int) -> None:
        assert play(seed, STEPS_A_RUN).fault is None

    def test_equal_seeds_play_equal_runs(self) -> None:
        # In another process sets of names have another order. A run that
        # depended on it could not be played again after it found a fault.
        program = (
            "from sycamorestand_bench.explore.run import play;"
            "print(play(520, 1500))"
        )
        found = {
            subprocess.run(
                [sys.executable, "-c", program],
                env={"PYTHONHASHSEED": str(number)},
                capture_output=True,
                check=True,
            ).stdout
            for number in range(3)
        }
        assert len(found) == 1

    def test_the_last_line_is_json(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert main(["--seed", "7", "--steps", "300"]) == 0
        found = json.loads(capsys.readouterr().out.splitlines()[-1])
        assert found["steps"] == 300
        assert found["faults"] == []
