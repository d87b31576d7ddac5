"""Readers that turn raw TOML or JSON values into typed ones.

A reader is a closure that takes a raw value, its place and the collector
of findings. It returns None after a finding and never raises, so that one
run over a folder reports every fault. For example
``whole(0, 5)(7, Place("a.toml", "x"), findings)`` adds "must lie between
0 and 5" and returns None.
"""

from __future__ import annotations

from collections.abc import Callable
import math
import re
from typing import Any
from typing import Final
from typing import NamedTuple

from sycamorestand_model.findings import Findings
from sycamorestand_model.findings import inside
from sycamorestand_model.findings import item
from sycamorestand_model.findings import Place

Reader = Callable[[object, Place, Findings], Any]

NAME_PATTERN: Final = re.compile(r"[a-z0-9][a-z0-9._-]*")
KEY_HASH_PATTERN: Final = re.compile(r"b2\$[0-9a-f]{16}\$[0-9a-f]{40}")


class Field(NamedTuple):
    """How one field of a table is read and whether it may be left out."""

    reader: Reader
    required: bool = False


def name(max_characters: int) -> Reader:
    """Read a name: lower case letters, digits, dots and hyphens."""

    def read(raw: object, place: Place, findings: Findings) -> str | None:
        if not isinstance(raw, str):
            _wrong_type(raw, "a text", place, findings)
            return None
        if check_name(raw, max_characters, place, findings):
            return raw
        return None

    return read


def text(max_characters: int) -> Reader:
    """Read a text of a bounded length."""

    def read(raw: object, place: Place, findings: Findings) -> str | None:
        if not isinstance(raw, str):
            _wrong_type(raw, "a text", place, findings)
            return None
        if len(raw) > max_characters:
            findings.error(
                place, "is too long", f"use at most {max_characters}"
            )
            return None
        return raw

    return read


def optional(reader: Reader) -> Reader:
    """Read an empty text as nothing, anything else as ``reader`` does."""

    def read(raw: object, place: Place, findings: Findings) -> Any:
        return "" if raw == "" else reader(raw, place, findings)

    return read


def check_name(
    text: str, max_characters: int, place: Place, findings: Findings
) -> bool:
    """Add a finding and return False where a name cannot be used."""
    if len(text) > max_characters:
        findings.error(
            place,
            f"name of {len(text)} characters is too long",
            f"use at most {max_characters}",
        )
        return False
    if not NAME_PATTERN.fullmatch(text):
        findings.error(
            place,
            "name holds a character that is not allowed",
            "use a-z, 0-9, '.', '_' and '-', beginning with a letter or digit",
        )
        return False
    return True


def integer(low: int, high: int) -> Reader:
    """Read a whole number within bounds."""

    def read(raw: object, place: Place, findings: Findings) -> int | None:
        if isinstance(raw, bool) or not isinstance(raw, int):
            _wrong_type(raw, "a whole number", place, findings)
            return None
        if not low <= raw <= high:
            _out_of_range(low, high, place, findings)
            return None
        return raw

    return read


def number(low: float, high: float) -> Reader:
    """Read a finite number within bounds."""

    def read(raw: object, place: Place, findings: Findings) -> float | None:
        if isinstance(raw, bool) or not isinstance(raw, int | float):
            _wrong_type(raw, "a number", place, findings)
            return None
        if isinstance(raw, float) and not math.isfinite(raw):
            _out_of_range(low, high, place, findings)
            return None
        if not low <= raw <= high:
            _out_of_range(low, high, place, findings)
            return None
        return float(raw)

    return read


def flag(raw: object, place: Place, findings: Findings) -> bool | None:
    """Read true or false."""
    if not isinstance(raw, bool):
        _wrong_type(raw, "true or false", place, findings)
        return None
    return raw


def choice(*allowed: str) -> Reader:
    """Read one of a few words."""

    def read(raw: object, place: Place, findings: Findings) -> str | None:
        if not isinstance(raw, str):
            _wrong_type(raw, "a text", place, findings)
            return None
        if raw not in allowed:
            findings.error(
                place, "unknown word", f"use one of {', '.join(allowed)}"
            )
            return None
        return raw

    return read


def key_hash(raw: object, place: Place, findings: Findings) -> str | None:
    """Read a salted hash; the value itself is never repeated."""
    if isinstance(raw, str) and KEY_HASH_PATTERN.fullmatch(raw):
        return raw
    findings.error(
        place,
        "this is not a salted key hash; it may be a plain-text key",
        "put the output of 'sycactl hash-key' here, and make a new key if "
        "the plain one was ever committed",
    )
    return None


def array(
    reader: Reader, max_items: int, min_items: int = 0, unique: bool = True
) -> Reader:
    """Read a list; broken items are reported and left out."""

    def read(
        raw: object, place: Place, findings: Findings
    ) -> tuple[Any, ...] | None:
        if not isinstance(raw, list | tuple):
            _wrong_type(raw, "a list", place, findings)
            return None
        if not min_items <= len(raw) <= max_items:
            findings.error(
                place,
                f"list of {len(raw)} items",
                f"give {min_items} to {max_items}",
            )
            return None
        values = [
            reader(each, item(place, index), findings)
            for index, each in enumerate(raw)
        ]
        kept = [value for value in values if value is not None]
        if unique:
            _report_doubled(kept, place, findings)
        return tuple(kept)

    return read


def record(make: Callable[..., Any], fields: dict[str, Field]) -> Reader:
    """Read a table into a typed tuple; unknown fields are findings.

    Fields that a table leaves out keep the default of the tuple.
    """

    def read(raw: object, place: Place, findings: Findings) -> Any:
        if not isinstance(raw, dict):
            _wrong_type(raw, "a table", place, findings)
            return None
        _report_unknown(raw, fields, place, findings)
        values: dict[str, Any] = {}
        whole_record = True
        for key, field in fields.items():
            if key not in raw:
                if field.required:
                    findings.error(
                        inside(place, key), "missing", "add this field"
                    )
                    whole_record = False
                continue
            value = field.reader(raw[key], inside(place, key), findings)
            if value is None:
                whole_record = False
            else:
                values[key] = value
        return make(**values) if whole_record else None

    return read


def _report_unknown(
    raw: dict[Any, Any],
    fields: dict[str, Field],
    place: Place,
    findings: Findings,
) -> None:
    for key in raw:
        if key not in fields:
            findings.error(
                inside(place, str(key)),
                "unknown field",
                f"known are {', '.join(fields)}",
            )


def _report_doubled(
    values: list[Any], place: Place, findings: Findings
) -> None:
    seen = set()
    for index, value in enumerate(values):
        if value in seen:
            findings.error(
                item(place, index), "given twice", "remove one of them"
            )
        seen.add(value)


def _wrong_type(
    raw: object, wanted: str, place: Place, findings: Findings
) -> None:
    findings.error(place, f"is {type(raw).__name__}", f"give {wanted} instead")


def _out_of_range(
    low: float, high: float, place: Place, findings: Findings
) -> None:
    findings.error(
        place, "out of range", f"must lie between {low:,} and {high:,}"
    )


__all__ = [
    "array",
    "check_name",
    "choice",
    "Field",
    "flag",
    "key_hash",
    "name",
    "number",
    "optional",
    "Reader",
    "record",
    "text",
    "integer",
]
