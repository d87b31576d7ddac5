"""Measure CPU time and bytes per record of one ledger shard, without a log.

    .venv/bin/python packages/sycamorestand-state/bench/measure_ledger.py

The workloads are non-idempotent calls, each with a claim, a dispatch, an
outcome and a charge; charges alone; and pins. All are in batches of 32
records.
"""

from __future__ import annotations

import sys
from time import process_time
from typing import Final

from sycamorestand_model.ledger import Charge
from sycamorestand_model.ledger import Claim
from sycamorestand_model.ledger import Dispatch
from sycamorestand_model.ledger import LedgerRecord
from sycamorestand_model.ledger import Outcome
from sycamorestand_model.ledger import Pin
from sycamorestand_state.ledger import encode_batch
from sycamorestand_state.ledger import LedgerMachine

REQUESTS: Final = 50_000
BATCH_RECORDS: Final = 32
ANSWER: Final = b"x" * 300
NOW_S: Final = 1_800_000_000.0


def main() -> None:
    """Run each workload and print its figures."""
    for name, records in _workloads():
        _measure(name, records)


def _workloads() -> list[tuple[str, list[LedgerRecord]]]:
    keys = [f"{number:032x}" for number in range(REQUESTS)]
    owners = [f"vm-3/{number:016x}" for number in range(REQUESTS)]
    fingerprint = "f" * 32
    claims: list[LedgerRecord] = []
    charges: list[LedgerRecord] = []
    pins: list[LedgerRecord] = []
    for key, owner in zip(keys, owners, strict=True):
        claims += [
            Claim("guild", key, fingerprint, owner, NOW_S),
            Dispatch("guild", key, owner, "portal-1"),
            Outcome("guild", key, owner, "done", 200, "text/plain", ANSWER),
            Charge("guild", key, "portal", 10, 0, 0, NOW_S),
        ]
        charges.append(Charge("guild", key, "nest@1", 1234, 900, 300, NOW_S))
        pins.append(Pin("guild", key, "nest@1", NOW_S))
    return [
        ("non-idempotent call, 4 records, 300 B answer", claims),
        ("charge", charges),
        ("pin", pins),
    ]


def _measure(name: str, records: list[LedgerRecord]) -> None:
    batches = [
        records[start : start + BATCH_RECORDS]
        for start in range(0, len(records), BATCH_RECORDS)
    ]
    machine = LedgerMachine(0)
    started_s = process_time()
    encoded = [encode_batch(batch, NOW_S) for batch in batches]
    encoded_s = process_time()
    for index, command in enumerate(encoded, start=1):
        machine.apply(index, command)
    applied_s = process_time()
    snapshot = machine.snapshot()
    snapshot_s = process_time()
    LedgerMachine(0).restore(snapshot)
    restored_s = process_time()
    size_bytes = sum(map(len, encoded))
    count = len(records)
    sys.stdout.write(
        f"{name}: {count} records\n"
        f"  encode {(encoded_s - started_s) / count * 1e6:.2f} us/record, "
        f"apply {(applied_s - encoded_s) / count * 1e6:.2f} us/record, "
        f"log {size_bytes / count:.0f} bytes/record\n"
        f"  snapshot {len(snapshot) / count:.0f} bytes/record, "
        f"{(snapshot_s - applied_s) * 1e3:.0f} ms, "
        f"restore {(restored_s - snapshot_s) * 1e3:.0f} ms\n"
    )


if __name__ == "__main__":
    main()
