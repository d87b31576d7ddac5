"""Log what the voters lack for the losses that shall be survived."""

from __future__ import annotations

import logging
from typing import Final
from typing import TYPE_CHECKING

import anyio

from sycamorestand_peer.clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Callable

LOG: Final = logging.getLogger(__name__)
POLL_S: Final = 1.0
# A cluster that forms, or replaces a voter, lacks voters for some seconds.
SETTLE_S: Final = 10.0


class VoterWatch:
    """Logs what is missing once it has been the same for `SETTLE_S`.

    ``missing`` returns it in words, empty if nothing is.
    """

    def __init__(self, missing: Callable[[], tuple[str, ...]]) -> None:
        self._missing = missing
        self._seen: tuple[str, ...] = ()
        self._since_s = 0.0
        self._logged: tuple[str, ...] = ()

    async def run(self) -> None:
        """Check until cancelled."""
        while True:
            self.check(boottime_s())
            await anyio.sleep(POLL_S)

    def check(self, now_s: float) -> None:
        """Log a change that has lasted."""
        missing = self._missing()
        if missing != self._seen:
            self._seen, self._since_s = missing, now_s
        if missing == self._logged or now_s - self._since_s < SETTLE_S:
            return
        self._logged = missing
        if missing:
            extra = {"missing": "; ".join(missing)}
            LOG.warning("too few voters for the losses allowed", extra=extra)
        else:
            LOG.info("enough voters for the losses allowed")


__all__ = ["SETTLE_S", "VoterWatch"]
