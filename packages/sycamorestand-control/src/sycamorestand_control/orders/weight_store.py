"""Asks the weight store, before a load, whether it can be served now.

The store is rate-limited: a load that it turns away leaves an engine
waiting, with a slot taken and the order counted as done. So it is asked
first, and a load is put off where it says so or says nothing sound.
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
ASK_TIMEOUT_S: Final = 2.0
# Weights that are not there come with an upload, which takes minutes.
MISSING_PAUSE_S: Final = 60.0
# A store that does not answer, or says "later" without a sound time, is
# asked at this pace; a few seconds are little beside a load of minutes.
FAULT_PAUSE_S: Final = 5.0
# A longer Retry-After is not believed: it would stop loads for hours on
# one bad answer.
MAX_RETRY_AFTER_S: Final = 600.0

Readiness = Literal["ready", "missing", "later", "unreachable"]


class _Held(NamedTuple):
    readiness: Readiness
    until_s: float


class WeightStore:
    """What the store last said; counts refusals by their reason.

    An empty ``url`` stands for no store: every load may begin.
    """

    def __init__(
        self,
        url: str,
        timeout_s: float = ASK_TIMEOUT_S,
        now_s: Callable[[], float] = boottime_s,
    ) -> None:
        self._url = url.rstrip("/")
        self._timeout_s = timeout_s
        self._now_s = now_s
        # A version whose weights are missing, and "" for all versions.
        self._held: dict[str, _Held] = {}
        self._state: dict[str, Readiness] = {}
        self.refusals: Counter[str] = Counter()

    def missing(self) -> tuple[str, ...]:
        """Return the versions whose weights were not there when asked."""
        return tuple(
            sorted(v for v, s in self._state.items() if s == "missing")
        )

    async def readiness(self, version: str) -> Readiness:
        """Tell whether a load of a version may begin now."""
        if not self._url:
            return "ready"
        held = self._holds("") or self._holds(version)
        if held is not None:
            return held
        readiness, pause_s = await self._ask(version)
        if readiness != "ready":
            self.refusals[readiness] += 1
            key = version if readiness == "missing" else ""
            self._held[key] = _Held(readiness, self._now_s() + pause_s)
        self._note(version, readiness)
        return readiness

    def _holds(self, key: str) -> Readiness | None:
        held = self._held.get(key)
        if held is None:
            return None
        if self._now_s() < held.until_s:
            return held.readiness
        del self._held[key]
        return None

    async def _ask(self, version: str) -> tuple[Readiness, float]:
        model, _, name = version.partition(VERSION_SEPARATOR)
        path = f"/weights/{quote(model, safe='')}/{quote(name, safe='')}"
        try:
            reply = await call_once(
                "GET", self._url + path, b"", self._timeout_s
            )
        except (NotSent, NoAnswer):
            return "unreachable", FAULT_PAUSE_S
        return _read_reply(reply)

    def _note(self, version: str, readiness: Readiness) -> None:
        """Log a change; the store's own state is not one version's."""
        if readiness in ("ready", "missing"):
            self._note_change(version, readiness)
        store: Readiness = "ready" if readiness == "missing" else readiness
        self._note_change("", store)

    def _note_change(self, key: str, readiness: Readiness) -> None:
        before = self._state.get(key, "ready")
        self._state[key] = readiness
        if readiness != before:
            subject = key or "store"
            LOG.info(
                "weight store",
                extra={"subject": subject, "readiness": readiness},
            )


def _read_reply(reply: Reply) -> tuple[Readiness, float]:
    if reply.status == 200:
        if _has_bytes(reply.body):
            return "ready", 0.0
        return "unreachable", FAULT_PAUSE_S
    if reply.status == 404:
        return "missing", MISSING_PAUSE_S
    if reply.status in (429, 503):
        return "later", _retry_after_s(reply.headers.get("retry-after", ""))
    return "unreachable", FAULT_PAUSE_S


def _has_bytes(body: bytes) -> bool:
    try:
        content: Any = msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return False
    size = content.get("bytes") if isinstance(content, dict) else None
    return isinstance(size, int) and not isinstance(size, bool) and size > 0


def _retry_after_s(text: str) -> float:
    """Return the wait of a header in seconds; a date is not understood."""
    if not text.isascii() or not text.isdecimal():
        return FAULT_PAUSE_S
    wait_s = float(text[:9])
    return min(max(wait_s, FAULT_PAUSE_S), MAX_RETRY_AFTER_S)


__all__ = [
    "ASK_TIMEOUT_S",
    "FAULT_PAUSE_S",
    "MAX_RETRY_AFTER_S",
    "MISSING_PAUSE_S",
    "Readiness",
    "WeightStore",
]
