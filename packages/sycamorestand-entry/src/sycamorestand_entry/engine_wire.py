"""The HTTP request to an engine, and the check of its response head."""

from __future__ import annotations

from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

from sycamorestand_entry.errors import BadRequest
from sycamorestand_entry.errors import Overloaded
from sycamorestand_entry.errors import Run
from sycamorestand_entry.upstream import MalformedAnswer

if TYPE_CHECKING:
    from sycamorestand_entry.request_parts import RequestParts
    from sycamorestand_entry.upstream import ResponseHead
    from sycamorestand_model.backend_servers import Announcement

OVERLOADED_RETRY_S: Final = 1.0
# With this header a server states that it did not run the request.
NOT_RUN_HEADER: Final = b"x-not-run"
RESUMED_HEADER: Final = b"x-resume-from"


class EngineWork(NamedTuple):
    """A request to an engine; its ``body`` always requests a stream.

    ``affinity_key`` selects the server that may have cached the state of
    the session or prefix; it is empty if the request has neither. ``parts``
    are the names by which control knows the caller's request.
    """

    customer: str
    weight: float
    profile: str
    version: str
    request_key: str
    body: bytes
    priority: str
    deadline_at_s: float
    expected_s: float
    parts: RequestParts
    affinity_key: str = ""
    in_session: bool = False


def encode_engine_request(
    work: EngineWork,
    server: Announcement,
    run_id: str,
    resume: bool,
    resume_from: int,
) -> bytes:
    """Return the bytes of a request.

    With ``resume`` it requests the rest of the run ``run_id``, from the
    event with index ``resume_from``.
    """
    lines = [
        "POST /v1/chat/completions HTTP/1.1",
        f"Host: {server.address}",
        "Content-Type: application/json",
        f"Content-Length: {len(work.body)}",
        f"X-Request-Key: {work.request_key}",
        f"X-Customer: {work.customer}",
        f"X-Run: {run_id}",
    ]
    if server.honours_priority:
        lines.append(f"X-Priority: {work.priority}")
    if work.affinity_key:
        lines.append(f"X-Prefix-Key: {work.affinity_key}")
    if resume:
        lines.append(f"X-Resume-Run: {run_id}")
        lines.append(f"X-Resume-From: {resume_from}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + work.body


def check_head(head: ResponseHead, resumed_at: int | None = None) -> None:
    """Raise an error if the response is not the requested stream.

    A resumed stream must name the event that it continues from. An engine
    that does not support resuming would start from the beginning, and the
    caller would get the first tokens twice.
    """
    if head.status == 200:
        if resumed_at is not None:
            resumed_from = head.headers.get(RESUMED_HEADER, b"")
            if resumed_from != b"%d" % resumed_at:
                raise MalformedAnswer("it resumed from another event")
        content_type = head.headers.get(b"content-type", b"")
        if content_type.startswith(b"text/event-stream"):
            return
        raise MalformedAnswer("its answer is no event stream")
    if head.status in (429, 503):
        not_run = NOT_RUN_HEADER in head.headers
        run: Run = "not_run" if not_run else "unknown"
        raise Overloaded(
            "the backend servers are overloaded", OVERLOADED_RETRY_S, run
        )
    if 400 <= head.status < 500:
        raise BadRequest(
            f"the engine refused with status {head.status}", run="unknown"
        )
    raise MalformedAnswer(f"it answered with status {head.status}")


__all__ = [
    "check_head",
    "encode_engine_request",
    "EngineWork",
    "NOT_RUN_HEADER",
]
