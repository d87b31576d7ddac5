"""Announces a fake to an entry over HTTP and renews it."""

from __future__ import annotations

from typing import Final

import anyio
import httpcore
import msgspec

from sycamorestand_model.backend_servers import Announcement

# A server whose entry does not answer goes on to the next one; without a
# bound one suspended entry would let all announcements run out.
TIMEOUT: Final = {"connect": 1.0, "read": 1.0, "write": 1.0, "pool": 1.0}


async def announce_once(
    entry: str, key: str, announcement: Announcement
) -> int:
    """Send one announcement and return the answer's status."""
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
    entries: list[str], key: str, announcement: Announcement
) -> None:
    """Renew at every entry until cancelled, then announce the leaving."""
    sequence = announcement.sequence
    try:
        while True:
            sequence += 1
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
