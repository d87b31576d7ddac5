"""Describe the difference of two declarations for the audit trail."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any
from typing import Final

from sycamorestand_model.declarations import Declarations

# Bounds the size of an audit entry; the first lines show the intent.
MAX_LINES: Final = 200
MAX_VALUE_CHARACTERS: Final = 80
# Readers of the audit trail could test guessed keys against salted hashes,
# so the difference shows only the number of hashes.
SECRET_FIELDS: Final = frozenset({"key_hashes"})
# Fields that the difference leaves out: an operator's document may hold
# customers' keys in plain text.
OMITTED_FIELDS: Final = frozenset({"content"})


def describe_difference(
    old: Declarations, new: Declarations
) -> tuple[str, ...]:
    """Return a line for each part that was added, removed or changed.

    At most `MAX_LINES` differences are listed; a last line counts the rest.

    Example: ``models.nest.stable: '1' -> '2'``.
    """
    lines = list(_differences("", old, new))
    left_out = len(lines) - MAX_LINES
    if left_out > 0:
        return (*lines[:MAX_LINES], f"and {left_out} more differences")
    return tuple(lines)


def _differences(path: str, old: Any, new: Any) -> Iterator[str]:
    if old == new:
        return
    if isinstance(old, dict) and isinstance(new, dict):
        yield from _mapping_differences(path, old, new)
    elif hasattr(old, "_fields") and type(old) is type(new):
        for field in old._fields:
            yield from _field_differences(_join(path, field), field, old, new)
    elif new is None:
        yield f"{path}: removed"
    elif old is None and hasattr(new, "_fields"):
        yield f"{path}: added"
    else:
        yield f"{path}: {_abbreviate(old)} -> {_abbreviate(new)}"


def _mapping_differences(
    path: str, old: dict[str, Any], new: dict[str, Any]
) -> Iterator[str]:
    for name in sorted({*old, *new}):
        item_path = _join(path, name)
        if name not in new:
            yield f"{item_path}: removed"
        elif name not in old:
            yield f"{item_path}: added"
        else:
            yield from _differences(item_path, old[name], new[name])


def _field_differences(
    path: str, field: str, old: Any, new: Any
) -> Iterator[str]:
    before = getattr(old, field)
    after = getattr(new, field)
    if field in OMITTED_FIELDS:
        return
    if field not in SECRET_FIELDS:
        yield from _differences(path, before, after)
    elif before != after:
        yield f"{path}: changed, {len(before)} -> {len(after)} keys"


def _join(path: str, name: str) -> str:
    return f"{path}.{name}" if path else name


def _abbreviate(value: Any) -> str:
    text = repr(value)
    if len(text) <= MAX_VALUE_CHARACTERS:
        return text
    return f"{text[:MAX_VALUE_CHARACTERS]}..."


__all__ = ["describe_difference", "MAX_LINES"]
