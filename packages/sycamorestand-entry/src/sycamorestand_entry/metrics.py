"""Prometheus metrics of an entry process."""

from __future__ import annotations

import math
from typing import Final

from aioprometheus.collectors import Counter
from aioprometheus.collectors import Gauge
from aioprometheus.collectors import Histogram
from aioprometheus.collectors import Registry
from aioprometheus.renderer import render

PREFIX: Final = "sycamorestand_entry_"
# Bounds around the latency objectives of calls (0.2 to 0.4 s) and streams
# (2 to 5 s). The largest ones separate late answers from those that were cut.
BUCKETS_S: Final = (
    *(0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 5.0, 10.0, 25.0),
    math.inf,
)


class Metrics:
    """The metrics of one entry process, in a registry of their own."""

    def __init__(self) -> None:
        self._registry = Registry()
        self.requests = self._counter(
            "requests_total", "Requests by interface and result code"
        )
        self.dispatches = self._counter(
            "dispatches_total", "Requests written to a backend server"
        )
        self.refused_dispatches = self._counter(
            "refused_dispatches_total", "Refusals of the gate by code"
        )
        self.recoveries = self._counter(
            "recoveries_total", "Resumed, restarted and broken runs"
        )
        self.charges = self._counter(
            "charges_total", "Charges by the ledger's answer"
        )
        self.tokens = self._counter(
            "output_tokens_total", "Tokens of whole answers by version"
        )
        self.ledger_failures = self._counter(
            "ledger_failures_total", "Ledger writes without an answer"
        )
        self.announcements = self._counter(
            "announcements_total", "Announcements by result code"
        )
        self.ratings = self._counter(
            "ratings_total", "Ratings asked for, by result"
        )
        self.admissions = self._counter(
            "admissions_total", "Slots given and refused, by result"
        )
        self.admission_refused = self._counter(
            "admission_refused",
            "Requests refused a slot, by priority and rule",
        )
        self.queue_wait = self._counter(
            "queue_wait_seconds_total", "Time that requests waited for slots"
        )
        self.retries = self._counter(
            "retries_total", "Retries asked of the budget, by result"
        )
        self.arrivals = self._counter(
            "arrivals_total", "Arrivals of routed requests by service and kind"
        )
        self.further_attempts = self._counter(
            "further_attempts_total",
            "Further attempts by service, kind, decision and bound",
        )
        self.forwarded = self._counter(
            "forwarded_total",
            "Requests forwarded for other entries, or by them, by result",
        )
        self.broken_servers = self._counter(
            "broken_servers_total",
            "Servers that broke answers off as they began, by what they are",
        )
        self.cascade = self._counter(
            "cascade_steps_total", "Answers of earlier steps, by result"
        )
        self.ledger_wait = self._counter(
            "ledger_wait_seconds_total", "Time spent waiting for the ledger"
        )
        self._duration = self._histogram(
            "routed_seconds", "Time to the end of routed requests"
        )
        self._first_byte = self._histogram(
            "routed_first_byte_seconds", "Time to the first part of answers"
        )
        self.pool = self._gauge(
            "admission", "Slots, running and waiting requests by target"
        )
        self.ejected = self._gauge(
            "ejected", "Backend servers that get no work for a while"
        )
        self.lost = self._gauge(
            "lost", "Backend servers that accept no connection"
        )
        self.resting_servers = self._gauge(
            "resting_servers", "Backend servers that asked for rest"
        )
        self.limited_requests = self._counter(
            "limited_requests_total",
            "Requests for which all servers name a limit, by result",
        )
        self.rests = self._counter(
            "rests_total", "Answers in which a backend server asks for rest"
        )
        self.rested_requests = self._counter(
            "rested_requests_total",
            "Requests for which all servers rest, by result",
        )
        self.load_messages = self._counter(
            "load_messages_total",
            "Messages with loads of backend servers, by direction",
        )
        self.load_reporting_servers = self._gauge(
            "load_reporting_servers",
            "Backend servers that report their slowness",
        )
        self.shared_load_age = self._gauge(
            "shared_load_age_seconds",
            "Age of the newest loads summed over entries, -1 without any",
        )
        self.blocked_parts = self._gauge(
            "blocked_parts", "Prompt parts whose requests are refused"
        )
        self.unreached = self._gauge(
            "unreached", "Services none of whose servers this entry reaches"
        )
        self.addresses = self._gauge(
            "addresses", "Entries that callers are told of, by this entry"
        )
        self.entries = self._gauge(
            "entries", "Entries that there are, by the last lease"
        )
        self.lease_remaining = self._gauge(
            "lease_remaining_seconds", "What is left of the lease"
        )
        self.connections = self._gauge(
            "connections", "Connections of clients at all doors"
        )
        self.connection_bytes = self._gauge(
            "connection_bytes",
            "What connections and bodies take of the room that they share",
        )
        self.refused_connections = self._gauge(
            "refused_connections_total",
            "Connections that are not read on, by reason",
        )
        self.in_flight = self._gauge(
            "in_flight", "Requests that run, by backend server"
        )

    def count_routed_request(
        self, kind: str, result: str, duration_s: float, first_byte_s: float
    ) -> None:
        """Count a routed request and record its durations.

        A negative ``first_byte_s`` means that no byte came. The label is
        the kind of route, because there may be thousands of routes and the
        buckets of each label value stay in memory for ever.
        """
        self.requests.inc({"interface": "routed", "result": result})
        self._duration.add({"kind": kind}, duration_s)
        if first_byte_s >= 0:
            self._first_byte.add({"kind": kind}, first_byte_s)

    def render(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        body, _ = render(self._registry, [])
        return body

    def _counter(self, name: str, doc: str) -> Counter:
        return Counter(PREFIX + name, doc, registry=self._registry)

    def _histogram(self, name: str, doc: str) -> Histogram:
        return Histogram(
            PREFIX + name, doc, registry=self._registry, buckets=BUCKETS_S
        )

    def _gauge(self, name: str, doc: str) -> Gauge:
        return Gauge(PREFIX + name, doc, registry=self._registry)


__all__ = ["Metrics"]
