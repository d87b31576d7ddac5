"""The member's random id, which lives and dies with its data folder."""

from __future__ import annotations

import os
from pathlib import Path
import secrets
from typing import Final
from typing import NamedTuple
import zlib

import msgspec

from sycamorestand_consensus.errors import LogCorrupted

IDENTITY_FILE: Final = "identity"
FORMAT_VERSION: Final = 1
MEMBER_ID_BYTES: Final = 8


class Identity(NamedTuple):
    """Who this data folder is among the members of its groups."""

    member_id: str


class _IdentityFile(NamedTuple):
    format_version: int
    member_id: str
    checksum: int


def open_identity(folder: Path) -> Identity:
    """Read the folder's identity, or create it at the first start.

    The id is random and kept nowhere else. A disk that was wiped thus
    comes back under another id, which no membership contains: without
    that, it would vote again in a term in which it had voted already and
    help to elect a leader that misses committed entries.
    """
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / IDENTITY_FILE
    if path.exists():
        return _read_identity(path)
    identity = Identity(secrets.token_hex(MEMBER_ID_BYTES))
    _write_identity(path, identity)
    return identity


def _read_identity(path: Path) -> Identity:
    try:
        found = msgspec.json.decode(path.read_bytes(), type=_IdentityFile)
    except msgspec.MsgspecError as error:
        raise LogCorrupted(path, 0, f"identity unreadable: {error}") from error
    if found.format_version != FORMAT_VERSION:
        reason = f"format version {found.format_version} is not known"
        raise LogCorrupted(path, 0, reason)
    if found.checksum != zlib.crc32(found.member_id.encode()):
        raise LogCorrupted(path, 0, "checksum of the identity failed")
    return Identity(found.member_id)


def _write_identity(path: Path, identity: Identity) -> None:
    checksum = zlib.crc32(identity.member_id.encode())
    content = _IdentityFile(FORMAT_VERSION, identity.member_id, checksum)
    temporary = path.with_suffix(".new")
    with temporary.open("wb") as file:
        file.write(msgspec.json.encode(content))
        file.flush()
        os.fsync(file.fileno())
    temporary.rename(path)
    descriptor = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


__all__ = ["Identity", "open_identity"]
