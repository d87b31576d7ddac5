"""``dev/bench relay``: measure the cost of an entry's relay.

The fake engine, the load client and the measured entry each run in their own
process. The same client alternates between requests to the engine directly
and through the entry, so that noise of the machine affects both equally.
"""

from __future__ import annotations

import argparse
import json
import statistics
import subprocess
import sys
from typing import Any
from typing import Final
from typing import NamedTuple

MODULES: Final = "sycamorestand_bench.relay"
STREAMS: Final = 200
TOKENS: Final = 300
TOKEN_PAUSE_S: Final = 0.04
LATENCY_STREAMS: Final = 20
LATENCY_REPEATS: Final = 10
LATENCY_ROUNDS: Final = 5
OPEN_STREAMS: Final = 1000
GOALS: Final = {
    "cpu_us_per_token": 60.0,
    "added_first_token_p50_ms": 3.0,
    "added_first_token_p99_ms": 10.0,
    "peak_mb_1000_streams": 128.0,
}


class Child(NamedTuple):
    """A child process that answers each line with one line of JSON."""

    process: subprocess.Popen[str]

    def read(self) -> str:
        """Return the next line that the process prints.

        Raises ``RuntimeError`` if the process has closed its output.
        """
        assert self.process.stdout is not None
        line = self.process.stdout.readline()
        if not line:
            raise RuntimeError("a child process of the scenario ended early")
        return line.strip()

    def ask(self, line: str = "") -> Any:
        """Send a line and return the decoded answer."""
        assert self.process.stdin is not None
        self.process.stdin.write(line + "\n")
        self.process.stdin.flush()
        return json.loads(self.read())

    def stop(self) -> None:
        """Kill the process and wait for its end."""
        self.process.kill()
        self.process.wait()


def main(arguments: list[str]) -> int:
    """Print the figures as a table, and as JSON in the last line.

    Returns 0 if every goal is met and the entry does not use io_uring,
    otherwise 1.
    """
    parser = argparse.ArgumentParser(prog="dev/bench relay")
    parser.add_argument("--loop", default="asyncio")
    parser.add_argument("--relay", default="product")
    parser.add_argument("--streams", type=int, default=STREAMS)
    parser.add_argument("--no-memory", action="store_true")
    options = parser.parse_args(arguments)
    children: list[Child] = []
    try:
        figures = _measure(options, children)
    finally:
        for child in children:
            child.stop()
    missed = [name for name, goal in GOALS.items() if figures[name] > goal]
    if figures["io_uring"]:
        missed.append("io_uring")
    for name, value in figures.items():
        goal = f"goal {GOALS[name]:g}" if name in GOALS else ""
        print(f"{name:32} {value!s:>12}  {goal}")
    print(json.dumps({**figures, "goals_missed": missed}))
    return 1 if missed else 0


def start_child(children: list[Child], module: str, *arguments: str) -> Child:
    """Start a module as a child process and add it to ``children``.

    The caller stops all processes in ``children``.
    """
    process = subprocess.Popen(
        [sys.executable, "-m", f"{MODULES}.{module}", *arguments],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    child = Child(process)
    children.append(child)
    return child


def _measure(
    options: argparse.Namespace, children: list[Child]
) -> dict[str, Any]:
    engine = start_child(children, "engine_process", str(TOKEN_PAUSE_S))
    engine_address = engine.read()
    client = start_child(children, "client_process")
    entry = start_child(
        children,
        "entry_process",
        options.loop,
        options.relay,
        engine_address,
    )
    entry_address = entry.read()
    _request_streams(client, entry_address, "large", 20, 20)
    figures: dict[str, Any] = {"loop": options.loop, "relay": options.relay}
    figures |= _measure_cpu(client, entry, entry_address, options.streams)
    figures |= _measure_latency(client, engine_address, entry_address)
    figures["io_uring"] = entry.ask()["io_uring"]
    figures["peak_mb_1000_streams"] = 0.0
    if not options.no_memory:
        figures |= _measure_memory(client, entry, entry_address)
    return figures


def _measure_cpu(
    client: Child, entry: Child, address: str, streams: int
) -> dict[str, Any]:
    before = entry.ask()
    result = _request_streams(client, address, "large", streams, TOKENS)
    used_s = entry.ask()["cpu_s"] - before["cpu_s"]
    tokens = result["tokens"]
    expected = streams * TOKENS
    if tokens != expected or result["whole"] != streams:
        raise RuntimeError(f"{tokens} of {expected} tokens arrived")
    return {
        "cpu_us_per_token": round(used_s / tokens * 1e6, 1),
        "tokens_per_s": round(tokens / result["seconds"]),
        "whole_answers": result["whole"],
    }


def _measure_latency(
    client: Child, engine_address: str, entry_address: str
) -> dict[str, float]:
    direct: list[float] = []
    relayed: list[float] = []
    for _ in range(LATENCY_REPEATS):
        for address, model, first_token_ms in (
            (engine_address, "nest-large@1", direct),
            (entry_address, "large", relayed),
        ):
            result = _request_streams(
                client,
                address,
                model,
                LATENCY_STREAMS,
                2,
                rounds=LATENCY_ROUNDS,
                pause_s=0.01,
            )
            first_token_ms += result["first_ms"]
    figures: dict[str, float] = {"first_token_samples": len(relayed)}
    for percent in (50, 99):
        direct_ms = _percentile(direct, percent)
        relayed_ms = _percentile(relayed, percent)
        figures[f"direct_first_token_p{percent}_ms"] = round(direct_ms, 2)
        added_ms = round(relayed_ms - direct_ms, 2)
        figures[f"added_first_token_p{percent}_ms"] = added_ms
    return figures


def _measure_memory(
    client: Child, entry: Child, address: str
) -> dict[str, float]:
    result = _request_streams(
        client, address, "large", OPEN_STREAMS, 100, pause_s=0.002
    )
    if result["whole"] != OPEN_STREAMS:
        raise RuntimeError("some streams ended before their last token")
    return {"peak_mb_1000_streams": round(entry.ask()["peak_mb"], 1)}


def _request_streams(
    client: Child,
    address: str,
    model: str,
    streams: int,
    tokens: int,
    rounds: int = 1,
    pause_s: float = 0.0,
) -> Any:
    run = {
        "address": address,
        "model": model,
        "streams": streams,
        "tokens": tokens,
        "rounds": rounds,
        "pause_s": pause_s,
    }
    return client.ask(json.dumps(run))


def _percentile(values: list[float], percent: int) -> float:
    return statistics.quantiles(values, n=100, method="inclusive")[percent - 1]


__all__ = ["Child", "main", "start_child"]
