from __future__ import annotations

from typing import Any

import pytest

from sycamorestand_state.nodes import NodeRecord
from sycamorestand_state.nodes import NodeRegistry


def node(name: str, data_centre: str = "Dalton", **fields: Any) -> NodeRecord:
    return NodeRecord(
        name, f"vm-{name}", data_centre, 1, 1, "10.0.0.1", 80, "tcp://x"
    )._replace(**fields)


@pytest.fixture
def registry() -> NodeRegistry:
    made = NodeRegistry("c1", 1)
    made.announce(node("a"), 0.0)
    made.announce(node("b"), 0.0)
    made.announce(node("far", "Marietta"), 0.0)
    return made


def names(found: tuple[NodeRecord, ...]) -> set[str]:
    return {node.name for node in found}


class TestAddresses:
    def test_the_own_data_centre_comes_first(
        self, registry: NodeRegistry
    ) -> None:
        found = registry.addresses("caller", "Dalton", 3)
        assert names(found[:2]) == {"a", "b"}
        assert found[2].name == "far"

    def test_an_overloaded_entry_comes_last(
        self, registry: NodeRegistry
    ) -> None:
        registry.announce(node("a", sequence=2, load=0.8), 0.0)
        found = registry.addresses("caller", "Dalton", 3)
        assert [n.name for n in found] == ["b", "far", "a"]

    def test_callers_spread_over_equal_entries(
        self, registry: NodeRegistry
    ) -> None:
        first = [
            registry.addresses(f"caller-{number}", "Dalton", 1)[0].name
            for number in range(100)
        ]
        assert 30 < first.count("a") < 70

    def test_stopping_and_draining_ones_leave_the_answers(
        self, registry: NodeRegistry
    ) -> None:
        """A planned stop would cut the requests of new callers.

        One entry says that it stops, the VM of another is drained; both
        still serve whoever kept their address.
        """
        registry.announce(node("a", sequence=2, stopping=True), 0.0)
        found = registry.addresses("caller", "Dalton", 3, ["vm-b"])
        assert names(found) == {"far"}
        everywhere = ["vm-a", "vm-b", "vm-far"]
        found = registry.addresses("caller", "Dalton", 3, everywhere)
        assert names(found) == {"b", "far"}

    def test_a_silent_entry_runs_out(self, registry: NodeRegistry) -> None:
        registry.announce(node("a", sequence=2), 2.0)
        assert registry.expire(3.0) == ("b", "far")


class TestNodeDeltas:
    def test_small_moves_of_load_are_no_news(
        self, registry: NodeRegistry
    ) -> None:
        version = registry.version
        registry.announce(node("a", sequence=2, load=0.2), 0.0)
        assert registry.version == version
        registry.announce(node("a", sequence=3, load=0.3), 0.0)
        assert registry.version == version + 1
