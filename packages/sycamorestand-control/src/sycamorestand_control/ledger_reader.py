"""Read the charges of all ledger shards for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sycamorestand_control.operator_api.types import BillPage
from sycamorestand_control.operator_api.types import BillRow

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sycamorestand_state.ledger import LedgerMachine


class LedgerReader:
    """Pages through the charges of all shards in one sequence.

    The sequence of a charge is its number in the shard, times the number
    of shards, plus the number of the shard. So one sequence covers all
    shards.
    """

    def __init__(self, machines: Sequence[LedgerMachine]) -> None:
        self._machines = machines

    @property
    def faults(self) -> int:
        """How many committed records were refused because of a fault."""
        return sum(machine.faults for machine in self._machines)

    def bills(self, customer: str, after: int, limit: int) -> BillPage:
        """Return at most ``limit`` charges after a sequence, in order.

        An empty customer selects the charges of all customers.
        """
        rows = [
            row
            for shard, machine in enumerate(self._machines)
            for row in self._shard_rows(shard, machine, customer, after, limit)
        ]
        rows.sort(key=lambda row: row.sequence)
        page = tuple(rows[:limit])
        next_after = page[-1].sequence if page else after
        return BillPage(page, next_after, len(rows) > limit)

    def find(self, customer: str, request_key: str) -> BillRow | None:
        """Return the charge of a request, None if there is none."""
        after = 0
        while True:
            page = self.bills(customer, after, 1_000)
            for row in page.rows:
                if row.request_key == request_key:
                    return row
            if not page.more:
                return None
            after = page.next_after

    def _shard_rows(
        self,
        shard: int,
        machine: LedgerMachine,
        customer: str,
        after: int,
        limit: int,
    ) -> list[BillRow]:
        count = len(self._machines)
        own_after = max(0, (after - shard) // count)
        bills = machine.bills(customer or None, own_after, limit + 1)
        return [
            BillRow(
                sequence=line.number * count + shard,
                at_s=line.charged_s,
                customer=line.customer,
                request_key=line.request_key,
                version=line.version,
                cost_micros=line.cost_micros,
                input_tokens=line.input_tokens,
                output_tokens=line.output_tokens,
            )
            for line in bills.charges
        ]


__all__ = ["LedgerReader"]
