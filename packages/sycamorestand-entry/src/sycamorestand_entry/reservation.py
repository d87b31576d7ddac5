"""Ask for room at servers that take few, before one of them is chosen."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from sycamorestand_entry.context import EntryContext


async def reserve_server(
    context: EntryContext,
    target: str,
    left_s: float,
    among: Collection[str] | None = None,
) -> None:
    """Ask for room at the target's servers, where they name a limit or rest.

    With ``among``, only the servers that it names count. ``left_s`` is the
    time that the request has. Raises `ServersLimited` if all of them rest
    for too long.
    """
    limits = context.server_limits
    limits.sync_servers()
    if not limits.held.has_limited(context.now_s()):
        return
    candidates = context.servers.candidates(target, context.now_s())
    await limits.reserve(
        [c.name for c in candidates if among is None or c.name in among],
        left_s,
    )


__all__ = ["reserve_server"]
