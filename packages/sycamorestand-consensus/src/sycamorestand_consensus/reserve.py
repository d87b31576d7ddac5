"""Room on a disk that is kept for the snapshot that frees it."""

from __future__ import annotations

from collections.abc import Callable
import os
from pathlib import Path
from typing import Final

from sycamorestand_consensus.files import NO_SPACE
from sycamorestand_consensus.files import UNNAMED_SUFFIX
from sycamorestand_consensus.files import write_all

# With this suffix it is removed at each start, before anything is written.
RESERVE_FILE: Final = f"reserve{UNNAMED_SUFFIX}"
# The next snapshot may be larger than the last one.
GROWTH: Final = 1.25


class Reserve:
    """A file that is given up where a write finds no space.

    A log that fills its disk can be removed only after a snapshot of it has
    been written, and that needs space itself. ``size_bytes`` is 0 while
    there is no reserve.
    """

    def __init__(self, folder: Path, min_bytes: int) -> None:
        self.size_bytes = 0
        self._path = folder / RESERVE_FILE
        self._min_bytes = min_bytes

    def fill(self, snapshot_bytes: int) -> None:
        """Keep room for a snapshot like the last one, if there is any."""
        if not self._min_bytes:
            return
        wanted_bytes = max(self._min_bytes, int(snapshot_bytes * GROWTH))
        if self.size_bytes >= wanted_bytes:
            return
        descriptor = os.open(self._path, os.O_WRONLY | os.O_CREAT, 0o600)
        try:
            more = bytes(wanted_bytes - self.size_bytes)
            write_all(descriptor, more, self.size_bytes)
            os.fsync(descriptor)
            self.size_bytes = wanted_bytes
        except OSError as error:
            self._path.unlink()
            self.size_bytes = 0
            if error.errno not in NO_SPACE:
                raise
        finally:
            os.close(descriptor)

    def release(self) -> bool:
        """Give up the reserve; return whether there was any."""
        if not self.size_bytes:
            return False
        self._path.unlink()
        self.size_bytes = 0
        return True

    def used_for(self, write: Callable[[], None]) -> None:
        """Call ``write``, again without the reserve if it finds no space."""
        try:
            write()
        except OSError as error:
            if error.errno not in NO_SPACE or not self.release():
                raise
            write()


__all__ = ["Reserve"]
