"""Values of any type of the model, for the generated tests."""

from __future__ import annotations

from types import UnionType
from typing import Any
from typing import get_args
from typing import get_origin
from typing import get_type_hints
from typing import Literal
from typing import Union

import hypothesis.strategies as st
from hypothesis.strategies import SearchStrategy

from sycamorestand_model.declarations import Customer
from sycamorestand_model.declarations import Declarations
from sycamorestand_model.declarations import Model
from sycamorestand_model.declarations import Rollout
from sycamorestand_model.declarations import Service
from sycamorestand_model.declarations import Version
from sycamorestand_model.routes import CallerLimits
from sycamorestand_model.routes import Route

from .configurations import declare

NAMES = st.sampled_from(("nest", "nest@1", "nest@2", "1", "2", "guild", "ann"))
SCALARS: dict[Any, SearchStrategy[Any]] = {
    str: NAMES | st.text(max_size=3),
    bool: st.booleans(),
    int: st.integers(0, 4) | st.integers(-(2**63), 2**64 - 1),
    float: st.floats() | st.integers(0, 4).map(float),
    bytes: st.binary(max_size=8),
    type(None): st.none(),
}


def values(hint: Any) -> SearchStrategy[Any]:
    """Return a strategy for a type, also for each optional field in it."""
    if hint in SCALARS:
        return SCALARS[hint]
    origin, arguments = get_origin(hint), get_args(hint)
    if origin is Literal:
        return st.sampled_from(arguments)
    if origin in (Union, UnionType):
        return st.one_of(*(values(argument) for argument in arguments))
    if origin is tuple:
        return st.lists(values(arguments[0]), max_size=2).map(tuple)
    if origin is dict:
        return st.dictionaries(
            values(arguments[0]), values(arguments[1]), max_size=2
        )
    fields = get_type_hints(hint)
    return st.builds(hint, **{name: values(fields[name]) for name in fields})


@st.composite
def named(draw: Any, kind: Any, **fixed: Any) -> dict[str, Any]:
    """Return up to three items of a section, each under its own name."""
    names = draw(st.sets(NAMES, max_size=3))
    items = {name: draw(values(kind)) for name in sorted(names)}
    return {n: item._replace(name=n, **fixed) for n, item in items.items()}


@st.composite
def valid_declarations(draw: Any) -> Declarations:
    """Return declarations that can be put in force."""
    names = draw(st.sets(st.sampled_from("123"), min_size=1))
    versions = {
        name: Version("nest", name, 1, 2, draw(st.booleans()))
        for name in sorted(names)
    }
    stable = draw(st.sampled_from(sorted(versions)))
    model = draw(values(Model))._replace(
        name="nest", stable=stable, versions=versions
    )
    others = sorted(set(versions) - {stable})
    rollouts = {}
    if others and draw(st.booleans()):
        rollouts["nest"] = draw(values(Rollout))._replace(
            model="nest",
            version=draw(st.sampled_from(others)),
            shares=draw(st.sampled_from(((1.0,), (0.1, 0.5), (0.1, 1.0)))),
        )
    no_references = {"profiles": (), "versions": (), "services": ()}
    return declare(
        models={"nest": model},
        customers=draw(named(Customer, weight=1.0, **no_references)),
        services=draw(named(Service)),
        routes=draw(named(Route)),
        rollouts=rollouts,
        limits=draw(values(CallerLimits)),
    )


__all__ = ["NAMES", "valid_declarations", "values"]
