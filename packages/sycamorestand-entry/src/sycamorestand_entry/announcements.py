"""Handler of ``POST /backend/v1/announce``: registers backend servers."""

from __future__ import annotations

import hmac
import ipaddress
from typing import Any
from typing import Final
from typing import TYPE_CHECKING

import msgspec

from sycamorestand_entry.callers import bearer_key
from sycamorestand_entry.errors import BadRequest
from sycamorestand_entry.errors import NoLease
from sycamorestand_entry.errors import Unauthorised
from sycamorestand_entry.http_messages import JSON
from sycamorestand_entry.http_messages import read_body
from sycamorestand_entry.http_messages import Request
from sycamorestand_entry.http_messages import Responder
from sycamorestand_model.backend_servers import Announcement
from sycamorestand_model.backend_servers import LoadReport
from sycamorestand_model.keys import key_matches
from sycamorestand_state.registry import MAX_LEASE_S

if TYPE_CHECKING:
    from sycamorestand_entry.context import EntryContext

MAX_ANNOUNCEMENT_BYTES: Final = 64 * 1024
MAX_NAME_CHARACTERS: Final = 128
MAX_VERSIONS: Final = 256
MAX_CAPACITY: Final = 100_000
MAX_COLD_S: Final = 3600.0


async def answer_announcement(
    context: EntryContext, request: Request, responder: Responder
) -> None:
    """Validate an announcement and pass it to the control process."""
    check_backend_key(context, request)
    body = await read_body(request, MAX_ANNOUNCEMENT_BYTES)
    announcement = decode_announcement(body)
    await context.control.announce(announcement)
    if context.control.lease_remaining_s() <= 0:
        # The announcement is stored here, but if this entry is partitioned
        # from control, no other process learns of it. With a success answer
        # the server would consider itself announced and get no work.
        context.metrics.announcements.inc({"result": NoLease.code})
        raise NoLease("announce at another entry, this one may be cut off")
    context.metrics.announcements.inc({"result": "ok"})
    content = {"lease_s": announcement.lease_s}
    await responder.answer(200, JSON, msgspec.json.encode(content))


def check_backend_key(context: EntryContext, request: Request) -> None:
    """Raise `Unauthorised` unless the key is one of backend servers."""
    settings = context.settings
    key = bearer_key(request.headers)
    if not (
        _matches_any(key, settings.backend_keys())
        or key_matches(key.decode("latin-1"), settings.backend_key_hash)
    ):
        context.metrics.announcements.inc({"result": "unauthorised"})
        raise Unauthorised("this is not the key of backend servers")


def decode_announcement(body: bytes) -> Announcement:
    """Return the announcement.

    Raises `BadRequest` with all findings if it is not valid.
    """
    try:
        content = msgspec.json.decode(body, type=dict[str, Any])
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise BadRequest(f"the body is no JSON object: {error}") from None
    findings = _find_unknown(content)
    try:
        announcement = msgspec.convert(_as_rows(content), Announcement)
    except (msgspec.ValidationError, KeyError) as error:
        findings.append(str(error))
    else:
        findings += _check_values(announcement)
    if findings:
        raise BadRequest("; ".join(findings))
    return announcement


def _matches_any(key: bytes, keys: tuple[bytes, ...]) -> bool:
    matches = [hmac.compare_digest(key, valid) for valid in keys]
    return any(matches)


def _find_unknown(content: dict[str, Any]) -> list[str]:
    findings = [
        f"unknown field '{name}'"
        for name in content
        if name not in Announcement._fields
    ]
    load = content.get("load")
    if isinstance(load, dict):
        findings += [
            f"unknown field 'load.{name}'"
            for name in load
            if name not in LoadReport._fields
        ]
    return findings


def _as_rows(content: dict[str, Any]) -> list[Any]:
    row = _as_row(content, Announcement)
    load_index = Announcement._fields.index("load")
    load = row[load_index]
    if isinstance(load, dict):
        row[load_index] = _as_row(load, LoadReport)
    elif "load" in content:
        raise msgspec.ValidationError("'load' must be an object")
    return row


def _as_row(content: dict[str, Any], kind: Any) -> list[Any]:
    defaults = kind._field_defaults
    row: list[Any] = []
    for name in kind._fields:
        if name not in content and name not in defaults:
            raise msgspec.ValidationError(f"field '{name}' is missing")
        row.append(content.get(name, defaults.get(name)))
    return row


def _check_values(announcement: Announcement) -> list[str]:
    findings: list[str] = []
    for field in ("name", "data_centre"):
        value = getattr(announcement, field)
        if not 0 < len(value) <= MAX_NAME_CHARACTERS:
            findings.append(f"'{field}' has no sound length")
    if not _is_address(announcement.address):
        findings.append("'address' must be IP:PORT")
    if len(announcement.versions) > MAX_VERSIONS:
        findings.append(f"'versions' holds more than {MAX_VERSIONS}")
    if not 0 < announcement.capacity <= MAX_CAPACITY:
        findings.append(f"'capacity' must be 1 to {MAX_CAPACITY}")
    if not 0 < announcement.lease_s <= MAX_LEASE_S:
        findings.append(f"'lease_s' must be up to {MAX_LEASE_S:g}")
    if not 0 <= announcement.cold_left_s <= MAX_COLD_S:
        findings.append(f"'cold_left_s' must be 0 to {MAX_COLD_S:g}")
    if announcement.incarnation < 0 or announcement.sequence < 0:
        findings.append("'incarnation' and 'sequence' grow from 0")
    return findings


def _is_address(address: str) -> bool:
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    return port.isdecimal() and 0 < int(port) < 65536


__all__ = ["answer_announcement", "check_backend_key", "decode_announcement"]
