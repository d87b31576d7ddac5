"""Room that many holders of bytes share."""

from __future__ import annotations

from typing import Final

# What each holder has besides: heartbeats, renewals and small requests go on
# while large ones fill the room.
OWN_BYTES: Final = 64 * 1024


class ByteRoom:
    """Counts the bytes that are held, up to a limit."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0

    @property
    def free_bytes(self) -> int:
        """How many bytes may still be taken."""
        return self.limit_bytes - self.used_bytes


class RoomShare:
    """What one holder takes of a room, beyond its own bytes.

    Example: a queue that shares its room with others::

        if share.take(len(message)):
            queue.append(message)
    """

    def __init__(self, room: ByteRoom, own_bytes: int = OWN_BYTES) -> None:
        self.held_bytes = 0
        self._room = room
        self._own_bytes = own_bytes

    def take(self, size_bytes: int) -> bool:
        """Hold more bytes; return False if there is too little room."""
        held_bytes = self.held_bytes + size_bytes
        taken_bytes = self._beyond_own(held_bytes) - self._beyond_own(
            self.held_bytes
        )
        # The room may be overdrawn, see `hold`.
        if taken_bytes > max(0, self._room.free_bytes):
            return False
        self._room.used_bytes += taken_bytes
        self.held_bytes = held_bytes
        return True

    def take_fairly(self, size_bytes: int) -> bool:
        """Hold more bytes, in all at most as many as are free.

        So holders that take all that they get leave as much to the others.
        """
        if not self.fits(self.held_bytes + size_bytes):
            return False
        return self.take(size_bytes)

    def fits(self, held_bytes: int) -> bool:
        """Return whether so many bytes, in all, leave as much to others."""
        return held_bytes <= max(self._own_bytes, self._room.free_bytes)

    def hold(self, held_bytes: int) -> None:
        """Hold so many bytes in all, whether there is room or not.

        This is for bytes that are already in memory, whose number is bounded
        by other means.
        """
        self._room.used_bytes += self._beyond_own(
            held_bytes
        ) - self._beyond_own(self.held_bytes)
        self.held_bytes = held_bytes

    @property
    def spare_bytes(self) -> int:
        """How many more bytes fit."""
        most_bytes = max(self._own_bytes, self._room.free_bytes)
        return most_bytes - self.held_bytes

    def release(self, size_bytes: int) -> None:
        """Give back bytes that are held."""
        self.hold(self.held_bytes - size_bytes)

    def release_all(self) -> None:
        """Give back all bytes that are held."""
        self.release(self.held_bytes)

    def _beyond_own(self, held_bytes: int) -> int:
        return max(0, held_bytes - self._own_bytes)


__all__ = ["ByteRoom", "OWN_BYTES", "RoomShare"]
