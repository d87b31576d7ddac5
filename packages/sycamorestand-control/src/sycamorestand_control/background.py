"""Parts of a control process that run in the background."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import logging
from typing import Final

import anyio

LOG: Final = logging.getLogger(__name__)
# A part that fails each time must not fill the log, nor take the processor.
RESTART_PAUSE_S: Final = 1.0


async def keep_running(
    part: Callable[[], Awaitable[None]], on_failure: Callable[[], None]
) -> None:
    """Run a part until cancelled, and begin it anew where it fails.

    A fault in one part, such as a roll-out that nobody thought of, would
    otherwise end the voter, and the next leader by the same fault, until
    no quorum is left. What the part decides rests on the log and on tables
    that outlive it. Not for the logs themselves: where their files cannot
    be trusted the process has to end.
    """
    while True:
        try:
            await part()
            return
        except Exception:
            on_failure()
            LOG.exception("background part failed and is begun anew")
        await anyio.sleep(RESTART_PAUSE_S)


__all__ = ["keep_running"]
