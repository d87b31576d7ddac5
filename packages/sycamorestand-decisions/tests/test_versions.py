from __future__ import annotations

import pytest

from sycamorestand_decisions.versions import choose_version
from sycamorestand_decisions.versions import may_run
from sycamorestand_model.declarations import Model
from sycamorestand_model.declarations import Version
from sycamorestand_model.in_force import InForce
from sycamorestand_model.in_force import RolloutShare

MODEL = Model(
    "nest",
    "1",
    {
        "1": Version("nest", "1", 1, 1),
        "2": Version("nest", "2", 1, 1),
        "old": Version("nest", "old", 1, 1, withdrawn=True),
    },
)
SHARES = {"nest": RolloutShare("2", 0.25, 2, "running")}


class TestChooseVersion:
    @pytest.mark.parametrize(
        ("in_force", "random_unit", "chosen"),
        [
            (InForce(), 0.0, "nest@1"),
            (InForce(shares=SHARES), 0.2, "nest@2"),
            (InForce(shares=SHARES), 0.3, "nest@1"),
            (InForce(shares=SHARES, quarantined=("nest@2",)), 0.2, "nest@1"),
            (InForce(shares=SHARES, withdrawn=("nest@2",)), 0.2, "nest@1"),
            (InForce(shares=SHARES, withdrawn=("nest@1",)), 0.9, "nest@2"),
            (InForce(withdrawn=("nest@1",)), 0.5, None),
        ],
    )
    def test_follows_share_withdrawal_and_quarantine(
        self, in_force: InForce, random_unit: float, chosen: str | None
    ) -> None:
        assert choose_version(MODEL, in_force, random_unit) == chosen

    def test_chooses_only_allowed_versions(self) -> None:
        in_force = InForce(shares=SHARES)
        allowed = ("nest@1",)
        assert choose_version(MODEL, in_force, 0.1, allowed) == "nest@1"
        assert choose_version(MODEL, in_force, 0.1, ()) is None

    def test_a_declared_withdrawal_counts(self) -> None:
        assert not may_run("nest@old", MODEL, InForce())
        assert not may_run("nest@unknown", MODEL, InForce())
