"""Sums of the work that entries have in flight at each server.

The load pattern is a burst at many entries that send to the same few servers.
Each entry knows its own requests, and of the others' only what a server
reported with its last answer, so that all send to the server that looked idle
before the burst. The control processes add up what entries report, and send
the sums to all entries.

Every report is valid for a short time, so that the part of an entry or a
control process that dies expires. Control processes send each other the sums
of their own entries alone; no request is counted twice.
"""

from __future__ import annotations

import math
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

from sycamorestand_decisions.load_checks import is_sound_header
from sycamorestand_decisions.load_checks import REPORT_LIFETIME_S
from sycamorestand_decisions.load_checks import sound_count
from sycamorestand_model.server_loads import SharedLoad

if TYPE_CHECKING:
    from collections.abc import Container
    from collections.abc import Mapping

    from sycamorestand_model.server_loads import EntryLoad
    from sycamorestand_model.server_loads import LoadHeader

# Between two messages to a receiver.
INTERVAL_S: Final = 0.5
# Entries use a sum for 3 s (`observed_loads`).
ENTRY_REPEAT_S: Final = 2.0
# A partial sum must be repeated well before its `REPORT_LIFETIME_S` ends.
# Repeated every 2 s, an unchanged one would expire at its receivers whenever
# a message is late.
CONTROL_REPEAT_S: Final = 1.0
MAX_PER_MESSAGE: Final = 64
# Twice the target size, so that a fault cannot exhaust the memory.
MAX_SENDERS: Final = 660
MAX_SERVERS: Final = 2048


class Sums(NamedTuple):
    """Sums by server: of this process's entries, and of all entries."""

    partial: dict[str, SharedLoad]
    total: dict[str, SharedLoad]


class _Report(NamedTuple):
    requests: int
    tokens: int
    header: LoadHeader | None
    header_s: float
    at_s: float


_Reports = dict[str, dict[str, _Report]]


class LoadSums:
    """The last reports of entries and of other control processes.

    >>> from sycamorestand_model.server_loads import EntryLoad
    >>> sums = LoadSums()
    >>> sums.record_entry("e1", {"s-1": EntryLoad(None, 0.0, 2, 800)}, 10.0)
    >>> sums.record_entry("e2", {"s-1": EntryLoad(None, 0.0, 1, 300)}, 10.5)
    >>> sums.sums({"s-1"}, 11.0).total["s-1"].requests
    3
    >>> sums.sums({"s-1"}, 12.0).total["s-1"].requests
    1
    """

    def __init__(self) -> None:
        self._entries: _Reports = {}
        self._controls: _Reports = {}

    def record_entry(
        self, sender: str, loads: Mapping[str, EntryLoad], now_s: float
    ) -> None:
        """Store what an entry reports of its own work, by server."""
        _record(self._entries, sender, loads, now_s)

    def record_partial(
        self, sender: str, loads: Mapping[str, SharedLoad], now_s: float
    ) -> None:
        """Store the sums of another control process's entries, by server."""
        _record(self._controls, sender, loads, now_s)

    def sums(self, known: Container[str], now_s: float) -> Sums:
        """Return the sums over all valid reports of the known servers."""
        _drop_old(self._entries, now_s)
        _drop_old(self._controls, now_s)
        partial: dict[str, _Report] = {}
        _add_up(partial, self._entries, known)
        total = dict(partial)
        _add_up(total, self._controls, known)
        return Sums(_shared(partial, now_s), _shared(total, now_s))

    def oldest_age_s(self, now_s: float) -> float:
        """Return the age of the oldest report in the sums, 0 without any."""
        at_s = [
            report.at_s
            for reports in (self._entries, self._controls)
            for by_server in reports.values()
            for report in by_server.values()
        ]
        return max(0.0, now_s - min(at_s)) if at_s else 0.0


