"""Disable one safeguard in a process of the system, before it starts.

The interpreter imports this module by its name: a soak puts the folder on
``PYTHONPATH`` of the processes that it starts. Each mutant breaks one
promise, so a soak that has no findings with a mutant has a faulty check.
"""

from __future__ import annotations

from collections.abc import Callable
import contextlib
import os
from pathlib import Path
import secrets
import sys
import threading
from typing import Any
from typing import Final

# Longer than the start of the system, so that the process ends under load.
LIFETIME_S: Final = 25.0
# Enough to remove records from a log: a change takes a few hundred bytes.
REMOVED_BYTES: Final = 400
MUTANT_VARIABLE: Final = "SYCAMORESTAND_SOAK_MUTANT"


def use_withdrawn_versions() -> None:
    """Offer every version, also one that the configuration withdraws."""
    from sycamorestand_entry import gate
    from sycamorestand_entry import planning

    def offered(
        in_force: Any, identity: str, in_session: bool = False
    ) -> bool:
        return True

    _replace(gate, "version_is_offered", offered)
    if hasattr(planning, "version_is_offered"):
        _replace(planning, "version_is_offered", offered)


def keep_a_lease_for_ever() -> None:
    """Report a valid lease whatever the age of the configuration."""
    from sycamorestand_entry.control.link import ControlLink

    _replace(ControlLink, "lease_remaining_s", lambda self: 2.0)


def pin_no_session() -> None:
    """Pin each request to a new session, so that its version may change."""
    from sycamorestand_entry import planning

    real: Any = planning.Pin

    def pin(customer: str, session: str, *rest: Any) -> Any:
        return real(customer, secrets.token_hex(8), *rest)

    _replace(planning, "Pin", pin)


def charge_another_key() -> None:
    """Charge each request under a request key that no caller sent."""
    from sycamorestand_entry import billing

    real = billing.charge_once

    async def charge_once(context: Any, charge: Any) -> int:
        key = f"{charge.request_key}-x"
        return await real(context, charge._replace(request_key=key))

    _replace(billing, "charge_once", charge_once)


def claim_nothing() -> None:
    """Dispatch a non-repeatable call although another entry has its claim."""
    from sycamorestand_entry import claims
    from sycamorestand_entry.errors import RequestError

    real = claims.take_claim

    async def take_claim(context: Any, claim: Any) -> None:
        with contextlib.suppress(RequestError):
            await real(context, claim)

    _replace(claims, "take_claim", take_claim)
    from sycamorestand_entry.claimed_call import ClaimedCall

    # The answer to the dispatch record also refuses an entry without a
    # claim.
    _replace(ClaimedCall, "_holds", lambda self, result: True)


def lose_the_end() -> None:
    """Insert a wrong character into the answer that a caller gets."""
    from sycamorestand_entry.http_messages import Responder

    real = Responder.write

    async def write(self: Any, body: bytes) -> None:
        await real(self, body.replace(b'"content":"', b'"content":"!', 1))

    _replace(Responder, "write", write)


def say_not_run() -> None:
    """Report every failed request to its caller as not run."""
    from sycamorestand_entry.errors import RequestError

    real: Any = RequestError.__init__

    def init(self: Any, message: str, *rest: Any, **named: Any) -> None:
        real(self, message, *rest, **named)
        self.run = "not_run"

    _replace(RequestError, "__init__", init)


def use_leaving_servers() -> None:
    """Keep using servers that have announced that they leave."""
    from sycamorestand_entry.control.server_view import ServerView

    real = ServerView.servers

    def servers(self: Any) -> dict[str, Any]:
        kept = self.__dict__.setdefault("kept_by_mutant", {})
        kept.update(real(self))
        return {n: s._replace(leaving=False) for n, s in kept.items()}

    _replace(ServerView, "servers", servers)


def stop_at_once() -> None:
    """End at once on the signal of a planned stop, with requests running."""
    from sycamorestand_entry.server import RunningEntry

    _replace(RunningEntry, "begin_stop", lambda self: os._exit(0))


