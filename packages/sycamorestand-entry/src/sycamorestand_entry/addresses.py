"""Which of the known entries callers are sent to."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sycamorestand_model.entry_reports import EntryAddress


def prefer_reaching(
    addresses: Sequence[EntryAddress], own_vm: str, unreached: tuple[str, ...]
) -> list[EntryAddress]:
    """Return the entries that reach the servers of all services.

    Callers of the others are served by way of these, so they may as well
    call them. If there are none, all entries are returned: then the servers
    are down, not the links. ``unreached`` is what the own entry does not
    reach now, which the addresses may not tell yet.
    """
    reaching = [
        address
        for address in addresses
        if not (unreached if address.vm == own_vm else address.unreached)
    ]
    return reaching or list(addresses)


__all__ = ["prefer_reaching"]
