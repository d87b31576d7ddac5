"""Tests of the escalation from the smallest model to larger ones."""

from __future__ import annotations

import pytest

from sycamorestand_decisions.size_ladder import ACCEPT_CONFIDENCE
from sycamorestand_decisions.size_ladder import first_size
from sycamorestand_decisions.size_ladder import FULL_STRAIN
from sycamorestand_decisions.size_ladder import NEAR_MISS_CONFIDENCE
from sycamorestand_decisions.size_ladder import next_size

SIZES = ("small", "middle", "large")


class TestNextSize:
    def test_begins_on_the_smallest(self) -> None:
        assert first_size(SIZES) == 0

    @pytest.mark.parametrize(
        ("size", "confidence", "left", "expected"),
        [
            pytest.param(0, None, 2, None, id="no opinion"),
            pytest.param(0, ACCEPT_CONFIDENCE, 2, None, id="accepted"),
            pytest.param(0, ACCEPT_CONFIDENCE - 1, 2, 1, id="a near miss"),
            pytest.param(0, NEAR_MISS_CONFIDENCE, 2, 1, id="still near"),
            pytest.param(0, NEAR_MISS_CONFIDENCE - 1, 2, 2, id="far off"),
            pytest.param(0, 0, 2, 2, id="hopeless on the smallest"),
            pytest.param(0, NEAR_MISS_CONFIDENCE, 1, 2, id="the last attempt"),
            pytest.param(0, 0, 0, None, id="no attempt left"),
            pytest.param(1, NEAR_MISS_CONFIDENCE, 1, 2, id="from the middle"),
            pytest.param(1, 49, 1, 2, id="below both its thresholds"),
            pytest.param(1, 50, 1, None, id="a second opinion, both near"),
            pytest.param(2, 0, 1, None, id="nothing is larger"),
        ],
    )
    def test_escalation(
        self, size: int, confidence: int | None, left: int, expected: int
    ) -> None:
        assert next_size(SIZES, size, confidence, left) == expected

    def test_under_strain_only_the_worst_answers_escalate(self) -> None:
        """Long and short prompts exceed the capacity of the servers.

        Each escalation of a long prompt takes a second of a server, during
        which ten short requests wait. The higher the confidence of an answer,
        the lower the strain at which it is released; once the queueing delay
        reaches half of the target, all answers are released.
        """
        escalating = [
            sum(
                next_size(SIZES, 0, confidence, 2, strain) is not None
                for confidence in range(101)
            )
            for strain in (0.0, 0.1, 0.25, 0.4, FULL_STRAIN, 3.0)
        ]
        assert escalating == [60, 48, 30, 12, 0, 0]

    def test_every_escalation_ends_within_the_attempts(self) -> None:
        """Each model has low confidence in its answer.

        If an escalation spent the last attempt below the largest model, the
        caller would get a poor answer that one more run could have replaced.
        """
        for attempts in range(1, 5):
            for confidence in (0, NEAR_MISS_CONFIDENCE):
                path = [0]
                while size := next_size(
                    SIZES, path[-1], confidence, attempts - len(path)
                ):
                    path.append(size)
                assert len(path) <= attempts
                assert attempts == 1 or path[-1] == len(SIZES) - 1
