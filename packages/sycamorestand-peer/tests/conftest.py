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
    """Wait until a condition holds; fail the test after ten seconds."""

    async def wait(condition: Callable[[], object]) -> None:
        with anyio.fail_after(WAIT_S):
            while not condition():
                await anyio.sleep(0.01)

    return wait
