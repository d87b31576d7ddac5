"""Draw a schedule of faults from a seed, and read and write schedules.

A schedule can be printed, stored in a file, shortened by hand and replayed.
"""

from __future__ import annotations

from collections.abc import Collection
from random import Random
from typing import Final
from typing import NamedTuple

import msgspec

LINK_SEPARATOR: Final = ">"
# With fewer than one fault in three seconds, most recoveries see no further
# fault. With more than two a second, no request is served.
STEPS_PER_S: Final = 0.7
# Share of steps after which a second fault hits the same process while it
# recovers, or a random target where the first one hit no process.
REPEAT_PROBABILITY: Final = 0.3
REPEAT_WITHIN_S: Final = 2.0
# The system tolerates one lost disk of three. A second wipe has to come after
# the replacement of the first voter.
WIPE_INTERVAL_S: Final = 25.0
WIPING_FAULTS: Final = ("wipe", "power")


class Step(NamedTuple):
    """One fault: its time since the start of the load and its duration.

    ``target`` is a process, a group of processes, a backend server, or
    ``sender>receiver`` for the link from one process to another.
    """

    at_s: float
    fault: str
    target: str
    for_s: float


class Schedule(NamedTuple):
    """All faults of a run, ordered by time."""

    seed: int
    length_s: float
    steps: tuple[Step, ...]


class Targets(NamedTuple):
    """The names of processes and backend servers that faults may hit."""

    controls: tuple[str, ...]
    entries: tuple[str, ...]
    engines: tuple[str, ...]
    services: tuple[str, ...]

    @property
    def servers(self) -> tuple[str, ...]:
        """Return all backend servers."""
        return (*self.engines, *self.services)


class _FaultKind(NamedTuple):
    weight: int
    targets: str
    shortest_s: float
    longest_s: float


# Durations range from less than a heartbeat interval to more than any lease
# or timeout.
FAULT_KINDS: Final = {
    "kill": _FaultKind(4, "process", 0.1, 5.0),
    "kill_all": _FaultKind(1, "group", 0.1, 2.0),
    "freeze": _FaultKind(4, "process", 0.1, 8.0),
    "stop": _FaultKind(3, "process", 0.0, 2.0),
    "wipe": _FaultKind(1, "control", 0.1, 3.0),
    "torn_tail": _FaultKind(2, "control", 0.1, 2.0),
    "disk_full": _FaultKind(2, "control", 0.5, 5.0),
    "cut": _FaultKind(3, "link", 0.5, 8.0),
    "isolate": _FaultKind(2, "process", 0.5, 8.0),
    "one_way": _FaultKind(3, "link", 0.5, 8.0),
    "silence": _FaultKind(3, "link", 0.0, 0.0),
    "reset": _FaultKind(2, "any", 0.0, 0.0),
    "delay": _FaultKind(2, "any", 0.5, 6.0),
    "server_error": _FaultKind(1, "server", 0.5, 5.0),
    "server_cut": _FaultKind(1, "server", 0.5, 5.0),
    "server_silent": _FaultKind(1, "server", 0.5, 5.0),
    # Not for plain services: their answers may be any bytes, so no process
    # can detect garbage in them.
    "server_garbage": _FaultKind(1, "engine", 0.5, 5.0),
    "server_refuse": _FaultKind(1, "server", 0.5, 5.0),
    "servers_cut": _FaultKind(2, "entry", 0.5, 8.0),
    "servers_refused": _FaultKind(1, "entry", 0.5, 8.0),
    "servers_hung": _FaultKind(1, "entry", 0.5, 8.0),
    "server_leaves": _FaultKind(1, "engine", 0.0, 0.0),
    # Drawn apart, so that the schedules of seeds stay as they were.
    "ending_prompt": _FaultKind(0, "engines", 0.5, 2.0),
    "ending_request": _FaultKind(0, "engines", 0.5, 2.0),
    "late_prompt": _FaultKind(0, "engines", 0.3, 2.5),
    "late_request": _FaultKind(0, "engines", 0.3, 2.5),
    "power": _FaultKind(0, "control", 0.5, 2.0),
    "server_limit": _FaultKind(0, "engines", 5.0, 9.0),
    "server_rest": _FaultKind(0, "engines", 2.0, 5.0),
    "server_endless": _FaultKind(0, "engine", 1.0, 4.0),
    "request_endless": _FaultKind(0, "entry", 1.0, 4.0),
    "crowd": _FaultKind(0, "process", 1.0, 4.0),
}
# Trials of what is blocked come half a minute after it, and count.
LONG_S: Final = 60.0
ENDING_PROMPT_PROBABILITY: Final = 0.3
ENDING_REQUEST_PROBABILITY: Final = 0.4
LATE_FAULTS: Final = ("late_prompt", "late_request")
LATE_PROBABILITY: Final = 0.5
POWER_PROBABILITY: Final = 0.2
LIMIT_PROBABILITY: Final = 0.3
REST_PROBABILITY: Final = 0.5
ENDLESS_PROBABILITY: Final = 0.5
CROWD_PROBABILITY: Final = 0.7


