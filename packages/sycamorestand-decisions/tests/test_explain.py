from __future__ import annotations

from random import Random

from sycamorestand_decisions.admission import Refused
from sycamorestand_decisions.admission import Started
from sycamorestand_decisions.admission import Waiting
from sycamorestand_decisions.cascade import CascadeLearner
from sycamorestand_decisions.explain import explain_admission
from sycamorestand_decisions.explain import explain_cascade
from sycamorestand_decisions.explain import explain_choice
from sycamorestand_decisions.explain import explain_verdict
from sycamorestand_decisions.rollout import Stop
from sycamorestand_decisions.selection import Candidate
from sycamorestand_decisions.selection import ServerSelector
from sycamorestand_model.declarations import CascadeStep
from sycamorestand_model.declarations import Profile


class TestExplain:
    def test_admission(self) -> None:
        assert "slot" in explain_admission(Started(1))
        assert "0.50 s" in explain_admission(Waiting(1, 0.5))
        assert "full" in explain_admission(Refused("queue full", 2.0))

    def test_choice_has_a_line_for_each_server(self) -> None:
        candidates = [Candidate("a", 4), Candidate("b", 4, 3)]
        selector = ServerSelector(Random(1))
        lines = explain_choice(selector.explain(candidates, 0.0))
        assert [line.split(":")[0] for line in lines] == ["a", "b"]
        assert explain_choice(()) == ["no candidate server"]

    def test_cascade_marks_the_chosen_plan(self) -> None:
        profile = Profile(
            "nest", (CascadeStep("small"), CascadeStep("large")), 0.9
        )
        lines = explain_cascade(CascadeLearner(), profile, "any/s/single")
        assert sum(line.startswith("->") for line in lines) == 1

    def test_verdict_shows_the_evidence(self) -> None:
        lines = explain_verdict("nest@2", Stop("worse ratings", ("9 of 9",)))
        assert lines[0].startswith("nest@2: stop")
        assert "9 of 9" in lines[1]
