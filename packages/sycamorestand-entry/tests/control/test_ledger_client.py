from __future__ import annotations

from collections.abc import AsyncIterator
import contextlib
from typing import Any

import anyio
import msgspec
import pytest

from sycamorestand_consensus.settings import ReplicaSettings
from sycamorestand_entry.control.ledger_client import LedgerClient
from sycamorestand_entry.control.ledger_client import MAX_WAITING_RECORDS
from sycamorestand_model.errors import LedgerUnavailable
from sycamorestand_model.ledger import Charge
from sycamorestand_model.ledger import LedgerRecord
from sycamorestand_model.ledger import Outcome
from sycamorestand_peer.errors import PeerTimeout
from sycamorestand_peer.messages import CallReply
from sycamorestand_peer.messages import LedgerBatch
from sycamorestand_state.ledger import decode_batch
from sycamorestand_state.ledger import LedgerMachine
from sycamorestand_state.ledger import shard_of

pytestmark = pytest.mark.anyio
SHARDS = 3


def charge(key: str) -> Charge:
    return Charge("acme", key, "nest@1", 7, 1, 1, 1.0)


class FakeMesh:
    """A mesh whose control process answers batches from a real ledger."""

    def __init__(self) -> None:
        self.batches: list[LedgerBatch] = []
        self.lost_answers = 0
        self.refusals = 0
        self._machines = [LedgerMachine(shard) for shard in range(SHARDS)]
        self._calls = 0

    def next_call_id(self) -> int:
        self._calls += 1
        return self._calls

    async def call(
        self, address: str, call_id: int, message: Any, timeout_s: float
    ) -> CallReply:
        self.batches.append(message)
        if self.refusals:
            self.refusals -= 1
            return CallReply(call_id, "no leader", b"")
        machine = self._machines[message.shard]
        results = machine.apply(len(self.batches), message.command)
        if self.lost_answers:
            self.lost_answers -= 1
            raise PeerTimeout("lost")
        return CallReply(call_id, "", msgspec.msgpack.encode(results))


@contextlib.asynccontextmanager
async def run_client(mesh: FakeMesh) -> AsyncIterator[LedgerClient]:
    client = LedgerClient(
        mesh,  # type: ignore[arg-type]
        lambda: "control:1",
        lambda: SHARDS,
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(client.run)
        yield client
        tasks.cancel_scope.cancel()


class TestLedgerClient:
    async def test_records_go_to_the_shard_of_their_key(self) -> None:
        mesh = FakeMesh()
        async with run_client(mesh) as client:
            records = [charge(f"k-{n}") for n in range(30)]
            results = await client.submit(records)
        assert [result.state for result in results] == ["created"] * 30
        for batch in mesh.batches:
            for record in decode_batch(batch.command).records:
                assert isinstance(record, Charge)
                key = record.request_key
                assert shard_of("acme", key, SHARDS) == batch.shard

    async def test_lost_answer_causes_no_second_charge(self) -> None:
        """The ledger applies a batch, and its answer is lost.

        The batch is sent again. The ledger returns the existing charge with
        its cost and charges nothing twice.
        """
        mesh = FakeMesh()
        mesh.lost_answers = 1
        async with run_client(mesh) as client:
            results = await client.submit([charge("k")])
        assert results[0].state == "exists"
        assert results[0].cost_micros == 7
        assert client.resends == 1

    async def test_refused_batch_is_sent_again(self) -> None:
        mesh = FakeMesh()
        mesh.refusals = 2
        async with run_client(mesh) as client:
            results = await client.submit([charge("k")])
        assert results[0].state == "created"

    async def test_no_batch_exceeds_the_logs_command_size(self) -> None:
        """Many calls end together, each with an answer to record.

        In one command they would exceed the log's size limit, and the log
        would refuse the command at each attempt.
        """
        mesh = FakeMesh()
        answers: list[LedgerRecord] = [
            Outcome("acme", f"k-{n}", "o", "done", 200, "t", b"x" * 65_536)
            for n in range(40)
        ]
        async with run_client(mesh) as client:
            await client.submit(answers)
        bound = ReplicaSettings().max_command_bytes
        assert max(len(batch.command) for batch in mesh.batches) < bound
        assert len(mesh.batches) < len(answers)

    async def test_queue_for_a_silent_ledger_is_bounded(self) -> None:
        client = LedgerClient(
            FakeMesh(),  # type: ignore[arg-type]
            lambda: "control:1",
            lambda: SHARDS,
        )
        records = [charge(f"k-{n}") for n in range(MAX_WAITING_RECORDS + 1)]
        with pytest.raises(LedgerUnavailable, match="too many"):
            await client.submit(records)
