"""The settings of a control process."""

from __future__ import annotations

from pathlib import Path
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

from sycamorestand_decisions.arrivals import Allowance

if TYPE_CHECKING:
    from sycamorestand_peer.key_file import KeySource
    from sycamorestand_peer.tls import TlsIdentity


DEFAULT_MEMORY_LIMIT_MB: Final = 128.0
DEFAULT_DISK_LIMIT_MB: Final = 256.0


class ControlSettings(NamedTuple):
    """Settings of one control process, see ``sycamorestand control``.

    ``cluster_keys`` returns the keys that are valid at present; they may
    change while the process runs. ``allowance`` limits the arrivals of
    requests at backend servers beyond the first arrival of each request;
    entries are started with the same value. With ``may_lose_data_centre``
    the process reports if the voters would not survive that. What the process
    holds in memory and on disk is bounded by shares of ``memory_limit_mb`` and
    ``disk_limit_mb``, in MiB. Where ``names_all_controls`` is not set, there
    may be more control processes than ``control_addresses``.
    """

    vm: str
    data_centre: str
    peer_address: str
    data_folder: Path
    cluster_keys: KeySource
    peer_listen: str = ""
    control_addresses: tuple[str, ...] = ()
    operator_host: str = "127.0.0.1"
    operator_port: int = 0
    first_start: bool = False
    first_operator_key_hash: str = ""
    voters_wanted: int = 3
    replace_lost_voters: bool = False
    ledger_shards: int = 1
    weight_store_loads: int = 2
    weight_store_url: str = ""
    tls: TlsIdentity | None = None
    allowance: Allowance = Allowance()
    may_lose_data_centre: bool = False
    memory_limit_mb: float = DEFAULT_MEMORY_LIMIT_MB
    disk_limit_mb: float = DEFAULT_DISK_LIMIT_MB
    names_all_controls: bool = True


__all__ = [
    "ControlSettings",
    "DEFAULT_DISK_LIMIT_MB",
    "DEFAULT_MEMORY_LIMIT_MB",
]
