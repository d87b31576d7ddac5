"""Send requests to a control process, and to the next one if it fails.

A change carries an id that the client has chosen, which makes it idempotent.
So if a control process gives no answer, the client sends the change again to
the next one. Whichever answers returns the outcome, and the change is applied
at most once.
"""

from __future__ import annotations

from collections.abc import Callable
import ssl
from typing import Any
from typing import Final
from typing import NamedTuple
from urllib.parse import urlencode

import anyio
import httpcore
import msgspec

from sycamorestand.operator.exits import OutcomeLost
from sycamorestand.operator.exits import RequestRefused
from sycamorestand.operator.exits import Unreachable
from sycamorestand.operator.exits import UsageError
from sycamorestand.operator.settings import read_key
from sycamorestand.operator.settings import Settings
from sycamorestand_control.operator_api.errors import BEHIND
from sycamorestand_control.operator_api.errors import NO_LEADER
from sycamorestand_control.operator_api.errors import OUTCOME_UNKNOWN
from sycamorestand_control.operator_api.routes import PREFIX

MAX_ANSWER_BYTES: Final = 67_108_864
# Pause in seconds between two rounds over all control processes if none could
# answer. It lasts about as long as an election, so that the next round doesn't
# fall into the same one.
ROUND_PAUSE_S: Final = 0.5
CHANGE_STATUSES: Final = (200, 409, 422)
TRY_NEXT_CODES: Final = (NO_LEADER, BEHIND, OUTCOME_UNKNOWN)
# Errors raised before any byte of the request was written, so the control
# process cannot have run it.
NOT_SENT_ERRORS: Final = (httpcore.ConnectError, httpcore.ConnectTimeout)


class Reply(NamedTuple):
    """The status and the decoded JSON body of a response."""

    status: int
    body: Any


class _Attempt(NamedTuple):
    """The reply of one control process, or the reason why there is none.

    ``may_have_run`` is true if the control process may have run the request.
    """

    reply: Reply | None
    reason: str = ""
    may_have_run: bool = False


