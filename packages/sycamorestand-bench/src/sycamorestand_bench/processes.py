"""Start control and entry processes on loopback, as an operator does."""

from __future__ import annotations

from contextlib import ExitStack
import os
from pathlib import Path
from signal import Signals
import subprocess
import sys
import time
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

import httpcore

from sycamorestand_bench.addresses import free_address
from sycamorestand_bench.addresses import free_port

if TYPE_CHECKING:
    from types import TracebackType

CLUSTER_KEY: Final = "bench-cluster-key-0123456789abcdef"
BACKEND_KEY: Final = "bench-backend-key-0123456789abcdef"
READY_TIMEOUT_S: Final = 30.0
STOP_TIMEOUT_S: Final = 40.0
POLL_INTERVAL_S: Final = 0.05


class ControlNode(NamedTuple):
    """A control process, its listen addresses and its data folder."""

    vm: str
    data_centre: str
    peer_address: str
    operator_port: int
    data_folder: Path


class EntryNode(NamedTuple):
    """An entry process and its listen addresses."""

    vm: str
    data_centre: str
    peer_address: str
    port: int


class Cluster:
    """Control and entry processes whose files lie below one folder.

    Leaving the context kills the processes that this cluster started and
    that still run, each by its id. It touches no other process.
    """

    def __init__(self, folder: Path, log_level: str = "INFO") -> None:
        self.folder = folder
        self.controls: dict[str, ControlNode] = {}
        self.entries: dict[str, EntryNode] = {}
        self._log_level = log_level
        self._running: dict[str, subprocess.Popen[bytes]] = {}
        self._files = ExitStack()
        (folder / "cluster.key").write_text(CLUSTER_KEY)
        (folder / "backend.key").write_text(BACKEND_KEY)

    def __enter__(self) -> Cluster:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for name in list(self._running):
            self.kill(name)
        self._files.close()

    def start_control(
        self,
        vm: str,
        data_centre: str,
        *,
        first: bool = False,
        admin_key_hash: str = "",
        voters_wanted: int = 3,
        ledger_shards: int = 1,
    ) -> ControlNode:
        """Start a control process.

        A name that was started before keeps its addresses and data folder.
        """
        node = self.controls.get(vm)
        if node is None:
            data_folder = self.folder / vm
            data_folder.mkdir()
            node = ControlNode(
                vm, data_centre, free_address(), free_port(), data_folder
            )
            self.controls[vm] = node
        self._start(
            vm,
            "control",
            vm=vm,
            data_centre=data_centre,
            peer_address=node.peer_address,
            control_addresses=self._control_addresses(excluding=vm),
            data_folder=str(node.data_folder),
            operator_port=str(node.operator_port),
            first_start="yes" if first else "no",
            first_operator_key_hash=admin_key_hash,
            voters_wanted=str(voters_wanted),
            ledger_shards=str(ledger_shards),
        )
        return node

    def start_entry(
        self,
        vm: str,
        data_centre: str,
        *,
        rating_url: str = "",
        address_ttl_s: float = 1.0,
    ) -> EntryNode:
        """Start an entry process with the addresses of all control processes.

        A name that was started before keeps its addresses.
        """
        node = self.entries.get(vm)
        if node is None:
            node = EntryNode(vm, data_centre, free_address(), free_port())
            self.entries[vm] = node
        self._start(
            vm,
            "entry",
            vm=vm,
            data_centre=data_centre,
            peer_address=node.peer_address,
            control_addresses=self._control_addresses(near=data_centre),
            port=str(node.port),
            backend_key_file=str(self.folder / "backend.key"),
            address_ttl_s=str(address_ttl_s),
            rating_url=rating_url,
        )
        return node

    def pid(self, name: str) -> int:
        """Return the process id of a running process."""
        return self._running[name].pid

    def send_signal(self, name: str, number: Signals) -> None:
        """Send a signal to one process, for example SIGSTOP."""
        self._running[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process at once, as the loss of its VM does."""
        process = self._running.pop(name)
        process.kill()
        process.wait()

    def stop(self, name: str) -> int:
        """Send SIGTERM for a planned stop and return the exit status.

        Raises `subprocess.TimeoutExpired` after `STOP_TIMEOUT_S`.
        """
        process = self._running.pop(name)
        process.terminate()
        return process.wait(timeout=STOP_TIMEOUT_S)

    def terminate(self, name: str) -> None:
        """Send SIGTERM for a planned stop without waiting for the end."""
        self._running[name].terminate()

    def exit_status(self, name: str) -> int | None:
        """Return the exit status of a process.

        Return None while the process runs and for an unknown name.
        """
        process = self._running.get(name)
        return None if process is None else process.poll()

    def is_started(self, name: str) -> bool:
        """Tell whether a process was started and not yet removed or killed."""
        return name in self._running

    def remove_ended(self, name: str) -> None:
        """Remove a process that has ended from the running ones."""
        del self._running[name]

    def log_text(self, name: str) -> str:
        """Return the whole log of a process."""
        return (self.folder / f"{name}.log").read_text()

    def wait_ready(self, *names: str) -> None:
        """Wait until ``/readyz`` of each process answers with 200.

        Raises `RuntimeError` with the log of a process that ends or is not
        ready after `READY_TIMEOUT_S`.
        """
        for name in names:
            port = (
                self.controls[name].operator_port
                if name in self.controls
                else self.entries[name].port
            )
            self._wait_port_ready(name, port)

    def _wait_port_ready(self, name: str, port: int) -> None:
        until_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < until_s:
            if self._running[name].poll() is not None:
                raise RuntimeError(f"{name} ended: {self.log_text(name)}")
            if _is_ready(port):
                return
            time.sleep(POLL_INTERVAL_S)
        raise RuntimeError(f"{name} is not ready: {self.log_text(name)}")

    def _control_addresses(self, excluding: str = "", near: str = "") -> str:
        nodes = [n for n in self.controls.values() if n.vm != excluding]
        nodes.sort(key=lambda node: node.data_centre != near)
        return ",".join(node.peer_address for node in nodes)

    def _start(self, name: str, role: str, **settings: str) -> None:
        settings["cluster_key_file"] = str(self.folder / "cluster.key")
        settings["log_level"] = self._log_level
        environment = dict(os.environ)
        for key, value in settings.items():
            environment["SYCAMORESTAND_" + key.upper()] = value
        log = self._files.enter_context(
            (self.folder / f"{name}.log").open("ab")
        )
        self._running[name] = subprocess.Popen(
            [str(Path(sys.executable).parent / "sycamorestand"), role],
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )


def _is_ready(port: int) -> bool:
    try:
        response = httpcore.request(
            "GET",
            f"http://127.0.0.1:{port}/readyz",
            extensions={"timeout": {"connect": 1, "read": 1}},
        )
    except (httpcore.NetworkError, httpcore.TimeoutException):
        return False
    except httpcore.RemoteProtocolError:
        return False
    return response.status == 200


__all__ = [
    "BACKEND_KEY",
    "Cluster",
    "CLUSTER_KEY",
    "ControlNode",
    "EntryNode",
]
