"""Errors with which an entry refuses a request or reports its failure.

Each class stands for one stable code. ``run`` states whether the request
ran: it is ``not_run`` only if no byte of the request can have reached a
backend server, or if the server itself stated that it did not run it.
"""

from __future__ import annotations

from typing import ClassVar
from typing import Literal
from typing import TYPE_CHECKING

from sycamorestand_model.errors import SycamorestandError

if TYPE_CHECKING:
    from sycamorestand_decisions.admission import Refused

Run = Literal["not_run", "ran", "unknown"]


class RequestError(SycamorestandError):
    """Base class of errors that callers and backend servers receive.

    ``admission`` is the decision of admission control, if it refused the
    request.
    """

    status: ClassVar[int] = 500
    code: ClassVar[str] = "internal_error"
    default_run: ClassVar[Run] = "not_run"

    def __init__(
        self,
        message: str,
        retry_after_s: float | None = None,
        run: Run | None = None,
    ) -> None:
        super().__init__(message)
        self.message = message
        self.retry_after_s = retry_after_s
        self.run: Run = run or self.default_run
        self.admission: Refused | None = None


class InternalError(RequestError):
    """A fault of the entry itself; the request may have run."""

    default_run = "unknown"


class BadRequest(RequestError):
    """The request cannot be understood."""

    status = 400
    code = "bad_request"


class RequestKeyMissing(BadRequest):
    """A non-idempotent call has no request key."""

    code = "request_key_missing"


class Unauthorised(RequestError):
    """The key is missing or belongs to nobody."""

    status = 401
    code = "unauthorised"


class NotAllowed(RequestError):
    """The customer may not use this profile, service or version."""

    status = 403
    code = "not_allowed"


class SessionNotAllowed(NotAllowed):
    """The customer may no longer use the version of the session."""

    code = "session_version_not_allowed"


class UnknownPath(RequestError):
    """There is no interface at this path."""

    status = 404
    code = "unknown_path"


class UnknownMethod(RequestError):
    """The interface does not accept this method."""

    status = 405
    code = "method_not_allowed"


class UnknownProfile(RequestError):
    """No profile has the name in ``model``."""

    status = 404
    code = "unknown_profile"


class UnknownService(RequestError):
    """No plain service has this name."""

    status = 404
    code = "unknown_service"


class RequestTimeout(RequestError):
    """The caller did not send the rest of its request in time."""

    status = 408
    code = "request_timeout"


class SessionWithdrawn(RequestError):
    """The version that the session is pinned to has been withdrawn."""

    status = 409
    code = "session_version_withdrawn"


class KeyReused(RequestError):
    """The request key was used before with other content."""

    status = 409
    code = "request_key_reused"


class StillRunning(RequestError):
    """An earlier request with this key has not finished."""

    status = 409
    code = "still_running"
    default_run = "unknown"


class OutcomeUnknown(RequestError):
    """Whether an earlier attempt ran is unknown and will stay unknown."""

    status = 409
    code = "outcome_unknown"
    default_run = "unknown"


class AnswerNotKept(RequestError):
    """The request ran and its answer was too large to be recorded."""

    status = 409
    code = "answer_not_kept"
    default_run = "ran"


class RequestKeyExpired(RequestError):
    """The request key is older than the ledger's retention period."""

    status = 409
    code = "request_key_expired"
    default_run = "unknown"


class BodyTooLarge(RequestError):
    """The body exceeds the size limit."""

    status = 413
    code = "body_too_large"


class HeadersTooLarge(RequestError):
    """The request line and headers exceed the size limit."""

    status = 431
    code = "headers_too_large"


class Overloaded(RequestError):
    """The request could not start in time and is refused at once."""

    status = 429
    code = "overloaded"


class MemoryFull(RequestError):
    """The entry has no room for the request; another entry may have it."""

    status = 503
    code = "memory_full"


class NoLease(RequestError):
    """The entry's configuration may be out of date."""

    status = 503
    code = "no_lease"


class NoVersion(RequestError):
    """Every allowed version is withdrawn or quarantined."""

    status = 503
    code = "no_version"


class NoBackendServer(RequestError):
    """No backend server may take the request."""

    status = 503
    code = "no_backend_server"


class ServersLimited(NoBackendServer):
    """All servers name a limit, and none takes a request now."""

    code = "servers_limited"


class Stopping(RequestError):
    """This entry stops before the answer would end; another can serve it."""

    status = 503
    code = "stopping"


class PartBlocked(RequestError):
    """Servers have ended under requests with a part of this prompt."""

    status = 503
    code = "prompt_part_blocked"


class RequestBlocked(PartBlocked):
    """Servers have ended under this request each time that it came."""

    code = "request_blocked"


class LedgerFailed(RequestError):
    """The ledger gave no answer in time."""

    status = 503
    code = "ledger_unavailable"


class BackendFailed(RequestError):
    """Backend servers broke the connection, timed out or sent garbage."""

    status = 502
    code = "backend_failed"
    default_run = "unknown"


class DeadlineExceeded(RequestError):
    """The caller's deadline passed before the answer was complete."""

    status = 504
    code = "deadline_exceeded"
    default_run = "unknown"


def correct_run_state(error: RequestError, may_have_run: bool) -> RequestError:
    """Return the error, with ``not_run`` changed to ``unknown`` if needed.

    An error describes its own attempt only. If an earlier attempt of the
    same request was written, the request may have run all the same.
    """
    if may_have_run and error.run == "not_run":
        error.run = "unknown"
    return error


__all__ = [
    "AnswerNotKept",
    "BackendFailed",
    "BadRequest",
    "BodyTooLarge",
    "DeadlineExceeded",
    "HeadersTooLarge",
    "InternalError",
    "KeyReused",
    "LedgerFailed",
    "MemoryFull",
    "NoBackendServer",
    "NoLease",
    "NotAllowed",
    "NoVersion",
    "OutcomeUnknown",
    "Overloaded",
    "PartBlocked",
    "RequestBlocked",
    "RequestError",
    "RequestKeyExpired",
    "RequestKeyMissing",
    "RequestTimeout",
    "Run",
    "ServersLimited",
    "SessionNotAllowed",
    "SessionWithdrawn",
    "StillRunning",
    "Stopping",
    "correct_run_state",
    "Unauthorised",
    "UnknownMethod",
    "UnknownPath",
    "UnknownProfile",
    "UnknownService",
]
