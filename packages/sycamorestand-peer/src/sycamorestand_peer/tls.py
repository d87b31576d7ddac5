"""Mutual TLS: both ends of a connection present a certificate."""

from __future__ import annotations

import ssl
from typing import Any
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

import pynng

from sycamorestand_peer.errors import TlsFileError

if TYPE_CHECKING:
    from pathlib import Path

# The name in every process's certificate. nng compares it only with the
# names in a certificate, not with its IP addresses, so all processes share
# one name. The frames identify the process.
CERTIFICATE_NAME: Final = "sycamorestand"
PLAIN_SCHEME: Final = "tcp"
TLS_SCHEME: Final = "tls+tcp"


class TlsIdentity(NamedTuple):
    """The authority and a process's certificate and key, in PEM format."""

    authority: str
    certificate: str
    key: str

    def __repr__(self) -> str:
        # The repr may be logged with the settings; it must not show the key.
        return "TlsIdentity(...)"


def read_tls_identity(
    authority_file: Path, certificate_file: Path, key_file: Path
) -> TlsIdentity:
    """Return the identity in three PEM files.

    Raises `TlsFileError` if a file cannot be used for a handshake. Without
    these checks an invalid file would only show as peers that are silent.
    """
    try:
        texts = [
            path.read_text(encoding="ascii")
            for path in (authority_file, certificate_file, key_file)
        ]
    except (OSError, UnicodeDecodeError) as error:
        raise TlsFileError(f"cannot be read: {error}") from None
    identity = TlsIdentity(*texts)
    _check_authority(authority_file, identity)
    _check_pair(certificate_file, key_file)
    _check_with_nng(certificate_file, identity)
    return identity


def secure_listener(socket: pynng.Socket, identity: TlsIdentity) -> None:
    """Make a socket accept only peers with a certificate of the authority."""
    socket.tls_config = _config(pynng.TLSConfig.MODE_SERVER, identity)


def secure_dialer(socket: pynng.Socket, identity: TlsIdentity) -> None:
    """Make a socket connect only to processes of this cluster.

    Their certificate must be of the authority and for `CERTIFICATE_NAME`.
    """
    config = _config(pynng.TLSConfig.MODE_CLIENT, identity)
    config.set_server_name(CERTIFICATE_NAME)
    socket.tls_config = config


def url(address: str, identity: TlsIdentity | None) -> str:
    """Return the URL that nng listens on or dials."""
    scheme = PLAIN_SCHEME if identity is None else TLS_SCHEME
    return f"{scheme}://{address}"


def _config(mode: Any, identity: TlsIdentity) -> Any:
    return pynng.TLSConfig(
        mode,
        ca_string=identity.authority,
        own_cert_string=identity.certificate,
        own_key_string=identity.key,
        auth_mode=pynng.TLSConfig.AUTH_MODE_REQUIRED,
    )


def _check_authority(path: Path, identity: TlsIdentity) -> None:
    try:
        _empty_context().load_verify_locations(cadata=identity.authority)
    except ssl.SSLError:
        raise TlsFileError(f"{path} holds no PEM certificate") from None


def _check_pair(certificate: Path, key: Path) -> None:
    try:
        # Without a password argument, OpenSSL would prompt for the password
        # of an encrypted key on the terminal and block the process.
        _empty_context().load_cert_chain(certificate, key, password="")
    except (ssl.SSLError, OSError):
        raise TlsFileError(
            f"{certificate} and {key} are not a PEM certificate and its"
            " key without a password"
        ) from None


def _check_with_nng(path: Path, identity: TlsIdentity) -> None:
    try:
        _config(pynng.TLSConfig.MODE_SERVER, identity)
    except pynng.NNGException as error:
        raise TlsFileError(f"{path}: nng cannot use it: {error}") from None


def _empty_context() -> ssl.SSLContext:
    return ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)


__all__ = [
    "CERTIFICATE_NAME",
    "read_tls_identity",
    "secure_dialer",
    "secure_listener",
    "TlsIdentity",
    "url",
]
