"""Malformed, oversized, truncated, unauthorised and unknown input."""

from __future__ import annotations

from typing import Any
from typing import NamedTuple

import anyio
import msgspec
import pytest

from sycamorestand_bench.fakes.declared import BACKEND_KEY
from sycamorestand_bench.fakes.declared import CALLER_KEY
from sycamorestand_bench.fakes.declared import LARGE
from sycamorestand_bench.fakes.engine import FakeEngine
from sycamorestand_bench.fakes.loopback import chat_body
from sycamorestand_bench.fakes.loopback import Loopback
from sycamorestand_bench.fakes.loopback import SETTINGS
from sycamorestand_bench.fakes.loopback import start_loopback

pytestmark = pytest.mark.anyio

CHAT = "/v1/chat/completions"
ANNOUNCE = "/backend/v1/announce"
ORDER = "/services/orders/x"
ENGINE: dict[str, Any] = {
    "name": "engine-7",
    "kind": "engine",
    "address": "127.0.0.1:7",
    "data_centre": "marietta",
    "incarnation": 1,
    "sequence": 1,
    "versions": [LARGE],
}


class Bad(NamedTuple):
    """A bad request and the error that it must get."""

    name: str
    method: str
    path: str
    status: int
    code: str
    body: bytes = b""
    key: str = CALLER_KEY
    headers: dict[str, str] = {}


def chat(**changes: Any) -> bytes:
    """Return a chat body with some members changed."""
    content = msgspec.json.decode(chat_body("large", False))
    return msgspec.json.encode({**content, **changes})


def engine(**changes: Any) -> bytes:
    """Return an announcement with some fields changed."""
    return msgspec.json.encode({**ENGINE, **changes})


def bad_chat(name: str, body: bytes, status: int = 400) -> Bad:
    """Return a chat request with a bad body."""
    code = {400: "bad_request", 413: "body_too_large"}[status]
    return Bad(name, "POST", CHAT, status, code, body)


def bad_header(name: str, value: str) -> Bad:
    """Return a chat request with one bad header."""
    sent = {name: value}
    label = f"{name} {value[:12]}"
    return Bad(label, "POST", CHAT, 400, "bad_request", chat(), headers=sent)


def bad_engine(name: str, body: bytes) -> Bad:
    """Return a bad announcement."""
    return Bad(name, "POST", ANNOUNCE, 400, "bad_request", body, BACKEND_KEY)


def bad_cache_events(name: str, body: bytes) -> Bad:
    """Return a request with bad cache events."""
    path = "/backend/v1/cache-events"
    return Bad(name, "POST", path, 400, "bad_request", body, BACKEND_KEY)


def unauthorised(path: str, key: str) -> Bad:
    """Return a request with a key that belongs to nobody."""
    name = f"{path} key {key[:8]!r}"
    method = "GET" if path == "/v1/models" else "POST"
    return Bad(name, method, path, 401, "unauthorised", b"{}", key)


