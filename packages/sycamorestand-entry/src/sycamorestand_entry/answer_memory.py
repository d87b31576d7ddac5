"""The memory of answers that are read whole, over all requests of the entry.

Each answer has a limit of its own, but a few that never end would together
take the memory of the process, and it would be killed with all its requests.
"""

from __future__ import annotations

from typing import Final

from sycamorestand_entry.upstream import MalformedAnswer

MAX_HELD_BYTES: Final = 32 * 1024 * 1024


class AnswerMemory:
    """Counts the bytes of all answers that are being read."""

    def __init__(self) -> None:
        self.held_bytes = 0

    def hold(self, size_bytes: int) -> None:
        """Count bytes; raise `MalformedAnswer` if there is no room.

        They count until `release`, also if this raises.
        """
        self.held_bytes += size_bytes
        if self.held_bytes > MAX_HELD_BYTES:
            raise MalformedAnswer("too many bytes of answers are held")

    def release(self, size_bytes: int) -> None:
        """Count these bytes no more."""
        self.held_bytes -= size_bytes


__all__ = ["AnswerMemory", "MAX_HELD_BYTES"]
