"""Encode declarations as a JSON-able document and as msgpack.

The document has the structure of the TOML files, so ``load_document``
reads it back: ``load_document(to_document(d)).declarations == d``. In
msgpack every named tuple is an array. That is small, and a newer reader
uses defaults for the last fields if an older writer did not know them.
"""

from __future__ import annotations

from typing import Any
from typing import Final

import msgspec

from sycamorestand_model.declarations import Declarations
from sycamorestand_model.errors import WireError

# Fields that the key of a declaration's table already holds.
_KEY_FIELDS: Final = {
    "models": ("name",),
    "profiles": ("name",),
    "customers": ("name",),
    "services": ("name",),
    "rollouts": ("model",),
    "operators": ("name",),
    "routes": ("name",),
}
_VERSION_KEY_FIELDS: Final = ("model", "name")


def to_document(declarations: Declarations) -> dict[str, Any]:
    """Return the declarations as a JSON-able dict by section and name."""
    return {
        section: {
            name: _to_table(value, _KEY_FIELDS[section])
            for name, value in values.items()
        }
        for section, values in _sections_of(declarations)
    }


def to_msgpack(declarations: Declarations) -> bytes:
    """Return the declarations as msgpack, for the log and for entries."""
    return msgspec.msgpack.encode(declarations)


def from_msgpack(content: bytes) -> Declarations:
    """Decode what `to_msgpack` encoded.

    Raises `WireError` if the content cannot be decoded.
    """
    try:
        return msgspec.msgpack.decode(content, type=Declarations)
    except (msgspec.DecodeError, RecursionError) as error:
        raise WireError(f"declarations cannot be read: {error}") from error


def _sections_of(declarations: Declarations) -> list[tuple[str, Any]]:
    return [(name, getattr(declarations, name)) for name in _KEY_FIELDS]


def _to_table(value: Any, key_fields: tuple[str, ...]) -> dict[str, Any]:
    return {
        field: _to_plain(part)
        for field, part in value._asdict().items()
        if field not in key_fields and part is not None
    }


def _to_plain(value: Any) -> Any:
    if hasattr(value, "_asdict"):
        return _to_table(value, ())
    if isinstance(value, dict):
        return {
            key: _to_table(part, _VERSION_KEY_FIELDS)
            for key, part in value.items()
        }
    if isinstance(value, tuple):
        return [_to_plain(part) for part in value]
    return value


__all__ = ["from_msgpack", "to_document", "to_msgpack"]
