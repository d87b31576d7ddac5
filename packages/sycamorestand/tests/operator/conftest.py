from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from pathlib import Path
import shutil
import socket
import threading
import time
from typing import Any
from typing import NamedTuple

import pytest
import uvicorn

from sycamorestand.operator.run import main
from sycamorestand_control.operator_api.app import make_operator_app
from sycamorestand_control.operator_api.backend import NoLeader
from sycamorestand_control.operator_api.types import AuditEntry
from sycamorestand_control.operator_api.types import AuditPage
from sycamorestand_control.operator_api.types import BackendRow
from sycamorestand_control.operator_api.types import BillPage
from sycamorestand_control.operator_api.types import BillRow
from sycamorestand_control.operator_api.types import ChangeAnswer
from sycamorestand_control.operator_api.types import ChangeRequest
from sycamorestand_control.operator_api.types import Conflict
from sycamorestand_control.operator_api.types import DeclarationsAnswer
from sycamorestand_control.operator_api.types import Explanation
from sycamorestand_control.operator_api.types import InForceAnswer
from sycamorestand_control.operator_api.types import NodeRow
from sycamorestand_control.operator_api.types import OperatorIdentity
from sycamorestand_control.operator_api.types import ReplaceVoterRequest
from sycamorestand_control.operator_api.types import RolloutRow
from sycamorestand_control.operator_api.types import RoomRow
from sycamorestand_control.operator_api.types import StatusAnswer
from sycamorestand_control.operator_api.types import TransferAnswer
from sycamorestand_control.operator_api.types import VoterRow
from sycamorestand_control.wait_limit import WaitLimit
from sycamorestand_model.declarations import Declarations

EXAMPLES = Path(__file__).parents[4] / "examples"
KEY = "the-operators-secret"
BODIES = {"garbage": b"<html>", "another format": b'{"outcome": "maybe"}'}
ANN = OperatorIdentity("ann", "admin")


class State:
    """The state that the fake control processes share, as if replicated."""

    def __init__(self) -> None:
        self.revision = 5
        self.declarations = Declarations()
        self.outcomes: dict[str, ChangeAnswer] = {}
        self.changes: list[ChangeRequest] = []
        self.waiting = ("vm-3",)
        self.bills = [
            BillRow(n, 0.0, "acme", f"={n}", "cheap@1", 3, 1, 2)
            for n in range(1, 4)
        ]


class FakeControl:
    """A fake control process; ``fault`` names the fault that it shows."""

    def __init__(self, state: State) -> None:
        self.state = state
        self.fault = ""
        self.has_leader = True

    async def wait_for_leader(self, waits: WaitLimit) -> None:
        return

    async def change(
        self, request: ChangeRequest, waits: WaitLimit | None = None
    ) -> ChangeAnswer:
        if not self.has_leader:
            raise NoLeader("an election runs")
        state = self.state
        if request.change_id in state.outcomes:
            first = state.outcomes[request.change_id]
            return first._replace(outcome="duplicate")
        base = request.base_revision
        if base is not None and base != state.revision:
            other = Conflict(state.revision, "ben", "c-0", "apply")
            return ChangeAnswer("conflict", state.revision, "", (), (other,))
        if request.subject == "none@1":
            return ChangeAnswer("refused", state.revision, "no such version")
        state.revision += 1
        state.declarations = request.declarations or state.declarations
        state.changes.append(request)
        answer = ChangeAnswer("accepted", state.revision)
        state.outcomes[request.change_id] = answer
        return answer

    async def declarations(self) -> DeclarationsAnswer:
        return DeclarationsAnswer(self.state.revision, self.state.declarations)

    async def in_force(self, revision: int) -> InForceAnswer:
        if self.fault == "in force unknown":
            raise NoLeader("an election runs")
        waiting, self.state.waiting = self.state.waiting, ()
        if self.fault == "never in force":
            waiting = ("vm-9",)
        return InForceAnswer(
            revision, not waiting, 3, 3 - len(waiting), waiting
        )

    async def status(self) -> StatusAnswer:
        voter = VoterRow("v1", "vm-1", "marietta", "::", "leader", 7, 0)
        return StatusAnswer("v1", 3, "v1", 5, 5, (voter,), alarms=("disk",))

    async def audit(self, after: int, limit: int) -> AuditPage:
        entry = AuditEntry(
            1, 0.0, "ben", "c", "apply", "[red]", 4, 5, "accepted", "a\x1b[2Jb"
        )
        return AuditPage((entry,), 1, more=True)

    async def bills(self, customer: str, after: int, limit: int) -> BillPage:
        rows = tuple(r for r in self.state.bills if r.sequence > after)[:2]
        last = rows[-1].sequence if rows else after
        return BillPage(rows, last, more=last < 3)

    async def nodes(self) -> tuple[NodeRow, ...]:
        return (NodeRow("vm-1", "marietta", "::1", "no-lease", 5, 0),)

    async def backends(self) -> tuple[BackendRow, ...]:
        row = BackendRow(
            "b1", "engine", "::", "dalton", ("a@1",), "leaving", 9
        )
        return (row,)

    async def room(self, service: str) -> tuple[RoomRow, ...]:
        return (RoomRow("b1", (service,), 17, 2, 24, 120, 300, 5, 4000),)

    async def rollouts(self) -> tuple[RolloutRow, ...]:
        return (RolloutRow("cheap", "1", "2", "running", 1, 0.05),)

    async def replace_voter(
        self, request: ReplaceVoterRequest
    ) -> ChangeAnswer:
        return ChangeAnswer("refused", 5, f"{request.new_id} is behind")

    async def explain(self, subject: str) -> Explanation:
        return Explanation(subject, ("withdrawn in revision 4",))

    async def transfer_leadership(self, operator: str) -> TransferAnswer:
        return TransferAnswer("v2", 4)

    def knows_operators(self) -> bool:
        return True

    def ready(self) -> bool:
        return True


