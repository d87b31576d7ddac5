"""Shared tables as the rows that operators read."""

from __future__ import annotations

from typing import Literal
from typing import TYPE_CHECKING

from sycamorestand_control.operator_api.types import BackendRow
from sycamorestand_control.operator_api.types import NodeRow

if TYPE_CHECKING:
    from collections.abc import Collection

    from sycamorestand_control.tables import SharedTables
    from sycamorestand_state.nodes import NodeRecord


def node_rows(
    tables: SharedTables, draining_vms: Collection[str], own_vm: str
) -> tuple[NodeRow, ...]:
    """Return the entries; revisions only of those served here."""
    rows = []
    for node in sorted(tables.entries().values()):
        state = tables.entry_state(node.vm)
        rows.append(
            NodeRow(
                node.vm,
                node.data_centre,
                f"{node.host}:{node.port}",
                _node_state(node, draining_vms),
                state.acked_revision if state else 0,
                0,
                own_vm if state else "",
            )
        )
    return tuple(rows)


def backend_rows(tables: SharedTables) -> tuple[BackendRow, ...]:
    """Return the backend servers with the load last heard of them."""
    rows = []
    for name, server in sorted(tables.servers().items()):
        load = tables.load(name)
        rows.append(
            BackendRow(
                name,
                server.kind,
                server.address,
                server.data_centre,
                server.versions,
                "leaving" if server.leaving else "serving",
                server.capacity,
                load.running if load else 0,
                load.queued if load else 0,
                int(load.age_s * 1_000) if load else 0,
            )
        )
    return tuple(rows)


def _node_state(
    node: NodeRecord, draining_vms: Collection[str]
) -> Literal["serving", "draining"]:
    if node.stopping or node.vm in draining_vms:
        return "draining"
    return "serving"


__all__ = ["backend_rows", "node_rows"]
