"""Settings of entry processes and of control processes."""

from __future__ import annotations

from typing import Final

from sycamorestand.settings import address
from sycamorestand.settings import addresses
from sycamorestand.settings import folder
from sycamorestand.settings import integer
from sycamorestand.settings import Joint
from sycamorestand.settings import key_file
from sycamorestand.settings import number
from sycamorestand.settings import optional_address
from sycamorestand.settings import optional_file
from sycamorestand.settings import optional_key_file
from sycamorestand.settings import optional_text
from sycamorestand.settings import required_addresses
from sycamorestand.settings import Setting
from sycamorestand.settings import text
from sycamorestand.settings import yes_or_no
from sycamorestand_peer.tls import read_tls_identity

TLS: Final = Joint("tls", read_tls_identity)

COMMON_SETTINGS: Final = (
    Setting("vm", text, None, "name of this VM"),
    Setting("data_centre", text, None, "data centre of this VM"),
    Setting(
        "peer_address",
        address,
        None,
        "IP:port at which peers reach this process",
    ),
    Setting(
        "peer_listen",
        optional_address,
        "",
        "IP:port to listen on for peers, if other than peer_address",
    ),
    Setting(
        "cluster_key_file",
        key_file,
        None,
        "file of cluster keys, one a line; the first signs, all are accepted",
    ),
    Setting(
        "tls_ca_file",
        optional_file,
        "",
        "PEM certificates of the authorities that sign peers' certificates",
        TLS,
    ),
    Setting(
        "tls_cert_file",
        optional_file,
        "",
        "PEM certificate of this process, for the name sycamorestand",
        TLS,
    ),
    Setting(
        "tls_key_file", optional_file, "", "PEM key of that certificate", TLS
    ),
    Setting("log_level", text, "INFO", "lowest level that is logged"),
)

MEMORY_LIMIT: Final = Setting(
    "memory_limit_mb",
    number(32, 1_000_000),
    "128",
    "memory of this process in MiB; connections, logs and queues get shares",
)

ENTRY_SETTINGS: Final = (
    *COMMON_SETTINGS,
    Setting("region", optional_text, "", "region of the data centre"),
    Setting(
        "control_addresses",
        required_addresses,
        None,
        "peer addresses of control processes, the nearest one first",
    ),
    Setting("host", text, "127.0.0.1", "IP that callers connect to"),
    Setting(
        "port", integer(0, 65_535), "8080", "port that callers connect to"
    ),
    Setting(
        "backend_key_file",
        optional_key_file,
        "",
        "file of keys that authenticate backend servers' announcements",
    ),
    Setting(
        "address_ttl_s",
        number(0, 3_600),
        "30",
        "seconds for which callers may cache an answer with addresses",
    ),
    Setting("rating_url", optional_text, "", "URL of the rating service"),
    MEMORY_LIMIT,
    Setting(
        "max_header_bytes",
        integer(1_024, 1_000_000),
        "32768",
        "largest head of a request",
    ),
    Setting(
        "header_timeout_s",
        number(0.1, 3_600),
        "10",
        "seconds that the head of a request may take",
    ),
    Setting(
        "idle_timeout_s",
        number(1, 3_600),
        "5",
        "seconds that a connection may be idle",
    ),
)

CONTROL_SETTINGS: Final = (
    *COMMON_SETTINGS,
    Setting(
        "control_addresses",
        addresses,
        "",
        "peer addresses of the other control processes",
    ),
    Setting(
        "data_folder", folder, None, "folder that holds all durable state"
    ),
    Setting(
        "operator_host", text, "127.0.0.1", "IP to listen on for operators"
    ),
    Setting(
        "operator_port",
        integer(0, 65_535),
        "7300",
        "port to listen on for operators",
    ),
    Setting(
        "first_start",
        yes_or_no,
        "no",
        "yes: create a new cluster here; use once, on one VM only",
    ),
    Setting(
        "first_operator_key_hash",
        optional_text,
        "",
        "hash of the first admin's key, used by the first start only",
    ),
    Setting(
        "voters_wanted",
        integer(1, 7),
        "3",
        "new control processes become voters until there are this many",
    ),
    Setting(
        "may_lose_data_centre",
        yes_or_no,
        "no",
        "yes: report if the loss of a data centre leaves no majority",
    ),
    Setting(
        "replace_lost_voters",
        yes_or_no,
        "no",
        "yes: a new control process replaces a lost voter automatically",
    ),
    Setting(
        "ledger_shards",
        integer(1, 64),
        "1",
        "number of ledger shards, fixed by the first start",
    ),
    MEMORY_LIMIT,
    Setting(
        "disk_limit_mb",
        number(16, 1_000_000),
        "256",
        "room for the data folder in MiB; logs get shares of it",
    ),
    Setting(
        "weight_store_loads",
        integer(1, 1_000),
        "2",
        "weight loads that the weight store serves at the same time",
    ),
    Setting(
        "weight_store_url",
        optional_text,
        "",
        "URL of the weight store; empty: no loads are requested from it",
    ),
)

__all__ = ["COMMON_SETTINGS", "CONTROL_SETTINGS", "ENTRY_SETTINGS"]
