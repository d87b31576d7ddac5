"""The ``sycamorestand`` program from its first instruction on.

Loading takes from a third of a second to seconds on a busy machine. A planned
stop that came meanwhile ended the process by the signal, as if it had failed;
so the signal is handled before anything else is loaded.
"""

from __future__ import annotations

import signal
import sys
from types import FrameType


def main() -> int:
    """Run one process; a stop before it serves anybody ends it at once."""
    signal.signal(signal.SIGTERM, _exit_on_sigterm)
    from sycamorestand.run import main as run

    return run()


def _exit_on_sigterm(signal_number: int, frame: FrameType | None) -> None:
    # Nobody is served yet, so there is nothing to finish. Once there is, the
    # process handles the signal by itself.
    sys.exit(0)


if __name__ == "__main__":
    sys.exit(main())


__all__ = ["main"]
