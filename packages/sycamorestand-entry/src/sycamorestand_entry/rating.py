"""Client of the rating service, with a timeout for each rating."""

from __future__ import annotations

from typing import Any
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

import anyio
import msgspec

if TYPE_CHECKING:
    import httpcore

    from sycamorestand_entry.metrics import Metrics

# More concurrent requests mean that the rating service does not keep up. A
# request that waits for a connection until its timeout gets no rating.
MAX_CONNECTIONS: Final = 32
MAX_REPLY_BYTES: Final = 4096


class RatedAnswer(NamedTuple):
    """The request and the answer as they are sent to the rating service."""

    customer: str
    version: str
    request_class: str
    messages: list[Any]
    answer: str


class RatingClient:
    """Requests ratings; a failure gives None instead of an exception."""

    def __init__(self, url: str, timeout_s: float, metrics: Metrics) -> None:
        self.configured = bool(url)
        self._url = url.rstrip("/") + "/rate"
        self._timeout_s = timeout_s
        self._metrics = metrics
        self._pool = _make_pool() if url else None

    async def rate(self, rated: RatedAnswer) -> float | None:
        """Return a rating from 0 to 1, None if no valid one came in time."""
        import httpcore

        result = "garbage"
        rating = None
        try:
            with anyio.fail_after(self._timeout_s):
                rating = _read_rating(await self._ask(rated))
        except TimeoutError:
            result = "late"
        except (OSError, httpcore.NetworkError, httpcore.ProtocolError):
            result = "unreachable"
        if rating is not None:
            result = "ok"
        self._metrics.ratings.inc({"result": result})
        return rating

    async def close(self) -> None:
        """Close all connections."""
        if self._pool is not None:
            await self._pool.aclose()

    async def _ask(self, rated: RatedAnswer) -> bytes:
        if self._pool is None:
            return b""
        body = msgspec.json.encode(rated._asdict())
        async with self._pool.stream(
            "POST",
            self._url,
            headers={"Content-Type": "application/json"},
            content=body,
        ) as response:
            if response.status != 200:
                return b""
            reply = b""
            async for part in response.aiter_stream():
                reply += part
                if len(reply) > MAX_REPLY_BYTES:
                    return b""
            return reply


def _make_pool() -> httpcore.AsyncConnectionPool:
    # Few installations have a rating service. The import takes 0.03 s of
    # processor time, so the start of an entry without one leaves it out.
    import httpcore

    return httpcore.AsyncConnectionPool(
        max_connections=MAX_CONNECTIONS, keepalive_expiry=5.0
    )


def _read_rating(reply: bytes) -> float | None:
    try:
        content = msgspec.json.decode(reply, type=dict[str, Any])
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    rating = content.get("rating")
    if isinstance(rating, bool) or not isinstance(rating, int | float):
        return None
    return float(rating) if 0 <= rating <= 1 else None


__all__ = ["RatedAnswer", "RatingClient"]
