"""Runs asynchronous tests on asyncio, which the entry is written for."""

from __future__ import annotations

import pytest


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"
