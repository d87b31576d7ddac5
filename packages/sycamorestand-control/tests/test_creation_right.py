"""The file that keeps the right to create the cluster."""

from __future__ import annotations

from pathlib import Path

from sycamorestand_consensus.identity import open_identity
from sycamorestand_control.creation_right import CreationRight
from sycamorestand_control.creation_right import FILE_NAME
from sycamorestand_control.creation_right import record_first_start

SEEDS = ("c1", "c2", "c3")


class TestCreationRight:
    def test_seed_keeps_its_right_over_a_kill(self, tmp_path: Path) -> None:
        """Its next start is no first start, so that nobody could create."""
        folder = tmp_path / "data"
        record_first_start(folder, "c2", SEEDS)
        open_identity(folder)
        assert CreationRight(folder).read() == ("c1", "c2")

    def test_process_that_is_no_seed_has_no_right(
        self, tmp_path: Path
    ) -> None:
        record_first_start(tmp_path, "c4", SEEDS)
        assert CreationRight(tmp_path).read() == ()
        assert not list(tmp_path.iterdir())

    def test_narrowed_right_is_not_widened(self, tmp_path: Path) -> None:
        """Its earlier seeds may be gone by then, and never report again."""
        CreationRight(tmp_path).write(("c2",))
        record_first_start(tmp_path, "c2", SEEDS)
        assert CreationRight(tmp_path).read() == ("c2",)

    def test_removed_right_is_gone(self, tmp_path: Path) -> None:
        record_first_start(tmp_path, "c1", SEEDS)
        CreationRight(tmp_path).remove()
        CreationRight(tmp_path).remove()
        assert CreationRight(tmp_path).read() == ()

    def test_unreadable_file_gives_no_right(self, tmp_path: Path) -> None:
        """A right that nobody granted could make a second cluster."""
        for content in (b"", b"{", b'[1, "c1"]', b'[2, ["c1"]]'):
            (tmp_path / FILE_NAME).write_bytes(content)
            assert CreationRight(tmp_path).read() == ()
