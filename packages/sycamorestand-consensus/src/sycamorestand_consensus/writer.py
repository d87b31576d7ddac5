"""Writes batches in a thread, all queued ones in one group commit."""

from __future__ import annotations

from collections.abc import Callable

import anyio
from anyio import to_thread

from sycamorestand_consensus.core import Core
from sycamorestand_consensus.errors import DiskFull
from sycamorestand_consensus.log import entry_size_bytes
from sycamorestand_consensus.messages import Batch
from sycamorestand_consensus.messages import LogAppend
from sycamorestand_consensus.messages import Record
from sycamorestand_consensus.messages import SaveSnapshot
from sycamorestand_consensus.settings import ReplicaSettings
from sycamorestand_consensus.storage import Storage


class Writer:
    """Writes queued batches to disk."""

    def __init__(
        self,
        storage: Storage,
        now: Callable[[], float],
        wake: Callable[[], None],
        settings: ReplicaSettings,
    ) -> None:
        """Write to ``storage``; call ``wake`` when the core has new output."""
        self._storage = storage
        self._now = now
        self._wake = wake
        self._settings = settings
        self._batches: list[Batch] = []
        self._unwritten: list[Record] = []
        self._batch_queued = anyio.Event()

    def enqueue(self, batch: Batch) -> None:
        """Queue a batch after those already waiting."""
        self._batches.append(batch)
        self._batch_queued.set()

    async def run(self, core: Core) -> None:
        """Write queued batches and report them to the core, until cancelled.

        While the disk is full, the core is blocked and the write is retried
        every ``disk_retry_s``.
        """
        while True:
            await self._batch_queued.wait()
            self._batch_queued = anyio.Event()
            batches = self._batches
            self._batches = []
            self._unwritten = [r for b in batches for r in b.records]
            while self._unwritten:
                part = _take(self._unwritten, self._settings.max_commit_bytes)
                await self._write(core, part)
            core.mark_synced(batches[-1].sequence, self._now())
            self._wake()

    async def _write(self, core: Core, records: list[Record]) -> None:
        failures = 0
        while True:
            try:
                await to_thread.run_sync(self._storage.write, records)
            except DiskFull:
                # The records stay here, and the core holds back the
                # replies that depend on them, so nothing that was
                # acknowledged can be lost.
                core.set_blocked(True, self._now())
                self._wake()
                failures += 1
                if not await self._make_room(records, failures):
                    await anyio.sleep(self._settings.disk_retry_s)
                continue
            if core.state.blocked:
                core.set_blocked(False, self._now())
            return

    async def _make_room(self, records: list[Record], failures: int) -> bool:
        """Write a snapshot that waits behind the records; remove the rest.

        It may be written before the records, as it holds committed entries
        only. If none waits after the first failure, there is nothing new that
        a snapshot could cover, and the records get the reserve. Returns
        whether there is more room.
        """
        queued = (r for batch in self._batches for r in batch.records)
        waiting = [
            record.snapshot
            for record in (*records, *self._unwritten, *queued)
            if isinstance(record, SaveSnapshot) and record.keep_log
        ]
        try:
            if waiting:
                snapshot = waiting[-1]
                return await to_thread.run_sync(
                    self._storage.compact, snapshot
                )
            if failures > 1:
                return await to_thread.run_sync(self._storage.release_reserve)
        except DiskFull:
            pass
        return False


def _take(records: list[Record], max_bytes: int) -> list[Record]:
    """Remove and return the first record, and more up to the limit.

    What is written at once is in memory three more times.
    """
    size_bytes = 0
    count = 0
    for record in records:
        size_bytes += _size_bytes(record)
        if count and size_bytes > max_bytes:
            break
        count += 1
    taken = records[:count]
    del records[:count]
    return taken


def _size_bytes(record: Record) -> int:
    if not isinstance(record, LogAppend):
        return 0
    return sum(entry_size_bytes(entry) for entry in record.entries)


__all__ = ["Writer"]
