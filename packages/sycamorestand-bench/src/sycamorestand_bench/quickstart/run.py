"""Run the quickstart's events in order."""

from __future__ import annotations

import functools
from pathlib import Path
import shutil
import sys
from typing import Any
from typing import Final

import anyio

from sycamorestand_bench.processes import Cluster
from sycamorestand_bench.quickstart.caller import Callers
from sycamorestand_bench.quickstart.checks import Baselines
from sycamorestand_bench.quickstart.checks import compare
from sycamorestand_bench.quickstart.load import Load
from sycamorestand_bench.quickstart.operator import ADMIN_KEY
from sycamorestand_bench.quickstart.operator import Operator
from sycamorestand_bench.quickstart.world import DATA_CENTRES
from sycamorestand_bench.quickstart.world import STRONG_MODEL
from sycamorestand_bench.quickstart.world import World
from sycamorestand_model.declarations import Declarations
from sycamorestand_model.declarations import is_version_allowed
from sycamorestand_model.declarations import version_id
from sycamorestand_model.keys import hash_key
from sycamorestand_model.load import load_folder

ENTRIES: Final = ("entry-1", "entry-2", "entry-3")
CONTROLS: Final = ("control-1", "control-2", "control-3")
ROLLED_OUT_VERSION: Final = "nest-small@4"
LEAVING_SERVER: Final = "small-2"
LEAVING_BOUND_S: Final = 2.0
BILLS_PER_PAGE: Final = 500
TOKENS_PER_PRICE: Final = 1_000_000
START_TIMEOUT_S: Final = 30.0
# Steps may follow after 2 s, so that the roll-out advances within the
# quickstart; a real roll-out takes a minute for this.
FAST_ROLLOUT: Final = """\
[rollouts.nest-small]
version = "4"
shares = [0.2, 0.5, 1.0]
min_samples = 20
min_step_s = 2.0
"""


async def run_quickstart(
    examples: Path, folder: Path, requests: int, seed: int
) -> dict[str, Any]:
    """Start a system, run all events and return the figures to print."""
    with Cluster(folder) as cluster:
        _print_progress("starting three control processes and three entries")
        _start_processes(cluster)
        async with anyio.create_task_group() as tasks:
            world = World()
            rating_url = await world.start_rating(tasks)
            # The rating of each version's answers. Most answers of the
            # cheap model pass.
            world.rating.ratings = {
                "nest-small@3": 0.9,
                "nest-small@4": 0.9,
                "nest-large@2": 0.97,
            }
            entries = _start_entries(cluster, rating_url)
            result = await _run_events(
                cluster, world, entries, examples, requests, seed
            )
            tasks.cancel_scope.cancel()
    return result


async def _run_events(
    cluster: Cluster,
    world: World,
    entries: dict[str, str],
    examples: Path,
    requests: int,
    seed: int,
) -> dict[str, Any]:
    operator = _make_operator(cluster)
    await _wait_for_voters(operator)
    folder = _copy_declarations(cluster.folder, examples)
    _print_progress("applying examples/guild with a fast roll-out")
    await operator.run("apply", str(folder), "--wait")
    async with anyio.create_task_group() as tasks:
        addresses = list(entries.values())
        await world.start_engines(tasks, addresses)
        await world.start_services(tasks, addresses)
        callers = Callers(addresses)
        load = Load(callers, lambda: list(entries.values()), seed)
        await _wait_for_backends(operator, len(world.servers))
        tasks.start_soon(load.run)
        marks = await _inject_faults(cluster, world, entries, operator, load)
        _print_progress("waiting until the load has enough answers")
        while len(load.answers) < requests:
            await anyio.sleep(0.1)
        load.stop()
        await _wait_until_idle(load)
        bills = await _fetch_bills(operator)
        declared = load_folder(folder).declarations
        allowed = _allowed_versions(declared)
        await callers.close()
        tasks.cancel_scope.cancel()
    return compare(
        load.answers,
        world,
        bills,
        marks,
        allowed,
        _always_strong_micros(bills, declared),
    )


def _always_strong_micros(
    bills: list[dict[str, Any]], declared: Declarations
) -> int:
    """Return the cost of the billed tokens on the strong model alone."""
    strong = declared.models[STRONG_MODEL]
    price = strong.versions[strong.stable]
    micros = sum(
        row["input_tokens"] * price.input_micros_per_mtoken
        + row["output_tokens"] * price.output_micros_per_mtoken
        for row in bills
    )
    return micros // TOKENS_PER_PRICE


