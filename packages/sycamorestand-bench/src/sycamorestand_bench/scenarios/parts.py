"""``dev/bench parts``: requests that end servers, at two sizes."""

from __future__ import annotations

from statistics import median
import time
from typing import Final

import defopt
import msgspec

from sycamorestand_bench.decisions.part_model import PartFigures
from sycamorestand_bench.decisions.part_model import PartSize
from sycamorestand_bench.decisions.part_model import simulate_parts
from sycamorestand_bench.fakes.control_port import FakeControlPort
from sycamorestand_bench.fakes.control_port import FakeLedger
from sycamorestand_bench.fakes.declared import guild_configuration
from sycamorestand_entry.metrics import Metrics
from sycamorestand_entry.part_watch import PartWatch
from sycamorestand_entry.upstream_pool import UpstreamPool
from sycamorestand_model.prompt_parts import BlockedPart
from sycamorestand_model.request_digest import request_name
from sycamorestand_model.request_digest import RequestContent

SIZES: Final = {
    "10 entries": PartSize(10, 5, 3, 20.0, 4.0),
    "330 entries": PartSize(330, 910, 7, 13_000.0, 40.0, 8.0),
}
LOOKUPS: Final = 20_000
ONE_PER_S: Final = 1.5
DIGESTED_BYTES: Final = 20_000_000
PARTS: Final = ("first", "second", "third", "fourth")


def main(arguments: list[str]) -> int:
    """Run the model at each size, and time what each request costs."""
    defopt.run(_bench, argv=arguments, cli_options="all", short={})
    return 0


def _bench(*, seeds: int = 5) -> None:
    """Simulate requests with one part that ends the servers.

    :param seeds: how many seeds of each size are run
    """
    figures: dict[str, dict[str, list[float]]] = {}
    for name, size in SIZES.items():
        one = size._replace(is_one_request=True, bad_per_s=ONE_PER_S)
        for label, played in (
            (name, size),
            (f"{name}, nothing blocked", size._replace(is_guarded=False)),
            (f"{name}, one request", one),
            (
                f"{name}, one request, nothing blocked",
                one._replace(is_guarded=False),
            ),
        ):
            runs = [simulate_parts(played, seed) for seed in range(seeds)]
            figures[label] = _summary(runs)
            print(label, figures[label])
    digests_us = {
        f"{size} bytes": _digest_us(size) for size in (1_000, 4_194_304)
    }
    lookups_us = {
        "none blocked": _lookup_us(0),
        "256 blocked": _lookup_us(256),
    }
    print(msgspec.json.encode([figures, lookups_us, digests_us]).decode())


def _summary(runs: list[PartFigures]) -> dict[str, list[float]]:
    """Return the median and the worst of each figure."""
    return {
        field: [
            round(median(values), 3),
            round(min(values) if field == "sound_whole" else max(values), 3),
        ]
        for field, values in zip(
            PartFigures._fields, zip(*runs, strict=True), strict=True
        )
    }


def _digest_us(size_bytes: int) -> float:
    """Return what the name of a request costs in microseconds."""
    body = bytes(size_bytes)
    content = RequestContent("club", b"POST", b"nest", b"/review/1", body)
    count = max(5, DIGESTED_BYTES // size_bytes)
    begin_s = time.perf_counter()
    for _ in range(count):
        request_name(content, b"k" * 32)
    return round((time.perf_counter() - begin_s) / count * 1e6, 2)


def _lookup_us(blocked: int) -> float:
    """Return what a request's look-ups and records cost in microseconds."""
    control = FakeControlPort(guild_configuration(), FakeLedger())
    control.configuration = control.configuration._replace(
        blocked_parts={
            f"part-{n}": BlockedPart(("club",)) for n in range(blocked)
        }
    )
    watch = PartWatch(
        UpstreamPool(1.0, 1.0), control, Metrics(), time.monotonic
    )
    begin_s = time.perf_counter()
    for _ in range(LOOKUPS):
        # At its arrival, at the gate, and before the trial is noted.
        for _ in range(3):
            watch.blocked("club", PARTS)
        watch.record_sound("club", PARTS)
    return round((time.perf_counter() - begin_s) / LOOKUPS * 1e6, 2)


__all__ = ["main"]
