"""Readers that validate raw TOML or JSON values and return typed ones.

A reader is a closure that takes a raw value, its place and the collector
of findings. For an invalid value it adds a finding and returns None. It
never raises, so that one run over a folder reports all faults. For example,
``integer(0, 5)(7, Place("a.toml", "x"), findings)`` adds a finding with the
remedy "must lie between 0 and 5" and returns None.
"""

from __future__ import annotations

from collections.abc import Callable
import math
import re
from typing import Any
from typing import Final
from typing import NamedTuple

from sycamorestand_model.findings import Findings
from sycamorestand_model.findings import item_place
from sycamorestand_model.findings import key_place
from sycamorestand_model.findings import Place

Reader = Callable[[object, Place, Findings], Any]

NAME_PATTERN: Final = re.compile(r"[a-z0-9][a-z0-9._-]*")
KEY_HASH_PATTERN: Final = re.compile(r"b2\$[0-9a-f]{16}\$[0-9a-f]{40}")


class Field(NamedTuple):
    """The reader of one field of a table, and whether it is required."""

    reader: Reader
    required: bool = False


def name(max_characters: int) -> Reader:
    """Return a reader of names, see `check_name`."""

    def read(raw: object, place: Place, findings: Findings) -> str | None:
        if not isinstance(raw, str):
            _report_wrong_type(raw, "a text", place, findings)
            return None
        if check_name(raw, max_characters, place, findings):
            return raw
        return None

    return read


def text(max_characters: int) -> Reader:
    """Return a reader of strings of at most ``max_characters``."""

    def read(raw: object, place: Place, findings: Findings) -> str | None:
        if not isinstance(raw, str):
            _report_wrong_type(raw, "a text", place, findings)
            return None
        if len(raw) > max_characters:
            findings.error(
                place, "is too long", f"use at most {max_characters}"
            )
            return None
        return raw

    return read


def optional(reader: Reader) -> Reader:
    """Return a reader that accepts an empty string besides other values."""

    def read(raw: object, place: Place, findings: Findings) -> Any:
        return "" if raw == "" else reader(raw, place, findings)

    return read


def check_name(
    text: str, max_characters: int, place: Place, findings: Findings
) -> bool:
    """Return whether a name is valid; add a finding if it is not.

    A valid name consists of lower case letters, digits, dots, underscores
    and hyphens, and begins with a letter or a digit.
    """
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
    """Return a reader of integers from ``low`` to ``high``."""

    def read(raw: object, place: Place, findings: Findings) -> int | None:
        if isinstance(raw, bool) or not isinstance(raw, int):
            _report_wrong_type(raw, "a whole number", place, findings)
            return None
        if not low <= raw <= high:
            _report_out_of_range(low, high, place, findings)
            return None
        return raw

    return read


def number(low: float, high: float) -> Reader:
    """Return a reader of finite numbers from ``low`` to ``high``."""

    def read(raw: object, place: Place, findings: Findings) -> float | None:
        if isinstance(raw, bool) or not isinstance(raw, int | float):
            _report_wrong_type(raw, "a number", place, findings)
            return None
        if isinstance(raw, float) and not math.isfinite(raw):
            _report_out_of_range(low, high, place, findings)
            return None
        if not low <= raw <= high:
            _report_out_of_range(low, high, place, findings)
            return None
        return float(raw)

    return read


def flag(raw: object, place: Place, findings: Findings) -> bool | None:
    """Read a Boolean."""
    if not isinstance(raw, bool):
        _report_wrong_type(raw, "true or false", place, findings)
        return None
    return raw


def choice(*allowed: str) -> Reader:
    """Return a reader of strings that accepts only ``allowed`` ones."""

    def read(raw: object, place: Place, findings: Findings) -> str | None:
        if not isinstance(raw, str):
            _report_wrong_type(raw, "a text", place, findings)
            return None
        if raw not in allowed:
            findings.error(
                place, "unknown word", f"use one of {', '.join(allowed)}"
            )
            return None
        return raw

    return read


def key_hash(raw: object, place: Place, findings: Findings) -> str | None:
    """Read a salted hash of a key.

    The finding does not contain the value, which may be a plain-text key.
    """
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
    """Return a reader of lists; invalid items are reported and left out.

    With ``unique``, an item that occurs twice is an error too.
    """

    def read(
        raw: object, place: Place, findings: Findings
    ) -> tuple[Any, ...] | None:
        if not isinstance(raw, list | tuple):
            _report_wrong_type(raw, "a list", place, findings)
            return None
        if not min_items <= len(raw) <= max_items:
            findings.error(
                place,
                f"list of {len(raw)} items",
                f"give {min_items} to {max_items}",
            )
            return None
        values = [
            reader(raw_item, item_place(place, index), findings)
            for index, raw_item in enumerate(raw)
        ]
        valid_values = [value for value in values if value is not None]
        if unique:
            _report_duplicates(valid_values, place, findings)
        return tuple(valid_values)

    return read


def record(factory: Callable[..., Any], fields: dict[str, Field]) -> Reader:
    """Return a reader of tables, which passes the fields to ``factory``.

    Unknown fields and missing required ones are errors. An optional field
    that is missing is not passed, so that ``factory`` uses its default.
    """

    def read(raw: object, place: Place, findings: Findings) -> Any:
        if not isinstance(raw, dict):
            _report_wrong_type(raw, "a table", place, findings)
            return None
        _report_unknown_fields(raw, fields, place, findings)
        values: dict[str, Any] = {}
        is_complete = True
        for key, field in fields.items():
            if key not in raw:
                if field.required:
                    findings.error(
                        key_place(place, key), "missing", "add this field"
                    )
                    is_complete = False
                continue
            value = field.reader(raw[key], key_place(place, key), findings)
            if value is None:
                is_complete = False
            else:
                values[key] = value
        return factory(**values) if is_complete else None

    return read


def _report_unknown_fields(
    raw: dict[Any, Any],
    fields: dict[str, Field],
    place: Place,
    findings: Findings,
) -> None:
    for key in raw:
        if key not in fields:
            findings.error(
                key_place(place, str(key)),
                "unknown field",
                f"known are {', '.join(fields)}",
            )


def _report_duplicates(
    values: list[Any], place: Place, findings: Findings
) -> None:
    seen = set()
    for index, value in enumerate(values):
        if value in seen:
            findings.error(
                item_place(place, index), "given twice", "remove one of them"
            )
        seen.add(value)


def _report_wrong_type(
    raw: object, expected: str, place: Place, findings: Findings
) -> None:
    findings.error(
        place, f"is {type(raw).__name__}", f"give {expected} instead"
    )


def _report_out_of_range(
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
    "integer",
    "key_hash",
    "name",
    "number",
    "optional",
    "Reader",
    "record",
    "text",
]