def _allowed_versions(declared: Declarations) -> dict[str, frozenset[str]]:
    identities = [
        version_id(model.name, version)
        for model in declared.models.values()
        for version in model.versions
    ]
    return {
        name: frozenset(
            i for i in identities if is_version_allowed(customer, i)
        )
        for name, customer in declared.customers.items()
    }


async def _inject_faults(
    cluster: Cluster,
    world: World,
    entries: dict[str, str],
    operator: Operator,
    load: Load,
) -> Baselines:
    await anyio.sleep(2)
    _print_progress("starting the roll-out of nest-small 4")
    await operator.run("rollout", "start", "nest-small")
    await anyio.sleep(4)
    _print_progress(f"backend server {LEAVING_SERVER} leaves")
    world.announce_leave(LEAVING_SERVER)
    await anyio.sleep(LEAVING_BOUND_S)
    runs_at_leaving = world.runs_on_server(LEAVING_SERVER)
    _print_progress("killing entry-3")
    cluster.kill("entry-3")
    entries.pop("entry-3")
    await anyio.sleep(2)
    _print_progress("starting entry-3 again")
    node = cluster.start_entry(
        "entry-3", DATA_CENTRES[2], rating_url=world.rating_address
    )
    await anyio.to_thread.run_sync(cluster.wait_ready, "entry-3")
    entries["entry-3"] = f"127.0.0.1:{node.port}"
    _print_progress("withdrawing nest-small 4")
    await operator.run("withdraw", ROLLED_OUT_VERSION, "--wait")
    runs_at_withdrawal = world.runs_on_version(ROLLED_OUT_VERSION)
    _print_progress("stopping entry-2 as planned")
    stopped = entries.pop("entry-2")
    status = await anyio.to_thread.run_sync(cluster.stop, "entry-2")
    await anyio.sleep(1)
    cuts = [
        cut
        for answer in load.answers
        for cut in answer.cuts
        if cut.address == stopped
    ]
    _print_progress(f"entry at {stopped} has ended with status {status}")
    for cut in cuts:
        _print_progress(f"cut: {cut.code} at {cut.address}")
    return Baselines(
        ROLLED_OUT_VERSION,
        runs_at_withdrawal,
        LEAVING_SERVER,
        runs_at_leaving,
        status,
        len(cuts),
    )


def _start_processes(cluster: Cluster) -> None:
    for number, vm in enumerate(CONTROLS):
        cluster.start_control(
            vm,
            DATA_CENTRES[number],
            first=number == 0,
            admin_key_hash=hash_key(ADMIN_KEY) if number == 0 else "",
        )
    cluster.wait_ready(*CONTROLS)


def _start_entries(cluster: Cluster, rating_url: str) -> dict[str, str]:
    for number, vm in enumerate(ENTRIES):
        cluster.start_entry(vm, DATA_CENTRES[number], rating_url=rating_url)
    cluster.wait_ready(*ENTRIES)
    return {vm: f"127.0.0.1:{cluster.entries[vm].port}" for vm in ENTRIES}


def _make_operator(cluster: Cluster) -> Operator:
    controls = [
        f"127.0.0.1:{node.operator_port}" for node in cluster.controls.values()
    ]
    return Operator(cluster.folder, controls)


async def _wait_for_voters(operator: Operator) -> None:
    with anyio.fail_after(START_TIMEOUT_S):
        while True:
            status = await operator.run("status")
            roles = [row["role"] for row in status["voters"]]
            if roles.count("follower") == len(CONTROLS) - 1:
                return
            await anyio.sleep(0.2)


async def _wait_for_backends(operator: Operator, count: int) -> None:
    with anyio.fail_after(START_TIMEOUT_S):
        while len((await operator.run("backends"))["backends"]) < count:
            await anyio.sleep(0.2)


def _copy_declarations(folder: Path, examples: Path) -> Path:
    copy = folder / "declarations"
    shutil.copytree(examples / "guild", copy)
    rollout = copy / "rollouts" / "nest-small.toml"
    rollout.write_text(FAST_ROLLOUT)
    return copy


async def _wait_until_idle(load: Load) -> None:
    before = -1
    while before != len(load.answers):
        before = len(load.answers)
        await anyio.sleep(3)


async def _fetch_bills(operator: Operator) -> list[dict[str, Any]]:
    rows: list[dict[str, Any]] = []
    while True:
        after = rows[-1]["sequence"] if rows else 0
        page = await operator.run(
            "bills", "--after", str(after), "--limit", str(BILLS_PER_PAGE)
        )
        rows += page["bills"]
        if len(page["bills"]) < BILLS_PER_PAGE:
            return rows


_print_progress = functools.partial(
    print, "quickstart:", file=sys.stderr, flush=True
)

__all__ = ["run_quickstart"]