class CommandResult(NamedTuple):
    """The exit code and the output of one run of sycactl."""

    code: int
    out: str
    err: str


def _inject_faults(server: Server) -> Any:
    """Return the real application, with the server's fault injected."""

    async def drop(message: Any) -> None:
        """Drop a part of the answer."""

    async def hang(receive: Any) -> None:
        while (await receive())["type"] != "http.disconnect":
            pass

    async def serve(scope: Any, receive: Any, send: Any) -> None:
        fault = server.control.fault
        keys = {} if fault == "knows no key" else {KEY: ANN}
        app = make_operator_app(server.control, keys.get)
        if fault == "silent":
            await hang(receive)
        elif fault == "answer lost":
            await app(scope, receive, drop)
            await hang(receive)
        elif fault in BODIES:
            await app(scope, receive, drop)
            await send({"type": "http.response.start", "status": 200})
            await send({"type": "http.response.body", "body": BODIES[fault]})
        else:
            await app(scope, receive, send)

    return serve


class Server:
    """A fake control process that listens on a real port."""

    def __init__(self) -> None:
        self.control = FakeControl(State())
        self._socket = socket.socket()
        self._socket.bind(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._socket.getsockname()[1]}"
        config = uvicorn.Config(
            _inject_faults(self),
            lifespan="off",
            log_level="critical",
            timeout_graceful_shutdown=0,
        )
        self._server = uvicorn.Server(config)
        self._thread = threading.Thread(
            target=self._server.run, kwargs={"sockets": [self._socket]}
        )

    def start(self) -> None:
        self._thread.start()
        while not self._server.started:
            time.sleep(0.005)

    def stop(self) -> None:
        self._server.should_exit = True
        self._thread.join()


@pytest.fixture(scope="session")
def control_servers() -> Iterator[list[Server]]:
    """Run two fake control processes on loopback for all tests."""
    started = [Server(), Server()]
    for server in started:
        server.start()
    yield started
    for server in started:
        server.stop()


@pytest.fixture
def state() -> State:
    return State()


@pytest.fixture
def servers(control_servers: list[Server], state: State) -> list[Server]:
    """Return the two control processes with fresh state and no faults."""
    for server in control_servers:
        server.control = FakeControl(state)
    return control_servers


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    """Return a copy of a declarations folder, which the test may edit."""
    return shutil.copytree(EXAMPLES / "guild", tmp_path / "declarations")


@pytest.fixture
def sycactl(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> Callable[..., CommandResult]:
    """Return a function that runs sycactl in this process."""
    key_file = tmp_path / "key"
    key_file.write_text(f"{KEY}\n")
    monkeypatch.setenv("SYCACTL_KEY_FILE", str(key_file))

    def run_command(*arguments: object) -> CommandResult:
        with pytest.raises(SystemExit) as ended:
            main([str(argument) for argument in arguments])
        out, err = capsys.readouterr()
        return CommandResult(int(ended.value.code or 0), out, err)

    return run_command


@pytest.fixture
def online(
    sycactl: Callable[..., CommandResult],
    servers: list[Server],
    monkeypatch: pytest.MonkeyPatch,
) -> Callable[..., CommandResult]:
    """Return sycactl with both control processes in its settings."""
    addresses = ",".join(server.address for server in servers)
    monkeypatch.setenv("SYCACTL_CONTROLS", addresses)
    return sycactl


@pytest.fixture
def impatient(
    online: Callable[..., CommandResult], monkeypatch: pytest.MonkeyPatch
) -> Callable[..., CommandResult]:
    """Return sycactl with short timeouts, for faults that don't end."""
    monkeypatch.setenv("SYCACTL_ATTEMPT_S", "1")
    monkeypatch.setenv("SYCACTL_PATIENCE_S", "1")
    monkeypatch.setenv("SYCACTL_WAIT_S", "1")
    return online
