"""Writes batches in a thread, all queued ones in one group commit."""

from __future__ import annotations

from collections.abc import Callable

import anyio
from anyio import to_thread

from sycamorestand_consensus.core import Core
from sycamorestand_consensus.errors import DiskFull
from sycamorestand_consensus.messages import Batch
from sycamorestand_consensus.messages import Record
from sycamorestand_consensus.storage import Storage


class Writer:
    """Writes queued batches to disk."""

    def __init__(
        self,
        storage: Storage,
        now: Callable[[], float],
        wake: Callable[[], None],
        retry_s: float,
    ) -> None:
        """Write to ``storage``; call ``wake`` when the core has new output."""
        self._storage = storage
        self._now = now
        self._wake = wake
        self._retry_s = retry_s
        self._batches: list[Batch] = []
        self._batch_queued = anyio.Event()

    def enqueue(self, batch: Batch) -> None:
        """Queue a batch after those already waiting."""
        self._batches.append(batch)
        self._batch_queued.set()

    async def run(self, core: Core) -> None:
        """Write queued batches and report them to the core, until cancelled.

        While the disk is full, the core is blocked and the write is retried
        every ``retry_s``.
        """
        while True:
            await self._batch_queued.wait()
            self._batch_queued = anyio.Event()
            batches = self._batches
            self._batches = []
            records = [r for batch in batches for r in batch.records]
            await self._write(core, records)
            core.mark_synced(batches[-1].sequence, self._now())
            self._wake()

    async def _write(self, core: Core, records: list[Record]) -> None:
        while True:
            try:
                await to_thread.run_sync(self._storage.write, records)
            except DiskFull:
                # The records stay here, and the core holds back the
                # replies that depend on them, so nothing that was
                # acknowledged can be lost.
                core.set_blocked(True, self._now())
                self._wake()
                await anyio.sleep(self._retry_s)
                continue
            if core.state.blocked:
                core.set_blocked(False, self._now())
            return


__all__ = ["Writer"]
