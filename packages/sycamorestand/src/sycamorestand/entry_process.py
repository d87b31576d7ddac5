"""Run an entry: its data path and its link to the control processes."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import anyio

from sycamorestand_entry.control.link import ControlLink
from sycamorestand_entry.control.link import LinkSettings
from sycamorestand_entry.routed.forwarding import new_forwarding_key
from sycamorestand_entry.server import serve_entry
from sycamorestand_entry.settings import EntrySettings
from sycamorestand_model.entry_reports import EntryAddress
from sycamorestand_peer.http_budget import PROCESS_BUDGET

if TYPE_CHECKING:
    from sycamorestand_entry.server import RunningEntry


async def run_entry(values: dict[str, Any], stop: anyio.Event) -> None:
    """Serve callers until ``stop`` is set and the planned stop is complete."""
    PROCESS_BUDGET.configure(values["memory_limit_mb"])
    settings = make_entry_settings(values)
    address = EntryAddress(
        settings.vm,
        settings.data_centre,
        settings.host,
        settings.port,
        forwarding_key=settings.forwarding_key,
        region=values["region"],
    )
    link = ControlLink(_link_settings(values), lambda: address)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(link.run)
        async with anyio.create_task_group() as serving:
            entry = await serving.start(serve_entry, settings, link)
            serving.start_soon(_stop_when_asked, stop, entry)
        tasks.cancel_scope.cancel()


async def _stop_when_asked(stop: anyio.Event, entry: RunningEntry) -> None:
    await stop.wait()
    entry.begin_stop()


def _link_settings(values: dict[str, Any]) -> LinkSettings:
    return LinkSettings(
        vm=values["vm"],
        data_centre=values["data_centre"],
        peer_address=values["peer_address"],
        control_addresses=values["control_addresses"],
        cluster_keys=values["cluster_key_file"],
        peer_listen=values["peer_listen"],
        tls=values["tls"],
    )


def make_entry_settings(values: dict[str, Any]) -> EntrySettings:
    """Return the settings of the data path from the values read at start."""
    return EntrySettings(
        vm=values["vm"],
        data_centre=values["data_centre"],
        host=values["host"],
        port=values["port"],
        backend_keys=values["backend_key_file"],
        rating_url=values["rating_url"],
        address_ttl_s=values["address_ttl_s"],
        forwarding_key=new_forwarding_key(),
        max_header_bytes=values["max_header_bytes"],
        header_timeout_s=values["header_timeout_s"],
        keep_alive_s=values["idle_timeout_s"],
    )


__all__ = ["make_entry_settings", "run_entry"]
