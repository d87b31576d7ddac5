"""Load of backend servers, from their answers and from all entries."""

from __future__ import annotations

from typing import NamedTuple


class LoadHeader(NamedTuple):
    """The load that a server states in the head of an answer.

    ``running`` and ``waiting`` count requests of all entries, ``slots`` is
    how many it runs at once. ``slowness`` is how long work takes on its
    machine now, as a multiple of the usual time; 0.0 if it is not reported.
    """

    running: int
    waiting: int
    slots: int
    slowness: float = 0.0


class EntryLoad(NamedTuple):
    """What one entry knows of one server.

    ``header`` is the newest load that the server stated, None if there is
    none, and ``age_s`` its age. ``requests`` and ``tokens`` are the entry's
    own work in flight there; tokens are those of prompts and answers.
    """

    header: LoadHeader | None
    age_s: float
    requests: int
    tokens: int


class SharedLoad(NamedTuple):
    """What all entries together know of one server.

    ``requests`` and ``tokens`` are sums over the entries. The newest
    ``header`` of any of them is ``age_s`` old.
    """

    header: LoadHeader | None
    age_s: float
    requests: int
    tokens: int


class ObservedLoad(NamedTuple):
    """What an entry knows of one server when it chooses one.

    ``header`` is the newest load that the server stated to this or another
    entry. ``usual_slowness`` is its slowness apart from short disturbances,
    0.0 if it is not reported. ``own_requests`` and ``own_tokens`` are this
    entry's work in flight there, ``others_requests`` and ``others_tokens``
    that of all others; ``others_age_s`` is infinite while they are unknown.
    """

    header: LoadHeader | None
    header_age_s: float
    usual_slowness: float
    own_requests: int
    own_tokens: int
    others_requests: int
    others_tokens: int
    others_age_s: float


__all__ = ["EntryLoad", "LoadHeader", "ObservedLoad", "SharedLoad"]