class ControlClient:
    """Sends requests to the control processes of the settings, in turn.

    ``notice`` is called with a line for each control process that could not
    answer. The next request first goes to the one that answered last.
    """

    def __init__(
        self, settings: Settings, notice: Callable[[str], None]
    ) -> None:
        self._addresses = list(settings.controls)
        self._settings = settings
        self._notice = notice
        self._key = read_key(settings)
        self._tls_context = _tls_context(settings)

    async def ask(self, path: str, fields: dict[str, Any]) -> Any:
        """Send a query with GET and return the body of the reply.

        Fields with an empty value are left out of the query string.
        """
        query = urlencode({k: v for k, v in fields.items() if v != ""})
        target = f"{path}?{query}" if query else path
        reply = await self._send("GET", target, b"", is_change=False)
        return _require_status(reply, (200,))

    async def post(self, path: str, body: dict[str, Any]) -> Any:
        """Send a query with POST and return the body of the reply."""
        content = msgspec.json.encode(body)
        reply = await self._send("POST", path, content, is_change=False)
        return _require_status(reply, (200,))

    async def change(self, path: str, body: dict[str, Any]) -> Any:
        """Send a change and return the body of the reply, its outcome.

        ``body`` holds a ``change_id``, so that sending it again is safe.
        Raises `RequestRefused` if the change is refused, `OutcomeLost` if
        no control process gives the outcome of a change that may have run,
        and `Unreachable` if it cannot have run.
        """
        content = msgspec.json.encode(body)
        reply = await self._send("POST", path, content, is_change=True)
        return _require_status(reply, CHANGE_STATUSES)

    async def _send(
        self, method: str, target: str, content: bytes, is_change: bool
    ) -> Reply:
        may_have_run = False
        reasons: dict[str, str] = {}
        # The deadline is checked only between attempts. Cancelling an attempt
        # would lose the fact that it may have run.
        end_s = anyio.current_time() + self._settings.patience_s
        while True:
            for address in tuple(self._addresses):
                attempt = await self._attempt(address, method, target, content)
                if attempt.reply is not None:
                    _raise_if_outcome_lost(
                        attempt.reply, may_have_run and is_change
                    )
                    self._prefer(address)
                    return attempt.reply
                may_have_run |= attempt.may_have_run
                if reasons.get(address) != attempt.reason:
                    self._notice(f"{address}: {attempt.reason}")
                reasons[address] = attempt.reason
            if anyio.current_time() + ROUND_PAUSE_S >= end_s:
                break
            await anyio.sleep(ROUND_PAUSE_S)
        text = "; ".join(
            f"{control}: {cause}" for control, cause in reasons.items()
        )
        if is_change and may_have_run:
            raise OutcomeLost(
                f"no control process returned the outcome: {text}"
            )
        raise Unreachable(f"no control process could answer: {text}")

    async def _attempt(
        self, address: str, method: str, target: str, content: bytes
    ) -> _Attempt:
        try:
            with anyio.fail_after(self._settings.attempt_s):
                reply = await self._exchange(address, method, target, content)
        except NOT_SENT_ERRORS as error:
            return _Attempt(None, f"cannot be reached: {_error_text(error)}")
        except TimeoutError:
            return _Attempt(None, "silent", may_have_run=True)
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            return _Attempt(
                None, f"exchange failed: {_error_text(error)}", True
            )
        except (msgspec.DecodeError, UnicodeDecodeError):
            return _Attempt(None, "its answer is not JSON", may_have_run=True)
        return _classify(reply)

    async def _exchange(
        self, address: str, method: str, target: str, content: bytes
    ) -> Reply:
        # Each request uses a new connection, as the peer of a pooled one may
        # have become unreachable without an error.
        async with httpcore.AsyncConnectionPool(
            ssl_context=self._tls_context
        ) as pool:
            headers = [
                ("authorization", f"Bearer {self._key}"),
                ("content-type", "application/json"),
            ]
            # The connect timeout is shorter than the attempt's. So an address
            # that drops packets silently fails with a connect error, which
            # shows that the request was not sent.
            connect_s = self._settings.attempt_s / 2
            async with pool.stream(
                method,
                f"{address}{PREFIX}{target}",
                headers=headers,
                content=content,
                extensions={"timeout": {"connect": connect_s}},
            ) as response:
                body = bytearray()
                async for chunk in response.aiter_stream():
                    body += chunk
                    if len(body) > MAX_ANSWER_BYTES:
                        raise httpcore.ProtocolError("the answer is too large")
                return Reply(response.status, msgspec.json.decode(body))

    def _prefer(self, address: str) -> None:
        self._addresses.remove(address)
        self._addresses.insert(0, address)


def _classify(reply: Reply) -> _Attempt:
    """Return the attempt of a reply.

    The attempt holds no reply if the control process cannot answer now, so
    that the next one is tried.
    """
    code = _error_object(reply).get("code", "")
    if code in TRY_NEXT_CODES:
        return _Attempt(None, code, may_have_run=code == OUTCOME_UNKNOWN)
    if reply.status >= 500:
        return _Attempt(None, f"status {reply.status}", may_have_run=True)
    return _Attempt(reply)


def _raise_if_outcome_lost(reply: Reply, may_have_run: bool) -> None:
    """Raise `OutcomeLost` for an error if an earlier attempt may have run.

    A second control process may refuse a change that the first one has
    committed, for example because its copy of the operators' keys is old.
    """
    if may_have_run and _error_object(reply):
        raise OutcomeLost(
            "an earlier attempt may have run, but the last one failed: "
            f"{_error_object(reply).get('message', reply.status)}"
        )


def _require_status(reply: Reply, statuses: tuple[int, ...]) -> Any:
    error = _error_object(reply)
    if not error and reply.status in statuses:
        return reply.body
    findings = [
        f"{finding.get('key_path', '')}: {finding.get('message', '')}"
        for finding in error.get("findings", [])
    ]
    text = error.get("message", f"status {reply.status}")
    raise RequestRefused("; ".join([str(text), *findings]))


def _error_object(reply: Reply) -> dict[str, Any]:
    error = reply.body.get("error") if isinstance(reply.body, dict) else None
    return error if isinstance(error, dict) else {}


def _error_text(error: Exception) -> str:
    return str(error) or type(error).__name__


def _tls_context(settings: Settings) -> ssl.SSLContext:
    try:
        return ssl.create_default_context(cafile=settings.ca_file or None)
    except OSError as error:
        raise UsageError(
            f"cannot read CA file {settings.ca_file}: {error}"
        ) from error


__all__ = ["ControlClient", "Reply"]
