"""Measure the configuration machine and the directory at target size.

.venv/bin/python packages/sycamorestand-state/bench/measure_state.py
"""

from __future__ import annotations

import random
import sys
from time import process_time
import tracemalloc
from typing import Final

import msgspec

from sycamorestand_model.backend_servers import Announcement
from sycamorestand_model.declarations import CascadeStep
from sycamorestand_model.declarations import Customer
from sycamorestand_model.declarations import Declarations
from sycamorestand_model.declarations import Model
from sycamorestand_model.declarations import Operator
from sycamorestand_model.declarations import Profile
from sycamorestand_model.declarations import Version
from sycamorestand_model.routes import Route
from sycamorestand_model.routes import RouteTarget
from sycamorestand_model.routes import SourceDocument
from sycamorestand_state.commands import ApplyDeclarations
from sycamorestand_state.commands import CreateCluster
from sycamorestand_state.commands import DrainVm
from sycamorestand_state.commands import encode_command
from sycamorestand_state.commands import UndrainVm
from sycamorestand_state.configuration import ConfigurationMachine
from sycamorestand_state.directory import BackendDirectory

CHANGES: Final = 500
FULL_HISTORY: Final = 8_000
SERVERS: Final = 910
SECONDS: Final = 20


def main() -> None:
    """Run each measurement and print its figures."""
    _measure_configuration("today", 10, 20)
    _measure_configuration("target", 300, 1_000)
    for routes in (45, 1_849, 13_045):
        _measure_routes(routes)
    _measure_history()
    _measure_directory()


def _declarations(models: int, customers: int) -> Declarations:
    names = [f"model-{number}" for number in range(models)]
    versions = {v: ("1", "2", "3") for v in names}
    return Declarations(
        models={
            name: Model(
                name,
                "1",
                {v: Version(name, v, 100, 200) for v in versions[name]},
            )
            for name in names
        },
        profiles={
            name: Profile(name, (CascadeStep(name),), 0.9) for name in names
        },
        customers={
            f"customer-{number}": Customer(
                f"customer-{number}",
                ("b2$0011223344556677$" + "ab" * 20,),
                tuple(names[:4]),
                tuple(names[:4]),
            )
            for number in range(customers)
        },
        operators={"ann": Operator("ann", ("b2$x$y",), "admin")},
    )


def _measure_configuration(name: str, models: int, customers: int) -> None:
    machine = ConfigurationMachine()
    created = CreateCluster("c", "ann", 1.0, "c", b"k", 1, "b2$x$y")
    machine.apply(1, encode_command(created))
    declarations = _declarations(models, customers)
    commands = []
    for number in range(CHANGES):
        model = declarations.models["model-0"]
        changed = model._replace(pinned_servers=number + 1)
        parts = {**declarations.models, "model-0": changed}
        declared = declarations._replace(models=parts)
        change = ApplyDeclarations(
            f"{number}", "ann", number + 1, declared, "", float(number)
        )
        commands.append(encode_command(change))
    started_s = process_time()
    for index, command in enumerate(commands, start=2):
        machine.apply(index, command)
    applied_s = process_time()
    snapshot = machine.snapshot()
    ConfigurationMachine().restore(snapshot)
    restored_s = process_time()
    sys.stdout.write(
        f"configuration {name}: {models} models, {customers} customers\n"
        f"  command {len(commands[0])} bytes, "
        f"apply {(applied_s - started_s) / CHANGES * 1e3:.2f} ms\n"
        f"  after {CHANGES} changes: revision {machine.revision}, "
        f"snapshot {len(snapshot)} bytes, "
        f"written and read in {(restored_s - applied_s) * 1e3:.1f} ms\n"
    )


