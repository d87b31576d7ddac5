"""Typed messages to JSON-able objects and back, by field name.

JSON answers name their fields, so that an older ``sycactl`` can read a
newer control process: fields that it does not know are passed over and
fields that are missing take their default. For example
``from_plain(TransferAnswer, {"leader": "a", "term": 3})``.
"""

from __future__ import annotations

from typing import Any
from typing import get_args
from typing import get_origin
from typing import get_type_hints
from typing import TypeVar

import msgspec

from sycamorestand_model.codec import to_document
from sycamorestand_model.declarations import Declarations
from sycamorestand_model.errors import WireError

Message = TypeVar("Message")


def to_plain(value: Any) -> Any:
    """Return the JSON-able form of a typed message."""
    if isinstance(value, Declarations):
        return to_document(value)
    if hasattr(value, "_asdict"):
        return {key: to_plain(part) for key, part in value._asdict().items()}
    if isinstance(value, tuple | list):
        return [to_plain(part) for part in value]
    return value


def from_plain(wanted: type[Message], value: object) -> Message:
    """Read a message of the wanted type; raises `WireError` if it is not."""
    try:
        return _read(wanted, value)
    except (msgspec.ValidationError, TypeError) as error:
        raise WireError(f"answer is no {wanted.__name__}: {error}") from error


def _read(wanted: Any, value: Any) -> Any:
    if hasattr(wanted, "_fields"):
        return _read_fields(wanted, value)
    if get_origin(wanted) is tuple:
        member = get_args(wanted)[0]
        if not isinstance(value, list):
            raise TypeError("a list was expected")
        return tuple(_read(member, part) for part in value)
    return msgspec.convert(value, wanted)


def _read_fields(wanted: Any, value: Any) -> Any:
    if not isinstance(value, dict):
        raise TypeError("an object was expected")
    hints = get_type_hints(wanted)
    known = {
        field: _read(hints[field], value[field])
        for field in wanted._fields
        if field in value
    }
    return wanted(**known)


__all__ = ["from_plain", "to_plain"]
