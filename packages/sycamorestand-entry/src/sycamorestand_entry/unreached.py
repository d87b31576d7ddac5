"""Tells control and the log which services this entry does not reach."""

from __future__ import annotations

import logging
from typing import Final
from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from sycamorestand_entry.context import EntryContext

_LOG = logging.getLogger(__name__)
POLL_S: Final = 0.1


async def report_unreached(context: EntryContext) -> None:
    """Report each change of the services that are not reached.

    Other entries then forward nothing through this one, and callers are sent
    elsewhere.
    """
    reported: frozenset[str] = frozenset()
    while True:
        await anyio.sleep(POLL_S)
        unreached = context.servers.unreached_services(context.now_s())
        if unreached == reported:
            continue
        for service in sorted(unreached - reported):
            _LOG.warning(
                "no server of the service reached", extra={"service": service}
            )
        for service in sorted(reported - unreached):
            _LOG.info("service reached again", extra={"service": service})
        reported = unreached
        context.control.set_unreached(unreached)


__all__ = ["report_unreached"]
