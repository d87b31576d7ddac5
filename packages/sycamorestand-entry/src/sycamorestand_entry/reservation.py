"""Ask for room at servers with a limit, before one of them is chosen."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from sycamorestand_entry.context import EntryContext


async def reserve_server(
    context: EntryContext, target: str, among: Collection[str] | None = None
) -> None:
    """Ask for room at the target's servers, where they name a limit.

    With ``among``, only the servers that it names count.
    """
    limits = context.server_limits
    limits.sync_cold()
    if not limits.held.has_limited(context.now_s()):
        return
    candidates = context.servers.candidates(target, context.now_s())
    await limits.reserve(
        [c.name for c in candidates if among is None or c.name in among]
    )


__all__ = ["reserve_server"]
