"""The control processes that this one knows, and what they report.

The settings of a process may name any control processes: some without a
disk, some that are gone, or this one alone. A process therefore learns of
further ones from those that it hears. An address is passed on only by a
process that has heard it directly or has it in its log, so that an address
that nobody hears any more is forgotten.
"""

from __future__ import annotations

from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

from sycamorestand_peer.clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

# A control process reports each second.
HEARD_WITHIN_S: Final = 3.0
# Longer than a restart, so that a process that starts again is not forgotten
# by those that it does not know.
PASSED_ON_WITHIN_S: Final = 10.0
# The process that passed an address on repeats it each second.
TOLD_WITHIN_S: Final = 5.0
# A process that was cut off for longer is found through the settings or the
# members of the log.
FORGET_AFTER_S: Final = 600.0
# An address that is gone is not handed down over restarts that are further
# apart.
RECALLED_S: Final = 60.0
MAX_CONTROLS: Final = 64


class ControlReport(NamedTuple):
    """What a control process reports of itself to the others.

    ``serves`` says that it can answer orders and reads now: its log has
    members and it knows the configuration's leader. ``in_cluster`` says that
    its configuration log has members. ``known`` are the control processes
    that it has heard itself lately and the members of its log.
    """

    vm: str
    data_centre: str
    has_disk: bool = True
    serves: bool = False
    in_cluster: bool = False
    member_id: str = ""
    known: tuple[str, ...] = ()


class ControlDirectory:
    """Keeps the addresses and last reports of the control processes.

    ``named`` are the addresses in the settings, ``now_s`` returns the time
    in seconds of the boot clock. The process's own address is never listed,
    but `report_of` returns its report once that is recorded.
    """

    def __init__(
        self,
        own_address: str,
        named: Iterable[str] = (),
        now_s: Callable[[], float] = boottime_s,
    ) -> None:
        self._own_address = own_address
        self._now_s = now_s
        self._named: tuple[str, ...] = ()
        self._reports: dict[str, ControlReport] = {}
        self._heard_s: dict[str, float] = {}
        self._told_until_s: dict[str, float] = {}
        self._recalled: tuple[str, ...] = ()
        self._recalled_until_s = 0.0
        self._in_cluster: set[str] = set()
        self.set_named(named)

    def set_named(self, addresses: Iterable[str]) -> None:
        """Replace the addresses that the settings name."""
        self._named = self._without_own(addresses)

    def record(self, sender: str, report: ControlReport) -> None:
        """Record a report and the addresses that it passes on."""
        now_s = self._now_s()
        self._reports[sender] = report
        if sender == self._own_address:
            return
        self._heard_s[sender] = now_s
        if report.in_cluster and len(self._in_cluster) < MAX_CONTROLS:
            self._in_cluster.add(sender)
        for address in self._without_own(report.known):
            self._told_until_s[address] = now_s + TOLD_WITHIN_S
        self._forget(now_s)

    def recall(self, addresses: Iterable[str]) -> None:
        """List processes that were known before this process started."""
        self._recalled = self._without_own(addresses)
        self._recalled_until_s = self._now_s() + RECALLED_S

    def report_of(self, address: str) -> ControlReport | None:
        """Return a process's last report, None if it was never heard."""
        return self._reports.get(address)

    def is_heard(self, address: str) -> bool:
        """Return whether a process has reported within `HEARD_WITHIN_S`."""
        return self._is_heard_within(address, HEARD_WITHIN_S)

    def serving(self) -> tuple[str, ...]:
        """Return those that can answer now, the one heard last first."""
        return tuple(
            address
            for address in self.with_disk()
            if self._reports[address].serves
        )

    def with_disk(self) -> tuple[str, ...]:
        """Return those with a disk that are heard, the last one first."""
        return tuple(
            address
            for address in self._heard_last_first()
            if self._reports[address].has_disk and self.is_heard(address)
        )

    def heard_lately(self) -> tuple[str, ...]:
        """Return those to pass on to others, the one heard last first."""
        return tuple(
            address
            for address in self._heard_last_first()
            if self._is_heard_within(address, PASSED_ON_WITHIN_S)
        )

    def addresses(self) -> tuple[str, ...]:
        """Return all processes to report to and to ask, at most 64.

        These are the ones in the settings, then those that were heard, then
        those that others have passed on lately, then recalled ones.
        """
        now_s = self._now_s()
        told = [
            address
            for address, until_s in self._told_until_s.items()
            if now_s < until_s
        ]
        heard = self._heard_last_first()
        recalled = self._recalled if now_s < self._recalled_until_s else ()
        every = dict.fromkeys((*self._named, *heard, *told, *recalled))
        return tuple(every)[:MAX_CONTROLS]

    def cluster_heard(self, besides: str = "") -> bool:
        """Return whether any process heard so far belongs to a cluster.

        What the process ``besides`` has reported itself does not count.
        """
        return bool(self._in_cluster - {besides})

    def _without_own(self, addresses: Iterable[str]) -> tuple[str, ...]:
        others = (each for each in addresses if each != self._own_address)
        return tuple(dict.fromkeys(others))[:MAX_CONTROLS]

    def _heard_last_first(self) -> list[str]:
        return sorted(self._heard_s, key=lambda a: -self._heard_s[a])

    def _is_heard_within(self, address: str, limit_s: float) -> bool:
        at_s = self._heard_s.get(address)
        return at_s is not None and self._now_s() - at_s < limit_s

    def _forget(self, now_s: float) -> None:
        """Drop what is too old, and the oldest beyond `MAX_CONTROLS`."""
        for place, address in enumerate(self._heard_last_first()):
            is_old = now_s - self._heard_s[address] >= FORGET_AFTER_S
            if is_old or place >= MAX_CONTROLS:
                del self._heard_s[address]
                del self._reports[address]
        newest_first = sorted(
            self._told_until_s, key=lambda a: -self._told_until_s[a]
        )
        for place, address in enumerate(newest_first):
            is_old = now_s >= self._told_until_s[address]
            if is_old or place >= MAX_CONTROLS:
                del self._told_until_s[address]


__all__ = ["ControlDirectory", "ControlReport", "MAX_CONTROLS"]
