"""Keys in a file that is read again when it changes."""

from __future__ import annotations

import logging
import os
from pathlib import Path
import time
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

from sycamorestand_peer.errors import KeyFileError

if TYPE_CHECKING:
    from collections.abc import Callable

    KeySource = Callable[[], tuple[bytes, ...]]

LOG: Final = logging.getLogger(__name__)
MIN_KEY_BYTES: Final = 16
# The maximum key size of BLAKE2b, which authenticates frames. Longer keys
# are refused instead of cut: a backend server that sends its whole key would
# not match the shortened one.
MAX_KEY_BYTES: Final = 64
MAX_FILE_BYTES: Final = 64 * 1024
# Short enough for an operator who waits for a key rotation. Each frame asks
# for the keys; checking the file each time would add a tenth to its cost.
CHECK_INTERVAL_S: Final = 1.0


class _FileVersion(NamedTuple):
    """File attributes that change when the content is replaced."""

    modified_ns: int
    size: int
    inode: int


class KeyFile:
    """The keys of a file, read again when the file changes.

    Calling the object returns the keys that are valid now. If the file
    cannot be read or holds an invalid key, the last valid keys stay in
    use; otherwise a half-written file or a failed copy would make the
    process refuse every peer until the file is repaired. A change between
    valid and invalid is logged, and ``failures`` counts failed checks.

    The constructor raises `KeyFileError` if the file is invalid.
    """

    def __init__(
        self, path: Path, clock_s: Callable[[], float] = time.monotonic
    ) -> None:
        self.path = path
        self.failures = 0
        self._clock_s = clock_s
        self._checked_s = clock_s()
        self._is_bad = False
        # The version is taken before the content is read, so that a change
        # in between is detected by the next check.
        self._version = _file_version(path)
        self._keys = read_keys(path)

    def __call__(self) -> tuple[bytes, ...]:
        now_s = self._clock_s()
        if now_s - self._checked_s >= CHECK_INTERVAL_S:
            self._checked_s = now_s
            self._reload_if_changed()
        return self._keys

    def _reload_if_changed(self) -> None:
        try:
            version = _file_version(self.path)
            if version == self._version and not self._is_bad:
                return
            keys = read_keys(self.path)
        except KeyFileError as error:
            self._record_failure(error)
            return
        self._version = version
        self._set_keys(keys)

    def _set_keys(self, keys: tuple[bytes, ...]) -> None:
        if self._is_bad or keys != self._keys:
            details = {"file": str(self.path), "keys": len(keys)}
            LOG.info("key file read again", extra=details)
        self._is_bad = False
        self._keys = keys

    def _record_failure(self, error: KeyFileError) -> None:
        self.failures += 1
        if not self._is_bad:
            LOG.warning(
                "key file is bad, the last good keys stay",
                extra={"reason": str(error)},
            )
        self._is_bad = True


def read_keys(path: Path) -> tuple[bytes, ...]:
    """Return the keys of a file that has one key on each line.

    The first key signs. Raises `KeyFileError` if the file cannot be read,
    is too large, or holds no key or one of an invalid length. The message
    never contains a key.
    """
    try:
        with path.open("rb") as file:
            content = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise _unreadable(path, error) from None
    keys = tuple(content.split())
    if len(content) > MAX_FILE_BYTES:
        raise KeyFileError(f"{path} is larger than {MAX_FILE_BYTES} bytes")
    if not keys:
        raise KeyFileError(f"{path} holds no key")
    if any(len(key) < MIN_KEY_BYTES for key in keys):
        raise KeyFileError(f"{path} holds a key under {MIN_KEY_BYTES} bytes")
    if any(len(key) > MAX_KEY_BYTES for key in keys):
        raise KeyFileError(f"{path} holds a key over {MAX_KEY_BYTES} bytes")
    return keys


def as_key_source(keys: tuple[bytes, ...] | KeySource) -> KeySource:
    """Return a key source; fixed keys are wrapped into one."""
    return keys if callable(keys) else lambda: keys


def no_keys() -> tuple[bytes, ...]:
    """Return no keys; the key source if no key file is configured."""
    return ()


def _file_version(path: Path) -> _FileVersion:
    try:
        status = os.stat(path)
    except OSError as error:
        raise _unreadable(path, error) from None
    return _FileVersion(status.st_mtime_ns, status.st_size, status.st_ino)


def _unreadable(path: Path, error: OSError) -> KeyFileError:
    return KeyFileError(f"{path} cannot be read: {error.strerror}")


__all__ = ["as_key_source", "KeyFile", "no_keys", "read_keys"]
