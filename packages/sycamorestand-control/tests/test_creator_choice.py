"""Exactly one control process may ever create the cluster."""

from __future__ import annotations

from collections.abc import Iterator
import itertools
from typing import NamedTuple

import pytest

from sycamorestand_control.control_directory import ControlReport
from sycamorestand_control.creator_choice import Appointee
from sycamorestand_control.creator_choice import choose_appointee
from sycamorestand_control.creator_choice import choose_creator
from sycamorestand_control.creator_choice import CreatorChoice
from sycamorestand_control.creator_choice import NO_SEED_HAS_DISK

DISKS = ("d0", "d1", "d2")
OTHERS = ("r0", "r1", "r2")
SEEDS = tuple(itertools.permutations(DISKS + OTHERS, 3))


def report_of(address: str, member_id: str = "") -> ControlReport:
    return ControlReport(
        address, "", has_disk=address in DISKS, member_id=member_id
    )


def reports(*heard: str) -> dict[str, ControlReport]:
    return {address: report_of(address, address + "/0") for address in heard}


class TestCreatorChoice:
    def test_first_seed_with_a_disk_creates_at_once(self) -> None:
        choice = choose_creator("d0", True, ("d0", "r0"), {}.get)
        assert choice == CreatorChoice("d0")

    def test_seed_waits_for_the_reports_of_those_before_it(self) -> None:
        """No cluster was formed where the first seed had no disk."""
        seeds = ("r0", "r1", "d0")
        first = choose_creator("d0", True, seeds, {}.get)
        assert first == CreatorChoice(waits_for=("r0", "r1"))
        one = choose_creator("d0", True, seeds, reports("r1").get)
        assert one == CreatorChoice(waits_for=("r0",))
        both = choose_creator("d0", True, seeds, reports("r0", "r1").get)
        assert both == CreatorChoice("d0")

    def test_earlier_seed_with_a_disk_creates_instead(self) -> None:
        heard = reports("r0", "d1")
        choice = choose_creator("d0", True, ("r0", "d1", "d0"), heard.get)
        assert choice == CreatorChoice("d1")

    def test_appointee_is_blank_and_has_a_disk(self) -> None:
        heard = reports("r0", "d0", "d1")
        heard["d2"] = report_of("d2")
        heard["d0"] = heard["d0"]._replace(in_cluster=True)
        addresses = ("r0", "d2", "d1", "d0")
        chosen = choose_appointee(addresses, heard.get)
        assert chosen == Appointee("d1", "d1/0")
        assert choose_appointee(("r0", "d0"), heard.get) is None


class Process(NamedTuple):
    """``right`` is its file, ``heard`` and ``first`` end with the process.

    ``heard`` has the member id of each process that it has heard.
    """

    right: tuple[str, ...] = ()
    heard: tuple[tuple[str, str], ...] = ()
    first: bool = True
    disk: int = 0


class World(NamedTuple):
    processes: tuple[Process, ...]
    appointee: Appointee | None = None
    sent: frozenset[Appointee] = frozenset()
    created: frozenset[str] = frozenset()


class Play:
    """All orders of what can happen to six processes with some seeds.

    A step is a report that arrives, a decision, an appointment that arrives
    late or twice, or, with ``faults``, a process that is killed and comes
    back later than the first start, with its disk or an empty one.
    """

    def __init__(self, seeds: tuple[str, ...], faults: bool) -> None:
        self._seeds = seeds
        self._faults = faults
        # The others take no part but as appointees.
        has_disk = any(seed in DISKS for seed in seeds)
        extra = () if has_disk else DISKS[:2]
        self._names = (*seeds, *extra)

    def worlds(self) -> Iterator[tuple[World, bool]]:
        """Yield each world that can come, and whether it is the last."""
        begin = World(tuple(self._start(name) for name in self._names))
        seen, waiting = {begin}, [begin]
        while waiting:
            world = waiting.pop()
            following = {each for each in self._next(world) if each != world}
            yield world, not following
            waiting.extend(following - seen)
            seen |= following

    def _start(self, name: str) -> Process:
        if name not in self._seeds or name not in DISKS:
            return Process()
        return Process(self._seeds[: self._seeds.index(name) + 1])

    def _next(self, world: World) -> Iterator[World]:
        for place, name in enumerate(self._names):
            process = world.processes[place]
            for sender in self._needed(name, process):
                other = world.processes[self._names.index(sender)]
                heard = dict(process.heard)
                heard[sender] = f"{sender}/{other.disk}"
                news = tuple(sorted(heard.items()))
                yield _with(world, place, heard=news)
            if name in DISKS:
                yield from self._decide(world, place)
            elif process.first and not place:
                yield self._appoint(world, place)
            if self._faults and (name in DISKS or not place):
                yield _with(world, place, heard=(), first=False)
            if self._faults and name in DISKS and not process.disk:
                yield _with(
                    world, place, right=(), heard=(), first=False, disk=1
                )

    def _needed(self, name: str, process: Process) -> tuple[str, ...]:
        """Return the processes whose reports decide anything here."""
        if name in DISKS:
            return tuple(seed for seed in process.right if seed != name)
        is_appointer = name == self._seeds[0] and process.first
        return self._names[1:] if is_appointer else ()

    def _decide(self, world: World, place: int) -> Iterator[World]:
        name, process = self._names[place], world.processes[place]
        if Appointee(name, f"{name}/{process.disk}") in world.sent:
            yield _with(world, place, right=(name,))
        if process.right == (name,):
            yield world._replace(created=world.created | {name})
        if process.right:
            choice = choose_creator(
                name, True, process.right, _reports(process).get
            )
            if choice.creator == name:
                yield _with(world, place, right=(name,))
            elif choice.creator:
                yield _with(world, place, right=())

    def _appoint(self, world: World, place: int) -> World:
        if world.appointee is not None:
            return world
        heard = _reports(world.processes[place])
        choice = choose_creator(
            self._names[place], False, self._seeds, heard.get
        )
        if choice != NO_SEED_HAS_DISK:
            return world
        chosen = choose_appointee(heard, heard.get)
        sent = world.sent | ({chosen} if chosen else frozenset())
        return world._replace(appointee=chosen, sent=sent)


def _with(world: World, place: int, **changes: object) -> World:
    processes = list(world.processes)
    processes[place] = processes[place]._replace(**changes)
    if changes.get("first") is False and not place:
        # What it has appointed is forgotten, what it has sent is not.
        world = world._replace(appointee=None)
    return world._replace(processes=tuple(processes))


def _reports(process: Process) -> dict[str, ControlReport]:
    return {
        sender: report_of(sender, member_id)
        for sender, member_id in process.heard
    }


class TestEveryOrder:
    @pytest.mark.parametrize("seeds", SEEDS, ids="-".join)
    def test_never_two_create_whoever_is_killed(
        self, seeds: tuple[str, ...]
    ) -> None:
        """Two clusters would each forget what the other acknowledged."""
        for world, _ in Play(seeds, faults=True).worlds():
            assert len(world.created) <= 1, world

    @pytest.mark.parametrize("seeds", SEEDS, ids="-".join)
    def test_one_creates_where_nobody_is_killed(
        self, seeds: tuple[str, ...]
    ) -> None:
        """Three seeds without a disk, or a first one, formed no cluster."""
        ends = [
            world
            for world, is_end in Play(seeds, faults=False).worlds()
            if is_end
        ]
        assert ends
        assert all(len(world.created) == 1 for world in ends)
