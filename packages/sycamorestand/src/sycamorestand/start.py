"""Entry point of ``sycamorestand``, which handles signals while loading.

Importing the program takes a third of a second, or seconds on a busy
machine. Python's default action for a SIGTERM in that time ends the process
by the signal, which a supervisor takes for a crash. So the handler is
installed before the other modules are imported.

SIGHUP is ignored: files of keys are read again when they change, all other
settings at the next start.
"""

from __future__ import annotations

import signal
import sys
from types import FrameType


def main() -> int:
    """Run one process and return its exit status.

    A SIGTERM that arrives before the role starts ends the process with
    status 0.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, _exit_on_sigterm)
    from sycamorestand.run import main as run

    return run()


def _exit_on_sigterm(signal_number: int, frame: FrameType | None) -> None:
    # The process serves no requests yet, so none have to be finished.
    # `sycamorestand.run` replaces this handler before the role starts.
    sys.exit(0)


if __name__ == "__main__":
    sys.exit(main())


__all__ = ["main"]
