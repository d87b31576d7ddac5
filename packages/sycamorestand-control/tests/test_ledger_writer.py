from __future__ import annotations

import anyio
import pytest

from sycamorestand_control.errors import NoLeader
from sycamorestand_control.errors import OutcomeUnknown
from sycamorestand_control.ledger_writer import LedgerWriter
from sycamorestand_model.ledger import LedgerResult
from sycamorestand_model.ledger import Outcome
from sycamorestand_state.ledger import encode_batch

pytestmark = pytest.mark.anyio


class TestUnexpectedError:
    async def test_an_unexpected_error_is_answered(self) -> None:
        """A proposal raises an unexpected error.

        The entry must learn that the outcome is unknown, and the writer
        must continue. Otherwise the entry's callers, and all later ones,
        would wait until their timeout.
        """
        outcomes: list[RuntimeError | list[LedgerResult]] = [
            RuntimeError("an unexpected state"),
            [],
        ]

        async def propose(command: bytes) -> list[LedgerResult]:
            outcome = outcomes.pop(0)
            if isinstance(outcome, Exception):
                raise outcome
            return outcome

        writer = LedgerWriter(propose)
        batch = encode_batch([], 1.0)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(writer.run)
            with anyio.fail_after(10):
                with pytest.raises(OutcomeUnknown):
                    await writer.submit(batch)
                assert await writer.submit(batch) == []
            tasks.cancel_scope.cancel()


class TestQueue:
    async def test_batches_beyond_the_room_are_refused_at_once(self) -> None:
        """Guards against memory that fills while the log has no leader."""
        writer = LedgerWriter(_no_answer)
        outcome = Outcome("c", "k", "a", "done", answer=bytes(500_000))
        batch = encode_batch([outcome], 1.0)
        async with anyio.create_task_group() as tasks:
            for _ in range(8):
                tasks.start_soon(writer.submit, batch)
            await anyio.wait_all_tasks_blocked()
            with pytest.raises(NoLeader):
                await writer.submit(batch)
            tasks.cancel_scope.cancel()


async def _no_answer(command: bytes) -> list[LedgerResult]:
    await anyio.sleep_forever()
    return []
