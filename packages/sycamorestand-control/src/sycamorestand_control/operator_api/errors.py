"""Error answers of the operators' API, with stable codes."""

from __future__ import annotations

from typing import Final

from sycamorestand_model.errors import SycamorestandError
from sycamorestand_model.findings import Finding

UNAUTHENTICATED: Final = "unauthenticated"
FORBIDDEN: Final = "forbidden"
UNKNOWN_PATH: Final = "unknown-path"
UNKNOWN_SUBJECT: Final = "unknown-subject"
METHOD_NOT_ALLOWED: Final = "method-not-allowed"
BODY_TOO_LARGE: Final = "body-too-large"
BODY_TOO_SLOW: Final = "body-too-slow"
MALFORMED_JSON: Final = "malformed-json"
INVALID_REQUEST: Final = "invalid-request"
NO_LEADER: Final = "no-leader"
NO_ROOM: Final = "no-room"
BEHIND: Final = "behind"
OUTCOME_UNKNOWN: Final = "outcome-unknown"
INTERNAL_ERROR: Final = "internal-error"


class ApiError(SycamorestandError):
    """Raised to answer a request with an error status and body.

    Programs may rely on ``code``, which is stable. The message is for
    people.
    """

    def __init__(
        self,
        status: int,
        code: str,
        message: str,
        findings: tuple[Finding, ...] = (),
        retry_after_s: int = 0,
        leader_address: str = "",
    ) -> None:
        super().__init__(message)
        self.status = status
        self.code = code
        self.findings = findings
        self.retry_after_s = retry_after_s
        self.leader_address = leader_address


__all__ = [
    "ApiError",
    "BEHIND",
    "BODY_TOO_LARGE",
    "BODY_TOO_SLOW",
    "FORBIDDEN",
    "INTERNAL_ERROR",
    "INVALID_REQUEST",
    "MALFORMED_JSON",
    "METHOD_NOT_ALLOWED",
    "NO_LEADER",
    "NO_ROOM",
    "OUTCOME_UNKNOWN",
    "UNAUTHENTICATED",
    "UNKNOWN_PATH",
    "UNKNOWN_SUBJECT",
]
