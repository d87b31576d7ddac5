"""Run a whole system on loopback for tests.

The system has three control processes that are all voters, three entries and
fake backend servers.
"""

from __future__ import annotations

from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack
import functools
from pathlib import Path
import shutil
import time
from typing import Any
from typing import Final
from typing import TYPE_CHECKING

import anyio
from anyio.from_thread import start_blocking_portal

from sycamorestand_bench.addresses import free_address
from sycamorestand_bench.fakes.announcer import announce_once
from sycamorestand_bench.fakes.engine import FakeEngine
from sycamorestand_bench.fakes.hosting import serve_application
from sycamorestand_bench.processes import BACKEND_KEY
from sycamorestand_bench.processes import Cluster
from sycamorestand_bench.quickstart.caller import new_key
from sycamorestand_bench.quickstart.operator import ADMIN_KEY
from sycamorestand_bench.quickstart.world import DATA_CENTRES
from sycamorestand_bench.quickstart.world import World
from sycamorestand_bench.system.calls import ANSWERED
from sycamorestand_bench.system.calls import chat
from sycamorestand_bench.system.calls import order
from sycamorestand_bench.system.fault_proxy import FaultProxy
from sycamorestand_bench.system.operators import CommandResult
from sycamorestand_bench.system.operators import query
from sycamorestand_bench.system.operators import sycactl
from sycamorestand_model.backend_servers import Announcement
from sycamorestand_model.keys import hash_key

if TYPE_CHECKING:
    from collections.abc import Callable
    from types import TracebackType

    from anyio.abc import TaskGroup
    from anyio.abc import TaskStatus

CONTROLS: Final = ("control-1", "control-2", "control-3")
ENTRIES: Final = ("entry-1", "entry-2", "entry-3")
# The entry that tests suspend, kill and stop.
VICTIM: Final = "entry-2"
WAIT_TIMEOUT_S: Final = 30.0
POLL_INTERVAL_S: Final = 0.05
MAX_CALLERS: Final = 24
# Control processes accept leases of at most 10 s.
LONG_LEASE_S: Final = 9.0
PROBE_PREFIX: Final = "ready"
# A single step lets a chat run on the version that the test expects.
ONE_STEP_PROFILE: Final = """\
[profiles.quote-helper]
steps = [{ model = "nest-small" }]
quality_target = 0.5
default_deadline_ms = 60_000
"""


class ProxiedCluster(Cluster):
    """A cluster with a fault proxy before the peer port of each process."""

    def __init__(
        self, folder: Path, start_proxy: Callable[[FaultProxy], None]
    ) -> None:
        super().__init__(folder)
        self.proxies: dict[str, FaultProxy] = {}
        self._start_proxy = start_proxy

    def _start(self, name: str, role: str, **settings: str) -> None:
        proxy = self.proxies.get(name)
        if proxy is None:
            proxy = FaultProxy(settings["peer_address"], free_address())
            self.proxies[name] = proxy
            self._start_proxy(proxy)
        settings["peer_listen"] = proxy.target
        super()._start(name, role, **settings)


