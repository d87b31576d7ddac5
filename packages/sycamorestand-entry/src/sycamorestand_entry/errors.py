"""What an entry answers when it refuses a request or could not finish it.

Each class is one stable code. ``run`` says what is known about the
request: ``not_run`` is only claimed where no byte of it can have reached
a backend server, or where the server itself said that it did not run it.
"""

from __future__ import annotations

from typing import ClassVar
from typing import Literal

from sycamorestand_model.errors import SycamorestandError

Run = Literal["not_run", "ran", "unknown"]


class RequestError(SycamorestandError):
    """Base of every refusal that a caller or a backend server can see."""

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


class InternalError(RequestError):
    """A fault of the entry itself; the request may have run."""

    default_run = "unknown"


class BadRequest(RequestError):
    """The request cannot be understood."""

    status = 400
    code = "bad_request"


class RequestKeyMissing(BadRequest):
    """The call must not be repeated and has no request key."""

    code = "request_key_missing"


class Unauthorised(RequestError):
    """No key, or a key that nobody has."""

    status = 401
    code = "unauthorised"


class NotAllowed(RequestError):
    """The customer may not use this profile, service or version."""

    status = 403
    code = "not_allowed"


class SessionNotAllowed(NotAllowed):
    """The customer's list no longer has the version of the session."""

    code = "session_version_not_allowed"


class UnknownPath(RequestError):
    """No interface has this path."""

    status = 404
    code = "unknown_path"


class UnknownMethod(RequestError):
    """The interface does not take this method."""

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
    """The caller did not send the rest of its request."""

    status = 408
    code = "request_timeout"


class SessionWithdrawn(RequestError):
    """The version that the session keeps has been withdrawn."""

    status = 409
    code = "session_version_withdrawn"


class KeyReused(RequestError):
    """The request key came before with other content."""

    status = 409
    code = "request_key_reused"


class StillRunning(RequestError):
    """An earlier request with this key has not finished."""

    status = 409
    code = "still_running"
    default_run = "unknown"


class OutcomeUnknown(RequestError):
    """Whether an earlier attempt ran cannot be found out by waiting."""

    status = 409
    code = "outcome_unknown"
    default_run = "unknown"


class AnswerNotKept(RequestError):
    """The request ran and its answer was too large to be recorded."""

    status = 409
    code = "answer_not_kept"
    default_run = "ran"


class RequestKeyExpired(RequestError):
    """The key is older than the ledger's retention."""

    status = 409
    code = "request_key_expired"
    default_run = "unknown"


class BodyTooLarge(RequestError):
    """The body is over the limit."""

    status = 413
    code = "body_too_large"


class HeadersTooLarge(RequestError):
    """The request line and headers are over the limit."""

    status = 431
    code = "headers_too_large"


class Overloaded(RequestError):
    """It cannot start in time; it is refused at once."""

    status = 429
    code = "overloaded"


class NoLease(RequestError):
    """The entry's configuration may be out of date."""

    status = 503
    code = "no_lease"


class NoVersion(RequestError):
    """Every allowed version is withdrawn or quarantined."""

    status = 503
    code = "no_version"


class NoBackendServer(RequestError):
    """No backend server that may take the request is there."""

    status = 503
    code = "no_backend_server"


class Stopping(RequestError):
    """This entry ends before the answer would; another one takes it."""

    status = 503
    code = "stopping"


class LedgerFailed(RequestError):
    """The ledger gave no answer in time."""

    status = 503
    code = "ledger_unavailable"


class BackendFailed(RequestError):
    """Backend servers broke off, stayed silent or sent garbage."""

    status = 502
    code = "backend_failed"
    default_run = "unknown"


class DeadlineExceeded(RequestError):
    """The caller's deadline passed before the answer was whole."""

    status = 504
    code = "deadline_exceeded"
    default_run = "unknown"


def correct_run_state(error: RequestError, may_have_run: bool) -> RequestError:
    """Return the error without a ``not_run`` that is not certain.

    A refusal knows of its own attempt only. Where an earlier attempt of
    the same request was written, the request may have run.
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
    "NoBackendServer",
    "NoLease",
    "NotAllowed",
    "NoVersion",
    "OutcomeUnknown",
    "Overloaded",
    "RequestError",
    "RequestKeyExpired",
    "RequestKeyMissing",
    "RequestTimeout",
    "Run",
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
