"""Handlers of read-only requests: models, addresses, health, metrics."""

from __future__ import annotations

import math
import time
from typing import Any
from typing import TYPE_CHECKING

import msgspec

from sycamorestand_entry.addresses import prefer_reaching
from sycamorestand_entry.http_messages import JSON
from sycamorestand_entry.http_messages import Request
from sycamorestand_entry.http_messages import Responder
from sycamorestand_peer.http_budget import PROCESS_BUDGET

if TYPE_CHECKING:
    from sycamorestand_entry.context import EntryContext
    from sycamorestand_entry.ports import EntryAddress

PROMETHEUS_TEXT = b"text/plain; version=0.0.4; charset=utf-8"


async def answer_models(
    context: EntryContext, request: Request, responder: Responder
) -> None:
    """List the customer's profiles in the format of the OpenAI API."""
    in_force = context.control.in_force()
    customer = context.authenticator.customer(request.headers, in_force)
    names = [
        name
        for name in in_force.declarations.profiles
        if name in customer.profiles
    ]
    content = {
        "object": "list",
        "data": [
            {"id": name, "object": "model", "owned_by": customer.name}
            for name in sorted(names)
        ],
    }
    await _answer_json(responder, content)


async def answer_addresses(
    context: EntryContext, request: Request, responder: Responder
) -> None:
    """List the entry addresses to use, the best one first.

    VMs that are stopping or draining are left out, so that callers no
    longer use them once the time-to-live of earlier answers is over. So are
    those that do not reach the servers of a service, unless none does.
    """
    leaving = set(context.control.in_force().draining_vms)
    if context.stopping:
        leaving.add(context.settings.vm)
    usable = [
        address
        for address in context.control.addresses()
        if not address.stopping and address.vm not in leaving
    ]
    unreached = context.servers.unreached_services(context.now_s())
    usable = prefer_reaching(
        usable, context.settings.vm, tuple(sorted(unreached))
    )
    usable.sort(key=lambda address: _rank(context, address))
    content = {
        "ttl_s": context.settings.address_ttl_s,
        "addresses": [
            {
                "vm": address.vm,
                "data_centre": address.data_centre,
                "url": _url(address),
            }
            for address in usable
        ],
    }
    await _answer_json(responder, content)


async def answer_health(
    context: EntryContext, request: Request, responder: Responder
) -> None:
    """Answer that the process is alive."""
    await _answer_json(responder, {"status": "ok"})


async def answer_readiness(
    context: EntryContext, request: Request, responder: Responder
) -> None:
    """Answer whether this entry accepts new work, with status 200 or 503."""
    lease_s = context.control.lease_remaining_s()
    ready = lease_s > 0 and not context.stopping
    content = {
        "ready": ready,
        "stopping": context.stopping,
        "lease_remaining_s": round(lease_s, 3),
        "revision": context.control.in_force().revision,
    }
    await _answer_json(responder, content, 200 if ready else 503)


async def answer_metrics(
    context: EntryContext, request: Request, responder: Responder
) -> None:
    """Answer with all metrics, for Prometheus."""
    await responder.answer(200, PROMETHEUS_TEXT, metrics_text(context))


def metrics_text(context: EntryContext) -> bytes:
    """Return all metrics in the text format, with gauges updated."""
    _set_gauges(context)
    return context.metrics.render()


def _set_gauges(context: EntryContext) -> None:
    metrics = context.metrics
    metrics.lease_remaining.set({}, context.control.lease_remaining_s())
    metrics.entries.set({}, context.control.entry_count())
    resting = context.server_limits.held.rests.resting(context.now_s())
    metrics.resting_servers.set({}, len(resting))
    metrics.lost.set({}, len(context.server_loss.lost))
    blocked = context.control.in_force().blocked_parts
    metrics.blocked_parts.set({}, len(blocked))
    unreached = context.servers.unreached_services(context.now_s())
    metrics.unreached.set({}, len(unreached))
    metrics.addresses.set({}, len(context.control.addresses()))
    metrics.connections.set({}, PROCESS_BUDGET.connections)
    metrics.connection_bytes.set({}, PROCESS_BUDGET.room.used_bytes)
    for reason, count in PROCESS_BUDGET.refusals.items():
        metrics.refused_connections.set({"reason": reason}, count)
    loads = context.observed_loads
    metrics.load_reporting_servers.set({}, loads.reporting_servers())
    shared_age_s = loads.shared_age_s(context.now_s())
    known_age_s = shared_age_s if math.isfinite(shared_age_s) else -1.0
    metrics.shared_load_age.set({}, known_age_s)
    for target, pool in context.slots.metrics().items():
        for state in ("slots", "in_flight", "waiting"):
            labels = {"target": target, "state": state}
            metrics.pool.set(labels, getattr(pool, state))
    for group, servers in context.servers.metrics(time.monotonic()).items():
        for name, server in servers.items():
            labels = {"backend_server": name, "group": group}
            metrics.in_flight.set(labels, server.in_flight)
            metrics.ejected.set(labels, int(server.ejected))


def _url(address: EntryAddress) -> str:
    host = f"[{address.host}]" if ":" in address.host else address.host
    return f"http://{host}:{address.port}"


def _rank(
    context: EntryContext, address: EntryAddress
) -> tuple[bool, float, str]:
    other_data_centre = address.data_centre != context.settings.data_centre
    return (other_data_centre, round(address.load, 1), address.vm)


async def _answer_json(
    responder: Responder, content: dict[str, Any], status: int = 200
) -> None:
    await responder.answer(status, JSON, msgspec.json.encode(content))


__all__ = [
    "answer_addresses",
    "answer_health",
    "answer_metrics",
    "answer_models",
    "answer_readiness",
    "metrics_text",
]
