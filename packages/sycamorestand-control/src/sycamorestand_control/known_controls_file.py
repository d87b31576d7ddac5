"""Keeps which control processes were known, over a restart.

After a restart of all processes, settings may name other ones. A process
without a disk whose settings name no process with one is then found only by
those that knew it before.
"""

from __future__ import annotations

import logging
from typing import Final
from typing import TYPE_CHECKING

import anyio
from anyio import to_thread
import msgspec

from sycamorestand_consensus.errors import StorageError
from sycamorestand_consensus.files import make_folder
from sycamorestand_consensus.files import storage_errors
from sycamorestand_consensus.files import UNNAMED_SUFFIX

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

LOG: Final = logging.getLogger(__name__)
FILE_NAME: Final = "known-controls"
CHECK_INTERVAL_S: Final = 1.0


class KnownControlsFile:
    """The file of one control process.

    ``addresses`` returns the peer addresses known now.
    """

    def __init__(
        self, folder: Path, addresses: Callable[[], tuple[str, ...]]
    ) -> None:
        self._path = folder / FILE_NAME
        self._addresses = addresses
        self._written: list[str] | None = None

    def read(self) -> tuple[str, ...]:
        """Return the addresses of the last run, none if they are unknown."""
        try:
            data = self._path.read_bytes()
            return msgspec.msgpack.decode(data, type=tuple[str, ...])
        except FileNotFoundError:
            return ()
        except (OSError, msgspec.MsgspecError) as error:
            LOG.warning(
                "known control processes not read",
                extra={"reason": str(error)},
            )
            return ()

    async def run(self) -> None:
        """Write each change until cancelled; log where that fails."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            addresses = sorted(self._addresses())
            if addresses == self._written:
                continue
            self._written = addresses
            data = msgspec.msgpack.encode(addresses)
            try:
                await to_thread.run_sync(self._write, data)
            except StorageError as error:
                LOG.warning(
                    "known control processes not written",
                    extra={"reason": str(error)},
                )

    def _write(self, data: bytes) -> None:
        # Not synced: that would delay the logs on the same disk, and after a
        # loss of power the settings and the log still name processes.
        temporary = self._path.with_suffix(UNNAMED_SUFFIX)
        with storage_errors(self._path):
            make_folder(self._path.parent)
            temporary.write_bytes(data)
            temporary.rename(self._path)


__all__ = ["FILE_NAME", "KnownControlsFile"]