class UnsentLoads:
    """Chooses the sums to send next, for one kind of receiver.

    Changed sums come first, and all are repeated every ``repeat_s``. What a
    receiver gets is bounded: in one interval `MAX_PER_MESSAGE` servers, or the
    share of them that the repetition needs.
    """

    def __init__(self, repeat_s: float) -> None:
        self._repeat_s = repeat_s
        self._intervals = round(repeat_s / INTERVAL_S)
        self._sent: dict[str, tuple[SharedLoad, float]] = {}

    def take(
        self, sums: Mapping[str, SharedLoad], now_s: float
    ) -> list[dict[str, SharedLoad]]:
        """Return what to send now, at most `MAX_PER_MESSAGE` in a part.

        A server that is no longer in the sums is sent once with no work.
        """
        nothing = SharedLoad(None, 0.0, 0, 0)
        gone = {name: nothing for name in self._sent if name not in sums}
        # A call may come early by up to half an interval. Otherwise a sum
        # would be repeated a whole interval late.
        repeat_s = self._repeat_s - INTERVAL_S / 2
        due: list[tuple[float, str]] = []
        for name, load in (*sums.items(), *gone.items()):
            sent, sent_s = self._sent.get(name, (None, -math.inf))
            if now_s - sent_s >= repeat_s or _differs(load, sent):
                due.append((sent_s, name))
        due.sort()
        share = math.ceil((len(sums) + len(gone)) / self._intervals)
        names = [name for _, name in due[: max(MAX_PER_MESSAGE, share)]]
        for name in names:
            if name in gone:
                del self._sent[name]
            else:
                self._sent[name] = (sums[name], now_s)
        return [
            {
                name: sums.get(name, nothing)
                for name in names[begin : begin + MAX_PER_MESSAGE]
            }
            for begin in range(0, len(names), MAX_PER_MESSAGE)
        ]


def _differs(load: SharedLoad, sent: SharedLoad | None) -> bool:
    """Return whether anything but the age has changed."""
    return sent is None or load._replace(age_s=sent.age_s) != sent


def _record(
    reports: _Reports,
    sender: str,
    loads: Mapping[str, EntryLoad] | Mapping[str, SharedLoad],
    now_s: float,
) -> None:
    if sender not in reports and len(reports) >= MAX_SENDERS:
        return
    by_server = reports.setdefault(sender, {})
    for name, (header, age_s, requests, tokens) in loads.items():
        if name not in by_server and len(by_server) >= MAX_SERVERS:
            continue
        is_sound = is_sound_header(header, age_s)
        by_server[name] = _Report(
            sound_count(requests),
            sound_count(tokens),
            header if is_sound else None,
            now_s - age_s if is_sound else -math.inf,
            now_s,
        )


def _drop_old(reports: _Reports, now_s: float) -> None:
    for sender, by_server in list(reports.items()):
        old = [
            name
            for name, report in by_server.items()
            if now_s - report.at_s >= REPORT_LIFETIME_S
        ]
        for name in old:
            del by_server[name]
        if not by_server:
            del reports[sender]


def _add_up(
    sums: dict[str, _Report], reports: _Reports, known: Container[str]
) -> None:
    for by_server in reports.values():
        for name, report in by_server.items():
            so_far = sums.get(name)
            if so_far is not None:
                newest = max(so_far, report, key=_header_time)
                sums[name] = _Report(
                    so_far.requests + report.requests,
                    so_far.tokens + report.tokens,
                    newest.header,
                    newest.header_s,
                    report.at_s,
                )
            elif name in known:
                sums[name] = report


def _header_time(report: _Report) -> float:
    return report.header_s


def _shared(sums: dict[str, _Report], now_s: float) -> dict[str, SharedLoad]:
    return {
        name: SharedLoad(
            report.header,
            now_s - report.header_s if report.header is not None else 0.0,
            report.requests,
            report.tokens,
        )
        for name, report in sums.items()
    }


__all__ = [
    "CONTROL_REPEAT_S",
    "ENTRY_REPEAT_S",
    "INTERVAL_S",
    "LoadSums",
    "MAX_PER_MESSAGE",
    "MAX_SENDERS",
    "MAX_SERVERS",
    "Sums",
    "UnsentLoads",
]
