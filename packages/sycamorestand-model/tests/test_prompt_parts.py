"""The names by which parts of prompts are tracked are bounded and plain."""

from __future__ import annotations

from hypothesis import given
import hypothesis.strategies as st

from sycamorestand_model.prompt_parts import BlockedPart
from sycamorestand_model.prompt_parts import MAX_PARTS
from sycamorestand_model.prompt_parts import PLAIN_NAME
from sycamorestand_model.prompt_parts import tracked_parts


class TestTrackedParts:
    def test_plain_names_are_kept_once_and_in_order(self) -> None:
        assert tracked_parts("club", ["b2", "a1", "b2", ""]) == ("b2", "a1")

    def test_long_names_that_differ_at_their_ends_stay_apart(self) -> None:
        long = "x" * 100
        first, second = tracked_parts("club", [f"{long}1", f"{long}2"])
        assert first != second

    def test_parts_of_a_long_list_share_a_name_of_their_customer(self) -> None:
        names = [f"p{number}" for number in range(1000)]
        club = tracked_parts("club", names)
        assert len(club) == MAX_PARTS + 1
        assert club[-1] == tracked_parts("club", [*names[:-1], "q"])[-1]
        assert club[-1] != tracked_parts("school", names)[-1]

    @given(st.lists(st.text()))
    def test_names_fit_into_commands_and_lines(self, names: list[str]) -> None:
        tracked = tracked_parts("club", names)
        assert len(tracked) <= MAX_PARTS + 1
        assert all(PLAIN_NAME.fullmatch(name) for name in tracked)


class TestBlockedPart:
    def test_concerns_its_customers_or_everyone(self) -> None:
        block = BlockedPart(("club",))
        assert block.concerns("club")
        assert not block.concerns("")
        assert block._replace(is_for_everyone=True).concerns("")
