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
    created = NodeRegistry("c1", 1)
    created.announce(node("a"), 0.0)
    created.announce(node("b"), 0.0)
    created.announce(node("far", "Marietta"), 0.0)
    return created


def names(found: tuple[NodeRecord, ...]) -> set[str]:
    return {node.name for node in found}


class TestAddresses:
    def test_the_callers_data_centre_comes_first(
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

    def test_an_entry_that_reaches_no_server_comes_last(
        self, registry: NodeRegistry
    ) -> None:
        """The list of a large data centre named only entries cut off."""
        registry.announce(node("a", sequence=2, unreached=("words",)), 0.0)
        found = registry.addresses("caller", "Dalton", 2)
        assert [n.name for n in found] == ["b", "far"]

    def test_callers_spread_over_equal_entries(
        self, registry: NodeRegistry
    ) -> None:
        first = [
            registry.addresses(f"caller-{number}", "Dalton", 1)[0].name
            for number in range(100)
        ]
        assert 30 < first.count("a") < 70

    def test_stopping_and_draining_entries_are_left_out(
        self, registry: NodeRegistry
    ) -> None:
        """Guards against a planned stop that cuts requests of new callers.

        One entry announces that it stops, and another one's VM is drained.
        Both still serve callers that have their address.
        """
        registry.announce(node("a", sequence=2, stopping=True), 0.0)
        found = registry.addresses("caller", "Dalton", 3, ["vm-b"])
        assert names(found) == {"far"}
        everywhere = ["vm-a", "vm-b", "vm-far"]
        found = registry.addresses("caller", "Dalton", 3, everywhere)
        assert names(found) == {"b", "far"}

    def test_a_silent_entry_expires(self, registry: NodeRegistry) -> None:
        registry.announce(node("a", sequence=2), 2.0)
        assert registry.expire(3.0) == ("b", "far")


class TestNodeDeltas:
    def test_small_load_changes_cause_no_delta(
        self, registry: NodeRegistry
    ) -> None:
        version = registry.version
        registry.announce(node("a", sequence=2, load=0.2), 0.0)
        assert registry.version == version
        registry.announce(node("a", sequence=3, load=0.3), 0.0)
        assert registry.version == version + 1
