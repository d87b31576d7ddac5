"""Find free TCP addresses on loopback."""

from __future__ import annotations

import os
from random import SystemRandom
import socket
from typing import Final

# Below the ephemeral ports: an outgoing connection of any process could
# otherwise take the port of a process that is down, which then could not
# start again.
FIRST_PORT: Final = 12_000
# Each test process draws from a range that depends on its process id. Two
# test runs at once could otherwise take each other's ports while a process
# under test is down.
PORT_RANGES: Final = 40
PORTS_PER_RANGE: Final = 500
_ASSIGNED: Final[set[int]] = set()


def free_port() -> int:
    """Return a port that no process listens on.

    A port is not returned again until half of the range has been assigned.
    """
    first = FIRST_PORT + os.getpid() % PORT_RANGES * PORTS_PER_RANGE
    if len(_ASSIGNED) > PORTS_PER_RANGE // 2:
        # The processes of the first tests have ended, so their ports are
        # free again.
        _ASSIGNED.clear()
    random = SystemRandom()
    while True:
        port = first + random.randrange(PORTS_PER_RANGE)
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
            # Another process uses the port; the caller draws another one.
            return False
    return True


__all__ = ["free_address", "free_port"]
