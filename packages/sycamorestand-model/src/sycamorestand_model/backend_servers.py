"""Announcements of backend servers and their load reports."""

from __future__ import annotations

from typing import Literal
from typing import NamedTuple


class LoadReport(NamedTuple):
    """The load of a backend server, as the server itself reported it.

    The report is out of date when it arrives; ``age_s`` is its age when it
    was sent. ``running`` and ``queued`` count requests.
    """

    running: int = 0
    queued: int = 0
    tokens_per_s: float = 0.0
    age_s: float = 0.0


class Announcement(NamedTuple):
    """One announcement of a backend server, which the server renews.

    ``incarnation`` grows with each start of the server and ``sequence``
    with each announcement, so receivers recognise late and duplicate
    ones. ``lease_s`` is how long the announcement holds without renewal.
    ``versions`` holds version identities for an engine, and service names
    for a plain service. ``max_versions`` is how many versions an engine
    that accepts load orders holds at once; 0 means that it accepts none.
    ``cold_left_s`` is how much longer the server bears few requests.
    New fields must come last, as fields are encoded by their position.
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
    cold_left_s: float = 0.0
    region: str = ""


def supersedes(new: Announcement, old: Announcement) -> bool:
    """Return whether ``new`` is a later announcement of the server."""
    return (new.incarnation, new.sequence) > (old.incarnation, old.sequence)


__all__ = ["Announcement", "LoadReport", "supersedes"]
