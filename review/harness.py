"""A small deployment on loopback: the project's programs and stand-ins.

The programs run as the deploy file starts them, one process a role, each VM at
a loopback address of its own. Operator, requesters and servers are small
stand-ins that speak what PROTOCOL.md says. Only the standard library is used.
"""

from __future__ import annotations

import asyncio
import json
import os
from pathlib import Path
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = Path(__file__).resolve().parent.parent
ZONES = ("halfway-tree", "new-kingston", "portmore")
REGION = "kingston"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
HOST = "ficu95.example"
# The values of sites/jafa-lanes.toml, as `fleetbench wire` prints them.
BOUNDS = {
    "SeedLagS": 3, "AddrReuseS": 2, "ContactMs": 3000, "AckMs": 4000,
    "CatchUpS": 4, "DrainMs": 2000, "GraceS": 8, "LossSlackMs": 200,
    "ConfigApplyMs": 2000, "DowngradeSlackMs": 250, "SkewMaxMs": 5000,
    "RevokeStrict": False, "RevokeMs": 5000, "RetryBudgetRatio": 0.9,
    "BudgetWindowS": 10, "BudgetSlack": 60, "ExposureShare": 0.15,
    "ExposureSlack": 30, "RollbackMs": 5000, "RecoveryS": 12, "PassMs": 120,
    "ReuseWindowS": 10, "SessionS": 5, "ttl_max_s": 5,
}
# Those of demands/veldloop-results-grown.toml, printed the same way.
VELDLOOP_BOUNDS = {
    **BOUNDS, "ContactMs": 4000, "AckMs": 5000, "CatchUpS": 6, "DrainMs": 2500,
    "ConfigApplyMs": 2500, "SkewMaxMs": 6000, "BudgetSlack": 168,
    "ExposureShare": 0.0975, "RecoveryS": 15, "PassMs": 200, "ReuseWindowS": 9.8,
    "SessionS": 8.5,
}
LIMITS = {"CpuShare": 0.968, "Cores": 2, "MemoryMb": 300, "MaxFds": 4100,
          "LinkMbps": 1000.0, "DiskMb": 64}
# Those of the machines with a disk of demands/veldloop-results-grown.toml.
VELDLOOP_LIMITS = {**LIMITS, "CpuShare": 0.69, "MemoryMb": 128, "LinkMbps": 100.0}
# Those of further/nile-storehouse.toml, which differ from jafa-lanes.
NILE_BOUNDS = {**BOUNDS, "BudgetSlack": 58, "ReuseWindowS": 9.9}
HEARTBEAT_S = 1.2


class CannotRun(Exception):
    """The case could not be played; it says nothing about the rule."""


