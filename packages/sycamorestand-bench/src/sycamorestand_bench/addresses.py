"""Addresses on loopback that are free now."""

from __future__ import annotations

import os
from random import SystemRandom
import socket
from typing import Final

# Below the ports that outgoing connections get: while a process was down,
# such a connection of anybody took its port, and it could not start again.
FIRST_PORT: Final = 12_000
# Each process of tests draws from a part of its own, as two that run at
# once would take each other's ports while a process is down.
PORT_RANGES: Final = 40
PORTS_PER_RANGE: Final = 500
_ASSIGNED: Final[set[int]] = set()


def free_port() -> int:
    """Return a port that nobody listens on, another one each time."""
    first = FIRST_PORT + os.getpid() % PORT_RANGES * PORTS_PER_RANGE
    if len(_ASSIGNED) > PORTS_PER_RANGE // 2:
        # Those of the first tests are free again by now.
        _ASSIGNED.clear()
    draw = SystemRandom()
    while True:
        port = first + draw.randrange(PORTS_PER_RANGE)
        if port not in _ASSIGNED and _is_free(port):
            _ASSIGNED.add(port)
            return port


def free_address() -> str:
    """Return ``127.0.0.1:port`` with a free port."""
    return f"127.0.0.1:{free_port()}"


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            # Somebody has it; another one is drawn.
            return False
    return True


__all__ = ["free_address", "free_port"]
