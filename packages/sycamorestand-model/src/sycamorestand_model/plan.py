"""Compute the differences between two sets of declarations.

``plan(in_force, wanted)`` lists additions, removals and changes, with
notes on their effects on customers and sessions. Key hashes appear as
counts only, so that a plan can be stored in the audit trail.
"""

from __future__ import annotations

from typing import Any
from typing import Final
from typing import Literal
from typing import NamedTuple

from sycamorestand_model.codec import to_document
from sycamorestand_model.consequences import consequences
from sycamorestand_model.declarations import Declarations

SECRET_FIELDS: Final = ("key_hashes",)
MAX_TEXT_CHARACTERS: Final = 120


class PlanLine(NamedTuple):
    """One difference; ``before`` and ``after`` are values as text."""

    action: Literal["added", "removed", "changed"]
    key_path: str
    before: str = ""
    after: str = ""


class Plan(NamedTuple):
    """All differences, with notes on their effects."""

    lines: tuple[PlanLine, ...]
    notes: tuple[str, ...]


def plan(old: Declarations, new: Declarations) -> Plan:
    """Return the differences between ``old`` and ``new`` declarations."""
    lines = _differences("", to_document(old), to_document(new))
    return Plan(tuple(lines), consequences(old, new))


def plan_line_text(line: PlanLine) -> str:
    """Return a difference as a line of text, such as for the audit trail."""
    if line.action == "changed":
        return f"changed {line.key_path}: {line.before} -> {line.after}"
    return f"{line.action} {line.key_path}"


def _differences(path: str, old: Any, new: Any) -> list[PlanLine]:
    if path.rpartition(".")[2] in SECRET_FIELDS:
        return _key_hash_differences(path, old, new)
    if isinstance(old, dict) and isinstance(new, dict):
        return _table_differences(path, old, new)
    if old == new:
        return []
    return [PlanLine("changed", path, _format_value(old), _format_value(new))]


def _table_differences(
    path: str, old: dict[str, Any], new: dict[str, Any]
) -> list[PlanLine]:
    lines: list[PlanLine] = []
    for key in sorted({**old, **new}):
        key_path = f"{path}.{key}" if path else key
        if key not in old:
            lines.append(PlanLine("added", key_path))
        elif key not in new:
            lines.append(PlanLine("removed", key_path))
        else:
            lines.extend(_differences(key_path, old[key], new[key]))
    return lines


def _key_hash_differences(
    path: str, old: list[str], new: list[str]
) -> list[PlanLine]:
    if old == new:
        return []
    removed_count = len(set(old) - set(new))
    added_count = len(set(new) - set(old))
    before = f"{len(old)} keys"
    after = f"{len(new)} keys ({added_count} new, {removed_count} removed)"
    return [PlanLine("changed", path, before, after)]


def _format_value(value: Any) -> str:
    text = repr(value)
    if len(text) <= MAX_TEXT_CHARACTERS:
        return text
    return f"{text[:MAX_TEXT_CHARACTERS]}..."


__all__ = ["Plan", "plan", "plan_line_text", "PlanLine"]
