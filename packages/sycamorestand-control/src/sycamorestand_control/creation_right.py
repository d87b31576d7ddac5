"""The file that keeps a process's right to create the cluster.

The settings tell only at the first start that the cluster has to be created.
A process that is killed before that would come back as one that waits to be
let in, and no cluster would ever form. The file holds the seeds of the first
start. It is written before anything else, and removed once the creation is
committed; an emptied disk has none, so that it cannot create a second
cluster.
"""

from __future__ import annotations

import logging
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

import msgspec

from sycamorestand_consensus.files import make_folder
from sycamorestand_consensus.files import replace_file
from sycamorestand_consensus.files import storage_errors
from sycamorestand_consensus.files import sync_folder

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

LOG: Final = logging.getLogger(__name__)
FILE_NAME: Final = "creation-right"
FORMAT_VERSION: Final = 1


class _Content(NamedTuple):
    format_version: int
    seeds: tuple[str, ...]


class CreationRight:
    """The seeds in one data folder; a process alone in them may create."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / FILE_NAME

    def read(self) -> tuple[str, ...]:
        """Return the seeds, none if this process cannot become creator.

        A file that cannot be read gives no right, as a cluster that does not
        form is repaired by an operator, and a second one by nobody.
        """
        try:
            data = self._path.read_bytes()
            content = msgspec.json.decode(data, type=_Content)
        except FileNotFoundError:
            return ()
        except (OSError, msgspec.MsgspecError) as error:
            LOG.warning(
                "right to create the cluster not read",
                extra={"reason": str(error)},
            )
            return ()
        if content.format_version != FORMAT_VERSION:
            LOG.warning(
                "right to create the cluster has an unknown format",
                extra={"format_version": content.format_version},
            )
            return ()
        return content.seeds

    def write(self, seeds: Sequence[str]) -> None:
        """Replace the seeds; return once they are synced.

        Raises ``StorageError`` or ``DiskFull``.
        """
        content = _Content(FORMAT_VERSION, tuple(seeds))
        with storage_errors(self._path):
            make_folder(self._path.parent)
            replace_file(self._path, msgspec.json.encode(content))

    def remove(self) -> None:
        """Remove the file; return once that is synced."""
        with storage_errors(self._path):
            if self._path.exists():
                self._path.unlink()
                sync_folder(self._path.parent)


def record_first_start(
    folder: Path, own_address: str, seeds: Sequence[str]
) -> None:
    """Record at a first start that this process may become the creator.

    A right that is there already stays as it is: it may have been narrowed
    to this process alone.
    """
    right = CreationRight(folder)
    if own_address in seeds and not right.read():
        right.write(seeds[: list(seeds).index(own_address) + 1])


__all__ = ["CreationRight", "FILE_NAME", "record_first_start"]
