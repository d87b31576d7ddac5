"""Settings of one entry process."""

from __future__ import annotations

from typing import NamedTuple


class EntrySettings(NamedTuple):
    """What an entry process is told at its start.

    ``address_ttl_s`` is how long callers may keep an address answer, and
    ``address_spread_s`` how long other entries may still hand out this
    one after it began to stop; a planned stop goes on accepting for both.
    ``backend_key_hash`` is the salted hash of the key that backend servers
    announce with.
    ``silent_idle_s`` is how long a connection may have been idle and
    still carry a request that must not be repeated.
    """

    vm: str
    data_centre: str
    host: str = "127.0.0.1"
    port: int = 0
    backend_key_hash: str = ""
    rating_url: str = ""
    address_ttl_s: float = 15.0
    address_spread_s: float = 2.0
    keep_alive_s: int = 5
    connect_timeout_s: float = 1.0
    first_byte_timeout_s: float = 5.0
    chunk_gap_s: float = 5.0
    silent_idle_s: float = 1.0
    pool_idle_s: float = 30.0
    rating_timeout_s: float = 0.5
    late_answer_s: float = 60.0
    ledger_timeout_s: float = 5.0
    max_body_bytes: int = 4 * 1024 * 1024
    max_header_bytes: int = 32 * 1024
    max_answer_bytes: int = 8 * 1024 * 1024
    max_recorded_answer_bytes: int = 64 * 1024


__all__ = ["EntrySettings"]
