"""Run a scenario by its name: ``dev/bench NAME [options]``."""

from __future__ import annotations

import importlib
import pkgutil
import sys

from sycamorestand_bench import scenarios


def main(arguments: list[str]) -> int:
    """Run the scenario that the first argument names.

    The scenario gets the remaining arguments. Return its exit status, or 2
    where the name is missing or unknown.
    """
    names = sorted(m.name for m in pkgutil.iter_modules(scenarios.__path__))
    if not arguments or arguments[0] not in names:
        print(f"usage: dev/bench NAME [options]; NAME is one of {names}")
        return 2
    module = importlib.import_module(f"{scenarios.__name__}.{arguments[0]}")
    result: int = module.main(arguments[1:])
    return result


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
