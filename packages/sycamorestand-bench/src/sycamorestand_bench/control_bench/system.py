"""Run three control processes and change them as an operator."""

from __future__ import annotations

from pathlib import Path
import secrets
from typing import Any
from typing import Final

import anyio

from sycamorestand.operator.client import ControlClient
from sycamorestand.operator.exits import OutcomeLost
from sycamorestand.operator.exits import Unreachable
from sycamorestand.operator.settings import Settings
from sycamorestand_bench.processes import Cluster
from sycamorestand_model.codec import to_document
from sycamorestand_model.keys import hash_key
from sycamorestand_model.load import load_folder

CONTROLS: Final = ("control-1", "control-2", "control-3")
ADMIN_KEY: Final = "demo-guild-admin"
EXAMPLE: Final = Path("examples/guild")
CLUSTER_TIMEOUT_S: Final = 30.0
POLL_S: Final = 0.01
# Each change of the bench sets another price for this model.
PRICED_MODEL: Final = "nest-small"


class System:
    """Three control processes and an operator's changes to them."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self._document = to_document(load_folder(EXAMPLE).declarations)
        self._price = 100
        self._revision = 0
        self._killed: set[str] = set()

    def start(self, ledger_shards: int = 1) -> None:
        """Start the control processes and wait until all are voters."""
        for number, vm in enumerate(CONTROLS):
            self.cluster.start_control(
                vm,
                f"dc-{number}",
                first=number == 0,
                admin_key_hash=hash_key(ADMIN_KEY) if number == 0 else "",
                ledger_shards=ledger_shards,
            )
        self.cluster.wait_ready(*CONTROLS)
        anyio.run(self._wait_for_voters)

    def addresses(self, first: int) -> list[str]:
        """Return all peer addresses, starting with process ``first``."""
        voters = list(self.cluster.controls.values())
        return [
            voter.peer_address for voter in voters[first:] + voters[:first]
        ]

    def client(
        self, names: tuple[str, ...] = CONTROLS, attempt_s: float = 5.0
    ) -> ControlClient:
        """Return the client that ``sycactl`` uses, for these processes."""
        key_file = self.cluster.folder / "operator.key"
        key_file.write_text(ADMIN_KEY)
        settings = Settings(
            controls=tuple(
                f"http://127.0.0.1:{self.cluster.controls[name].operator_port}"
                for name in names
            ),
            key_file=str(key_file),
            ca_file="",
            attempt_s=attempt_s,
            patience_s=30.0,
            wait_s=30.0,
            json=True,
        )
        return ControlClient(settings, _ignore)

    async def leader(self) -> str:
        """Return the name of the leader, waiting until there is one."""
        with anyio.fail_after(CLUSTER_TIMEOUT_S):
            while True:
                for name in self.running_controls():
                    status = await self._status(name)
                    if status and status["voter_id"] == status["leader"]:
                        return name
                await anyio.sleep(POLL_S)

    async def apply(self, client: ControlClient) -> int:
        """Apply declarations with a new price and return the revision.

        Only the first call requests the base revision, because no other
        operator makes changes.
        """
        if not self._revision:
            status = await client.ask("/status", {})
            self._revision = status["revision"]
        self._price += 1
        version = self._document["models"][PRICED_MODEL]["versions"]["3"]
        version["input_micros_per_mtoken"] = self._price
        answer = await client.change("/changes", self._change_request())
        if answer["outcome"] not in ("accepted", "duplicate"):
            raise RuntimeError(f"the change was not accepted: {answer}")
        self._revision = int(answer["revision"])
        return self._revision

    async def wait_in_force(
        self, client: ControlClient, revision: int
    ) -> None:
        """Poll the leader until it reports the revision as in force."""
        with anyio.fail_after(CLUSTER_TIMEOUT_S):
            while True:
                body = await client.ask("/in-force", {"revision": revision})
                if body["in_force"]:
                    return
                await anyio.sleep(POLL_S)

    def running_controls(self) -> list[str]:
        """Return the control processes that have not been killed."""
        return [name for name in CONTROLS if name not in self._killed]

    def kill(self, name: str) -> None:
        """Kill a control process with SIGKILL."""
        self._killed.add(name)
        self.cluster.kill(name)

    def restart(self, name: str) -> None:
        """Restart a killed control process and wait until it is ready."""
        self.cluster.start_control(
            name, self.cluster.controls[name].data_centre
        )
        self._killed.discard(name)
        self.cluster.wait_ready(name)

    def _change_request(self) -> dict[str, Any]:
        return {
            "change_id": secrets.token_hex(8),
            "kind": "apply",
            "base_revision": self._revision,
            "declarations": self._document,
            "message": "bench",
        }

    async def _status(self, name: str) -> Any:
        try:
            return await self.client((name,), 1.0).ask("/status", {})
        except (OutcomeLost, Unreachable):
            return None

    async def _wait_for_voters(self) -> None:
        with anyio.fail_after(CLUSTER_TIMEOUT_S):
            while True:
                status = await self._status(CONTROLS[0])
                roles = [row["role"] for row in status["voters"]]
                if roles.count("follower") == len(CONTROLS) - 1:
                    return
                await anyio.sleep(0.1)


def _ignore(line: str) -> None:
    """Ignore a notice of the client, since the bench shows none."""


__all__ = ["ADMIN_KEY", "CONTROLS", "System"]
