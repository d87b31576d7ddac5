"""Restart background tasks of a control process after a failure."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import logging
from typing import Final

import anyio

LOG: Final = logging.getLogger(__name__)
# Limits the log lines and processor time of a task that fails each time.
RESTART_PAUSE_S: Final = 1.0


async def keep_running(
    task: Callable[[], Awaitable[None]], on_failure: Callable[[], None]
) -> None:
    """Run a task until it returns, and restart it after an exception.

    An unexpected state, such as an unusual roll-out, could otherwise end
    the leader and then each next leader, until no quorum is left. A restart
    is safe because tasks decide from the log and from tables that outlive
    them. The logs themselves must not run this way: if their files cannot
    be trusted, the process must end.
    """
    while True:
        try:
            await task()
            return
        except Exception:
            on_failure()
            LOG.exception("background task failed and is restarted")
        await anyio.sleep(RESTART_PAUSE_S)


__all__ = ["keep_running"]
