"""The settings of the two kinds of process, one list for each."""

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
    Setting("peer_address", address, None, "IP:port peers reach us at"),
    Setting(
        "peer_listen",
        optional_address,
        "",
        "IP:port to listen on for peers, where it differs",
    ),
    Setting(
        "cluster_key_file",
        key_file,
        None,
        "file of cluster keys; the first line signs, all are accepted",
    ),
    Setting(
        "tls_ca_file",
        optional_file,
        "",
        "PEM certificates of the authorities that peers' are checked with",
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
    Setting("log_level", text, "INFO", "least level that is logged"),
)

ENTRY_SETTINGS: Final = (
    *COMMON_SETTINGS,
    Setting(
        "control_addresses",
        required_addresses,
        None,
        "peer addresses of control processes, the nearest first",
    ),
    Setting("host", text, "127.0.0.1", "IP that callers connect to"),
    Setting("port", integer(0, 65_535), "8080", "port for callers"),
    Setting(
        "backend_key_file",
        optional_key_file,
        "",
        "file of keys that backend servers announce themselves with",
    ),
    Setting(
        "address_ttl_s",
        number(0, 3_600),
        "30",
        "how long callers may keep an address answer",
    ),
    Setting("rating_url", optional_text, "", "URL of the rating service"),
)

CONTROL_SETTINGS: Final = (
    *COMMON_SETTINGS,
    Setting(
        "control_addresses",
        addresses,
        "",
        "peer addresses of the other control processes",
    ),
    Setting("data_folder", folder, None, "folder for all durable state"),
    Setting("operator_host", text, "127.0.0.1", "IP for operators"),
    Setting("operator_port", integer(0, 65_535), "7300", "port for operators"),
    Setting(
        "first_start",
        yes_or_no,
        "no",
        "yes on one VM only, once: make a new cluster here",
    ),
    Setting(
        "first_operator_key_hash",
        optional_text,
        "",
        "hash of the first admin's key, used by the first start",
    ),
    Setting(
        "voters_wanted",
        integer(1, 7),
        "3",
        "new control processes become voters up to this count",
    ),
    Setting(
        "replace_lost_voters",
        yes_or_no,
        "no",
        "yes: a new control process takes a lost voter's place by itself",
    ),
    Setting(
        "ledger_shards",
        integer(1, 64),
        "1",
        "shards of the ledger, fixed by the first start",
    ),
    Setting(
        "weight_store_loads",
        integer(1, 1_000),
        "2",
        "loads that the weight store serves at once",
    ),
    Setting(
        "weight_store_url",
        optional_text,
        "",
        "URL of the weight store; empty: loads are not asked for there",
    ),
)

__all__ = ["COMMON_SETTINGS", "CONTROL_SETTINGS", "ENTRY_SETTINGS"]
