"""Format bills as CSV text for the operators' tools."""

from __future__ import annotations

from collections.abc import Iterable
import csv
import io
from typing import Any

from sycamorestand_state.charges import Bills
from sycamorestand_state.charges import ChargeLine
from sycamorestand_state.charges import DayTotal


def totals_csv(bills: Bills) -> str:
    """Return the daily totals, a row for each customer, version and day."""
    return _table(DayTotal._fields, bills.totals)


def charges_csv(bills: Bills) -> str:
    """Return the single charges of a page, a row for each charge."""
    return _table(ChargeLine._fields, bills.charges)


def _table(header: tuple[str, ...], rows: Iterable[Any]) -> str:
    text = io.StringIO()
    writer = csv.writer(text, lineterminator="\n")
    writer.writerow(header)
    writer.writerows(rows)
    return text.getvalue()


__all__ = ["charges_csv", "totals_csv"]
