"""Settings of one entry process."""

from __future__ import annotations

from typing import NamedTuple
from typing import TYPE_CHECKING

from sycamorestand_decisions.arrivals import Allowance
from sycamorestand_decisions.retry import RETRY_SHARE
from sycamorestand_peer.key_file import no_keys

if TYPE_CHECKING:
    from sycamorestand_peer.key_file import KeySource


class EntrySettings(NamedTuple):
    """Settings that an entry process gets at its start.

    ``address_ttl_s`` is how long callers may cache an address answer, and
    ``address_spread_s`` how long other entries may still hand out this
    entry's address after it has begun to stop. During a planned stop the
    entry accepts connections for the sum of both. ``stop_limit_s`` limits
    the whole stop if something else ends the process after that time; zero
    means no limit.
    ``backend_key_hash`` is the salted hash of the key with which backend
    servers authenticate, and ``backend_keys`` returns further valid keys,
    which may change while the process runs.
    ``retry_share`` is the part of a retry that each success adds to the
    retry budget, and ``allowance`` what a service may receive beyond first
    arrivals.
    ``session_idle_s`` is how long after its last request a session may
    continue. ``silent_idle_s`` is how long a connection may have been idle
    and still carry a non-idempotent request.
    ``follows_declared_limits`` is whether the limits on heads and idle
    connections are those of the declarations, in place of ``keep_alive_s``,
    ``header_timeout_s`` and ``max_header_bytes``.
    ``forwarding_key`` is the key with which other entries sign the requests
    that this one shall forward; without it, this one forwards none.
    """

    vm: str
    data_centre: str
    host: str = "127.0.0.1"
    port: int = 0
    backend_key_hash: str = ""
    backend_keys: KeySource = no_keys
    rating_url: str = ""
    address_ttl_s: float = 15.0
    address_spread_s: float = 2.0
    keep_alive_s: float = 5
    header_timeout_s: float = 10.0
    follows_declared_limits: bool = False
    stop_limit_s: float = 0.0
    connect_timeout_s: float = 1.0
    first_byte_timeout_s: float = 5.0
    chunk_gap_s: float = 5.0
    silent_idle_s: float = 1.0
    pool_idle_s: float = 30.0
    rating_timeout_s: float = 0.5
    session_idle_s: float = 10.0
    retry_share: float = RETRY_SHARE
    allowance: Allowance = Allowance()
    late_answer_s: float = 60.0
    ledger_timeout_s: float = 5.0
    max_body_bytes: int = 4 * 1024 * 1024
    max_header_bytes: int = 32 * 1024
    max_answer_bytes: int = 8 * 1024 * 1024
    max_recorded_answer_bytes: int = 64 * 1024
    forwarding_key: bytes = b""


__all__ = ["EntrySettings"]
