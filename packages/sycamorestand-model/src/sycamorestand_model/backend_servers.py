"""What backend servers announce about themselves."""

from __future__ import annotations

from typing import Literal
from typing import NamedTuple


class LoadReport(NamedTuple):
    """A backend server's own view of its load; it comes late.

    ``running`` and ``queued`` count requests; ``age_s`` is how old the
    report was when it was sent.
    """

    running: int = 0
    queued: int = 0
    tokens_per_s: float = 0.0
    age_s: float = 0.0


class Announcement(NamedTuple):
    """One announcement of a backend server, renewed while it lives.

    ``incarnation`` grows with every start of the server and ``sequence``
    with every announcement, so late and doubled ones are told apart.
    ``lease_s`` is how long it holds without renewal. ``versions`` are
    version identities for engines, service names for plain services.
    ``max_versions`` is how many an engine that takes load orders holds at
    once; 0 takes none. New fields go last: they travel by position.
    """

    name: str
    kind: Literal["engine", "service"]
    address: str
    data_centre: str
    incarnation: int
    sequence: int
    versions: tuple[str, ...]
    capacity: int = 16
    leaving: bool = False
    lease_s: float = 3.0
    checks_orders: bool = False
    honours_fencing: bool = False
    can_resume: bool = False
    can_cancel: bool = True
    honours_priority: bool = False
    load: LoadReport = LoadReport()
    max_versions: int = 0


def supersedes(new: Announcement, old: Announcement) -> bool:
    """Tell whether an announcement is newer than the one that is known."""
    return (new.incarnation, new.sequence) > (old.incarnation, old.sequence)


__all__ = ["Announcement", "LoadReport", "supersedes"]
