"""Client that batches ledger records of many requests."""

from __future__ import annotations

from typing import Any
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

import anyio
import msgspec

from sycamorestand_model.errors import LedgerUnavailable
from sycamorestand_model.ledger import LedgerResult
from sycamorestand_model.ledger import Pin
from sycamorestand_peer.clock import boottime_s
from sycamorestand_peer.errors import PeerTimeout
from sycamorestand_peer.messages import LedgerBatch
from sycamorestand_state.ledger import encode_batch
from sycamorestand_state.ledger import shard_of

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator
    from collections.abc import Sequence

    from sycamorestand_model.ledger import LedgerRecord
    from sycamorestand_peer.mesh import PeerMesh

# Shortest time between two batches of a shard. A batch and its answer cost
# the entry about 0.9 ms of CPU time whatever their size, and the ledger may
# use 2.5% of a core at the target size, which leaves some seventeen batches a
# second. A record after a pause is sent at once; only on a busy entry do
# records wait, half of this time on average.
BATCH_SPACING_S: Final = 0.06
ATTEMPT_TIMEOUT_S: Final = 1.5
# Two attempts last longer than a leader change. A request that waits longer
# is answered without the ledger's result.
TOTAL_TIMEOUT_S: Final = 4.0
MAX_BATCH_RECORDS: Final = 512
# Recorded answers make records large. The log refuses a command above its
# size limit at every attempt, and with it all records of the batch.
MAX_BATCH_BYTES: Final = 256 * 1024
# Estimated size of a record without its recorded answer.
RECORD_BYTES: Final = 256
# Bounds the queue while the ledger answers slowly.
MAX_WAITING_RECORDS: Final = 20_000


class _Waiting(NamedTuple):
    record: LedgerRecord
    done: anyio.Event
    outcome: list[LedgerResult]


class LedgerClient:
    """Send records to the ledger's shards through the control process.

    A batch without an answer is sent again. All records are idempotent:
    claims, dispatches and outcomes carry the owner of their attempt, and
    the ledger applies a charge or a pin once per key.
    """

    def __init__(
        self,
        mesh: PeerMesh,
        control_address: Callable[[], str],
        shard_count: Callable[[], int],
    ) -> None:
        self._mesh = mesh
        self._control_address = control_address
        self._shard_count = shard_count
        self._waiting: dict[int, list[_Waiting]] = {}
        self._wake = anyio.Event()
        self.records = 0
        self.batches = 0
        self.resends = 0

    async def submit(
        self, records: Sequence[LedgerRecord]
    ) -> list[LedgerResult]:
        """Return the results of the records once they are durable.

        Raises `LedgerUnavailable` if the queue is full or the ledger does
        not confirm all records within `TOTAL_TIMEOUT_S`. The records may
        have been applied in the latter case.
        """
        queued = sum(len(items) for items in self._waiting.values())
        if queued + len(records) > MAX_WAITING_RECORDS:
            raise LedgerUnavailable("too many records wait for the ledger")
        items = [self._enqueue(record) for record in records]
        self._wake.set()
        for item in items:
            await item.done.wait()
        if any(not item.outcome for item in items):
            raise LedgerUnavailable("the ledger gave no answer in time")
        return [item.outcome[0] for item in items]

    async def run(self) -> None:
        """Send queued records in batches until cancelled."""
        sent_s = float("-inf")
        async with anyio.create_task_group() as tasks:
            while True:
                await self._wake.wait()
                await anyio.sleep(
                    max(0.0, sent_s + BATCH_SPACING_S - boottime_s())
                )
                sent_s = boottime_s()
                self._wake = anyio.Event()
                for shard, batch in self._drain_queue():
                    tasks.start_soon(self._send, shard, batch)

    def _enqueue(self, record: LedgerRecord) -> _Waiting:
        key = record.session if isinstance(record, Pin) else record.request_key
        shard = shard_of(record.customer, key, self._shard_count())
        item = _Waiting(record, anyio.Event(), [])
        self._waiting.setdefault(shard, []).append(item)
        return item

    def _drain_queue(self) -> list[tuple[int, list[_Waiting]]]:
        waiting = self._waiting
        self._waiting = {}
        return [
            (shard, batch)
            for shard, items in waiting.items()
            for batch in _bounded_batches(items)
        ]

    async def _send(self, shard: int, batch: list[_Waiting]) -> None:
        command = encode_batch([item.record for item in batch], 0.0)
        try:
            results = await self._send_until_answered(shard, command)
            for item, result in zip(batch, results, strict=True):
                item.outcome.append(result)
        except LedgerUnavailable:
            pass
        finally:
            for item in batch:
                item.done.set()

    async def _send_until_answered(
        self, shard: int, command: bytes
    ) -> list[LedgerResult]:
        until_s = boottime_s() + TOTAL_TIMEOUT_S
        while boottime_s() < until_s:
            self.batches += 1
            answer = await self._send_once(shard, command)
            if answer is not None:
                return answer
            self.resends += 1
        raise LedgerUnavailable("no answer")

    async def _send_once(self, shard: int, command: bytes) -> Any:
        call_id = self._mesh.next_call_id()
        message = LedgerBatch(call_id, shard, command)
        address = self._control_address()
        try:
            reply = await self._mesh.call(
                address, call_id, message, ATTEMPT_TIMEOUT_S
            )
        except PeerTimeout:
            return None
        if reply.failure:
            return None
        return msgspec.msgpack.decode(reply.payload, type=list[LedgerResult])


def _bounded_batches(items: list[_Waiting]) -> Iterator[list[_Waiting]]:
    batch: list[_Waiting] = []
    size_bytes = 0
    for item in items:
        item_bytes = RECORD_BYTES + len(getattr(item.record, "answer", b""))
        too_large = size_bytes + item_bytes > MAX_BATCH_BYTES
        if batch and (too_large or len(batch) >= MAX_BATCH_RECORDS):
            yield batch
            batch, size_bytes = [], 0
        batch.append(item)
        size_bytes += item_bytes
    if batch:
        yield batch


__all__ = ["LedgerClient"]
