"""Processes that use TLS, and unauthorised processes that connect."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
import subprocess
from typing import Any

import anyio
import pynng
import pytest

from sycamorestand_bench.addresses import free_address
from sycamorestand_peer.errors import TlsFileError
from sycamorestand_peer.mesh import PeerMesh
from sycamorestand_peer.messages import AddressList
from sycamorestand_peer.refusals import Refusal
from sycamorestand_peer.tls import CERTIFICATE_NAME
from sycamorestand_peer.tls import read_tls_identity
from sycamorestand_peer.tls import TlsIdentity

KEY = b"k" * 32
MESSAGE = AddressList(())
CURVE = "-newkey ec -pkeyopt ec_paramgen_curve:P-256 -nodes"


class Authority:
    """Issues certificates by the steps in docs/operators/keys.md."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        folder.mkdir()
        self._openssl(
            f"req -x509 {CURVE} -keyout ca.key -out ca.pem -days 2"
            " -subj /CN=peers"
        )

    def issue(self, name: str, host: str = CERTIFICATE_NAME) -> list[Path]:
        extension = self.folder / "san"
        extension.write_text(f"subjectAltName=DNS:{host}\n")
        self._openssl(
            f"req {CURVE} -keyout {name}.key -out {name}.csr -subj /CN={host}"
        )
        self._openssl(
            f"x509 -req -in {name}.csr -CA ca.pem -CAkey ca.key"
            f" -CAcreateserial -days 2 -extfile san -out {name}.pem"
        )
        names = ("ca.pem", f"{name}.pem", f"{name}.key")
        return [self.folder / file for file in names]

    def identity(self, name: str, host: str = CERTIFICATE_NAME) -> TlsIdentity:
        return read_tls_identity(*self.issue(name, host))

    def _openssl(self, arguments: str) -> None:
        subprocess.run(
            ["openssl", *arguments.split()],
            cwd=self.folder,
            check=True,
            capture_output=True,
        )


@pytest.fixture(scope="module")
def ours(tmp_path_factory: pytest.TempPathFactory) -> Authority:
    return Authority(tmp_path_factory.mktemp("tls") / "ours")


@pytest.fixture(scope="module")
def others(tmp_path_factory: pytest.TempPathFactory) -> Authority:
    return Authority(tmp_path_factory.mktemp("tls") / "others")


class Process:
    def __init__(self, tls: TlsIdentity | None, key: bytes = KEY) -> None:
        self.received: list[str] = []
        self.mesh = PeerMesh(
            free_address(),
            lambda: (key,),
            lambda sender, message: self.received.append(sender),
            tls=tls,
        )

    def gave_up(self) -> bool:
        """Return whether a link gave up without an echo from its peer."""
        counters = self.mesh.counters
        return counters.dropped + counters.redials > 0


def _other_authority(ours: Authority, others: Authority) -> TlsIdentity:
    # The stranger accepts certificates of `ours`, so that only the other end
    # can refuse the handshake.
    identity = others.identity("stranger")
    return identity._replace(authority=ours.identity("x").authority)


def _plain(ours: Authority, others: Authority) -> None:
    return None


def _only_other_authority(ours: Authority, others: Authority) -> TlsIdentity:
    return others.identity("stranger")


STRANGERS: dict[str, Callable[[Authority, Authority], TlsIdentity | None]] = {
    "certificate of another authority": _other_authority,
    "plain": _plain,
    "another authority on both sides": _only_other_authority,
}