def draw(seed: int, length_s: float, targets: Targets) -> Schedule:
    """Draw the schedule of a seed; equal seeds give equal schedules.

    Wipes lie at least `WIPE_INTERVAL_S` apart, and at most one server
    leaves.
    """
    random = Random(seed)
    steps: list[Step] = []
    last_wipe_s = -WIPE_INTERVAL_S
    has_leaving_server = False
    for _ in range(max(1, int(length_s * STEPS_PER_S))):
        step = _draw_step(random, length_s, targets)
        steps.append(step)
        if random.random() < REPEAT_PROBABILITY:
            end_s = step.at_s + step.for_s
            repeat_s = end_s + random.uniform(0.0, REPEAT_WITHIN_S)
            steps.append(_draw_repeat(random, step, repeat_s, targets))
    steps += _draw_ending(seed, length_s)
    steps += _draw_of_engines(
        "server_limit", LIMIT_PROBABILITY, Random(f"limit {seed}"), length_s
    )
    steps += _draw_of_engines(
        "server_rest", REST_PROBABILITY, Random(f"rest {seed}"), length_s
    )
    steps += _draw_endless(seed, length_s, targets)
    steps += _draw_power(seed, length_s, targets)
    steps += _draw_crowd(seed, length_s, targets)
    allowed: list[Step] = []
    for step in sorted(steps):
        if step.fault in WIPING_FAULTS:
            if step.at_s - last_wipe_s < WIPE_INTERVAL_S:
                continue
            last_wipe_s = step.at_s
        if step.fault == "server_leaves":
            if has_leaving_server:
                continue
            has_leaving_server = True
        if step.at_s <= length_s:
            allowed.append(step)
    return Schedule(seed, length_s, tuple(allowed))


def encode(schedule: Schedule) -> bytes:
    """Return a schedule as text with one step per line."""
    head = f"seed {schedule.seed} length_s {schedule.length_s}"
    lines = [
        f"{s.at_s:.2f} {s.fault} {s.target} {s.for_s:.2f}"
        for s in schedule.steps
    ]
    return "\n".join([head, *lines, ""]).encode()


def decode(text: bytes, kinds: Collection[str] = FAULT_KINDS) -> Schedule:
    """Parse the text of `encode`; lines that begin with ``#`` are comments.

    ``kinds`` are the faults that a step may name. Raises `ValueError` with
    the line that cannot be parsed.
    """
    lines = [line.strip() for line in text.decode().splitlines()]
    rows = [line for line in lines if line and not line.startswith("#")]
    head = rows[0].split() if rows else []
    if len(head) != 4 or head[::2] != ["seed", "length_s"]:
        raise ValueError(f"not the first line of a schedule: {rows[:1]!r}")
    steps = tuple(_read_step(row, kinds) for row in rows[1:])
    return Schedule(int(head[1]), float(head[3]), steps)


def _read_step(row: str, kinds: Collection[str]) -> Step:
    parts = row.split()
    if len(parts) != 4 or parts[1] not in kinds:
        raise ValueError(f"not a step of a schedule: {row!r}")
    return msgspec.convert(
        [float(parts[0]), parts[1], parts[2], float(parts[3])], Step
    )


def _draw_step(random: Random, length_s: float, targets: Targets) -> Step:
    names = list(FAULT_KINDS)
    weights = [FAULT_KINDS[name].weight for name in names]
    fault = random.choices(names, weights)[0]
    at_s = random.uniform(0.0, length_s)
    return _make_step(random, fault, at_s, targets)


def _make_step(
    random: Random, fault: str, at_s: float, targets: Targets
) -> Step:
    kind = FAULT_KINDS[fault]
    for_s = random.uniform(kind.shortest_s, kind.longest_s)
    target = _draw_target(random, kind.targets, targets)
    return Step(round(at_s, 2), fault, target, round(for_s, 2))


