"""Prometheus metrics of a control process, read at each scrape."""

from __future__ import annotations

from resource import getrusage
from resource import RUSAGE_SELF
from typing import Final
from typing import TYPE_CHECKING

from aioprometheus.collectors import Counter
from aioprometheus.collectors import Gauge
from aioprometheus.collectors import Registry
from aioprometheus.renderer import render

from sycamorestand_peer.http_budget import PROCESS_BUDGET

if TYPE_CHECKING:
    from sycamorestand_control.arrival_lender import ArrivalLender
    from sycamorestand_control.leader_balancer import LeaderBalancer
    from sycamorestand_control.ledger_writer import LedgerWriter
    from sycamorestand_control.limit_controller import LimitController
    from sycamorestand_control.load_exchange import LoadExchange
    from sycamorestand_control.operator_backend import Parts
    from sycamorestand_control.order_turns import OrderTurns
    from sycamorestand_control.orders.service import Orders
    from sycamorestand_control.part_controller import PartController

BYTES_PER_KIBIBYTE: Final = 1024
PREFIX: Final = "sycamorestand_control_"
PROMETHEUS_TEXT: Final = ["text/plain"]


class ControlMetrics:
    """Exports the state of a control process from its own registry.

    The parts keep plain counters, which are copied to gauges at each
    scrape. Between scrapes this costs the event loop nothing.
    """

    def __init__(
        self,
        parts: Parts,
        writers: list[LedgerWriter],
        orders: Orders,
        balancer: LeaderBalancer,
        lender: ArrivalLender,
        prompt_parts: PartController,
        limits: LimitController,
        loads: LoadExchange,
        turns: OrderTurns,
    ) -> None:
        self._parts = parts
        self._turns = turns
        self._writers = writers
        self._orders = orders
        self._balancer = balancer
        self._lender = lender
        self._prompt_parts = prompt_parts
        self._limits = limits
        self._loads = loads
        self._registry = Registry()
        self.refusals = Counter(
            PREFIX + "operator_refusals_total",
            "Operators' requests refused, by code",
            registry=self._registry,
        )
        self._gauges: dict[str, Gauge] = {}

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        self._read_logs()
        self._read_voters()
        self._read_leases()
        self._read_tables()
        self._read_links()
        self._read_ledger()
        self._read_orders()
        self._read_loans()
        self._read_prompt_parts()
        self._read_limits()
        self._read_loads()
        self._set(
            "order_bytes",
            "Bodies of operators' requests that wait or are worked on",
            self._turns.room.used_bytes,
        )
        self._set(
            "orders_waiting",
            "Orders with whole declarations that wait for their turn",
            self._turns.waiting,
        )
        self._read_connections()
        self._set(
            "peak_memory_bytes",
            "The most memory that this process has used",
            getrusage(RUSAGE_SELF).ru_maxrss * BYTES_PER_KIBIBYTE,
        )
        content: bytes = render(self._registry, PROMETHEUS_TEXT)[0]
        return content

    def _read_logs(self) -> None:
        for group, replica in self._parts.groups.replicas.items():
            status = replica.status()
            labels = {"log": str(group)}
            self._set("log_term", "Term of a log", status.term, labels)
            self._set(
                "log_commit_index",
                "Committed entries of a log",
                status.commit_index,
                labels,
            )
            self._set(
                "log_applied_index",
                "Entries of a log that the state machine has applied",
                status.applied_index,
                labels,
            )
            self._set(
                "log_leads",
                "1 where this voter leads the log",
                status.role == "leader",
                labels,
            )
            for part, size_bytes in replica.sizes()._asdict().items():
                self._set(
                    "log_bytes",
                    "What a log holds, by part",
                    size_bytes,
                    {**labels, "part": part},
                )
            self._set(
                "log_disk_full",
                "1 where the voter steps aside for want of disk",
                status.state == "disk_full",
                labels,
            )

        for part, size in self._parts.configuration.sizes()._asdict().items():
            self._set(
                "configuration_bytes",
                "What the history of changes takes, by part",
                size,
                {"part": part},
            )
        self._set(
            "failed_commands_total",
            "Committed commands refused because of a fault of this release",
            self._parts.configuration.faults + self._parts.ledger.faults,
        )

    def _read_connections(self) -> None:
        self._set(
            "connections",
            "Connections of clients at all doors",
            PROCESS_BUDGET.connections,
        )
        self._set(
            "connection_bytes",
            "What connections take of the room that they share",
            PROCESS_BUDGET.room.used_bytes,
        )
        for reason, count in PROCESS_BUDGET.refusals.items():
            self._set(
                "refused_connections_total",
                "Connections that are not read on, by reason",
                count,
                {"reason": reason},
            )

    def _read_voters(self) -> None:
        found = self._parts.voter_tolerance()
        self._set("voters", "Voters of the configuration", found.voters)
        self._set("voters_wanted", "Voters wanted", self._parts.voters_wanted)
        self._set(
            "voter_losses_survived",
            "How many voters may be lost at the same time",
            found.lost_voters,
        )
        self._set(
            "data_centre_loss_survived",
            "1 where no data centre has a majority of the voters",
            found.survives_data_centre,
        )

    def _read_leases(self) -> None:
        parts = self._parts
        revision = parts.configuration.revision
        answer = parts.leases.in_force(revision)
        self._set("revision", "Configuration revision applied here", revision)
        self._set(
            "in_force",
            "1 where the leader knows the revision in force everywhere",
            bool(answer and answer.in_force),
        )
        self._set(
            "lease_remaining_seconds",
            "How long this process may still grant leases",
            parts.leases.remaining_s(),
        )
        self._set(
            "differing_controls",
            "Control processes that applied the log differently",
            len(parts.leases.differing),
        )
        self._set(
            "live_entry_leases",
            "Entries of this process whose lease may run",
            len(parts.leases.live_entries()),
        )

    def _read_tables(self) -> None:
        tables = self._parts.tables
        in_force = self._parts.configuration.in_force()
        self._set(
            "draining_data_centres",
            "Data centres whose backend servers get no new work",
            len(in_force.draining_data_centres),
        )
        self._set("entries", "Entries known", len(tables.entries()))
        self._set(
            "backend_servers", "Backend servers known", len(tables.servers())
        )
        self._set(
            "table_resyncs_total", "Gaps found by digest", tables.resyncs
        )
        self._set(
            "joiners_waiting",
            "Control processes that ask to replace a voter",
            len(self._parts.admissions.waiting_joiners()),
        )

    def _read_links(self) -> None:
        counters = self._parts.mesh.counters
        self._set(
            "link_queued_bytes",
            "What waits to be sent to peers",
            self._parts.mesh.queued_bytes(),
        )
        self._set(
            "held_up_seconds_total",
            "Time for which this process got no processor",
            self._parts.mesh.clock.held_up_s,
        )
        for name, count in vars(counters).items():
            if isinstance(count, int):
                self._set(f"link_{name}_total", f"Links: {name}", count)
        for kind, count in counters.refusals.counts.items():
            self._set(
                "link_refused_frames_total",
                "Frames refused, by reason",
                count,
                {"reason": str(kind)},
            )

    def _read_ledger(self) -> None:
        for shard, writer in enumerate(self._writers):
            labels = {"shard": str(shard)}
            self._set(
                "ledger_records_total",
                "Ledger records gathered here",
                writer.records,
                labels,
            )
            self._set(
                "ledger_proposals_total",
                "Proposals that carried them",
                writer.proposals,
                labels,
            )

    def _read_orders(self) -> None:
        for phase, count in self._orders.channel.phases.items():
            self._set(
                "orders_total",
                "Orders to engines, by phase",
                count,
                {"phase": phase},
            )
        for reason, count in self._orders.store.refusals.items():
            self._set(
                "weight_store_refusals_total",
                "Loads that the weight store put off, by reason",
                count,
                {"reason": str(reason)},
            )
        self._set(
            "shard_hand_overs_total",
            "Shards handed over to their preferred leader",
            self._balancer.hand_overs,
        )

    def _read_loans(self) -> None:
        self._set(
            "arrivals_asked_total",
            "Further arrivals that entries asked to borrow",
            self._lender.asked,
        )
        self._set(
            "arrivals_lent_total",
            "Further arrivals lent to entries",
            self._lender.lent,
        )

    def _read_prompt_parts(self) -> None:
        blocked = self._parts.configuration.in_force().blocked_parts
        self._set(
            "blocked_parts",
            "Prompt parts whose requests are refused",
            len(blocked),
        )
        self._set(
            "watched_parts",
            "Prompt parts under which servers have ended",
            len(self._prompt_parts.watched),
        )
        self._set(
            "ended_server_reports_total",
            "Reports of servers that ended under requests",
            self._prompt_parts.ends,
        )

    def _read_limits(self) -> None:
        self._set(
            "limited_servers",
            "Backend servers that name a limit of requests a second",
            self._limits.limited_servers,
        )
        self._set(
            "limit_tokens_asked_total",
            "Requests to limited servers that entries asked the leader for",
            self._limits.asked,
        )
        self._set(
            "limit_tokens_granted_total",
            "Requests to limited servers that the leader has granted",
            self._limits.granted,
        )

    def _read_loads(self) -> None:
        self._set(
            "load_servers",
            "Backend servers whose load is summed over entries",
            self._loads.known_servers,
        )
        self._set(
            "load_messages_received_total",
            "Messages with loads that entries and control processes sent",
            self._loads.received,
        )
        self._set(
            "load_messages_sent_total",
            "Messages with sums of loads that were sent",
            self._loads.sent,
        )
        self._set(
            "load_oldest_age_seconds",
            "Age of the oldest report in the sums of loads",
            self._loads.oldest_age_s(),
        )

    def _set(
        self,
        name: str,
        help_text: str,
        value: float,
        labels: dict[str, str] | None = None,
    ) -> None:
        gauge = self._gauges.get(name)
        if gauge is None:
            gauge = Gauge(PREFIX + name, help_text, registry=self._registry)
            self._gauges[name] = gauge
        gauge.set(labels or {}, float(value))


__all__ = ["ControlMetrics"]
