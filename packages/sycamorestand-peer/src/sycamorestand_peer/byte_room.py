"""Room that many holders of bytes share."""

from __future__ import annotations


class ByteRoom:
    """Counts the bytes that are held, up to a limit.

    Example: a queue that shares its room with others::

        if room.take(len(message)):
            queue.append(message)
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0

    def take(self, size_bytes: int) -> bool:
        """Take room for some bytes; return False if there is too little."""
        if self.used_bytes + size_bytes > self.limit_bytes:
            return False
        self.used_bytes += size_bytes
        return True

    def release(self, size_bytes: int) -> None:
        """Give back room that `take` has granted."""
        self.used_bytes -= size_bytes


__all__ = ["ByteRoom"]