BAD_REQUESTS = [
    bad_chat("empty", b""),
    bad_chat("no JSON", b"{"),
    bad_chat("no object", b"[1]"),
    bad_chat("no UTF-8", b'{"model": "\xff"}'),
    bad_chat("deep", b'{"model":' + b"[" * 10_000),
    bad_chat("model missing", b'{"messages": [{}]}'),
    bad_chat("model number", chat(model=7)),
    bad_chat("no messages", chat(messages=[])),
    bad_chat("messages text", chat(messages="hello")),
    bad_chat("messages of text", chat(messages=["hello"])),
    bad_chat("stream text", chat(stream="yes")),
    bad_chat("tokens negative", chat(max_tokens=-1)),
    bad_chat("tokens true", chat(max_tokens=True)),
    bad_chat("too large", chat(padding="x" * 20_000), 413),
    bad_header("X-Priority", "urgent"),
    bad_header("X-Deadline-Ms", "-5"),
    bad_header("X-Deadline-Ms", "0"),
    bad_header("X-Deadline-Ms", "9" * 30),
    bad_header("Idempotency-Key", "k" * 300),
    bad_header("Idempotency-Key", "two words"),
    bad_header("X-Session", "caf\xe9"),
    bad_header("X-Session-Token", "no token"),
    bad_header("X-Session-Token", "A" * 2000),
    unauthorised(CHAT, ""),
    unauthorised(CHAT, "wrong"),
    unauthorised(CHAT, "x" * 1000),
    unauthorised(CHAT, "k\xe9y"),
    unauthorised("/v1/models", ""),
    unauthorised(ORDER, "wrong"),
    unauthorised(ANNOUNCE, ""),
    unauthorised(ANNOUNCE, CALLER_KEY),
    unauthorised(ANNOUNCE, "k\xe9y"),
    Bad("unknown path", "GET", "/v2", 404, "unknown_path"),
    Bad("root", "GET", "/", 404, "unknown_path"),
    Bad("method", "GET", CHAT, 405, "method_not_allowed"),
    Bad("method", "POST", "/v1/addresses", 405, "method_not_allowed"),
    Bad("method", "DELETE", "/metrics", 405, "method_not_allowed"),
    Bad("profile", "POST", CHAT, 404, "unknown_profile", chat(model="x")),
    Bad("service", "GET", "/services/x/y", 404, "unknown_service"),
    Bad("no service", "GET", "/services/", 404, "unknown_service"),
    Bad("dots", "GET", "/services/orders/../x", 400, "bad_request"),
    Bad("dots", "GET", "/services/orders/%2E%2e/x", 400, "bad_request"),
    Bad("no key", "POST", ORDER, 400, "request_key_missing"),
    bad_engine("empty", b""),
    bad_engine("no object", b"[]"),
    bad_engine("unknown field", engine(colour="red")),
    bad_engine("unknown load", engine(load={"colour": 1})),
    bad_engine("load number", engine(load=3)),
    bad_engine("no name", engine(name="")),
    bad_engine("long name", engine(name="n" * 500)),
    bad_engine("kind", engine(kind="toaster")),
    bad_engine("host name", engine(address="example.org:80")),
    bad_engine("port", engine(address="127.0.0.1:99999")),
    bad_engine("no port", engine(address="127.0.0.1")),
    bad_engine("text number", engine(sequence="1")),
    bad_engine("negative", engine(incarnation=-1)),
    bad_engine("lease", engine(lease_s=1e9)),
    bad_engine("no lease", engine(lease_s=-1)),
    bad_engine("capacity", engine(capacity=0)),
    bad_engine("versions", engine(versions="all")),
    bad_cache_events("empty", b""),
    bad_cache_events("unknown field", b'{"name": "engine-1", "x": 1}'),
    bad_cache_events("number", b'{"name": "engine-1", "stored": [1]}'),
    bad_cache_events("stranger", b'{"name": "engine-9", "stored": []}'),
    unauthorised("/backend/v1/cache-events", CALLER_KEY),
    bad_engine("many versions", engine(versions=["v"] * 1000)),
]
HEAD = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
RAW_REQUESTS = {
    "no HTTP": (b"\x00\xff\x01\r\n\r\n", 400),
    "version": (b"GET /healthz HTTP/9.9\r\n\r\n", 400),
    "length text": (HEAD.encode() + b"Content-Length: x\r\n\r\n", 400),
    "two lengths": (
        HEAD.encode() + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\n",
        400,
    ),
    "chunk size": (
        HEAD.encode() + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
        400,
    ),
    "endless header": (HEAD.encode() + b"X: " + b"x" * 200_000, 431),
    "long header": (
        b"GET /healthz HTTP/1.1\r\nHost: x\r\nX: "
        + b"x" * 40_000
        + b"\r\n\r\n",
        431,
    ),
    "two keys": (
        b"GET /v1/models HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer a\r\n"
        b"Authorization: Bearer b\r\n\r\n",
        400,
    ),
    "length over the limit": (
        HEAD.encode()
        + f"Authorization: Bearer {CALLER_KEY}\r\n".encode()
        + b"Content-Length: 99999999999\r\n\r\n",
        413,
    ),
    "chunks over the limit": (
        HEAD.encode()
        + f"Authorization: Bearer {CALLER_KEY}\r\n".encode()
        + b"Transfer-Encoding: chunked\r\n\r\n"
        + (b"1000\r\n" + b"x" * 4096 + b"\r\n") * 8,
        413,
    ),
    "half a head": (b"GET /healthz HTT", 408),
    "nothing": (b"", 408),
}
TRUNCATED = {
    "head": b"POST /v1/chat",
    "body": HEAD.encode()
    + f"Authorization: Bearer {CALLER_KEY}\r\n".encode()
    + b'Content-Length: 500\r\n\r\n{"model"',
    "chunk": HEAD.encode()
    + f"Authorization: Bearer {CALLER_KEY}\r\n".encode()
    + b"Transfer-Encoding: chunked\r\n\r\n10\r\nabc",
}
LIMITED = SETTINGS._replace(
    max_body_bytes=16_384, header_timeout_s=0.3, keep_alive_s=1
)


