"""Free addresses of loopback."""

from __future__ import annotations

import socket


def free_address() -> str:
    """Return an address that nothing listens on now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        host, port = probe.getsockname()
    return f"{host}:{port}"


__all__ = ["free_address"]
