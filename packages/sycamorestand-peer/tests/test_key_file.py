"""Key files that change under a running process."""

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
    """A key file and the clock that says when it is looked at."""

    def __init__(self, path: Path, *keys: bytes) -> None:
        self.path = path
        self.write(*keys)
        self.clock = Clock()
        self.keys = KeyFile(path, self.clock)

    def write(self, *keys: bytes) -> None:
        """Replace the file in one step, as the operators' page says."""
        fresh = self.path.with_suffix(".new")
        fresh.write_bytes(b"\n".join(keys))
        fresh.rename(self.path)

    def check(self) -> tuple[bytes, ...]:
        self.clock.now_s += CHECK_INTERVAL_S
        return self.keys()


class TestKeyFile:
    def test_a_change_is_seen_at_the_next_look(self, tmp_path: Path) -> None:
        held = KeyFileHarness(tmp_path / "keys", OLD)
        held.write(NEW, OLD)
        assert held.keys() == (OLD,)
        assert held.check() == (NEW, OLD)

    @pytest.mark.parametrize("content", [None, b"", b"short", b"x" * 65])
    def test_a_bad_file_keeps_the_last_good_keys(
        self,
        tmp_path: Path,
        caplog: pytest.LogCaptureFixture,
        content: bytes | None,
    ) -> None:
        """A copy to one VM fails halfway, or an editor leaves rubbish.

        The process goes on with the keys that it has, so no peer is
        refused. It counts each bad look and logs once; a mended file is
        taken at the next look.
        """
        caplog.set_level(logging.INFO)
        held = KeyFileHarness(tmp_path / "keys", OLD)
        if content is None:
            held.path.unlink()
        else:
            held.write(content)
        assert [held.check() for _ in range(3)] == [(OLD,)] * 3
        assert held.keys.failures == 3
        held.write(NEW)
        assert held.check() == (NEW,)
        levels = [record.levelname for record in caplog.records]
        assert levels == ["WARNING", "INFO"]

    def test_no_first_keys_is_an_error_without_the_key(
        self, tmp_path: Path
    ) -> None:
        path = tmp_path / "keys"
        path.write_bytes(b"secret")
        with pytest.raises(KeyFileError, match="under 16 bytes") as caught:
            KeyFile(path)
        assert "secret" not in str(caught.value)


class TestRotation:
    @pytest.mark.anyio
    async def test_no_message_is_refused_while_keys_move(
        self, tmp_path: Path, until: Any
    ) -> None:
        """An operator rotates the cluster key of two running processes.

        The new key goes behind the old one, then to the front, then the
        old one goes, on one process before the other each time. Messages
        flow both ways after every single step and none is refused.
        """
        held = [
            KeyFileHarness(tmp_path / name, OLD) for name in ("one", "two")
        ]
        received: list[list[Any]] = [[], []]
        meshes = [
            PeerMesh(
                free_address(),
                file.keys,
                lambda sender, message, taken=taken: taken.append(message),
            )
            for file, taken in zip(held, received, strict=True)
        ]
        async with anyio.create_task_group() as tasks:
            for mesh in meshes:
                await tasks.start(mesh.run)
            for keys in ((OLD, NEW), (NEW, OLD), (NEW,)):
                for file in held:
                    file.write(*keys)
                    file.check()
                    for taken in received:
                        taken.clear()
                    meshes[0].send(meshes[1].address, AddressList(()))
                    meshes[1].send(meshes[0].address, AddressList(()))
                    await until(lambda: all(received))
            tasks.cancel_scope.cancel()
        assert [mesh.counters.refused for mesh in meshes] == [0, 0]
        assert [file.keys() for file in held] == [(NEW,), (NEW,)]
