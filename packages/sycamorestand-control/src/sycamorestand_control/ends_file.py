"""Keeps what is known of backend servers that ended, over a restart.

A restart of all processes comes easily while servers end. Were all of it
forgotten, what ends servers would end as many again before it is blocked.
Each control process keeps a file of its own, as each gathers all that entries
tell.
"""

from __future__ import annotations

import logging
import time
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

from anyio import to_thread
import msgspec

from sycamorestand_consensus.errors import StorageError
from sycamorestand_consensus.files import make_folder
from sycamorestand_consensus.files import storage_errors
from sycamorestand_consensus.files import UNNAMED_SUFFIX
from sycamorestand_decisions.end_records import KnownEnd

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

LOG: Final = logging.getLogger(__name__)
FILE_NAME: Final = "server-ends"
# While this process was down for longer, parts may have been answered, or
# released by an operator.
MAX_DOWN_S: Final = 20.0


class _Content(NamedTuple):
    """``saved_s`` is the time of day, as a restart may reset other clocks."""

    saved_s: float
    ends: list[KnownEnd]


class EndsFile:
    """The file of one control process."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / FILE_NAME

    def read(self) -> list[KnownEnd]:
        """Return the ends with their ages by now, unless down for long."""
        try:
            data = self._path.read_bytes()
            content = msgspec.msgpack.decode(data, type=_Content)
        except FileNotFoundError:
            return []
        except (OSError, msgspec.MsgspecError) as error:
            LOG.warning(
                "ends of servers not read", extra={"reason": str(error)}
            )
            return []
        # A clock that was set back must not make them younger.
        passed_s = max(0.0, time.time() - content.saved_s)
        if passed_s >= MAX_DOWN_S:
            return []
        return [
            end._replace(age_s=end.age_s + passed_s) for end in content.ends
        ]

    async def write(self, ends: Sequence[KnownEnd]) -> None:
        """Replace the file by these ends; log where that fails."""
        content = _Content(time.time(), list(ends))
        data = msgspec.msgpack.encode(content)
        try:
            await to_thread.run_sync(self._write, data)
        except StorageError as error:
            # They are still in memory, and at the other control processes.
            LOG.warning(
                "ends of servers not written", extra={"reason": str(error)}
            )

    def _write(self, data: bytes) -> None:
        # Not synced: that would delay the logs on the same disk. A loss of
        # power may lose the newest ends, the end of a process none.
        temporary = self._path.with_suffix(UNNAMED_SUFFIX)
        with storage_errors(self._path):
            make_folder(self._path.parent)
            temporary.write_bytes(data)
            temporary.rename(self._path)


__all__ = ["EndsFile", "FILE_NAME", "MAX_DOWN_S"]
