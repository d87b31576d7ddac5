"""Takes one safeguard out of a process of the system, before it runs.

The interpreter loads this module by its name from a folder that a soak
puts on the path of the processes that it starts, and only there. Each
mutant breaks one promise; a soak that finds nothing then checks nothing.
"""

from __future__ import annotations

from collections.abc import Callable
import os
import secrets
import sys
import threading
from typing import Any
from typing import Final

# Well above a restart's time, so that the process serves in between.
LIVES_S: Final = 6.0
VARIABLE: Final = "SYCAMORESTAND_SOAK_MUTANT"


def use_withdrawn_versions() -> None:
    """Offer a version whatever the configuration says of it."""
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
    """Go on with the configuration that is held, whatever its age."""
    from sycamorestand_entry.control.link import ControlLink

    _replace(ControlLink, "lease_remaining_s", lambda self: 2.0)


def pin_no_session() -> None:
    """Choose a session's version anew for each request."""
    from sycamorestand_entry import planning

    real: Any = planning.Pin

    def pin(customer: str, profile: str, session: str, *rest: Any) -> Any:
        return real(customer, profile, secrets.token_hex(8), *rest)

    _replace(planning, "Pin", pin)


def charge_another_key() -> None:
    """Charge each request under a key that nobody sent."""
    from sycamorestand_entry import billing

    real = billing.charge_once

    async def charge_once(context: Any, charge: Any) -> int:
        key = f"{charge.request_key}-x"
        return await real(context, charge._replace(request_key=key))

    _replace(billing, "charge_once", charge_once)


def claim_nothing() -> None:
    """Dispatch a call that must not be repeated without its claim."""
    from sycamorestand_entry import claims

    async def take_claim(context: Any, claim: Any) -> None:
        return None

    _replace(claims, "take_claim", take_claim)


def lose_the_end() -> None:
    """Leave out the last character of what a caller is sent."""
    from sycamorestand_entry.http_messages import Responder

    real = Responder.write

    async def write(self: Any, body: bytes) -> None:
        await real(self, body.replace(b'"content":"', b'"content":"!', 1))

    _replace(Responder, "write", write)


def say_not_run() -> None:
    """Tell the caller of any failure that its request has not run."""
    from sycamorestand_entry import errors

    for error in (errors.BackendFailed, errors.DeadlineExceeded):
        _replace(error, "default_run", "not_run")
    real: Any = errors.RequestError.__init__

    def init(self: Any, message: str, *rest: Any) -> None:
        real(self, message, *rest[:1], "not_run")

    _replace(errors.RequestError, "__init__", init)


def use_leaving_servers() -> None:
    """Take an announcement that a server leaves for a renewal."""
    from sycamorestand_entry.control.server_view import ServerView

    real = ServerView.servers

    def servers(self: Any) -> dict[str, Any]:
        kept = self.__dict__.setdefault("kept_by_mutant", {})
        kept.update(real(self))
        return {n: s._replace(leaving=False) for n, s in kept.items()}

    _replace(ServerView, "servers", servers)


def stop_at_once() -> None:
    """End with the signal of a planned stop, whatever runs."""
    from sycamorestand_entry.server import RunningEntry

    _replace(RunningEntry, "begin_stop", lambda self: os._exit(0))


def sync_nothing() -> None:
    """Acknowledge records that were never written."""
    from sycamorestand_consensus.storage import Storage

    _replace(Storage, "write", lambda self, records: None)


def end_by_itself() -> None:
    """End a few seconds after the start."""
    timer = threading.Timer(LIVES_S, os._exit, (3,))
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
    "sync-nothing": ("never reverts", sync_nothing),
    "end-by-itself": ("lives", end_by_itself),
}


def _replace(owner: object, name: str, value: object) -> None:
    assert hasattr(owner, name), f"{owner} has no {name} to take out"
    setattr(owner, name, value)


def _is_process_of_the_system() -> bool:
    return bool(sys.argv) and sys.argv[0].endswith("/sycamorestand")


if os.environ.get(VARIABLE):
    # The argument vector is not set yet where this module is loaded.
    sys.argv = sys.orig_argv[1:] or sys.argv
    if _is_process_of_the_system():
        MUTANTS[os.environ[VARIABLE]][1]()

__all__ = ["MUTANTS", "VARIABLE"]
