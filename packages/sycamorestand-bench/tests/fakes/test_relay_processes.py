"""Test the processes of the relay scenario."""

from __future__ import annotations

import json

from sycamorestand_bench.scenarios.relay import Child
from sycamorestand_bench.scenarios.relay import start_child


class TestMeasuredProcess:
    def test_relays_and_uses_no_io_uring(self) -> None:
        """Guard against measuring a loop that the product does not use.

        On asyncio's own loop, the entry relays complete streams and has no
        io_uring descriptor open.
        """
        children: list[Child] = []
        try:
            engine = start_child(children, "engine_process", "0.01").read()
            client = start_child(children, "client_process")
            entry = start_child(
                children, "entry_process", "asyncio", "product", engine
            )
            run = {
                "address": entry.read(),
                "model": "large",
                "streams": 2,
                "tokens": 5,
            }
            result = client.ask(json.dumps(run))
            assert (result["whole"], result["tokens"]) == (2, 10)
            assert entry.ask()["io_uring"] is False
        finally:
            for child in children:
                child.stop()
