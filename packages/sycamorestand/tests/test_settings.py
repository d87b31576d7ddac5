from __future__ import annotations

from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest

from sycamorestand.entry_process import make_entry_settings
from sycamorestand.process_settings import CONTROL_SETTINGS
from sycamorestand.process_settings import ENTRY_SETTINGS
from sycamorestand.settings import read_settings
from sycamorestand.settings import SettingsError
from sycamorestand_entry.announcements import check_backend_key
from sycamorestand_entry.errors import Unauthorised
from sycamorestand_entry.metrics import Metrics
from sycamorestand_peer.key_file import KeyFile


class TestReadSettings:
    def test_flag_takes_precedence_over_the_environment(
        self, tmp_path: Path
    ) -> None:
        key_file = tmp_path / "keys"
        key_file.write_text("a" * 32)
        values = read_settings(
            ENTRY_SETTINGS,
            {"vm": "entry-1", "cluster_key_file": str(key_file)},
            {
                "SYCAMORESTAND_VM": "other",
                "SYCAMORESTAND_DATA_CENTRE": "Dalton",
                "SYCAMORESTAND_PEER_ADDRESS": "127.0.0.1:1",
                "SYCAMORESTAND_CONTROL_ADDRESSES": "127.0.0.1:2",
            },
        )
        assert values["vm"] == "entry-1"
        assert values["data_centre"] == "Dalton"
        assert values["cluster_key_file"]() == (b"a" * 32,)

    def test_all_findings_are_reported_at_once(self) -> None:
        """An operator starts a control process with four invalid settings.

        One start reports all of them, each with its flag or variable, so
        that the operator need not restart the process for each one.
        """
        with pytest.raises(SettingsError) as caught:
            read_settings(
                CONTROL_SETTINGS,
                {"vm": "c1", "voters_wanted": "9", "peer_address": "host:1"},
                {"SYCAMORESTAND_FIRST_START": "maybe"},
            )
        message = str(caught.value)
        for place in (
            "--voters-wanted: 9",
            "--peer-address",
            "SYCAMORESTAND_FIRST_START: 'maybe'",
            "--data-centre or SYCAMORESTAND_DATA_CENTRE is required",
        ):
            assert place in message

    def test_short_cluster_key_is_refused(self, tmp_path: Path) -> None:
        key_file = tmp_path / "keys"
        key_file.write_text("short")
        with pytest.raises(SettingsError, match="under 16 bytes"):
            read_settings(
                CONTROL_SETTINGS, {"cluster_key_file": str(key_file)}, {}
            )


class TestBackendKeys:
    def test_every_key_of_the_file_is_valid(self, tmp_path: Path) -> None:
        path = tmp_path / "keys"
        path.write_text("a" * 32 + "\n" + "b" * 32)
        settings = make_entry_settings(
            {
                "vm": "e1",
                "data_centre": "Dalton",
                "host": "127.0.0.1",
                "port": 0,
                "rating_url": "",
                "address_ttl_s": 30,
                "max_header_bytes": 32_768,
                "header_timeout_s": 10.0,
                "idle_timeout_s": 5.0,
                "backend_key_file": KeyFile(path),
            }
        )
        context: Any = SimpleNamespace(
            settings=settings, metrics=Metrics(), authenticator=None
        )
        for key in ("a", "b"):
            check_backend_key(context, _announcement_request(key * 32))
        with pytest.raises(Unauthorised):
            check_backend_key(context, _announcement_request("c" * 32))


def _announcement_request(key: str) -> Any:
    headers = {b"authorization": b"Bearer " + key.encode()}
    return SimpleNamespace(headers=headers)


class TestTlsSettings:
    def test_partial_tls_settings_report_every_finding(
        self, tmp_path: Path
    ) -> None:
        """Of the three TLS files, one is not set and one does not exist.

        One start reports both, each with its flag, along with the findings
        of other settings.
        """
        (tmp_path / "cert").write_text("x")
        flags = {
            "tls_cert_file": str(tmp_path / "cert"),
            "tls_key_file": str(tmp_path / "gone"),
        }
        with pytest.raises(SettingsError) as caught:
            read_settings(ENTRY_SETTINGS, flags, {})
        message = str(caught.value)
        assert "--tls-ca-file or SYCAMORESTAND_TLS_CA_FILE is req" in message
        assert "--tls-key-file: [Errno 2]" in message
        assert "--vm or SYCAMORESTAND_VM is required" in message

    def test_invalid_certificate_file_is_refused(self, tmp_path: Path) -> None:
        path = tmp_path / "file"
        path.write_text("x")
        names = ("tls_ca_file", "tls_cert_file", "tls_key_file")
        flags = dict.fromkeys(names, str(path))
        with pytest.raises(SettingsError, match="holds no PEM certificate"):
            read_settings(ENTRY_SETTINGS, flags, {})

    def test_no_tls_settings_disable_tls(self, tmp_path: Path) -> None:
        path = tmp_path / "keys"
        path.write_text("a" * 32)
        flags = {
            "vm": "e1",
            "data_centre": "Dalton",
            "peer_address": "127.0.0.1:1",
            "control_addresses": "127.0.0.1:2",
            "cluster_key_file": str(path),
        }
        values = read_settings(ENTRY_SETTINGS, flags, {})
        assert values["tls"] is None
        assert "tls_ca_file" not in values
