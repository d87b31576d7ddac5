"""Convert typed messages to JSON-compatible objects and back.

JSON answers contain field names, so that an older ``sycactl`` can read the
answers of a newer control process. Unknown fields are ignored, and missing
fields take their default. For example
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
    """Return a typed message as a JSON-compatible object."""
    if isinstance(value, Declarations):
        return to_document(value)
    if hasattr(value, "_asdict"):
        return {key: to_plain(part) for key, part in value._asdict().items()}
    if isinstance(value, tuple | list):
        return [to_plain(part) for part in value]
    return value


def from_plain(message_type: type[Message], value: object) -> Message:
    """Return a decoded JSON value as a message of the given type.

    Raises `WireError` if the value does not fit the type.
    """
    try:
        return _convert(message_type, value)
    except (msgspec.ValidationError, TypeError) as error:
        raise WireError(
            f"answer is no {message_type.__name__}: {error}"
        ) from error


def _convert(wanted_type: Any, value: Any) -> Any:
    if hasattr(wanted_type, "_fields"):
        return _convert_fields(wanted_type, value)
    if get_origin(wanted_type) is tuple:
        item_type = get_args(wanted_type)[0]
        if not isinstance(value, list):
            raise TypeError("a list was expected")
        return tuple(_convert(item_type, part) for part in value)
    return msgspec.convert(value, wanted_type)


def _convert_fields(message_type: Any, value: Any) -> Any:
    if not isinstance(value, dict):
        raise TypeError("an object was expected")
    hints = get_type_hints(message_type)
    known_fields = {
        field: _convert(hints[field], value[field])
        for field in message_type._fields
        if field in value
    }
    return message_type(**known_fields)


__all__ = ["from_plain", "to_plain"]
