"""Make single calls at one entry, without the retries of real callers."""

from __future__ import annotations

from http.client import HTTPConnection
from http.client import HTTPException
from typing import Any
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

import msgspec

from sycamorestand_bench.fakes.engine import expected_text

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

CUSTOMER: Final = "dalton-duct"
PROFILE: Final = "quote-helper"
TIMEOUT_S: Final = 60.0
NOT_RUN: Final = "not_run"
ANSWERED: Final = "answered"


class Reply(NamedTuple):
    """The outcome of a call.

    ``run`` is `ANSWERED`, the ``run`` field of a refusal, or ``cut`` where
    the connection or the stream ended early.
    """

    run: str
    status: int = 0
    code: str = ""
    version: str = ""
    text: str = ""


class Response(NamedTuple):
    """Status, headers with lower-case names, and body of an HTTP answer."""

    status: int
    headers: Mapping[str, str]
    content: bytes


class Pending(NamedTuple):
    """A call whose request is written and whose answer is not yet read."""

    connection: HTTPConnection
    read: Callable[[Response], Reply]


def chat(
    address: str,
    request_key: str,
    *,
    session: str = "",
    tokens: int = 8,
) -> Reply:
    """Make one streamed chat call and return its outcome."""
    pending = begin_chat(address, request_key, session=session, tokens=tokens)
    return finish(pending)


def begin_chat(
    address: str,
    request_key: str,
    *,
    session: str = "",
    tokens: int = 8,
) -> Pending | Reply:
    """Write the request of a chat call without waiting for the answer.

    This also works while the entry is suspended: the kernel accepts the
    connection and the request. Return a `Reply` where writing fails.
    """
    headers = _headers(request_key)
    if session:
        headers["X-Session"] = session
    body = {
        "model": PROFILE,
        "stream": True,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": "review the sheets"}],
    }
    path = "/v1/chat/completions"
    return _send_request(address, path, headers, body, _read_stream)


def order(address: str, request_key: str) -> Reply:
    """Order a sheet; the service must run an order once for each key."""
    path = f"/services/portal/orders/{request_key}"
    headers = _headers(request_key)
    body = {"sheet": "16ga"}
    return finish(_send_request(address, path, headers, body, _read_order))


def finish(pending: Pending | Reply) -> Reply:
    """Read the answer to a pending call; return a `Reply` as it is."""
    if isinstance(pending, Reply):
        return pending
    try:
        response = _read_response(pending.connection)
    except (OSError, HTTPException) as error:
        return Reply("cut", code=type(error).__name__)
    if response.status != 200:
        return _read_refusal(response)
    return pending.read(response)


def readiness(address: str, timeout_s: float = TIMEOUT_S) -> dict[str, Any]:
    """Return the body of an entry's ``/readyz``: its lease and revision."""
    connection = HTTPConnection(address, timeout=timeout_s)
    connection.request("GET", "/readyz")
    content: dict[str, Any] = msgspec.json.decode(
        _read_response(connection).content
    )
    return content


def is_whole(reply: Reply, request_key: str, tokens: int) -> bool:
    """Tell whether a chat answer is complete and belongs to the request."""
    expected = expected_text(reply.version, request_key, tokens)
    return reply.run == ANSWERED and reply.text == expected


def _send_request(
    address: str,
    path: str,
    headers: dict[str, str],
    body: dict[str, Any],
    read: Callable[[Response], Reply],
) -> Pending | Reply:
    connection = HTTPConnection(address, timeout=TIMEOUT_S)
    try:
        content = msgspec.json.encode(body)
        connection.request("POST", path, content, headers)
    except OSError as error:
        return Reply("cut", code=type(error).__name__)
    return Pending(connection, read)


def _read_response(connection: HTTPConnection) -> Response:
    try:
        answer = connection.getresponse()
        headers = {name.lower(): text for name, text in answer.getheaders()}
        return Response(answer.status, headers, answer.read())
    finally:
        connection.close()


def _headers(request_key: str) -> dict[str, str]:
    return {
        "Authorization": f"Bearer demo-{CUSTOMER}",
        "Idempotency-Key": request_key,
        "Content-Type": "application/json",
    }


def _read_refusal(response: Response) -> Reply:
    error = msgspec.json.decode(response.content)["error"]
    return Reply(error["run"], response.status, error["code"])


def _read_order(response: Response) -> Reply:
    return Reply(ANSWERED, 200, text=response.content.decode())


def _read_stream(response: Response) -> Reply:
    version = response.headers.get("x-version", "")
    parts: list[str] = []
    for line in response.content.split(b"\n"):
        data = line.removeprefix(b"data: ")
        if data == b"[DONE]":
            return Reply(ANSWERED, 200, "", version, "".join(parts))
        if not line.startswith(b"data: "):
            continue
        event = msgspec.json.decode(data)
        if "error" in event:
            error = event["error"]
            return Reply(error["run"], 200, error["code"], version)
        for choice in event.get("choices", ()):
            parts.append(choice["delta"].get("content") or "")
    return Reply("cut", 200, "no_end", version, "".join(parts))


__all__ = [
    "ANSWERED",
    "begin_chat",
    "chat",
    "CUSTOMER",
    "finish",
    "is_whole",
    "NOT_RUN",
    "order",
    "Pending",
    "readiness",
    "Reply",
]
