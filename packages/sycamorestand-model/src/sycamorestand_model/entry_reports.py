"""Records that entries report: their addresses, samples and ratings."""

from __future__ import annotations

from typing import NamedTuple


class EntryAddress(NamedTuple):
    """An address where callers connect to an entry, and the entry's state.

    ``peer_address`` is where the system's other processes connect to it.
    ``unreached`` are the services and models none of whose backend servers
    the entry reaches. ``forwarding_key`` is the key with which other entries
    sign the requests that this one shall forward for them; it must not leave
    the system. New fields must come last, as fields are encoded by their
    position.
    """

    vm: str
    data_centre: str
    host: str
    port: int
    stopping: bool = False
    load: float = 0.0
    peer_address: str = ""
    unreached: tuple[str, ...] = ()
    forwarding_key: bytes = b""
    region: str = ""


class ServerOutcomes(NamedTuple):
    """How many requests to a server failed and succeeded since the last."""

    failed: int
    ok: int


class VersionSample(NamedTuple):
    """The result of one attempt on a version, for roll-outs and cascades.

    ``rating`` is 0 to 1, or None if the attempt was not rated.
    ``request_class`` is the class for which the cascade keeps statistics.
    A ``refused`` attempt was answered with a status that blames the caller,
    as a version also does that takes sound requests for wrong ones.
    """

    version: str
    request_class: str
    failed: bool
    first_token_ms: float
    total_ms: float
    rating: float | None
    cost_micros: int
    escalated: bool = False
    refused: bool = False


class RatingCount(NamedTuple):
    """The ratings of a version and a class since the last message.

    If ``escalated`` is true, the counts are of requests that an earlier
    step of the cascade failed. These are harder, so a version's pass rate
    is estimated separately for them.
    """

    version: str
    request_class: str
    escalated: bool
    passed: int
    rated: int


__all__ = ["EntryAddress", "RatingCount", "ServerOutcomes", "VersionSample"]
