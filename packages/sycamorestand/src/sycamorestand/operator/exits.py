"""Exit codes of ``sycactl`` and the errors that cause them.

Scripts branch on these codes, so their values must not change.
"""

from __future__ import annotations

from typing import Final

from sycamorestand_model.errors import SycamorestandError

DONE: Final = 0
INTERNAL: Final = 1
USAGE: Final = 2
FINDINGS: Final = 3
CONFLICT: Final = 4
REFUSED: Final = 5
UNREACHABLE: Final = 6
UNKNOWN_OUTCOME: Final = 7
WAITED_TOO_LONG: Final = 8
INTERRUPTED: Final = 130

EXIT_MEANINGS: Final = {
    DONE: "done",
    INTERNAL: "an internal error of sycactl",
    USAGE: "invalid flags, settings or files",
    FINDINGS: "the declarations have errors; nothing was changed",
    CONFLICT: "another change came first; nothing was changed",
    REFUSED: "key, role or request refused; nothing was changed",
    UNREACHABLE: "no control process could answer; nothing was changed",
    UNKNOWN_OUTCOME: "no answer to a change; send it again with its change id",
    WAITED_TOO_LONG: "accepted, but not seen in force everywhere in time",
    INTERRUPTED: "interrupted; a change that was sent may be committed",
}


class SycactlError(SycamorestandError):
    """Base class of the errors that end a command without success."""

    exit_code = INTERNAL
    code = "internal"


class UsageError(SycactlError):
    """Flags, settings or files of the operator are invalid."""

    exit_code = USAGE
    code = "usage"


class RequestRefused(SycactlError):
    """A control process refused the request."""

    exit_code = REFUSED
    code = "refused"


class Unreachable(SycactlError):
    """No control process answered, and none can have made a change."""

    exit_code = UNREACHABLE
    code = "unreachable"


class OutcomeLost(SycactlError):
    """A change was sent but its outcome is unknown; it may be committed."""

    exit_code = UNKNOWN_OUTCOME
    code = "unknown-outcome"


class WaitedTooLong(SycactlError):
    """A revision is committed but was not seen in force everywhere in time."""

    exit_code = WAITED_TOO_LONG
    code = "waited-too-long"


__all__ = [
    "CONFLICT",
    "DONE",
    "EXIT_MEANINGS",
    "FINDINGS",
    "INTERNAL",
    "INTERRUPTED",
    "OutcomeLost",
    "REFUSED",
    "RequestRefused",
    "SycactlError",
    "Unreachable",
    "UNKNOWN_OUTCOME",
    "UNREACHABLE",
    "USAGE",
    "UsageError",
    "WAITED_TOO_LONG",
    "WaitedTooLong",
]
