"""Key files that change while a process runs."""

from __future__ import annotations

import logging
from pathlib import Path
from typing import Any

import anyio
import pytest

from sycamorestand_bench.addresses import free_address
from sycamorestand_peer.errors import KeyFileError
from sycamorestand_peer.key_file import CHECK_INTERVAL_S
from sycamorestand_peer.key_file import KeyFile
from sycamorestand_peer.mesh import PeerMesh
from sycamorestand_peer.messages import AddressList

OLD = b"old-" * 8
NEW = b"new-" * 8


class Clock:
    def __init__(self) -> None:
        self.now_s = 0.0

    def __call__(self) -> float:
        return self.now_s


class KeyFileHarness:
    """A key file and the clock that decides when it is checked."""

    def __init__(self, path: Path, *keys: bytes) -> None:
        self.path = path
        self.write(*keys)
        self.clock = Clock()
        self.keys = KeyFile(path, self.clock)

    def write(self, *keys: bytes) -> None:
        """Replace the file atomically, as operators are told to."""
        fresh = self.path.with_suffix(".new")
        fresh.write_bytes(b"\n".join(keys))
        fresh.rename(self.path)

    def check(self) -> tuple[bytes, ...]:
        self.clock.now_s += CHECK_INTERVAL_S
        return self.keys()


class TestKeyFile:
    def test_a_change_is_read_at_the_next_check(self, tmp_path: Path) -> None:
        key_file = KeyFileHarness(tmp_path / "keys", OLD)
        key_file.write(NEW, OLD)
        assert key_file.keys() == (OLD,)
        assert key_file.check() == (NEW, OLD)

    @pytest.mark.parametrize("content", [None, b"", b"short", b"x" * 65])
    def test_a_bad_file_keeps_the_last_good_keys(
        self,
        tmp_path: Path,
        caplog: pytest.LogCaptureFixture,
        content: bytes | None,
    ) -> None:
        """A missing or invalid file must not make the process refuse peers.

        The process keeps its last valid keys, counts each failed check and
        logs once. A repaired file is used from the next check on.
        """
        caplog.set_level(logging.INFO)
        key_file = KeyFileHarness(tmp_path / "keys", OLD)
        if content is None:
            key_file.path.unlink()
        else:
            key_file.write(content)
        assert [key_file.check() for _ in range(3)] == [(OLD,)] * 3
        assert key_file.keys.failures == 3
        key_file.write(NEW)
        assert key_file.check() == (NEW,)
        levels = [record.levelname for record in caplog.records]
        assert levels == ["WARNING", "INFO"]

    def test_the_error_for_an_invalid_first_file_does_not_show_the_key(
        self, tmp_path: Path
    ) -> None:
        path = tmp_path / "keys"
        path.write_bytes(b"secret")
        with pytest.raises(KeyFileError, match="under 16 bytes") as caught:
            KeyFile(path)
        assert "secret" not in str(caught.value)


class TestRotation:
    @pytest.mark.anyio
    async def test_no_message_is_refused_during_a_key_rotation(
        self, tmp_path: Path, until: Any
    ) -> None:
        """A key rotation must not interrupt messages between processes.

        The new key is added behind the old one, moved to the front, and
        then the old one is removed, each time on one process before the
        other. After each step messages must arrive in both directions.
        """
        key_files = [
            KeyFileHarness(tmp_path / name, OLD) for name in ("one", "two")
        ]
        received: list[list[Any]] = [[], []]
        meshes = [
            PeerMesh(
                free_address(),
                key_file.keys,
                lambda sender, message, inbox=inbox: inbox.append(message),
            )
            for key_file, inbox in zip(key_files, received, strict=True)
        ]
        async with anyio.create_task_group() as tasks:
            for mesh in meshes:
                await tasks.start(mesh.run)
            for keys in ((OLD, NEW), (NEW, OLD), (NEW,)):
                for key_file in key_files:
                    key_file.write(*keys)
                    key_file.check()
                    for inbox in received:
                        inbox.clear()
                    meshes[0].send(meshes[1].address, AddressList(()))
                    meshes[1].send(meshes[0].address, AddressList(()))
                    await until(lambda: all(received))
            tasks.cancel_scope.cancel()
        assert [mesh.counters.refused for mesh in meshes] == [0, 0]
        assert [key_file.keys() for key_file in key_files] == [(NEW,), (NEW,)]
