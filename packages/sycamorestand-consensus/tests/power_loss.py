"""A disk that loses power: any part of the unsynced names is kept.

A name that was created, renamed or removed is durable once its folder has
been synced. Until then it may be kept or lost, whatever becomes of the others.
Content is durable once its file has been synced.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from itertools import chain
from itertools import combinations
import os
from pathlib import Path
import shutil
from typing import Any
from typing import NamedTuple

import pytest

FOLDER = -1


class _NameChange(NamedTuple):
    """A name that stands for another file, or for none if it is None."""

    name: Path
    file: int | None


Names = dict[Path, int]


class Disk:
    """Records what is done below a folder, and rebuilds what may be left.

    ``at_change`` is called before and after each change of a name.
    """

    def __init__(self, root: Path, monkeypatch: pytest.MonkeyPatch) -> None:
        self.root = root
        self.at_change: Callable[[], None] = lambda: None
        self._durable: Names = {root: FOLDER}
        self._pending: list[_NameChange] = []
        self._now: Names = {root: FOLDER}
        self._contents: dict[int, bytes] = {}
        self._descriptors: dict[int, Path] = {}
        self._real = _RealCalls()
        monkeypatch.setattr(os, "open", self._open)
        monkeypatch.setattr(os, "fsync", self._sync)
        monkeypatch.setattr(os, "fdatasync", self._sync)
        monkeypatch.setattr(Path, "rename", self._make_rename())
        monkeypatch.setattr(Path, "unlink", self._make_unlink())
        monkeypatch.setattr(Path, "mkdir", self._make_mkdir())

    @property
    def unsynced(self) -> tuple[Path, ...]:
        """The names that a loss of power may keep or lose."""
        return tuple(change.name for change in self._pending)

    def images(self) -> Iterator[Names]:
        """Yield the names after a loss of power, for each subset kept."""
        for kept in _subsets(self._pending):
            names = dict(self._durable)
            for name, file in kept:
                if file is None:
                    names.pop(name, None)
                else:
                    names[name] = file
            yield {
                name: file
                for name, file in names.items()
                if self._is_reachable(name, names)
            }

    def build(self, names: Names, folder: Path) -> None:
        """Make a folder with these names and their durable content."""
        for name in sorted(names):
            path = folder / name.relative_to(self.root)
            if names[name] == FOLDER:
                self._real.mkdir(path, parents=True, exist_ok=True)
            else:
                path.write_bytes(self._contents[names[name]])

    def _is_reachable(self, name: Path, names: Names) -> bool:
        while name != self.root:
            name = name.parent
            if names.get(name) != FOLDER:
                return False
        return True

    def _open(
        self, path: Path, flags: int, mode: int = 0o777, **options: Any
    ) -> int:
        path = Path(path)
        is_new = self._records(path) and path not in self._now
        if flags & os.O_CREAT and is_new:
            file = len(self._contents)
            self._contents[file] = b""
            self._change(path, file)
        descriptor = self._real.open(path, flags, mode, **options)
        self._descriptors[descriptor] = path
        return descriptor

    def _sync(self, descriptor: int) -> None:
        self._real.fsync(descriptor)
        path = self._descriptors[descriptor]
        if not self._records(path):
            return
        if path.is_dir():
            synced = [c for c in self._pending if c.name.parent == path]
            self._pending = [c for c in self._pending if c not in synced]
            for name, file in synced:
                _apply(self._durable, name, file)
        elif path in self._now:
            self._contents[self._now[path]] = path.read_bytes()
        self.at_change()

    def _records(self, path: Path) -> bool:
        return path.is_relative_to(self.root)

    def _change(self, name: Path, file: int | None) -> None:
        self.at_change()
        self._pending.append(_NameChange(name, file))
        _apply(self._now, name, file)

    def _make_rename(self) -> Callable[[Path, Path], Path]:
        def rename(path: Path, target: Path) -> Path:
            if self._records(path):
                self._change(target, self._now[path])
                self._change(path, None)
            for descriptor, opened in self._descriptors.items():
                if opened == path:
                    self._descriptors[descriptor] = target
            return self._real.rename(path, target)

        return rename

    def _make_unlink(self) -> Callable[..., None]:
        def unlink(path: Path, missing_ok: bool = False) -> None:
            if path in self._now:
                self._change(path, None)
            self._real.unlink(path, missing_ok)

        return unlink

    def _make_mkdir(self) -> Callable[..., None]:
        def mkdir(
            path: Path,
            mode: int = 0o777,
            parents: bool = False,
            exist_ok: bool = False,
        ) -> None:
            self._real.mkdir(path, mode, parents, exist_ok)
            for folder in (*reversed(path.parents), path):
                if self._records(folder) and folder not in self._now:
                    self._change(folder, FOLDER)

        return mkdir


class _RealCalls:
    """The functions that a `Disk` replaces."""

    def __init__(self) -> None:
        self.open = os.open
        self.fsync = os.fsync
        self.rename = Path.rename
        self.unlink = Path.unlink
        self.mkdir = Path.mkdir


def check_every_image(
    disk: Disk, folder: Path, check: Callable[[Path], None]
) -> None:
    """Call ``check`` on each disk that a loss of power may leave."""
    for names in disk.images():
        copy = folder / "copy"
        disk.build(names, copy)
        check(copy)
        shutil.rmtree(copy)


def _apply(names: Names, name: Path, file: int | None) -> None:
    if file is None:
        names.pop(name, None)
    else:
        names[name] = file


def _subsets(
    changes: list[_NameChange],
) -> Iterator[tuple[_NameChange, ...]]:
    sizes = range(len(changes) + 1)
    return chain.from_iterable(combinations(changes, n) for n in sizes)


__all__ = ["check_every_image", "Disk"]
