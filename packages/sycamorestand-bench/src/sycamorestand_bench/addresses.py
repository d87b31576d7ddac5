"""Addresses on loopback that are free now."""

from __future__ import annotations

import socket


def free_port() -> int:
    """Return a port that the system has just given and taken back."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


def free_address() -> str:
    """Return ``127.0.0.1:port`` with a free port."""
    return f"127.0.0.1:{free_port()}"


__all__ = ["free_address", "free_port"]
