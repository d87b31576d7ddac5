from __future__ import annotations

import anyio
import pytest

from sycamorestand_control.errors import OutcomeUnknown
from sycamorestand_control.ledger_writer import LedgerWriter
from sycamorestand_model.ledger import LedgerResult
from sycamorestand_state.ledger import encode_batch

pytestmark = pytest.mark.anyio


class TestFault:
    async def test_the_waiting_entry_is_answered(self) -> None:
        """Proposing fails in a way that nobody thought of.

        The entry hears that the outcome is unknown and repeats its batch.
        Without an answer its callers would wait for their whole time, and
        with the writer gone so would all that come after.
        """
        outcomes: list[RuntimeError | list[LedgerResult]] = [
            RuntimeError("a state that nobody thought of"),
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
