"""Ask the weight store whether it can serve a load now.

The store is rate-limited. If it rejects a load, the engine waits with an
occupied slot although the order counts as done. The store is therefore
asked before each load, and the load is deferred if the store rejects it or
gives no valid answer.
"""

from __future__ import annotations

from collections import Counter
import logging
from typing import Any
from typing import Final
from typing import Literal
from typing import NamedTuple
from typing import TYPE_CHECKING
from urllib.parse import quote

import msgspec

from sycamorestand_control.orders.http_call import call_once
from sycamorestand_control.orders.http_call import NoAnswer
from sycamorestand_control.orders.http_call import NotSent
from sycamorestand_model.declarations import VERSION_SEPARATOR
from sycamorestand_peer.clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorestand_control.orders.http_call import Reply

LOG: Final = logging.getLogger(__name__)
QUERY_TIMEOUT_S: Final = 2.0
# Missing weights have to be uploaded first, which takes minutes.
MISSING_PAUSE_S: Final = 60.0
# The pause after no answer, or after "later" without a valid time. A few
# seconds are short compared to a load, which takes minutes.
FAULT_PAUSE_S: Final = 5.0
# The upper limit of Retry-After. Without it, one wrong answer could stop
# loads for hours.
MAX_RETRY_AFTER_S: Final = 600.0

Readiness = Literal["ready", "missing", "later", "unreachable"]


class _Pause(NamedTuple):
    readiness: Readiness
    until_s: float


class WeightStore:
    """Queries the weight store and caches refusals until a pause is over.

    ``refusals`` counts the store's refusals by reason. An empty ``url``
    means that there is no store and that every load may begin.
    """

    def __init__(
        self,
        url: str,
        timeout_s: float = QUERY_TIMEOUT_S,
        now_s: Callable[[], float] = boottime_s,
    ) -> None:
        self._url = url.rstrip("/")
        self._timeout_s = timeout_s
        self._now_s = now_s
        # By version if its weights are missing, by "" for all versions.
        self._pauses: dict[str, _Pause] = {}
        self._state: dict[str, Readiness] = {}
        self.refusals: Counter[str] = Counter()

    def missing(self) -> tuple[str, ...]:
        """Return the versions whose weights were missing when last asked."""
        return tuple(
            sorted(v for v, s in self._state.items() if s == "missing")
        )

    async def readiness(self, version: str) -> Readiness:
        """Return ``ready`` if a version may be loaded now, else why not."""
        if not self._url:
            return "ready"
        paused = self._paused_readiness("") or self._paused_readiness(version)
        if paused is not None:
            return paused
        readiness, pause_s = await self._query(version)
        if readiness != "ready":
            self.refusals[readiness] += 1
            key = version if readiness == "missing" else ""
            self._pauses[key] = _Pause(readiness, self._now_s() + pause_s)
        self._record_readiness(version, readiness)
        return readiness

    def _paused_readiness(self, key: str) -> Readiness | None:
        pause = self._pauses.get(key)
        if pause is None:
            return None
        if self._now_s() < pause.until_s:
            return pause.readiness
        del self._pauses[key]
        return None

    async def _query(self, version: str) -> tuple[Readiness, float]:
        model, _, name = version.partition(VERSION_SEPARATOR)
        path = f"/weights/{quote(model, safe='')}/{quote(name, safe='')}"
        try:
            reply = await call_once(
                "GET", self._url + path, b"", self._timeout_s
            )
        except (NotSent, NoAnswer):
            return "unreachable", FAULT_PAUSE_S
        return _parse_reply(reply)

    def _record_readiness(self, version: str, readiness: Readiness) -> None:
        """Update the states of the version and of the store.

        Missing weights concern one version and leave the store ready; a
        store that is busy or unreachable says nothing about the version.
        """
        if readiness in ("ready", "missing"):
            self._update_state(version, readiness)
        store_readiness: Readiness = (
            "ready" if readiness == "missing" else readiness
        )
        self._update_state("", store_readiness)

    def _update_state(self, key: str, readiness: Readiness) -> None:
        before = self._state.get(key, "ready")
        self._state[key] = readiness
        if readiness != before:
            subject = key or "store"
            LOG.info(
                "weight store",
                extra={"subject": subject, "readiness": readiness},
            )


def _parse_reply(reply: Reply) -> tuple[Readiness, float]:
    if reply.status == 200:
        if _has_valid_size(reply.body):
            return "ready", 0.0
        return "unreachable", FAULT_PAUSE_S
    if reply.status == 404:
        return "missing", MISSING_PAUSE_S
    if reply.status in (429, 503):
        return "later", _parse_retry_after(
            reply.headers.get("retry-after", "")
        )
    return "unreachable", FAULT_PAUSE_S


def _has_valid_size(body: bytes) -> bool:
    try:
        content: Any = msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return False
    size = content.get("bytes") if isinstance(content, dict) else None
    return isinstance(size, int) and not isinstance(size, bool) and size > 0


def _parse_retry_after(text: str) -> float:
    """Return the seconds of a Retry-After header, within the limits.

    A date or an invalid value yields `FAULT_PAUSE_S`.
    """
    if not text.isascii() or not text.isdecimal():
        return FAULT_PAUSE_S
    wait_s = float(text[:9])
    return min(max(wait_s, FAULT_PAUSE_S), MAX_RETRY_AFTER_S)


__all__ = [
    "FAULT_PAUSE_S",
    "MAX_RETRY_AFTER_S",
    "MISSING_PAUSE_S",
    "QUERY_TIMEOUT_S",
    "Readiness",
    "WeightStore",
]
