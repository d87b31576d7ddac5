"""Log why a control process belongs to no cluster yet."""

from __future__ import annotations

import logging
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

import anyio

from sycamorestand_peer.clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Callable

LOG: Final = logging.getLogger(__name__)
POLL_S: Final = 0.2
# A state that lasts is logged again, as it refuses every order and read.
REPEAT_S: Final = 10.0


class FormingState(NamedTuple):
    """Which process may create the cluster, and why there is none yet.

    ``creator`` is a peer address, empty while it is not known.
    """

    creator: str
    reason: str
    waits_for: tuple[str, ...] = ()


class FormingWatch:
    """Logs the state at each change and every `REPEAT_S`.

    ``state`` returns None once this process knows of a cluster.
    """

    def __init__(self, state: Callable[[], FormingState | None]) -> None:
        self._state = state
        self._logged: FormingState | None = None
        self._begun_s = boottime_s()
        self._changed_s = 0.0
        self._logged_s = 0.0

    async def run(self) -> None:
        """Log until there is a cluster."""
        while self.check(boottime_s()):
            await anyio.sleep(POLL_S)

    def check(self, now_s: float) -> bool:
        """Log what has changed; return whether there is no cluster yet."""
        state = self._state()
        if state is None:
            if self._logged is not None:
                passed_s = round(now_s - self._begun_s, 1)
                LOG.info("cluster known", extra={"after_s": passed_s})
            return False
        if state != self._logged:
            self._changed_s = now_s
        elif now_s - self._logged_s < REPEAT_S:
            return True
        self._logged, self._logged_s = state, now_s
        LOG.info(
            "no cluster yet",
            extra={
                "creator": state.creator,
                "reason": state.reason,
                "waits_for": list(state.waits_for),
                "for_s": round(now_s - self._changed_s, 1),
            },
        )
        return True


__all__ = ["FormingState", "FormingWatch", "REPEAT_S"]