class Record:
    """The file that lists what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        self._file = open(folder / "record.txt", "w", encoding="utf-8")
        self.began_s = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self.began_s

    def line(self, text: str) -> None:
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


def free_ports(addresses: list[str], count: int) -> list[int]:
    """Return consecutive ports that are free at all of the addresses."""
    for _ in range(200):
        first = random.randrange(20000, 30000)
        sockets = []
        try:
            for port in range(first, first + count):
                for address in addresses:
                    each = socket.socket()
                    sockets.append(each)
                    each.bind((address, port))
            return list(range(first, first + count))
        except OSError:
            continue
        finally:
            for each in sockets:
                each.close()
    raise CannotRun("no free ports")


class Vm:
    """One VM: its address, its settings files and its processes."""

    def __init__(self, world: World, name: str, ip: str, zone: str, disk: bool):
        self.world, self.name, self.ip, self.zone = world, name, ip, zone
        self.disk = disk
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.bootstrap = True
        self.restart = True

    def address(self, what: str) -> str:
        return f"{self.ip}:{self.world.ports[what]}"

    def _settings(self, role: str) -> dict:
        listen = {}
        if role == "entry":
            listen = {w: self.address(w) for w in ("Front", "Ready", "Directory")}
        else:
            listen = {"Control": self.address("Control")}
        first = self.world.ports["Range"]
        settings = {
            "NodeName": self.name, "Role": role, "MachineClass": "front",
            "Serves": self.world.roles[role]["serves"],
            "Ip": self.ip, "Zone": self.zone, "Region": REGION,
            "Zones": {zone: REGION for zone in ZONES},
            "Listen": listen, "PortRange": [first, first + 15],
            "Seeds": [vm.address("Control") for vm in self.world.core()],
            "Bootstrap": self.bootstrap, "InFaultSet": self.disk,
            "Limits": self.world.limits,
            "Discovery": "registration", "Entry": "directory",
            "HeartbeatMs": int(HEARTBEAT_S * 1000),
            "Contracts": ["base", "drain", "config", "cost", "retry", "recover",
                          "engine", "stream", "tenants", "rollout"],
            "FaultTolerance": {"Machines": 1, "Zones": 0, "Regions": 0},
            "Bounds": self.world.bounds, "ConfigMode": "highest",
        }
        if self.disk:
            data = self.world.folder / f"{self.name}-{role}-data"
            data.mkdir(exist_ok=True)
            settings["DataDir"] = str(data)
        return settings

    async def start(self, role: str) -> None:
        folder = self.world.folder
        boot = folder / f"{self.name}-{role}.json"
        boot.write_text(json.dumps(self._settings(role)))
        entry = self.world.roles[role]
        words = entry["run"].split()
        if words[0] == "python3":
            words[0] = sys.executable
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["SYCAMORESTAND_BOOT"] = str(boot)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        # All VMs share this machine, so the deploy file's port may be taken.
        metrics_port = self.world.ports["Metrics"] + (role == "control")
        env.update(dict.fromkeys(entry.get("env", {}), str(metrics_port)))
        log = open(folder / f"{self.name}-{role}.log", "ab")
        self.processes[role] = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, env=env, stdin=asyncio.subprocess.DEVNULL,
            stdout=log, stderr=log,
        )
        log.close()

    def signal(self, role: str, number: int) -> None:
        process = self.processes.get(role)
        if process is not None and process.returncode is None:
            process.send_signal(number)


class World:
    """The VMs, and the platform that starts their processes again."""

    def __init__(self, record: Record, cores: int = 3, others: int = 0,
                 bounds: dict | None = None) -> None:
        self.record = record
        self.bounds = bounds or BOUNDS
        self.limits = LIMITS
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        if not (ROOT / "target" / "deps").is_dir():
            raise CannotRun("run the build line of the deploy file first")
        net = random.randrange(10, 250)
        ips = [f"127.{net}.{1 + i % 3}.{10 + i // 3}" for i in range(cores + others)]
        ports = free_ports(ips, 32)
        self.ports = {"Front": ports[0], "Ready": ports[1], "Control": ports[2],
                      "Directory": ports[3], "Metrics": ports[4], "Range": ports[8]}
        self.server_ip = f"127.{net}.9.9"
        self.vms = [
            Vm(self, f"front-{ZONES[i % 3]}-{1 + i // 3}", ip, ZONES[i % 3], i < cores)
            for i, ip in enumerate(ips)
        ]
        self.servers: list[Server] = []
        self._tasks: list[asyncio.Task] = []
        self.own_ends: list[str] = []
        self.killed: set[tuple[str, str]] = set()

    def core(self) -> list[Vm]:
        return [vm for vm in self.vms if vm.disk]

    async def start(self) -> None:
        for vm in self.vms:
            await vm.start("entry")
            if vm.disk:
                await vm.start("control")
        self._tasks.append(asyncio.create_task(self._platform()))

    async def _platform(self) -> None:
        """Start processes that have ended again, after a short delay."""
        while True:
            await asyncio.sleep(0.1)
            for vm in self.vms:
                for role, process in list(vm.processes.items()):
                    if process.returncode is not None and vm.restart:
                        del vm.processes[role]
                        task = asyncio.create_task(self._start_again(vm, role))
                        self._tasks.append(task)

    async def _start_again(self, vm: Vm, role: str) -> None:
        if (vm.name, role) in self.killed:
            self.killed.discard((vm.name, role))
        else:
            self.own_ends.append(f"{vm.name} {role}")
            self.record.line(f"{vm.name} {role} ended by itself")
        vm.bootstrap = False
        await asyncio.sleep(0.4)
        await vm.start(role)
        self.record.line(f"{vm.name} {role} started again")

    def kill(self, vm: Vm, role: str) -> None:
        self.killed.add((vm.name, role))
        vm.signal(role, signal.SIGKILL)
        self.record.line(f"{vm.name} {role} killed")

    async def wait_ready(self, timeout_s: float = 30.0) -> None:
        end = time.monotonic() + timeout_s
        for vm in self.vms:
            while True:
                try:
                    answer = await call(vm.address("Ready"), "GET", "/-/readiness")
                    if answer.status == 200:
                        break
                except (OSError, asyncio.TimeoutError, ValueError):
                    pass
                if time.monotonic() > end:
                    raise CannotRun(f"{vm.name} is not ready")
                await asyncio.sleep(0.1)

    async def close(self, keep: bool = False) -> None:
        for task in self._tasks:
            task.cancel()
        for server in self.servers:
            await server.stop()
        for vm in self.vms:
            vm.restart = False
            for process in vm.processes.values():
                if process.returncode is None:
                    process.kill()
                    await process.wait()
        if keep or os.environ.get("KEEP"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Answer:
    def __init__(self, status: int, headers: dict[str, str], body: bytes,
                 whole: bool) -> None:
        self.status, self.headers, self.body, self.whole = status, headers, body, whole


async def read_answer(reader: asyncio.StreamReader, bodiless: bool = False) -> Answer:
    """Return one HTTP answer; `whole` tells whether its body is complete."""
    line = await reader.readline()
    words = line.split(None, 2)
    if len(words) < 2 or not words[0].startswith(b"HTTP/1."):
        raise ValueError(f"no answer: {line[:60]!r}")
    status = int(words[1])
    headers: dict[str, str] = {}
    while (line := await reader.readline()) not in (b"\r\n", b""):
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    try:
        if bodiless or status in (204, 304):
            return Answer(status, headers, b"", True)
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readline()).strip() or b"x", 16)
                if not size:
                    await reader.readline()
                    return Answer(status, headers, body, True)
                body += await reader.readexactly(size)
                await reader.readexactly(2)
        if "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
            return Answer(status, headers, body, True)
        body = await reader.read()
        return Answer(status, headers, body, True)
    except (asyncio.IncompleteReadError, ValueError, ConnectionError):
        return Answer(status, headers, body, False)


async def call(address: str, method: str, path: str, body: bytes = b"",
               headers: dict[str, str] | None = None, timeout_s: float = 1.0) -> Answer:
    """Make one call on a new connection."""
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            lines = [f"{method} {path} HTTP/1.1"]
            fields = {"Host": address, **(headers or {})}
            if body or method == "POST":
                fields["Content-Length"] = str(len(body))
            lines += [f"{k}: {v}" for k, v in fields.items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            return await read_answer(reader)
        finally:
            writer.close()


class Operator:
    """Sends orders to any control process until one answers clearly."""

    def __init__(self, world: World) -> None:
        self.world = world

    async def order(self, method: str, path: str, content: dict | None = None,
                    limit_s: float = 4.0, log: bool = True) -> Answer:
        body = b"" if content is None else json.dumps(content).encode()
        end = time.monotonic() + limit_s
        turn = random.randrange(3)
        pause_s = 0.1
        last = "no answer"
        while time.monotonic() < end:
            vms = self.world.core()
            vm = vms[turn % len(vms)]
            turn += 1
            try:
                answer = await call(vm.address("Control"), method, path, body,
                                    {"Content-Type": "application/json"})
                if answer.whole and answer.status < 500 and answer.status not in (408, 429):
                    if log:
                        self.world.record.line(
                            f"operator {method} {path} "
                            f"{json.dumps(content)[:160] if content else ''} at {vm.name}"
                            f" -> {answer.status} {answer.body[:120].decode('latin-1')}")
                    return answer
                last = str(answer.status)
            except (OSError, ValueError, asyncio.TimeoutError,
                    asyncio.IncompleteReadError) as error:
                last = type(error).__name__
            await asyncio.sleep(pause_s)
            pause_s = min(1.0, pause_s * 1.5)
        self.world.record.line(f"operator {method} {path}: no clear answer, last {last}")
        raise TimeoutError(path)


class Run:
    """One request that a server began to work on; `came` is its arrival."""

    def __init__(self, server: Server, attempt: str, path: str, at: float,
                 came: float) -> None:
        self.server, self.attempt, self.path = server, attempt, path
        self.at, self.came = at, came
        self.status = 0


class Server:
    """A sound plain server; `behave` may change its answers."""

    def __init__(self, world: World, service: str, version: str, zone: str,
                 slots: int = 6, work_ms: float = 20.0) -> None:
        self.world, self.service, self.version, self.zone = world, service, version, zone
        self.id = f"i-{random.randrange(16**10):010x}"
        self.slots, self.work_ms = slots, work_ms
        self.state = "ready"
        self.running = 0
        self.waiting = 0
        self.runs: list[Run] = []
        self.arrivals = 0
        self.behave = None
        self.seq = 0
        self.address = ""
        self.acks: list[tuple[float, str]] = []
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task | None = None
        self._free = asyncio.Semaphore(slots)
        self._writers: set[asyncio.StreamWriter] = set()
        world.servers.append(self)

    async def start(self, beats: bool = True) -> None:
        self._server = await asyncio.start_server(
            self._serve, self.world.server_ip, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{self.world.server_ip}:{port}"
        self.world.record.line(
            f"server {self.id} of {self.service} {self.version} at {self.address}")
        if beats:
            self._beats = asyncio.create_task(self._beat())

    async def stop(self) -> None:
        if self._beats:
            self._beats.cancel()
            self._beats = None
        if self._server:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    def report(self) -> dict:
        self.seq += 1
        return {"Service": self.service, "Address": self.address, "Zone": self.zone,
                "Version": self.version, "Slots": self.slots, "State": self.state,
                "ColdLeftMs": 0, "Seq": self.seq}

    async def _beat(self) -> None:
        turn = random.randrange(3)
        while True:
            for _ in range(3):
                vms = self.world.core()
                vm = vms[turn % len(vms)]
                if await self.tell(vm, f"/-/Instances.Heartbeat/{self.id}", self.report()):
                    break
                turn += 1
            await asyncio.sleep(HEARTBEAT_S * random.uniform(0.9, 1.1))

    async def tell(self, vm: Vm, path: str, content: dict) -> bool:
        try:
            answer = await call(vm.address("Control"), "POST", path,
                                json.dumps(content).encode(),
                                {"Content-Type": "application/json"})
        except (OSError, ValueError, asyncio.TimeoutError,
                asyncio.IncompleteReadError):
            return False
        if 200 <= answer.status < 300:
            self.acks.append((self.world.record.now(), content.get("State", "leave")))
            return True
        return False

    async def _serve(self, reader: asyncio.StreamReader,
                     writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(self, reader: asyncio.StreamReader,
                         writer: asyncio.StreamWriter) -> bool:
        line = await reader.readline()
        if not line:
            return False
        method, path, _ = line.decode("latin-1").split(" ", 2)
        headers: dict[str, str] = {}
        while (line := await reader.readline()) not in (b"\r\n", b""):
            name, _, value = line.decode("latin-1").partition(":")
            headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        attempt = headers.get("attempt-id", "")
        if path == "/health":
            self._write(writer, 200, b"", {"Instance-Id": self.id})
            return True
        self.arrivals += 1
        came = self.world.record.now()
        expected = headers.get("expect-instance", self.id)
        if expected != self.id:
            self._write(writer, 421, b"", {"Attempt-Id": attempt, "Not-Executed": "1"})
            return True
        if not attempt:
            self._write(writer, 400, b"", {"Not-Executed": "1"})
            return True
        if self.waiting >= 24:
            self._write(writer, 503, b"", {"Attempt-Id": attempt, "Not-Executed": "1"})
            return True
        self.waiting += 1
        try:
            await self._free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        run = Run(self, attempt, path, self.world.record.now(), came)
        self.runs.append(run)
        try:
            if self.behave is not None:
                return await self.behave(self, run, headers, body, writer)
            await asyncio.sleep(self.work_ms * random.uniform(0.7, 1.3) / 1000)
            run.status = 200
            self.reply(writer, run, 200, b"done " + attempt.encode())
            return True
        finally:
            self.running -= 1
            self._free.release()

    def reply(self, writer: asyncio.StreamWriter, run: Run, status: int,
              body: bytes) -> None:
        run.status = status
        self._write(writer, status, body, {
            "Attempt-Id": run.attempt,
            "Response-Stamp": f"{self.id}.{len(self.runs)}",
            "Server-Load": f"{self.running},{self.waiting},{self.slots}",
        })

    def _write(self, writer: asyncio.StreamWriter, status: int, body: bytes,
               headers: dict[str, str]) -> None:
        lines = [f"HTTP/1.1 {status} Answer", f"Content-Length: {len(body)}"]
        lines += [f"{k}: {v}" for k, v in headers.items()]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)


def route(name: str, prefix: str, service: str, kind: str = "idempotent",
          **fields: object) -> dict:
    return {"Name": name, "Host": HOST, "PathPrefix": prefix, "Kind": kind,
            "TimeoutMs": 800, "TargetLatencyMs": 300, "Priority": 2,
            "Service": service, "MaxAttempts": 2 if kind == "idempotent" else 1,
            "Public": False, "Sticky": False, "Resumable": False,
            "GapTargetMs": 0, **fields}


def manifest(version: int, routes: list[dict], services: list[str]) -> dict:
    return {"Version": version, "Routes": routes,
            "Services": [{"Name": name, "HealthPath": "/health", "MaxConns": 120,
                          "Protocol": "h1", "Tls": False} for name in services],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304,
                       "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
            "Tenants": [{"Name": TENANT, "ApiKeys": [KEY], "Priority": 1}]}


class Requester:
    """Asks the directory for entries and sends one request on a connection."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.sent: list[tuple[float, str, int, bytes, dict]] = []
        # The last status of each request, with its retry.
        self.results: list[int] = []
        self._addresses: list[str] = []
        self._until_s = 0.0

    async def address(self) -> str:
        if time.monotonic() > self._until_s or not self._addresses:
            for vm in random.sample(self.world.vms, min(3, len(self.world.vms))):
                try:
                    answer = await call(
                        vm.address("Directory"), "GET",
                        f"/-/resolve?Name={HOST}&Region={REGION}&Zone={vm.zone}")
                    if answer.status == 200:
                        found = json.loads(answer.body)
                        self._addresses = found["Addresses"]
                        self._until_s = time.monotonic() + min(5, found["TtlS"])
                        break
                except (OSError, ValueError, asyncio.TimeoutError,
                        asyncio.IncompleteReadError):
                    continue
        if not self._addresses:
            raise OSError("no address")
        return random.choice(self._addresses)

    async def send(self, path: str, method: str = "POST", body: bytes = b"",
                   deadline_ms: int = 1500, log: bool = True,
                   headers: dict[str, str] | None = None) -> int:
        attempt = f"{random.randrange(16**16):016x}"
        at = self.world.record.now()
        status, content, fields = 0, b"", {}
        try:
            answer = await call(
                await self.address(), method, path, body,
                {"Host": HOST, "Attempt-Id": attempt, "Deadline-Ms": str(deadline_ms),
                 "Authorization": f"Bearer {KEY}", **(headers or {})},
                timeout_s=deadline_ms / 1000 + 0.5)
            status = answer.status if answer.whole else -1
            content, fields = answer.body, answer.headers
        except (OSError, ValueError, asyncio.TimeoutError,
                asyncio.IncompleteReadError):
            status = 0
        self.sent.append((at, attempt, status, content, fields))
        if log:
            self.world.record.line(
                f"requester sent {attempt} {path} at {at:.3f} -> {status}"
                f" {fields.get('response-stamp', '')}")
        return status

    def statuses(self) -> dict[int, int]:
        """Count the attempts by status; 0 is none, -1 an answer cut short."""
        counts: dict[int, int] = {}
        for _, _, status, _, _ in self.sent:
            counts[status] = counts.get(status, 0) + 1
        return counts

    async def request(self, path: str) -> None:
        """Send an idempotent request, and once more after a failure."""
        status = await self.send(path)
        if not 200 <= status < 300 and status not in (400, 401, 404, 413, 431):
            status = await self.send(path)
        self.results.append(status)

    async def load(self, path: str, per_s: float, until: asyncio.Event) -> None:
        """Send requests at a rate until told to stop."""
        tasks: set[asyncio.Task] = set()
        while not until.is_set():
            task = asyncio.create_task(self.request(path + f"{random.randrange(999)}"))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(random.expovariate(per_s))
        if tasks:
            await asyncio.wait(tasks, timeout=3)


def main(case, folder: Path) -> None:
    """Play `case(world, trouble)`; exit 0 if the rule held, 1 if not, 2 else."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)

    async def play() -> bool:
        world = case.world(record) if hasattr(case, "world") else World(record)
        try:
            await world.start()
            return await case.play(world, trouble)
        finally:
            await world.close()

    try:
        held = asyncio.run(asyncio.wait_for(play(), 110))
    except (CannotRun, TimeoutError) as error:
        record.line(f"the case could not run: {error!r}")
        print("could not run:", repr(error))
        sys.exit(2)
    record.line("the rule held" if held else "THE RULE WAS BROKEN")
    print("held" if held else "broken")
    sys.exit(0 if held else 1)
