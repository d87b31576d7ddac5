"""Run asynchronous tests on asyncio, the only loop that entries use."""

from __future__ import annotations

import pytest


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"