def _measure_routes(count: int) -> None:
    """Measure a change of one route, of declarations and their document."""
    rng = random.Random(count)
    names = [f"r-{rng.getrandbits(36):07x}" for _ in range(count)]
    routes = {
        name: Route(
            name, "shop.example", f"/{name}/", (RouteTarget("s"),), "once", 800
        )
        for name in names
    }
    operators = {"ann": Operator("ann", ("b2$x$y",), "admin")}
    machine = ConfigurationMachine()
    created = CreateCluster("c", "ann", 1.0, "c", b"k", 1, "b2$x$y")
    machine.apply(1, encode_command(created))
    commands = []
    for number in (1, 2):
        routes[names[0]] = routes[names[0]]._replace(timeout_ms=800 + number)
        document = SourceDocument(number, msgspec.json.encode(routes))
        declared = Declarations(
            operators=operators, routes=dict(routes), document=document
        )
        change = ApplyDeclarations(
            f"{number}", "ann", number, declared, "", 1.0
        )
        commands.append(encode_command(change))
    del routes, document, declared, change
    tracemalloc.start()
    machine.apply(2, commands[0])
    kept, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    started_s = process_time()
    machine.apply(3, commands[1])
    applied_s = process_time()
    snapshot = machine.snapshot()
    saved_s = process_time()
    sys.stdout.write(
        f"routes: {count}\n"
        f"  command {len(commands[0])} bytes, "
        f"apply {(applied_s - started_s) * 1e3:.0f} ms, "
        f"{kept / 1e6:.1f} MB kept, {peak / 1e6:.1f} MB at most\n"
        f"  snapshot {len(snapshot)} bytes, made in "
        f"{(saved_s - applied_s) * 1e3:.0f} ms\n"
    )


def _measure_history() -> None:
    """Measure the audit trail and the answers at their limits."""
    machine = ConfigurationMachine()
    created = CreateCluster("c", "ann", 1.0, "c", b"k", 1, "b2$x$y")
    machine.apply(1, encode_command(created))
    tracemalloc.start()
    for index in range(2, FULL_HISTORY):
        reason = f"{index}: " + "repair of the cooling, " * 15
        drain = DrainVm(f"d-{index}", "ann", -1, f"vm-{index}", reason, 1.0)
        undrain = UndrainVm(f"u-{index}", "ann", -1, drain.vm, reason, 1.0)
        machine.apply(2 * index, encode_command(drain))
        machine.apply(2 * index + 1, encode_command(undrain))
    kept, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    started_s = process_time()
    size_bytes = len(machine.snapshot())
    sizes = machine.sizes()
    sys.stdout.write(
        f"history of {2 * FULL_HISTORY} changes: audit trail "
        f"{sizes.audit_trail} bytes, answers {sizes.answers} bytes\n"
        f"  {kept / 1e6:.1f} MB kept, snapshot {size_bytes} bytes in "
        f"{(process_time() - started_s) * 1e3:.0f} ms\n"
    )


def _measure_directory() -> None:
    control = BackendDirectory("c1", 1)
    entry = BackendDirectory("e1", 1)
    servers = [_server(number) for number in range(SERVERS)]
    for announcement in servers:
        control.announce(announcement, 0.0)
    full = control.full()
    started_s = process_time()
    entry.apply_delta(full, 0.0)
    full_s = process_time()
    for second in range(1, SECONDS + 1):
        for announcement in servers:
            renewed = announcement._replace(sequence=second + 1)
            control.announce(renewed, float(second))
        control.expire(float(second))
    renewed_s = process_time()
    empty_delta = control.delta_since(control.version)
    assert empty_delta is not None
    empty_delta_bytes = len(msgspec.msgpack.encode(empty_delta))
    entry.apply_delta(empty_delta, 1.0)
    empty_applied_s = process_time()
    sys.stdout.write(
        f"directory: {SERVERS} servers\n"
        f"  full {len(msgspec.msgpack.encode(full))} bytes, "
        f"applied in {(full_s - started_s) * 1e3:.1f} ms\n"
        f"  a second of renewals at their control process "
        f"{(renewed_s - full_s) / SECONDS * 1e3:.1f} ms, "
        f"version still {control.version}\n"
        f"  empty delta {empty_delta_bytes} bytes, "
        f"applied in {(empty_applied_s - renewed_s) * 1e6:.0f} us\n"
    )


def _server(number: int) -> Announcement:
    return Announcement(
        f"server-{number}",
        "engine",
        f"10.0.{number // 250}.{number % 250}:8000",
        "Marietta",
        1,
        1,
        ("nest@1", "nest@2"),
    )


if __name__ == "__main__":
    main()
