"""The member's random id, which is stored only in its data folder."""

from __future__ import annotations

from pathlib import Path
import secrets
from typing import Final
from typing import NamedTuple
import zlib

import msgspec

from sycamorestand_consensus.errors import LogCorrupted
from sycamorestand_consensus.files import make_folder
from sycamorestand_consensus.files import remove_unnamed
from sycamorestand_consensus.files import replace_file
from sycamorestand_consensus.files import storage_errors

IDENTITY_FILE: Final = "identity"
FORMAT_VERSION: Final = 1
MEMBER_ID_BYTES: Final = 8


class Identity(NamedTuple):
    """Member id of a data folder, and the groups with files in it."""

    member_id: str
    groups: tuple[int, ...] = ()


class _IdentityFile(NamedTuple):
    format_version: int
    identity: Identity
    checksum: int


def open_identity(folder: Path) -> Identity:
    """Read the folder's identity, or create it on the first start.

    The id is random and stored nowhere else, so a member whose disk was
    wiped returns under a new id that no membership contains. Under its
    old id it would vote again in a term in which it has already voted,
    and could help to elect a leader that lacks committed entries.
    """
    with storage_errors(folder):
        make_folder(folder)
        remove_unnamed(folder)
        path = folder / IDENTITY_FILE
        if path.exists():
            return _read_identity(path)
        identity = Identity(secrets.token_hex(MEMBER_ID_BYTES))
        _write_identity(path, identity)
    return identity


def record_group(folder: Path, group: int) -> None:
    """Record that a group has files, so that their loss is detected."""
    identity = open_identity(folder)
    if group in identity.groups:
        return
    groups = (*identity.groups, group)
    with storage_errors(folder):
        path = folder / IDENTITY_FILE
        _write_identity(path, identity._replace(groups=groups))


def _read_identity(path: Path) -> Identity:
    try:
        stored = msgspec.json.decode(path.read_bytes(), type=_IdentityFile)
    except msgspec.MsgspecError as error:
        raise LogCorrupted(path, 0, f"identity unreadable: {error}") from error
    if stored.format_version != FORMAT_VERSION:
        reason = f"format version {stored.format_version} is not known"
        raise LogCorrupted(path, 0, reason)
    if stored.checksum != _checksum(stored.identity):
        raise LogCorrupted(path, 0, "checksum of the identity failed")
    return stored.identity


def _write_identity(path: Path, identity: Identity) -> None:
    content = _IdentityFile(FORMAT_VERSION, identity, _checksum(identity))
    replace_file(path, msgspec.json.encode(content))


def _checksum(identity: Identity) -> int:
    return zlib.crc32(msgspec.json.encode(identity))


__all__ = ["Identity", "open_identity", "record_group"]
