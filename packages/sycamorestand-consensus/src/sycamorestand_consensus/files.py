"""Single steps on files, each durable when it returns."""

from __future__ import annotations

from collections.abc import Iterator
import contextlib
import errno
import os
from pathlib import Path
from typing import Final

from sycamorestand_consensus.errors import DiskFull
from sycamorestand_consensus.errors import StorageError

# A limit on the size of files that was set too low passes like a full disk:
# an operator raises it. Taken for a broken disk it ended every voter under it.
NO_SPACE: Final = frozenset({errno.ENOSPC, errno.EDQUOT, errno.EFBIG})


@contextlib.contextmanager
def storage_errors(path: Path) -> Iterator[None]:
    """Tell a full disk, which passes, from a broken one, which does not.

    After a failed fsync the kernel may have dropped the written pages and
    say yes the next time, so such an error must end the process.
    """
    try:
        yield
    except OSError as error:
        if error.errno in NO_SPACE:
            raise DiskFull(f"{path}: {error.strerror}") from error
        raise StorageError(f"{path}: {error.strerror}") from error


def sync_folder(folder: Path) -> None:
    """Make names that were created or renamed in a folder durable.

    Without it a file that was synced itself can be gone after a crash, as
    its name was never written.
    """
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def write_all(descriptor: int, data: bytes, offset_bytes: int) -> None:
    """Write at a place, also where the system takes only a part."""
    view = memoryview(data)
    while view:
        written = os.pwrite(descriptor, view, offset_bytes)
        view = view[written:]
        offset_bytes += written


def replace_file(path: Path, data: bytes) -> None:
    """Give a file new content: after a crash it is the old or the new."""
    temporary = path.with_suffix(".new")
    flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC
    descriptor = os.open(temporary, flags, 0o600)
    try:
        write_all(descriptor, data, 0)
        os.fsync(descriptor)
    except OSError:
        # On a full disk even a part of a file is in the way.
        temporary.unlink()
        raise
    finally:
        os.close(descriptor)
    temporary.rename(path)
    sync_folder(path.parent)


__all__ = [
    "replace_file",
    "storage_errors",
    "sync_folder",
    "write_all",
]
