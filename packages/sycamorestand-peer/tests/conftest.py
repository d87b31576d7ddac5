from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable

import anyio
import pytest

WAIT_S = 10


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@pytest.fixture
def until() -> Callable[[Callable[[], object]], Awaitable[None]]:
    """Return a function that waits up to ten seconds for a condition."""

    async def wait(condition: Callable[[], object]) -> None:
        with anyio.fail_after(WAIT_S):
            while not condition():
                await anyio.sleep(0.01)

    return wait
