"""Talks to any control process, and to the next one on silence.

A change carries an id that the client has chosen. So it is sent again to
another control process when the first one gives no answer, and whichever
answers says whether it was accepted, once.
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
# Between two rounds over all control processes, when none could answer;
# about one election, so that a round does not run into the same one.
ROUND_PAUSE_S: Final = 0.5
CHANGE_STATUSES: Final = (200, 409, 422)
TRY_NEXT_CODES: Final = (NO_LEADER, BEHIND, OUTCOME_UNKNOWN)
# Errors before a byte of the request was written: nothing can have run.
NOT_SENT_ERRORS: Final = (httpcore.ConnectError, httpcore.ConnectTimeout)


class Reply(NamedTuple):
    """A status and its JSON body."""

    status: int
    body: Any


class _Attempt(NamedTuple):
    """What one control process answered, or why it did not."""

    reply: Reply | None
    reason: str = ""
    may_have_run: bool = False


class ControlClient:
    """Sends requests to the control processes of the settings.

    ``notice`` gets a line for each control process that was passed over.
    The one that answered last is asked first the next time.
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
        """Return the body of an answer to a question."""
        query = urlencode({k: v for k, v in fields.items() if v != ""})
        target = f"{path}?{query}" if query else path
        reply = await self._send("GET", target, b"", is_change=False)
        return _require_status(reply, (200,))

    async def post(self, path: str, body: dict[str, Any]) -> Any:
        """Return the body of an answer to a question with a body."""
        content = msgspec.json.encode(body)
        reply = await self._send("POST", path, content, is_change=False)
        return _require_status(reply, (200,))

    async def change(self, path: str, body: dict[str, Any]) -> Any:
        """Send a change until its outcome is known, or say that it isn't.

        ``body`` holds a ``change_id``, which makes the resends safe.
        """
        content = msgspec.json.encode(body)
        reply = await self._send("POST", path, content, is_change=True)
        return _require_status(reply, CHANGE_STATUSES)

    async def _send(
        self, method: str, target: str, content: bytes, is_change: bool
    ) -> Reply:
        may_have_run = False
        reasons: dict[str, str] = {}
        # The end is looked at between attempts only: cancelling one in
        # flight would forget that it may have run.
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
        text = "; ".join(f"{at}: {why}" for at, why in reasons.items())
        if is_change and may_have_run:
            raise OutcomeLost(f"no control process gave the outcome: {text}")
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
            return _Attempt(None, f"broke off: {_error_text(error)}", True)
        except (msgspec.DecodeError, UnicodeDecodeError):
            return _Attempt(None, "answered no JSON", may_have_run=True)
        return _classify(reply)

    async def _exchange(
        self, address: str, method: str, target: str, content: bytes
    ) -> Reply:
        # A new connection each time: a kept one may have gone silent.
        async with httpcore.AsyncConnectionPool(
            ssl_context=self._tls_context
        ) as pool:
            headers = [
                ("authorization", f"Bearer {self._key}"),
                ("content-type", "application/json"),
            ]
            # Shorter than the attempt, so that an address that swallows
            # packets counts as "nothing sent" and not as "may have run".
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
                        raise httpcore.ProtocolError("the answer is too long")
                return Reply(response.status, msgspec.json.decode(body))

    def _prefer(self, address: str) -> None:
        self._addresses.remove(address)
        self._addresses.insert(0, address)


def _classify(reply: Reply) -> _Attempt:
    """Tell an answer from a control process that cannot answer now."""
    code = _error_object(reply).get("code", "")
    if code in TRY_NEXT_CODES:
        return _Attempt(None, code, may_have_run=code == OUTCOME_UNKNOWN)
    if reply.status >= 500:
        return _Attempt(None, f"status {reply.status}", may_have_run=True)
    return _Attempt(reply)


def _raise_if_outcome_lost(reply: Reply, may_have_run: bool) -> None:
    """Keep an error from hiding that an earlier attempt may have run.

    A second control process may refuse what the first one has committed,
    for instance as its copy of the operators' keys is old.
    """
    if may_have_run and _error_object(reply):
        raise OutcomeLost(
            "an earlier attempt may have run, and now: "
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
            f"cannot read ca file {settings.ca_file}: {error}"
        ) from error


__all__ = ["ControlClient", "Reply"]
