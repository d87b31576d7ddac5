"""Errors of the replicated state machines.

Refusing an operator's change or a caller's claim is not an error; the
machines return a refusal as a result. An error from this module means that
a command cannot be encoded, or that bytes in the log or in a snapshot
cannot be read, in which case every replica fails in the same way.
"""

from __future__ import annotations

from typing import Final

from sycamorestand_model.errors import SycamorestandError


class StateError(SycamorestandError):
    """Base class of the errors of the replicated state machines."""


class UnknownCommand(StateError):
    """A command in the log has a code that this release does not know."""


class MalformedCommand(StateError):
    """A command cannot be encoded, or its bytes cannot be decoded."""


class SnapshotUnreadable(StateError):
    """A snapshot cannot be decoded as the state that it should hold."""


# Errors that a process can have by itself. Any other error of a handler
# follows from the state and the command, so that every replica has it.
PROCESS_ERRORS: Final = (MemoryError, RecursionError, OSError)

__all__ = [
    "MalformedCommand",
    "PROCESS_ERRORS",
    "SnapshotUnreadable",
    "StateError",
    "UnknownCommand",
]
