"""Which backend server of a plain service takes a call."""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

from sycamorestand_entry.errors import NoBackendServer

if TYPE_CHECKING:
    from collections.abc import Collection

    from sycamorestand_entry.context import EntryContext
    from sycamorestand_model.backend_servers import Announcement

SERVER_RETRY_S: Final = 1.0


def choose_service_server(
    context: EntryContext, service: str, failed: Collection[str]
) -> Announcement:
    """Return the least busy server, one that has not failed if any."""
    holders = [
        server
        for server in context.control.backend_servers().values()
        if service in server.versions and not server.leaving
    ]
    if not holders:
        raise NoBackendServer(
            f"no backend server holds {service}", SERVER_RETRY_S
        )
    fresh = [server for server in holders if server.name not in failed]
    in_flight = context.in_flight
    return min(
        fresh or holders,
        key=lambda server: in_flight.get(server.name, 0) / server.capacity,
    )


__all__ = ["choose_service_server"]
