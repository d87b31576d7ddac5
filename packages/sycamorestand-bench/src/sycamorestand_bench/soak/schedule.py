"""What is done to the system and when, drawn from a seed.

A schedule is data: it can be printed, kept as a file, shortened by hand
and played again.
"""

from __future__ import annotations

from random import Random
from typing import Final
from typing import NamedTuple

import msgspec

LINK_SEPARATOR: Final = ">"
# Fewer than one fault in three seconds leaves most recoveries undisturbed;
# more than two a second and nobody is ever served.
STEPS_PER_S: Final = 0.7
# A step that hits the same target again while it recovers.
REPEAT_PROBABILITY: Final = 0.3
REPEAT_WITHIN_S: Final = 2.0
# One lost disk of three is what the system bears. The next one is taken
# only when the first has surely been repaired.
WIPE_INTERVAL_S: Final = 25.0


class Step(NamedTuple):
    """One fault: its begin from the start of the load, and its length.

    ``target`` is a process, a backend server, or ``sender>receiver`` for
    what one process sends to another.
    """

    at_s: float
    fault: str
    target: str
    for_s: float


class Schedule(NamedTuple):
    """All faults of a run, in their order."""

    seed: int
    length_s: float
    steps: tuple[Step, ...]


class Targets(NamedTuple):
    """What may be harmed, by name."""

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


# Lengths reach from below a heartbeat to beyond every lease and time limit.
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
    # A plain service's garbage is its answer: nobody between can tell.
    "server_garbage": _FaultKind(1, "engine", 0.5, 5.0),
    "server_refuse": _FaultKind(1, "server", 0.5, 5.0),
    "server_leaves": _FaultKind(1, "engine", 0.0, 0.0),
}


def draw(seed: int, length_s: float, targets: Targets) -> Schedule:
    """Return the schedule of a seed; equal seeds give equal schedules."""
    random = Random(seed)
    steps: list[Step] = []
    wiped_s = -WIPE_INTERVAL_S
    left = False
    for _ in range(max(1, int(length_s * STEPS_PER_S))):
        step = _draw_step(random, length_s, targets)
        steps.append(step)
        if random.random() < REPEAT_PROBABILITY:
            end_s = step.at_s + step.for_s
            again_s = end_s + random.uniform(0.0, REPEAT_WITHIN_S)
            steps.append(_draw_repeat(random, step, again_s, targets))
    allowed: list[Step] = []
    for step in sorted(steps):
        if step.fault == "wipe":
            if step.at_s - wiped_s < WIPE_INTERVAL_S:
                continue
            wiped_s = step.at_s
        if step.fault == "server_leaves":
            if left:
                continue
            left = True
        if step.at_s <= length_s:
            allowed.append(step)
    return Schedule(seed, length_s, tuple(allowed))


def encode(schedule: Schedule) -> bytes:
    """Return a schedule as text, a step a line."""
    head = f"seed {schedule.seed} length_s {schedule.length_s}"
    lines = [
        f"{s.at_s:.2f} {s.fault} {s.target} {s.for_s:.2f}"
        for s in schedule.steps
    ]
    return "\n".join([head, *lines, ""]).encode()


def decode(text: bytes) -> Schedule:
    """Read what `encode` wrote; lines that begin with ``#`` are passed.

    Raises `ValueError` with the line that cannot be read.
    """
    lines = [line.strip() for line in text.decode().splitlines()]
    rows = [line for line in lines if line and not line.startswith("#")]
    head = rows[0].split() if rows else []
    if len(head) != 4 or head[::2] != ["seed", "length_s"]:
        raise ValueError(f"not the head of a schedule: {rows[:1]!r}")
    steps = tuple(_read_step(row) for row in rows[1:])
    return Schedule(int(head[1]), float(head[3]), steps)


def _read_step(row: str) -> Step:
    parts = row.split()
    if len(parts) != 4 or parts[1] not in FAULT_KINDS:
        raise ValueError(f"not a step: {row!r}")
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
    """Return a step that hits a process again, in its recovery."""
    fault = random.choice(("kill", "freeze", "stop", "reset", "isolate"))
    drawn = _make_step(random, fault, at_s, targets)
    known = (*targets.controls, *targets.entries)
    if step.target in known:
        return drawn._replace(target=step.target)
    return drawn


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
]
