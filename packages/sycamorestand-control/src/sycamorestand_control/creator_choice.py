"""Which control process may create the cluster at the first start.

At the first start all processes have the same list of seeds, and some of the
seeds may have no disk. The first seed with a disk creates the cluster. A
process knows that a seed has none only from that seed's own report: silence
decides nothing, or two processes that do not hear each other could create a
cluster each. Where no seed has a disk, the first seed appoints one process
that has one.
"""

from __future__ import annotations

from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Sequence

    from sycamorestand_control.control_directory import ControlReport

    ReportOf = Callable[[str], ControlReport | None]


class CreatorChoice(NamedTuple):
    """The creator's address, or the seeds whose reports are waited for.

    Without either, none of the seeds has a disk.
    """

    creator: str = ""
    waits_for: tuple[str, ...] = ()


NO_SEED_HAS_DISK: Final = CreatorChoice()


class Appointee(NamedTuple):
    """A process with a disk; the member id tells one disk from the next."""

    address: str
    member_id: str


def choose_creator(
    own_address: str,
    own_has_disk: bool,
    seeds: Sequence[str],
    report_of: ReportOf,
) -> CreatorChoice:
    """Return the first of the seeds that has a disk, once that is known."""
    unheard: list[str] = []
    for seed in seeds:
        report = report_of(seed)
        if seed == own_address:
            has_disk = own_has_disk
        elif report is None:
            unheard.append(seed)
            continue
        else:
            has_disk = report.has_disk
        if has_disk:
            break
    else:
        seed = ""
    if unheard:
        return CreatorChoice(waits_for=tuple(unheard))
    return CreatorChoice(seed)


def choose_appointee(
    addresses: Iterable[str], report_of: ReportOf
) -> Appointee | None:
    """Return the process to appoint of those with a disk, None without any.

    Any of them would do, as the appointing process chooses once.
    """
    blank = [
        Appointee(address, report.member_id)
        for address in addresses
        if (report := report_of(address)) is not None
        and report.has_disk
        and report.member_id
        and not report.in_cluster
    ]
    return min(blank, default=None)


__all__ = [
    "Appointee",
    "choose_appointee",
    "choose_creator",
    "CreatorChoice",
    "NO_SEED_HAS_DISK",
]
