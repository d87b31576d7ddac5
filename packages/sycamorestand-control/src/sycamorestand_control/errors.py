"""Errors of the control process."""

from __future__ import annotations

from sycamorestand_consensus.errors import ConsensusError
from sycamorestand_model.errors import SycamorestandError


class ControlError(SycamorestandError):
    """Base class of the errors of the control process."""


class NoLeader(ControlError):
    """No leader was reached in time, and no proposal is known to have run."""


class OutcomeUnknown(ControlError):
    """A proposal may have been committed; resend it with the same id."""


class CallerLeft(ControlError):
    """The caller of an order has closed its connection; nothing was done."""


class TurnTimeout(ControlError):
    """An order got no turn in time; nothing was done."""


class CommandRefused(ControlError):
    """The log takes no such command; nothing was changed, nor would it be."""


class TooFewVoters(ConsensusError):
    """The log has fewer voters than the losses to be survived need."""


class StartRefused(ControlError):
    """The process cannot start with its settings and data folder."""


__all__ = [
    "CallerLeft",
    "CommandRefused",
    "ControlError",
    "NoLeader",
    "OutcomeUnknown",
    "StartRefused",
    "TooFewVoters",
    "TurnTimeout",
]
