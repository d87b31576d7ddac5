"""``dev/quickstart``: run a whole system through roll-out, loss and stop."""

from __future__ import annotations

import json
from pathlib import Path
import tempfile
from typing import Any
from typing import Final

import anyio
import defopt

from sycamorestand_bench.quickstart.checks import MUST_BE_ZERO
from sycamorestand_bench.quickstart.run import run_quickstart

EXAMPLES: Final = Path("examples")


def main(arguments: list[str]) -> int:
    """Run the quickstart; return 0 if all figures in `MUST_BE_ZERO` are 0."""
    result: int = defopt.run(quickstart, argv=arguments)
    return result


def quickstart(
    *, requests: int = 400, seed: int = 1, keep: bool = False
) -> int:
    """Start three VMs on loopback and check every guarantee.

    :param requests: minimum number of requests
    :param seed: seed of the mix of requests
    :param keep: print the path of the folder with logs and data
    """
    folder = Path(tempfile.mkdtemp(prefix="sycamorestand-"))
    figures = anyio.run(run_quickstart, EXAMPLES, folder, requests, seed)
    _print_table(figures)
    if keep:
        print(f"kept: {folder}")
    print(json.dumps(figures))
    return 1 if any(figures[name] for name in MUST_BE_ZERO) else 0


def _print_table(figures: dict[str, Any]) -> None:
    for name, value in figures.items():
        note = "must be 0" if name in MUST_BE_ZERO else ""
        print(f"{name:32} {value!s:>12}  {note}")


__all__ = ["main"]
