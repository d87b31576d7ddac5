"""Errors of the replicated state; all are faults, none is a refusal.

A refusal of an operator's change or of a caller's claim is an ordinary
answer and travels as a result. What is raised here means that bytes in
the log or in a snapshot cannot be read, on every replica alike.
"""

from __future__ import annotations

from sycamorestand_model.errors import SycamorestandError


class StateError(SycamorestandError):
    """Base of the errors of the replicated state."""


class UnknownCommand(StateError):
    """A command in the log has a code that this release does not know."""


class MalformedCommand(StateError):
    """A command cannot be written, or its fields cannot be read."""


class SnapshotUnreadable(StateError):
    """A snapshot cannot be read as the state that it should hold."""


__all__ = [
    "MalformedCommand",
    "SnapshotUnreadable",
    "StateError",
    "UnknownCommand",
]
