from __future__ import annotations

from sycamorestand_decisions.versions import choose_version
from sycamorestand_model.declarations import Model
from sycamorestand_model.declarations import Version
from sycamorestand_model.in_force import InForce
from sycamorestand_model.in_force import RolloutShare


def model(fallback: str = "") -> Model:
    versions = {name: Version("nest", name, 1, 1) for name in ("1", "2", "3")}
    return Model("nest", "2", versions, fallback=fallback)


class TestFallback:
    def test_the_fallback_replaces_a_quarantined_stable_version(self) -> None:
        """The stable version degrades in service and is quarantined.

        New work goes to the declared fallback immediately. Version 3, which is
        declared but not rolled out, must get none of it.
        """
        in_force = InForce(quarantined=("nest@2",))
        assert choose_version(model("1"), in_force, 0.5) == "nest@1"
        assert choose_version(model(), in_force, 0.5) is None

    def test_the_fallback_is_unused_while_the_stable_version_may_run(
        self,
    ) -> None:
        assert choose_version(model("1"), InForce(), 0.5) == "nest@2"

    def test_a_withdrawn_fallback_is_not_used(self) -> None:
        in_force = InForce(quarantined=("nest@2",), withdrawn=("nest@1",))
        assert choose_version(model("1"), in_force, 0.5) is None

    def test_the_customer_must_be_allowed_to_use_the_fallback(self) -> None:
        in_force = InForce(withdrawn=("nest@2",))
        allowed = {"nest@2", "nest@3"}
        assert choose_version(model("1"), in_force, 0.5, allowed) is None

    def test_a_running_rollout_takes_precedence(self) -> None:
        shares = {"nest": RolloutShare("3", 0.05, 1, "running")}
        in_force = InForce(withdrawn=("nest@2",), shares=shares)
        assert choose_version(model("1"), in_force, 0.9) == "nest@3"
