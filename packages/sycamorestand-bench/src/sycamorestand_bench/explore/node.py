"""A simulated member: its core, its clock, and a disk that can lose writes."""

from __future__ import annotations

from collections.abc import Callable
import random

from sycamorestand_bench.explore.checks import Checker
from sycamorestand_bench.explore.checks import MachineFactory
from sycamorestand_consensus.core import Core
from sycamorestand_consensus.core import Output
from sycamorestand_consensus.disk_image import DiskImage
from sycamorestand_consensus.messages import Batch
from sycamorestand_consensus.messages import EntryKind
from sycamorestand_consensus.messages import Message
from sycamorestand_consensus.settings import ReplicaSettings


class Disk:
    """The synced image of a disk, and the batches not yet synced."""

    def __init__(self) -> None:
        """Create an empty disk."""
        self._image = DiskImage()
        self._unsynced: list[Batch] = []
        self.full = False

    def write(self, batch: Batch) -> None:
        """Write a batch without syncing it."""
        self._unsynced.append(batch)

    def sync(self, count: int) -> int:
        """Sync up to ``count`` batches.

        Returns the sequence number of the last synced batch, or 0 if no
        batch was synced.
        """
        last = 0
        while self._unsynced and count > 0:
            batch = self._unsynced.pop(0)
            for record in batch.records:
                self._image.replay(record)
            last = batch.sequence
            count -= 1
        return last

    def lose_unsynced(self, kept: int) -> None:
        """Lose the unsynced batches, except for the first ``kept``.

        Without a sync, a disk may still have written some batches before
        a crash.
        """
        self.sync(kept)
        self._unsynced.clear()

    @property
    def unsynced(self) -> int:
        """Return the number of batches that are not synced."""
        return len(self._unsynced)

    def image(self) -> DiskImage:
        """Return the synced contents, from which a restart recovers."""
        return self._image


class Node:
    """A member that is up, or down with its disk intact or wiped.

    ``barriers`` maps the ids of pending read barriers to the number of
    entries committed when the read began.
    """

    def __init__(
        self,
        name: str,
        settings: ReplicaSettings,
        checker: Checker,
        make_machine: MachineFactory,
        seed: int,
        clock_rate: float,
        send: Callable[[Message], None],
    ) -> None:
        """Create the member without starting it."""
        self.name = name
        self.disk = Disk()
        self.up = False
        self.wiped = False
        self.applied_index = 0
        self.barriers: dict[int, int] = {}
        self._settings = settings
        self._checker = checker
        self._make_machine = make_machine
        self._machine = make_machine()
        self._random = random.Random(seed)
        self._clock_rate = clock_rate
        self._clock_offset_s = self._random.uniform(0.0, 1000.0)
        self._send = send
        self._true_s = 0.0
        self.core = self._new_core()

    @property
    def local_s(self) -> float:
        """Return the time of the node's clock."""
        return self._clock_offset_s + self._clock_rate * self._true_s

    def true_time_of(self, local_s: float) -> float:
        """Convert a time of the node's clock to the true clock."""
        return (local_s - self._clock_offset_s) / self._clock_rate

    def set_time(self, true_s: float) -> None:
        """Set the clock by the true time."""
        self._true_s = true_s

    def start(self) -> None:
        """Start with the state that the disk holds."""
        self.up = True
        self.core = self._new_core()
        snapshot = self.core.state.snapshot
        self.applied_index = snapshot.last_index
        self._machine = self._make_machine()
        if snapshot.last_index > 0:
            self._restore(snapshot.last_index, snapshot.data)
        self.core.set_blocked(self.disk.full, self.local_s)

    def crash(self, kept: int) -> None:
        """Stop at once and lose all but ``kept`` unsynced batches."""
        self.up = False
        self.barriers.clear()
        self.disk.lose_unsynced(kept)

    def sync(self, count: int) -> None:
        """Complete the sync of up to ``count`` batches.

        A full disk completes no sync. If the member is up, its core receives
        the sequence number of the last synced batch.
        """
        if self.disk.full:
            return
        sequence = self.disk.sync(count)
        if sequence and self.up:
            self.core.mark_synced(sequence, self.local_s)

    def set_disk_full(self, full: bool) -> None:
        """Fill the disk or free it; a full disk blocks the core."""
        self.disk.full = full
        if self.up:
            self.core.set_blocked(full, self.local_s)

    def compact(self) -> None:
        """Take a snapshot after the last applied entry and compact the log."""
        data = self._machine.snapshot()
        self._checker.check_snapshot(self, self.applied_index, data)
        self.core.compact(self.applied_index, data, self.local_s)

    def pump(self) -> None:
        """Carry out the core's pending work and check the invariants."""
        if not self.up:
            return
        output = self.core.drain(self.local_s)
        for message in output.messages:
            self._send(message)
        if output.batch is not None:
            self.disk.write(output.batch)
        if output.install is not None:
            snapshot = output.install
            self._restore(snapshot.last_index, snapshot.data)
        self._apply(output)
        self._checker.check_node(self, self._true_s)

    def _new_core(self) -> Core:
        return Core(
            self.name,
            self._settings,
            self._random.getrandbits(32),
            self.disk.image().recovered(),
            self.local_s,
        )

    def _restore(self, index: int, data: bytes) -> None:
        self._checker.check_snapshot(self, index, data)
        self._machine.restore(data)
        self.applied_index = index

    def _apply(self, output: Output) -> None:
        for entry in output.committed:
            self._checker.record_committed(self, entry)
            if entry.kind == EntryKind.COMMAND:
                self._machine.apply(entry.log_index, entry.data)
            self.applied_index = entry.log_index
        for barrier in output.confirmed:
            min_index = self.barriers.pop(barrier.barrier_id, 0)
            self._checker.check_barrier(self, barrier.read_index, min_index)


__all__ = ["Node"]
