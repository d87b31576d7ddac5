"""Generate the mixed load of the quickstart and the soak."""

from __future__ import annotations

from random import Random
from typing import Final
from typing import TYPE_CHECKING

import anyio

from sycamorestand_bench.quickstart.caller import Answer
from sycamorestand_bench.quickstart.caller import Call
from sycamorestand_bench.quickstart.caller import Callers
from sycamorestand_bench.quickstart.caller import new_key

if TYPE_CHECKING:
    from collections.abc import Callable

CUSTOMERS: Final = (
    "dalton-duct",
    "peachtree-fab",
    "gainesville-steel",
    "marietta-metal",
    "athens-ornamental",
)
PROFILES: Final = ("nest-review", "quote-helper")
TOKENS: Final = (8, 16, 40)
SESSIONS: Final = 16
PAUSE_S: Final = 0.1
CHAT_WORKERS: Final = 12
ORDER_WORKERS: Final = 3
ENDING_PROMPT_WORKERS: Final = 4


class Load:
    """Sends chats, sessions and orders until stopped; keeps all answers."""

    def __init__(
        self, callers: Callers, entries: Callable[[], list[str]], seed: int
    ) -> None:
        self.answers: list[Answer] = []
        self._callers = callers
        self._entries = entries
        self._random = Random(seed)
        self._stop = False
        # While set, some requests have this system message.
        self.ending_prompt = ""
        # While set, one request with this message comes again and again.
        self.ending_request = ""

    def stop(self) -> None:
        """Send no new requests; the requests under way still end."""
        self._stop = True

    async def run(self) -> None:
        """Send requests until `stop`; return when all of them have ended."""
        async with anyio.create_task_group() as tasks:
            for worker in range(CHAT_WORKERS):
                tasks.start_soon(self._chat_worker, worker)
            for worker in range(SESSIONS):
                tasks.start_soon(self._session_worker, worker)
            for worker in range(ORDER_WORKERS):
                tasks.start_soon(self._order_worker, worker)
            for worker in range(ENDING_PROMPT_WORKERS):
                tasks.start_soon(self._ending_prompt_worker, worker)

    async def _chat_worker(self, worker: int) -> None:
        while not self._stop:
            call = self._draw_chat(worker, "")
            self.answers.append(await self._callers.call(call))
            await anyio.sleep(PAUSE_S)

    async def _ending_prompt_worker(self, worker: int) -> None:
        while not self._stop:
            if self.ending_prompt:
                call = self._draw_chat(0, "")
                call = call._replace(system=self.ending_prompt)
                self.answers.append(await self._callers.call(call))
            if self.ending_request:
                call = Call(
                    "chat",
                    CUSTOMERS[0],
                    new_key("chat"),
                    tokens=TOKENS[0],
                    profile=PROFILES[0],
                    text=self.ending_request,
                )
                self.answers.append(await self._callers.call(call))
            await anyio.sleep(PAUSE_S * 2)

    async def _session_worker(self, worker: int) -> None:
        session = ""
        while not self._stop:
            session = session or new_key("session")
            call = self._draw_chat(worker, session)
            answer = await self._callers.call(call)
            self.answers.append(answer)
            if answer.run != "answered":
                session = ""
            await anyio.sleep(PAUSE_S * 4)

    async def _order_worker(self, worker: int) -> None:
        """Send each order to two entries at once, with the same key."""
        while not self._stop:
            customer = CUSTOMERS[worker % len(CUSTOMERS)]
            key = new_key("order")
            call = Call("order", customer, key, path=f"/orders/{key}")
            entries = self._random.sample(self._entries(), 2)
            async with anyio.create_task_group() as tasks:
                for entry in entries:
                    tasks.start_soon(self._call_order, call, entry)
            key = new_key("status")
            status = Call("status", customer, key, path=f"/jobs/{key}")
            self.answers.append(await self._callers.call(status))
            await anyio.sleep(PAUSE_S * 2)

    async def _call_order(self, call: Call, entry: str) -> None:
        self.answers.append(await self._callers.call(call, at=entry))

    def _draw_chat(self, worker: int, session: str) -> Call:
        return Call(
            "chat",
            CUSTOMERS[worker % len(CUSTOMERS)],
            new_key("chat"),
            tokens=self._random.choice(TOKENS),
            session=session,
            stream=self._random.random() < 0.8,
            profile=self._random.choice(PROFILES),
        )


__all__ = ["Load"]
