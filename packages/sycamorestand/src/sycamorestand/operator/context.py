"""What a command gets when it runs, and what it is."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from typing import NamedTuple
import uuid

from sycamorestand.operator.client import ControlClient
from sycamorestand.operator.output import Output
from sycamorestand.operator.settings import Settings


class Context(NamedTuple):
    """The settings and the output of one run of ``sycactl``."""

    settings: Settings
    output: Output

    def client(self) -> ControlClient:
        """Return a client; only commands that need a key read it."""
        return ControlClient(self.settings, self.output.notice)


# The command line is parsed into an action, which is then run and gives
# the exit code. So parsing needs no settings and no connection.
Action = Callable[[Context], Awaitable[int]]


def new_change_id() -> str:
    """Return an id that no other change has."""
    return uuid.uuid4().hex


__all__ = ["Action", "Context", "new_change_id"]