class System:
    """Starts processes, fakes and proxies; leaving the context ends them.

    Fakes and proxies run in an event loop in a separate thread, so that
    tests are plain functions.
    """

    def __init__(self, folder: Path, examples: Path) -> None:
        self.folder = folder
        self.declarations = folder / "declarations"
        self.world = World()
        self._examples = examples
        self._exit_stack = ExitStack()

    def __enter__(self) -> System:
        self._exit_stack.__enter__()
        try:
            self._start()
        except BaseException:
            self._exit_stack.close()
            raise
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._exit_stack.close()

    @property
    def ports(self) -> list[int]:
        """Return the operator ports of all control processes."""
        return [node.operator_port for node in self.cluster.controls.values()]

    def port(self, control: str) -> int:
        """Return the operator port of a control process."""
        return self.cluster.controls[control].operator_port

    def entry(self, name: str) -> str:
        """Return the address at which callers reach an entry."""
        return f"127.0.0.1:{self.cluster.entries[name].port}"

    def sycactl(self, *arguments: str) -> CommandResult:
        """Run a ``sycactl`` command and assert that it succeeds."""
        result = sycactl(self.folder, self.ports, *arguments)
        assert result.status == 0, (arguments, result)
        return result

    def status(self, control: str) -> dict[str, Any]:
        """Return a control process's status, or {} if it does not answer."""
        answer = query(self.port(control), "/status")
        return answer.body if answer.status == 200 else {}

    def query(self, control: str, path: str) -> dict[str, Any]:
        """Return the body of a control process's answer to a GET."""
        answer = query(self.port(control), path)
        assert answer.status == 200, answer
        content: dict[str, Any] = answer.body
        return content

    def leader(self) -> str:
        """Wait until a control process leads and return its name."""
        return wait_for(self._find_leader, "a leader")

    def restart_control(self, name: str) -> None:
        """Start a control process on its existing data folder."""
        node = self.cluster.controls[name]
        self.cluster.start_control(name, node.data_centre)

    def restart_entry(self, name: str) -> None:
        """Start an entry at its old addresses and wait until it serves."""
        node = self.cluster.entries[name]
        self.cluster.start_entry(name, node.data_centre)
        self.cluster.wait_ready(name)
        self.wait_serving(name)

    def call_in_loop(
        self, function: Callable[..., Any], *arguments: Any
    ) -> Any:
        """Call a function in the event loop of the fakes and proxies."""
        return self._portal.call(function, *arguments)

    def replacement_id(self, at: str, control: str) -> str:
        """Return the new id of a process that waits to replace its voter.

        ``control`` is the process, which has lost its disk, and ``at`` the
        control process whose alarms name the id. Return "" if they do not.
        """
        for alarm in self.status(at).get("alarms", ()):
            if alarm.startswith(control) and "waits to replace" in alarm:
                identity: str = alarm.partition("(")[2].partition(")")[0]
                return identity
        return ""

    def audit(self, control: str) -> list[dict[str, Any]]:
        """Return all audit entries of a control process, page by page."""
        entries: list[dict[str, Any]] = []
        after = 0
        while True:
            answer = query(
                self.port(control), f"/audit?after={after}&limit=200"
            )
            assert answer.status == 200, answer
            entries += answer.body["entries"]
            after = answer.body["next_after"]
            if not answer.body["more"]:
                return entries

    def fetch_declarations(self, control: str) -> dict[str, Any]:
        """Return the declarations that a control process holds."""
        content = self.query(control, "/declarations")["declarations"]
        declared: dict[str, Any] = content
        return declared

    def bills(self) -> list[dict[str, Any]]:
        """Return every charge that the leader holds."""
        leader = self.leader()
        rows: list[dict[str, Any]] = []
        after = 0
        while True:
            page = self.query(leader, f"/bills?after={after}&limit=1000")
            rows += page["rows"]
            after = page["next_after"]
            if not page["more"]:
                return rows

    def charges_by_key(self) -> Counter[str]:
        """Return the number of charges of each request key at the leader."""
        return Counter(row["request_key"] for row in self.bills())

    def order_run_count(self, request_key: str) -> int:
        """Return how many times the services have run an order."""
        return sum(
            record.request_key == request_key and record.method == "POST"
            for service in self.world.services
            for record in service.records
        )

    def start_long_lease_engine(
        self, entry: str, versions: tuple[str, ...]
    ) -> None:
        """Start an engine that an entry knows although it is cut off.

        The engine announces itself once, to this entry alone, before the
        entry loses its links. The announcement's lease is `LONG_LEASE_S`.
        """
        engine = FakeEngine("steady", versions)
        self.world.engines.append(engine)
        address = self._portal.call(
            self.tasks.start, serve_application, engine.application
        )
        announcement = Announcement(
            engine.name,
            "engine",
            address,
            DATA_CENTRES[0],
            time.time_ns(),
            1,
            versions,
            capacity=MAX_CALLERS,
            lease_s=LONG_LEASE_S,
        )
        status = self._portal.call(
            announce_once, self.entry(entry), BACKEND_KEY, announcement
        )
        assert status == 200, status

    def declare_fallback(self) -> None:
        """Declare version 4 as the fallback of the cheap model's version 3.

        Without a declared fallback, no version replaces a withdrawn one: a
        roll-out that has not started does not provide one.
        """
        model = self.declarations / "models" / "nest-small.toml"
        stable = 'stable = "3"'
        text = model.read_text()
        assert stable in text
        model.write_text(text.replace(stable, f'{stable}\nfallback = "4"'))
        self.sycactl("apply", str(self.declarations), "--wait")

    def wait_serving(self, *entries: str) -> None:
        """Wait until each entry answers a chat call and an order."""
        for name in entries:
            wait_for(
                functools.partial(self._is_serving, name), f"{name} serves"
            )

    def _start(self) -> None:
        self._portal = self._exit_stack.enter_context(start_blocking_portal())
        _, tasks = self._portal.start_task(_run_task_group)
        self.tasks = tasks
        self._exit_stack.callback(self._portal.call, tasks.cancel_scope.cancel)
        self.cluster = ProxiedCluster(
            self.folder,
            lambda proxy: self._portal.call(tasks.start, proxy.run),
        )
        self.pool = self._exit_stack.enter_context(
            ThreadPoolExecutor(MAX_CALLERS)
        )
        # The cluster ends before the pool, so that no caller in the pool
        # still waits for an entry.
        self._exit_stack.enter_context(self.cluster)
        self._start_processes()
        self._apply_declarations()
        # Announcing to an entry that tests suspend or kill would block the
        # announcers. That entry learns of the servers through control.
        addresses = [self.entry(n) for n in ENTRIES if n != VICTIM]
        self._portal.call(self.world.start_engines, tasks, addresses)
        self._portal.call(self.world.start_services, tasks, addresses)
        self.wait_serving(*ENTRIES)

    def _start_processes(self) -> None:
        for number, name in enumerate(CONTROLS):
            self.cluster.start_control(
                name,
                DATA_CENTRES[number],
                first=number == 0,
                admin_key_hash=hash_key(ADMIN_KEY) if number == 0 else "",
            )
        self.cluster.wait_ready(*CONTROLS)
        wait_for(self._all_vote, "three voters")
        for number, name in enumerate(ENTRIES):
            self.cluster.start_entry(name, DATA_CENTRES[number])
        self.cluster.wait_ready(*ENTRIES)

    def _apply_declarations(self) -> None:
        shutil.copytree(self._examples / "guild", self.declarations)
        profile = self.declarations / "profiles" / "quote-helper.toml"
        profile.write_text(ONE_STEP_PROFILE)
        self.sycactl("apply", str(self.declarations), "--wait")

    def _all_vote(self) -> bool:
        rows = self.status(CONTROLS[0]).get("voters", ())
        voting = [r for r in rows if r["role"] in ("leader", "follower")]
        return len(voting) == len(CONTROLS)

    def _find_leader(self) -> str:
        addresses = {
            node.peer_address: name
            for name, node in self.cluster.controls.items()
        }
        for name in self.cluster.controls:
            status = self.status(name)
            for row in status.get("voters", ()):
                is_own = row["voter_id"] == status["voter_id"]
                if row["role"] == "leader" and is_own:
                    return addresses[row["address"]]
        return ""

    def _is_serving(self, name: str) -> bool:
        address = self.entry(name)
        chatted = chat(address, new_key(PROBE_PREFIX))
        ordered = order(address, new_key(PROBE_PREFIX))
        return chatted.run == ordered.run == ANSWERED


async def _run_task_group(*, task_status: TaskStatus[TaskGroup]) -> None:
    async with anyio.create_task_group() as tasks:
        task_status.started(tasks)
        await anyio.sleep_forever()


def is_probe(request_key: str) -> bool:
    """Tell whether a request key belongs to a call of `wait_serving`."""
    return request_key.startswith(f"{PROBE_PREFIX}-")


def wait_for(condition: Callable[[], Any], awaited: str) -> Any:
    """Poll a condition and return its first true result.

    Raises `AssertionError`, which names what is ``awaited``, after
    `WAIT_TIMEOUT_S`.
    """
    until_s = time.monotonic() + WAIT_TIMEOUT_S
    while time.monotonic() < until_s:
        found = condition()
        if found:
            return found
        time.sleep(POLL_INTERVAL_S)
    raise AssertionError(
        f"timed out after {WAIT_TIMEOUT_S} s waiting for {awaited}"
    )


__all__ = [
    "CONTROLS",
    "ENTRIES",
    "is_probe",
    "ProxiedCluster",
    "System",
    "VICTIM",
    "wait_for",
]
