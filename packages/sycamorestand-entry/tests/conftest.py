"""Runs asynchronous tests on asyncio only, which the entry requires."""

from __future__ import annotations

import pytest


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"
