"""The context that a command runs in, and the type of a command."""

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
        """Return a client of the control processes.

        Creating it reads the operator's key, so commands that need no key
        don't call this method.
        """
        return ControlClient(self.settings, self.output.notice)


# A command function returns an action, which runs the command and returns the
# exit code. So parsing the command line needs no settings and no connection.
Action = Callable[[Context], Awaitable[int]]


def new_change_id() -> str:
    """Return a unique id for a change."""
    return uuid.uuid4().hex


__all__ = ["Action", "Context", "new_change_id"]
