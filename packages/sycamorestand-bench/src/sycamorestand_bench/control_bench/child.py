"""Processes of the bench itself: a line of JSON asks, one answers."""

from __future__ import annotations

import subprocess
import sys
from typing import Any

import msgspec

from sycamorestand_bench.scenarios.relay import Child


class Children:
    """The bench's own processes; leaving it ends them."""

    def __init__(self) -> None:
        self._children: list[Child] = []

    def __enter__(self) -> Children:
        return self

    def __exit__(self, *ignored: object) -> None:
        for child in self._children:
            child.stop()

    def start(self, module: str, run: Any) -> Child:
        """Start a module with its settings; return when it is ready."""
        process = subprocess.Popen(
            [sys.executable, "-m", module, msgspec.json.encode(run).decode()],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        child = Child(process)
        self._children.append(child)
        child.read()
        return child

    def stop(self, child: Child) -> None:
        """End one process."""
        self._children.remove(child)
        child.stop()


__all__ = ["Children"]
