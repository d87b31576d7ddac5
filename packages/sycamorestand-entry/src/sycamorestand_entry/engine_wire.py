"""What an engine is sent, and what its answer's head tells."""

from __future__ import annotations

from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

from sycamorestand_entry.errors import BadRequest
from sycamorestand_entry.errors import Overloaded
from sycamorestand_entry.errors import Run
from sycamorestand_entry.upstream import MalformedAnswer

if TYPE_CHECKING:
    from sycamorestand_entry.upstream import ResponseHead
    from sycamorestand_model.backend_servers import Announcement

OVERLOADED_RETRY_S: Final = 1.0
# The server itself says with this header that it did not run a request.
NOT_RUN_HEADER: Final = b"x-not-run"
RESUMED_HEADER: Final = b"x-resume-from"


class EngineWork(NamedTuple):
    """What is asked of an engine; ``body`` always asks for a stream.

    ``affinity_key`` leads to the server that may hold the state of the
    session or prefix; it is empty where there is none.
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
    affinity_key: str = ""
    in_session: bool = False


def encode_engine_request(
    work: EngineWork,
    server: Announcement,
    run_id: str,
    resume: bool,
    resume_from: int,
) -> bytes:
    """Return the bytes of a request, or of one for the rest of a run."""
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
    """Raise where the answer is not the stream that was asked for.

    A resumed stream must say from which event it goes on. An engine that
    knows nothing of resuming would begin again, and the caller would get
    the first tokens twice.
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
