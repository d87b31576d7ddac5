"""Announce a fake backend server to entries over HTTP, repeatedly."""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

import anyio
import httpcore
import msgspec

from sycamorestand_model.backend_servers import Announcement

if TYPE_CHECKING:
    from collections.abc import Callable

# In seconds. An entry that does not answer in time is skipped. Without a
# timeout, one suspended entry would block the announcements to all others
# until their leases expire.
TIMEOUT: Final = {"connect": 1.0, "read": 1.0, "write": 1.0, "pool": 1.0}


async def announce_once(
    entry: str, key: str, announcement: Announcement
) -> int:
    """Send one announcement and return the HTTP status of the answer."""
    content = announcement._asdict()
    content["load"] = announcement.load._asdict()
    async with httpcore.AsyncConnectionPool() as pool:
        response = await pool.request(
            "POST",
            f"http://{entry}/backend/v1/announce",
            headers={"Authorization": f"Bearer {key}"},
            content=msgspec.json.encode(content),
            extensions={"timeout": TIMEOUT},
        )
    return response.status


async def keep_announcing(
    entries: list[str],
    key: str,
    announcement: Announcement,
    incarnation: Callable[[], int] | None = None,
) -> None:
    """Renew the announcement at every entry until cancelled.

    It is renewed three times in each lease. On cancellation, a last
    announcement tells the entries that the server leaves. ``incarnation``
    returns that of the server, if it may start again.
    """
    sequence = announcement.sequence
    try:
        while True:
            sequence += 1
            if incarnation is not None:
                announcement = announcement._replace(incarnation=incarnation())
            renewed = announcement._replace(sequence=sequence)
            await _announce_everywhere(entries, key, renewed)
            await anyio.sleep(announcement.lease_s / 3)
    finally:
        with anyio.CancelScope(shield=True), anyio.move_on_after(1):
            leaving = announcement._replace(
                sequence=sequence + 1, leaving=True
            )
            await _announce_everywhere(entries, key, leaving)


async def _announce_everywhere(
    entries: list[str], key: str, announcement: Announcement
) -> None:
    for entry in entries:
        try:
            await announce_once(entry, key, announcement)
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ):
            continue


__all__ = ["announce_once", "keep_announcing"]
