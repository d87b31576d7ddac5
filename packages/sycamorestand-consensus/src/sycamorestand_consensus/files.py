"""File operations for durable writes, and their errors."""

from __future__ import annotations

from collections.abc import Iterator
import contextlib
import errno
import os
from pathlib import Path
from typing import Final

from sycamorestand_consensus.errors import DiskFull
from sycamorestand_consensus.errors import StorageError

UNNAMED_SUFFIX: Final = ".new"
# A file size limit that is too low (EFBIG) is temporary like a full disk, as
# an operator can raise it. Treated as a broken disk, it would end every voter
# under that limit.
NO_SPACE: Final = frozenset({errno.ENOSPC, errno.EDQUOT, errno.EFBIG})


@contextlib.contextmanager
def storage_errors(path: Path) -> Iterator[None]:
    """Turn an ``OSError`` into ``DiskFull`` or ``StorageError``.

    Lack of space is temporary, a broken disk is not. After a failed fsync
    the kernel may have dropped the written pages and report success on
    the next call, so such an error must end the process.
    """
    try:
        yield
    except OSError as error:
        if error.errno in NO_SPACE:
            raise DiskFull(f"{path}: {error.strerror}") from error
        raise StorageError(f"{path}: {error.strerror}") from error


def sync_folder(folder: Path) -> None:
    """Make names that were created or renamed in a folder durable.

    Without it a crash can lose a file whose content was synced, since its
    name was never written.
    """
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def make_folder(folder: Path) -> None:
    """Create a folder and those above it, and make their names durable."""
    if folder.is_dir():
        return
    make_folder(folder.parent)
    folder.mkdir(exist_ok=True)
    sync_folder(folder.parent)


def write_all(descriptor: int, data: bytes, offset_bytes: int) -> None:
    """Write all data at an offset, continuing after partial writes."""
    view = memoryview(data)
    while view:
        written = os.pwrite(descriptor, view, offset_bytes)
        view = view[written:]
        offset_bytes += written


def replace_file(path: Path, *parts: bytes) -> None:
    """Replace a file's content; a crash leaves the old or the new one.

    It may also leave a file of `UNNAMED_SUFFIX`, see `remove_unnamed`.
    """
    temporary = path.with_suffix(UNNAMED_SUFFIX)
    flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC
    descriptor = os.open(temporary, flags, 0o600)
    try:
        offset_bytes = 0
        for part in parts:
            write_all(descriptor, part, offset_bytes)
            offset_bytes += len(part)
        os.fsync(descriptor)
    except OSError:
        # On a full disk a partial file takes up space that is needed.
        temporary.unlink()
        raise
    finally:
        os.close(descriptor)
    temporary.rename(path)
    sync_folder(path.parent)


def remove_unnamed(folder: Path) -> None:
    """Remove what a crash left of files that never got their name.

    Each such file has a name of its own, so they would fill the disk.
    """
    for path in folder.glob(f"*{UNNAMED_SUFFIX}"):
        path.unlink()


__all__ = [
    "make_folder",
    "NO_SPACE",
    "remove_unnamed",
    "replace_file",
    "storage_errors",
    "sync_folder",
    "UNNAMED_SUFFIX",
    "write_all",
]