async def check_next_request(loopback: Loopback) -> None:
    """Check that the entry still serves a valid request."""
    with anyio.fail_after(10):
        assert (await loopback.chat()).status == 200


@pytest.fixture
async def loopback(anyio_backend: str) -> Any:
    async with start_loopback(LIMITED) as running:
        await running.add_engine(FakeEngine("engine-1", (LARGE,)))
        yield running


class TestRefusedRequests:
    @pytest.mark.parametrize("bad", BAD_REQUESTS, ids=lambda bad: bad.name)
    async def test_bad_request_gets_its_error_code(
        self, bad: Bad, loopback: Loopback
    ) -> None:
        answer = await loopback.call(
            bad.method, bad.path, bad.body, bad.key, **bad.headers
        )
        error = answer.json()["error"]
        assert (answer.status, error["code"]) == (bad.status, bad.code)
        assert error["run"] == "not_run"
        assert error["message"]
        await check_next_request(loopback)
        assert "engine-7" not in loopback.control.servers


class TestRawBytes:
    @pytest.mark.parametrize("name", RAW_REQUESTS)
    async def test_bad_bytes_get_their_error_status(
        self,
        name: str,
        loopback: Loopback,
    ) -> None:
        sent, status = RAW_REQUESTS[name]
        port = loopback.entry.port
        async with await anyio.connect_tcp("127.0.0.1", port) as stream:
            with anyio.fail_after(10):
                await stream.send(sent)
                received = await stream.receive()
        head, _, body = received.partition(b"\r\n\r\n")
        assert head.startswith(f"HTTP/1.1 {status} ".encode())
        assert msgspec.json.decode(body)["error"]["run"] == "not_run"
        await check_next_request(loopback)

    @pytest.mark.parametrize("name", TRUNCATED)
    async def test_truncated_request_does_not_affect_the_next(
        self, name: str, loopback: Loopback
    ) -> None:
        stream = await anyio.connect_tcp("127.0.0.1", loopback.entry.port)
        await stream.send(TRUNCATED[name])
        await stream.aclose()
        await check_next_request(loopback)


class TestAnnouncement:
    async def test_valid_announcement_reaches_control(
        self, loopback: Loopback
    ) -> None:
        answer = await loopback.call(
            "POST", ANNOUNCE, engine(load={"running": 2}), BACKEND_KEY
        )
        assert answer.status == 200
        known = loopback.control.servers["engine-7"]
        assert known.versions == (LARGE,)
        assert known.load.running == 2

    async def test_entry_without_a_lease_refuses_the_announcement(
        self, loopback: Loopback
    ) -> None:
        """A server announces itself at an entry that is cut off from control.

        If the entry acknowledged the announcement, only this entry would
        know the server, and it may send no work. A leaving server would
        stop while other entries still send it work.
        """
        loopback.control.lease_s = 0.0
        body = engine(leaving=True)
        answer = await loopback.call("POST", ANNOUNCE, body, BACKEND_KEY)
        assert answer.status == 503
        assert loopback.control.servers["engine-7"].leaving

    async def test_late_and_repeated_announcements_are_ignored(
        self, loopback: Loopback
    ) -> None:
        """A server's announcements come late, twice and out of order.

        The newest one stays in force, also if one from an earlier start of
        the server arrives after it.
        """
        for incarnation, sequence, leaving in (
            (2, 5, True),
            (2, 5, False),
            (2, 4, False),
            (1, 9, False),
        ):
            body = engine(
                incarnation=incarnation, sequence=sequence, leaving=leaving
            )
            answer = await loopback.call("POST", ANNOUNCE, body, BACKEND_KEY)
            assert answer.status == 200
        known = loopback.control.servers["engine-7"]
        assert (known.incarnation, known.sequence) == (2, 5)
        assert known.leaving
