"""Start the bench's processes, which exchange lines of JSON."""

from __future__ import annotations

import subprocess
import sys
from typing import Any

import msgspec

from sycamorestand_bench.scenarios.relay import Child


class Children:
    """A context manager that stops the processes started by it."""

    def __init__(self) -> None:
        self._children: list[Child] = []

    def __enter__(self) -> Children:
        return self

    def __exit__(self, *ignored: object) -> None:
        for child in self._children:
            child.stop()

    def start(self, module: str, run: Any) -> Child:
        """Start a module with settings as JSON; wait until it is ready."""
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
        """Stop one process."""
        self._children.remove(child)
        child.stop()


__all__ = ["Children"]