@pytest.mark.anyio
class TestTls:
    async def test_messages_flow_both_ways(
        self, ours: Authority, until: Any
    ) -> None:
        one, two = (Process(ours.identity(name)) for name in ("one", "two"))
        async with anyio.create_task_group() as tasks:
            await tasks.start(one.mesh.run)
            await tasks.start(two.mesh.run)
            one.mesh.send(two.mesh.address, MESSAGE)
            two.mesh.send(one.mesh.address, MESSAGE)
            await until(lambda: one.received and two.received)
            tasks.cancel_scope.cancel()

    async def test_two_authorities_in_one_file_are_both_accepted(
        self, ours: Authority, others: Authority, until: Any
    ) -> None:
        """Replacing the authority must not interrupt messages.

        While every process's authority file holds both authorities, a
        process with a new certificate and one with an old certificate
        accept each other, so that certificates can be renewed one by one.
        """
        old, new = ours.identity("old"), others.identity("new")
        both = old.authority + new.authority
        one = Process(old._replace(authority=both))
        two = Process(new._replace(authority=both))
        async with anyio.create_task_group() as tasks:
            await tasks.start(one.mesh.run)
            await tasks.start(two.mesh.run)
            one.mesh.send(two.mesh.address, MESSAGE)
            two.mesh.send(one.mesh.address, MESSAGE)
            await until(lambda: one.received and two.received)
            tasks.cancel_scope.cancel()

    @pytest.mark.parametrize("kind", STRANGERS)
    async def test_the_cluster_key_without_a_valid_certificate_is_refused(
        self, kind: str, ours: Authority, others: Authority, until: Any
    ) -> None:
        """The cluster key without a valid certificate must give no access.

        A stranger and a process send to each other. Nothing arrives on
        either side, both links give up, and the next message of a valid
        peer is delivered.
        """
        one, two = (Process(ours.identity(name)) for name in ("one", "two"))
        stranger = Process(STRANGERS[kind](ours, others))
        async with anyio.create_task_group() as tasks:
            for process in (one, two, stranger):
                await tasks.start(process.mesh.run)
            stranger.mesh.send(one.mesh.address, MESSAGE)
            one.mesh.send(stranger.mesh.address, MESSAGE)
            await until(lambda: stranger.gave_up())
            await until(lambda: one.gave_up())
            assert stranger.mesh.counters.frames_received == 0
            assert one.mesh.counters.frames_received == 0
            two.mesh.send(one.mesh.address, MESSAGE)
            await until(lambda: one.received == [two.mesh.address])
            tasks.cancel_scope.cancel()

    async def test_a_client_without_a_certificate_is_refused(
        self, ours: Authority, until: Any
    ) -> None:
        """A TLS client that presents no certificate must not connect."""
        one, two = (Process(ours.identity(name)) for name in ("one", "two"))
        config = pynng.TLSConfig(
            pynng.TLSConfig.MODE_CLIENT,
            server_name=CERTIFICATE_NAME,
            ca_string=ours.identity("x").authority,
            auth_mode=pynng.TLSConfig.AUTH_MODE_REQUIRED,
        )
        async with anyio.create_task_group() as tasks:
            await tasks.start(one.mesh.run)
            await tasks.start(two.mesh.run)
            with pynng.Pair1(send_timeout=1_000, tls_config=config) as wire:
                wire.dial(f"tls+tcp://{one.mesh.address}", block=False)
                with pytest.raises(pynng.Timeout):
                    await wire.asend(b"x")
            two.mesh.send(one.mesh.address, MESSAGE)
            await until(lambda: one.received)
            assert one.mesh.counters.refused == 0
            tasks.cancel_scope.cancel()

    async def test_a_certificate_does_not_replace_the_cluster_key(
        self, ours: Authority, until: Any
    ) -> None:
        """A valid certificate with another cluster key must be refused."""
        one = Process(ours.identity("one"))
        stranger = Process(ours.identity("two"), key=b"s" * 32)
        async with anyio.create_task_group() as tasks:
            await tasks.start(one.mesh.run)
            await tasks.start(stranger.mesh.run)
            stranger.mesh.send(one.mesh.address, MESSAGE)
            await until(lambda: one.mesh.counters.refusals.counts[Refusal.KEY])
            assert one.received == []
            tasks.cancel_scope.cancel()

    async def test_nothing_is_sent_to_a_certificate_for_another_name(
        self, ours: Authority, until: Any
    ) -> None:
        """Other servers with a certificate of the authority get no messages.

        A web server of the same company listens on the address of a process
        that no longer runs. A process that dials it refuses its name.
        """
        one = Process(ours.identity("one"))
        web = Process(ours.identity("web", "www.example"))
        async with anyio.create_task_group() as tasks:
            await tasks.start(one.mesh.run)
            await tasks.start(web.mesh.run)
            one.mesh.send(web.mesh.address, MESSAGE)
            await until(lambda: one.gave_up())
            assert web.mesh.counters.frames_received == 0
            tasks.cancel_scope.cancel()


class TestTlsIdentity:
    def test_a_key_of_another_certificate_is_refused(
        self, ours: Authority
    ) -> None:
        authority, certificate, _ = ours.issue("one")
        key = ours.issue("two")[2]
        with pytest.raises(TlsFileError, match="and its key"):
            read_tls_identity(authority, certificate, key)

    def test_an_authority_without_a_certificate_is_refused(
        self, ours: Authority
    ) -> None:
        _, certificate, key = ours.issue("one")
        with pytest.raises(TlsFileError, match="no PEM certificate"):
            read_tls_identity(key, certificate, key)

    def test_the_repr_does_not_show_the_key(self, ours: Authority) -> None:
        assert "KEY" not in repr(ours.identity("one"))
