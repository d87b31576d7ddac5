"""Declarations as a document for JSON and as msgpack for the log.

The document is the form that TOML files have, so ``load_document`` reads
it back with findings: ``load_document(to_document(d)).declarations == d``.
In msgpack every named tuple is an array, which is small and lets a newer
reader take what an older writer left out at the end.
"""

from __future__ import annotations

from typing import Any
from typing import Final

import msgspec

from sycamorestand_model.declarations import Declarations
from sycamorestand_model.errors import WireError

# The key of a declaration's table says these already.
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
    """Return the JSON-able form, by section and name."""
    return {
        section: {
            name: _to_table(value, _KEY_FIELDS[section])
            for name, value in values.items()
        }
        for section, values in _sections_of(declarations)
    }


def to_msgpack(declarations: Declarations) -> bytes:
    """Return the form that travels in the log and to entries."""
    return msgspec.msgpack.encode(declarations)


def from_msgpack(content: bytes) -> Declarations:
    """Read what `to_msgpack` wrote; raises `WireError` on anything else."""
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
