"""Run an entry with fakes in one process on the loopback interface."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from contextlib import AsyncExitStack
from random import Random
from typing import Any
from typing import NamedTuple
from typing import TYPE_CHECKING

import anyio
import httpcore
import msgspec

from sycamorestand_bench.fakes.control_port import FakeControlPort
from sycamorestand_bench.fakes.control_port import FakeLedger
from sycamorestand_bench.fakes.declared import BACKEND_KEY_HASH
from sycamorestand_bench.fakes.declared import CALLER_KEY
from sycamorestand_bench.fakes.declared import guild_configuration
from sycamorestand_bench.fakes.engine import FakeEngine
from sycamorestand_bench.fakes.hosting import serve_application
from sycamorestand_bench.fakes.service import FakeService
from sycamorestand_entry.server import serve_entry
from sycamorestand_entry.settings import EntrySettings
from sycamorestand_model.backend_servers import Announcement

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from sycamorestand_entry.server import RunningEntry

SETTINGS = EntrySettings(
    vm="vm-1",
    data_centre="marietta",
    backend_key_hash=BACKEND_KEY_HASH,
    address_ttl_s=0.2,
    address_spread_s=0.0,
    first_byte_timeout_s=0.5,
    chunk_gap_s=0.5,
)


class Answer(NamedTuple):
    """The status, headers and body that a caller received."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the body decoded from JSON."""
        return msgspec.json.decode(self.body)

    def events(self) -> list[Any]:
        """Return the decoded events; ``[DONE]`` stays a string."""
        events: list[Any] = []
        for part in self.body.decode().split("\n\n"):
            text = part.removeprefix("data: ")
            if text:
                done = text == "[DONE]"
                events.append(text if done else msgspec.json.decode(text))
        return events

    def text(self) -> str:
        """Return the text of all streamed tokens."""
        return "".join(
            choice["delta"]["content"]
            for event in self.events()
            if isinstance(event, dict)
            for choice in event.get("choices", ())
        )


class Loopback:
    """A running entry, its fake control port and a client for calls."""

    def __init__(self, control: FakeControlPort, group: TaskGroup) -> None:
        self.control = control
        self.ledger = control.fake_ledger
        self.group = group
        self.entry: RunningEntry
        self.pool: httpcore.AsyncConnectionPool

    @property
    def url(self) -> str:
        """Return the entry's base address."""
        return f"http://{self.entry.host}:{self.entry.port}"

    async def add_engine(self, engine: FakeEngine, **fields: Any) -> None:
        """Serve an engine and announce it with these further fields."""
        address = await self.group.start(serve_application, engine.application)
        self.control.servers[engine.name] = Announcement(
            engine.name,
            "engine",
            address,
            "marietta",
            1,
            1,
            engine.versions,
            can_resume=engine.can_resume,
            **fields,
        )

    async def add_service(self, service: FakeService) -> None:
        """Serve a plain service and announce it."""
        address = await self.group.start(
            serve_application, service.application
        )
        self.control.servers[service.name] = Announcement(
            service.name,
            "service",
            address,
            "marietta",
            1,
            1,
            service.services,
        )

    async def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        key: str = CALLER_KEY,
        **headers: str,
    ) -> Answer:
        """Call the entry; ``_`` in a header name is sent as ``-``."""
        sent: list[tuple[bytes | str, bytes | str]] = [
            (name.replace("_", "-"), value.encode("latin-1"))
            for name, value in headers.items()
        ]
        if key:
            bearer = f"Bearer {key}".encode("latin-1")
            sent.append(("Authorization", bearer))
        response = await self.pool.request(
            method, self.url + path, headers=sent, content=body
        )
        received = {
            name.decode().lower(): value.decode()
            for name, value in response.headers
        }
        return Answer(response.status, received, response.content)

    async def chat(
        self,
        profile: str = "large",
        stream: bool = False,
        tokens: int = 8,
        key: str = CALLER_KEY,
        **headers: str,
    ) -> Answer:
        """Request a chat completion."""
        body = chat_body(profile, stream, tokens)
        path = "/v1/chat/completions"
        return await self.call("POST", path, body, key, **headers)


def chat_body(profile: str, stream: bool, tokens: int = 8) -> bytes:
    """Return the JSON body of a request for a chat completion."""
    content = {
        "model": profile,
        "messages": [{"role": "user", "content": "Explain the scrap."}],
        "max_tokens": tokens,
        "stream": stream,
    }
    return msgspec.json.encode(content)


@asynccontextmanager
async def serve_on_port(application: Any) -> AsyncIterator[str]:
    """Serve the application of a fake and yield its address."""
    async with anyio.create_task_group() as group:
        address = await group.start(serve_application, application)
        yield address
        group.cancel_scope.cancel()


@asynccontextmanager
async def start_loopback(
    settings: EntrySettings = SETTINGS,
    ledger: FakeLedger | None = None,
    random: Random | None = None,
) -> AsyncIterator[Loopback]:
    """Start an entry with a fake control port and no backend servers."""
    control = FakeControlPort(guild_configuration(), ledger or FakeLedger())
    async with AsyncExitStack() as stack:
        group = await stack.enter_async_context(anyio.create_task_group())
        stack.callback(group.cancel_scope.cancel)
        loopback = Loopback(control, group)
        loopback.entry = await group.start(
            serve_entry, settings, control, random
        )
        loopback.pool = await stack.enter_async_context(
            httpcore.AsyncConnectionPool(max_connections=256)
        )
        yield loopback


__all__ = [
    "Answer",
    "chat_body",
    "Loopback",
    "serve_on_port",
    "SETTINGS",
    "start_loopback",
]
