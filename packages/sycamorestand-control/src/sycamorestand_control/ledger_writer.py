"""Merge many small ledger batches into few proposals."""

from __future__ import annotations

import logging
import time
from typing import Any
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

import anyio

from sycamorestand_control.errors import ControlError
from sycamorestand_control.errors import NoLeader
from sycamorestand_control.errors import OutcomeUnknown
from sycamorestand_model.errors import SycamorestandError
from sycamorestand_state.ledger import decode_batch
from sycamorestand_state.ledger import encode_batch

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from sycamorestand_model.ledger import LedgerRecord
    from sycamorestand_model.ledger import LedgerResult

LOG: Final = logging.getLogger(__name__)
# Below the log's largest command, with room for the envelope.
MAX_BATCH_BYTES: Final = 512 * 1024
# While one proposal waits for the disk, the next one collects batches. A
# third and a fourth keep the leader's disk busy while the followers answer.
# More proposals in flight would only make each of them smaller.
MAX_IN_FLIGHT: Final = 4
# Without a leader batches wait until their proposal times out. Entries send
# more of them meanwhile.
MAX_QUEUED_BYTES: Final = 4 * 1024 * 1024


class _PendingBatch(NamedTuple):
    records: tuple[LedgerRecord, ...]
    size_bytes: int
    done: anyio.Event
    outcome: list[Any]


class LedgerWriter:
    """Collects the batches of many entries while the log is busy.

    Entries send thousands of small batches a second. If each were proposed
    alone, it would need its own frame to every follower and its own log
    record. Batches that arrive during a proposal share the cost of the next
    sync. The time in a command comes from this process's clock, so that an
    entry with a wrong clock cannot expire records of the ledger early.
    ``records`` and ``proposals`` count what was proposed.
    """

    def __init__(
        self, propose: Callable[[bytes], Awaitable[list[LedgerResult]]]
    ) -> None:
        self._propose = propose
        self._queue: list[_PendingBatch] = []
        self._wake = anyio.Event()
        self.records = 0
        self.proposals = 0

    async def submit(self, batch: bytes) -> list[LedgerResult]:
        """Commit an encoded batch and return its results in order.

        Raises the error of the proposal that contained the batch, and
        `NoLeader` at once if too many bytes wait already.
        """
        queued_bytes = sum(pending.size_bytes for pending in self._queue)
        if queued_bytes + len(batch) > MAX_QUEUED_BYTES:
            raise NoLeader("too many batches wait for the log")
        records = decode_batch(batch).records
        pending = _PendingBatch(tuple(records), len(batch), anyio.Event(), [])
        self._queue.append(pending)
        self._wake.set()
        await pending.done.wait()
        outcome = pending.outcome[0]
        if isinstance(outcome, Exception):
            raise outcome
        results: list[LedgerResult] = outcome
        return results

    async def run(self) -> None:
        """Propose the collected batches, until cancelled."""
        async with anyio.create_task_group() as tasks:
            for _ in range(MAX_IN_FLIGHT):
                tasks.start_soon(self._propose_loop)

    async def _propose_loop(self) -> None:
        while True:
            while not self._queue:
                self._wake = anyio.Event()
                await self._wake.wait()
            batches = self._take_batches()
            outcomes = await self._propose_all(batches)
            for pending, outcome in zip(batches, outcomes, strict=True):
                pending.outcome.append(outcome)
                pending.done.set()

    def _take_batches(self) -> list[_PendingBatch]:
        batches: list[_PendingBatch] = []
        size = 0
        while self._queue and (
            not batches or size + self._queue[0].size_bytes <= MAX_BATCH_BYTES
        ):
            pending = self._queue.pop(0)
            size += pending.size_bytes
            batches.append(pending)
        return batches

    async def _propose_all(self, batches: list[_PendingBatch]) -> list[Any]:
        records = [record for item in batches for record in item.records]
        self.records += len(records)
        self.proposals += 1
        try:
            results = await self._propose(encode_batch(records, time.time()))
        except (SycamorestandError, ControlError) as error:
            return [error] * len(batches)
        except Exception:
            # The callers that wait for these batches must get an answer.
            LOG.exception("ledger batch failed")
            return [OutcomeUnknown("the batch may be durable")] * len(batches)
        return _split_results(results, [len(item.records) for item in batches])


def _split_results(
    results: list[LedgerResult], counts: list[int]
) -> list[list[LedgerResult]]:
    parts = []
    start = 0
    for count in counts:
        parts.append(results[start : start + count])
        start += count
    return parts


__all__ = ["LedgerWriter"]