def forget_the_newest() -> None:
    """Cut the last records off each log at every start."""
    folder = os.environ.get("SYCAMORESTAND_DATA_FOLDER", "")
    segments = sorted(Path(folder).rglob("log-*.seg")) if folder else []
    for group in {path.parent for path in segments}:
        newest = max(path for path in segments if path.parent == group)
        kept_bytes = newest.stat().st_size - REMOVED_BYTES
        if kept_bytes > REMOVED_BYTES:
            os.truncate(newest, kept_bytes)


def tell_of_no_end() -> None:
    """Tell control of no server that ended."""
    from sycamorestand_entry.part_watch import PartWatch

    _replace(PartWatch, "_report_end", lambda self, *rest: None)


def try_each_second() -> None:
    """Try each blocked part and request each second, without end."""
    from sycamorestand_decisions import part_trials
    from sycamorestand_state import blocked_parts

    _replace(blocked_parts, "MAX_TRIALS", sys.maxsize)
    _replace(part_trials, "max_trials", lambda part: sys.maxsize)
    _replace(part_trials, "trial_pause_s", lambda part, block: 1.0)


def keep_all_trailers() -> None:
    """Keep trailers, however many come, as fields of the head."""
    from sycamorestand_entry import upstream
    from sycamorestand_peer import http_connection

    _replace(upstream, "MAX_FRAMING_BYTES", sys.maxsize)
    _replace(http_connection, "MAX_FRAMING_BYTES", sys.maxsize)
    protocol = http_connection.HttpProtocol

    def on_header(self: Any, name: bytes, value: bytes) -> None:
        self._headers.append((name.lower(), value))

    _replace(protocol, "on_header", on_header)
    _replace(protocol, "_cost_bytes", lambda self: 0)


def charge_nothing() -> None:
    """Let clients' connections keep what they send, at no charge."""
    from sycamorestand_peer.http_connection import HttpProtocol

    _replace(HttpProtocol, "_cost_bytes", lambda self: 0)


def end_by_itself() -> None:
    """End the process `LIFETIME_S` after its start."""
    timer = threading.Timer(LIFETIME_S, os._exit, (3,))
    timer.daemon = True
    timer.start()


MUTANTS: Final[dict[str, tuple[str, Callable[[], None]]]] = {
    "use-withdrawn-versions": ("withdrawn version", use_withdrawn_versions),
    "keep-a-lease-for-ever": ("in force everywhere", keep_a_lease_for_ever),
    "pin-no-session": ("session keeps its version", pin_no_session),
    "charge-another-key": ("billed once", charge_another_key),
    "claim-nothing": ("at most once", claim_nothing),
    "lose-the-end": ("whole answer", lose_the_end),
    "say-not-run": ("not run is true", say_not_run),
    "use-leaving-servers": ("leaving server", use_leaving_servers),
    "stop-at-once": ("planned stop", stop_at_once),
    "forget-the-newest": ("never reverts", forget_the_newest),
    "tell-of-no-end": ("requests that end engines", tell_of_no_end),
    "try-each-second": ("requests that end engines", try_each_second),
    "keep-all-trailers": ("bounded", keep_all_trailers),
    "charge-nothing": ("bounded", charge_nothing),
    "end-by-itself": ("lives", end_by_itself),
}


def _replace(owner: object, name: str, value: object) -> None:
    assert hasattr(owner, name), f"{owner} has no {name} to replace"
    setattr(owner, name, value)


def _is_process_of_the_system() -> bool:
    return bool(sys.argv) and sys.argv[0].endswith("/sycamorestand")


if os.environ.get(MUTANT_VARIABLE):
    # The interpreter has not set sys.argv when it imports this module.
    sys.argv = sys.orig_argv[1:] or sys.argv
    if _is_process_of_the_system():
        MUTANTS[os.environ[MUTANT_VARIABLE]][1]()

__all__ = ["MUTANTS", "MUTANT_VARIABLE"]