def _draw_repeat(
    random: Random, step: Step, at_s: float, targets: Targets
) -> Step:
    """Return a second fault, for the process that ``step`` has hit.

    It gets a random target if ``step`` has hit a link, a group or a server.
    """
    fault = random.choice(("kill", "freeze", "stop", "reset", "isolate"))
    drawn = _make_step(random, fault, at_s, targets)
    processes = (*targets.controls, *targets.entries)
    if step.target in processes:
        return drawn._replace(target=step.target)
    return drawn


def _draw_ending(seed: int, length_s: float) -> list[Step]:
    """Return at most one step, one in a long run.

    Engines are back after its duration.
    """
    if length_s >= LONG_S:
        random = Random(f"long {seed}")
        names = ("ending_prompt", "ending_request", *LATE_FAULTS)
        return _draw_of_engines(random.choice(names), 1.0, random, LONG_S / 2)
    name = "ending_prompt"
    random = Random(f"ending {seed}")
    if random.random() >= ENDING_PROMPT_PROBABILITY:
        name = "ending_request"
        random = Random(f"ending request {seed}")
        if random.random() >= ENDING_REQUEST_PROBABILITY:
            return _draw_late(seed, length_s)
    kind = FAULT_KINDS[name]
    at_s = random.uniform(0.0, length_s / 2)
    for_s = random.uniform(kind.shortest_s, kind.longest_s)
    return [Step(round(at_s, 2), name, kind.targets, round(for_s, 2))]


def _draw_late(seed: int, length_s: float) -> list[Step]:
    """Return at most one step; engines end its duration after a request."""
    random = Random(f"late {seed}")
    name = random.choice(LATE_FAULTS)
    return _draw_of_engines(name, LATE_PROBABILITY, random, length_s)


def _draw_power(seed: int, length_s: float, targets: Targets) -> list[Step]:
    """Return at most one step, which takes a disk and kills all else."""
    random = Random(f"power {seed}")
    if random.random() >= POWER_PROBABILITY:
        return []
    at_s = random.uniform(0.0, length_s)
    return [_make_step(random, "power", at_s, targets)]


def _draw_crowd(seed: int, length_s: float, targets: Targets) -> list[Step]:
    """Return at most one step, a crowd of clients at one process."""
    random = Random(f"crowd {seed}")
    if random.random() >= CROWD_PROBABILITY:
        return []
    at_s = random.uniform(0.0, length_s)
    return [_make_step(random, "crowd", at_s, targets)]


def _draw_endless(seed: int, length_s: float, targets: Targets) -> list[Step]:
    """Return at most one step of each fault that sends without end."""
    steps: list[Step] = []
    for name in ("server_endless", "request_endless"):
        random = Random(f"{name} {seed}")
        if random.random() < ENDLESS_PROBABILITY:
            at_s = random.uniform(0.0, length_s)
            steps.append(_make_step(random, name, at_s, targets))
    return steps


def _draw_of_engines(
    name: str, probability: float, random: Random, length_s: float
) -> list[Step]:
    """Return at most one step of this fault, which hits all engines."""
    if random.random() >= probability:
        return []
    kind = FAULT_KINDS[name]
    at_s = random.uniform(0.0, length_s / 2)
    for_s = random.uniform(kind.shortest_s, kind.longest_s)
    return [Step(round(at_s, 2), name, kind.targets, round(for_s, 2))]


def _draw_target(random: Random, kind: str, targets: Targets) -> str:
    processes = (*targets.controls, *targets.entries)
    if kind == "group":
        return random.choice(("controls", "entries", "processes"))
    if kind == "link":
        sender, receiver = random.sample(processes, 2)
        return f"{sender}{LINK_SEPARATOR}{receiver}"
    choices = {
        "process": processes,
        "control": targets.controls,
        "entry": targets.entries,
        "engine": targets.engines,
        "server": targets.servers,
        "any": (*processes, *targets.servers),
    }
    return random.choice(choices[kind])


__all__ = [
    "decode",
    "draw",
    "encode",
    "FAULT_KINDS",
    "LINK_SEPARATOR",
    "Schedule",
    "Step",
    "Targets",
    "WIPE_INTERVAL_S",
    "WIPING_FAULTS",
]
