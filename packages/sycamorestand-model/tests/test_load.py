from __future__ import annotations

from pathlib import Path
from typing import Any

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from sycamorestand_model.check import check
from sycamorestand_model.codec import from_msgpack
from sycamorestand_model.codec import to_document
from sycamorestand_model.codec import to_msgpack
from sycamorestand_model.declarations import Declarations
from sycamorestand_model.findings import Finding
from sycamorestand_model.findings import has_errors
from sycamorestand_model.load import load_document
from sycamorestand_model.load import load_folder
from sycamorestand_model.plan import plan

EXAMPLES = Path(__file__).parents[3] / "examples"

JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=5),
    lambda children: (
        st.lists(children, max_size=3)
        | st.dictionaries(st.text(max_size=5), children, max_size=3)
    ),
    max_leaves=8,
)


@pytest.fixture(scope="module")
def example() -> dict[str, Any]:
    return to_document(load_folder(EXAMPLES / "guild").declarations)


def value_paths(
    value: Any, path: tuple[Any, ...] = ()
) -> list[tuple[Any, ...]]:
    """Return the path of every value inside a document."""
    if isinstance(value, dict):
        children = list(value.items())
    elif isinstance(value, list):
        children = list(enumerate(value))
    else:
        children = []
    paths = [(*path, key) for key, _ in children]
    for key, child in children:
        paths.extend(value_paths(child, (*path, key)))
    return paths


def replace_value(document: Any, path: tuple[Any, ...], value: Any) -> Any:
    """Return a copy of a document with another value at a path."""
    if not path:
        return value
    copy = document.copy()
    copy[path[0]] = replace_value(document[path[0]], path[1:], value)
    return copy


class TestLoadDocument:
    @given(document=JSON_VALUES)
    def test_any_json_value_is_loaded_or_reported(self, document: Any) -> None:
        loaded = load_document(document)
        findings = check(loaded)
        assert all(isinstance(one, Finding) for one in findings)
        if not isinstance(document, dict):
            assert has_errors(findings)

    @settings(max_examples=300)
    @given(data=st.data())
    def test_one_random_value_never_makes_check_raise(
        self, data: st.DataObject, example: dict[str, Any]
    ) -> None:
        path = data.draw(st.sampled_from(value_paths(example)))
        value = data.draw(JSON_VALUES)
        loaded = load_document(replace_value(example, path, value))
        findings = check(loaded)
        plan(Declarations(), loaded.declarations)
        if not has_errors(findings):
            reloaded = load_document(to_document(loaded.declarations))
            assert reloaded.declarations == loaded.declarations
            encoded = to_msgpack(loaded.declarations)
            assert from_msgpack(encoded) == loaded.declarations
