"""Errors of the control process."""

from __future__ import annotations

from sycamorestand_model.errors import SycamorestandError


class ControlError(SycamorestandError):
    """Base of errors of the control process."""


class NoLeader(ControlError):
    """No leader could be reached in time; nothing is known to have run."""


class OutcomeUnknown(ControlError):
    """A proposal may or may not be committed; resend it with its id."""


class StartRefused(ControlError):
    """The process cannot start with these settings and this folder."""


__all__ = ["ControlError", "NoLeader", "OutcomeUnknown", "StartRefused"]
