"""Format the results of the control bench as lines and as JSON."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any
from typing import Final
from typing import NamedTuple

from sycamorestand_bench.control_bench.cost import CellCost
from sycamorestand_bench.control_bench.fitting import percentile
from sycamorestand_bench.control_bench.fitting import Plane
from sycamorestand_bench.control_bench.latency import FailoverTimes
from sycamorestand_bench.control_bench.latency import InForceTimes
from sycamorestand_bench.control_bench.restart import RestartTimes
from sycamorestand_bench.control_bench.target import Figure
from sycamorestand_bench.control_bench.target import MEASURES

GOALS: Final = {
    "in_force_p50_s": 0.3,
    "in_force_p99_s": 1.0,
    "accepted_after_kill_max_s": 2.0,
    "restart_changed_s": 1.0,
    "idle_entry_cpu_percent": 2.5,
    "idle_entry_resident_mb": 128.0,
    "idle_entry_bytes_per_s": 21_000.0,
    "busy_link_cpu_percent": 2.5,
    "busy_link_bytes_per_s": 21_000.0,
    "target_busy_link_cpu_percent": 2.5,
    "target_busy_link_bytes_per_s": 21_000.0,
    "target_entry_cpu_percent": 2.5,
    "target_entry_resident_mb": 128.0,
    "target_entry_bytes_per_s": 21_000.0,
}


class GoalResult(NamedTuple):
    """A measured value and its upper limit, None if it has no limit."""

    name: str
    value: float
    goal: float | None

    def line(self) -> str:
        """Return the result as a line of the table."""
        if self.goal is None:
            return f"{self.name:38} {self.value:12.3f}"
        label = "met" if self.value <= self.goal else "NOT MET"
        return f"{self.name:38} {self.value:12.3f}  goal {self.goal:g} {label}"


def compare_with_goals(figures: dict[str, float]) -> list[GoalResult]:
    """Return every figure with its goal."""
    return [GoalResult(n, value, GOALS.get(n)) for n, value in figures.items()]


def in_force_figures(times: InForceTimes) -> dict[str, float]:
    """Return the figures of `measure_in_force`."""
    return {
        "changes": len(times.in_force_s),
        "accepted_p50_s": percentile(times.accepted_s, 50),
        "accepted_p99_s": percentile(times.accepted_s, 99),
        "in_force_p50_s": percentile(times.in_force_s, 50),
        "in_force_p99_s": percentile(times.in_force_s, 99),
        "entries_behind": times.entries_behind,
        "bytes_a_change_and_entry": times.bytes_a_change,
    }


def failover_figures(times: FailoverTimes) -> dict[str, float]:
    """Return the figures of `measure_failover`."""
    return {
        "kills": len(times.accepted_s),
        "leader_after_kill_p50_s": percentile(times.leader_s, 50),
        "leader_after_kill_max_s": max(times.leader_s),
        "accepted_after_kill_p50_s": percentile(times.accepted_s, 50),
        "accepted_after_kill_max_s": max(times.accepted_s),
    }


def restart_figures(times: RestartTimes) -> dict[str, float]:
    """Return the figures of `measure_restart`."""
    return {
        "restart_changes": times.changes,
        "restart_fresh_s": percentile(times.fresh_s, 50),
        "restart_changed_s": percentile(times.changed_s, 50),
        "restart_read_state_s": times.read_s,
        "restart_folder_mb": times.folder_mb,
    }


def probe_figures(costs: Sequence[CellCost]) -> dict[str, float]:
    """Return the cost of the idle and busy probes, and the hub's CPU use.

    The CPU use of the hub is that in the largest cell and that after the
    loss of all entries except the probe.
    """
    idle, largest, busy, lost = costs[0], *costs[-3:]
    figures: dict[str, float] = {}
    for name, cell in (("idle", idle), ("largest", largest)):
        rate = cell.entry
        traffic = rate.sent_bytes_per_s + rate.received_bytes_per_s
        figures[f"{name}_entry_cpu_percent"] = rate.cpu_percent
        figures[f"{name}_entry_resident_mb"] = rate.resident_mb
        figures[f"{name}_entry_bytes_per_s"] = traffic
    link = busy.link
    figures["busy_link_requests_per_s"] = busy.requests_per_s
    figures["busy_link_cpu_percent"] = link.cpu_percent
    figures["busy_link_bytes_per_s"] = (
        link.sent_bytes_per_s + link.received_bytes_per_s
    )
    figures["busy_link_frames_per_s"] = busy.link_frames_per_s
    figures["hub_cpu_percent_at_largest"] = largest.hub.cpu_percent
    figures["hub_cpu_percent_entries_lost"] = lost.hub.cpu_percent
    figures["entries_lost"] = largest.entries - lost.entries
    return figures


def target_figures(
    figures: Sequence[Figure], costs: Sequence[CellCost]
) -> dict[str, float]:
    """Return the costs of each role at the target size.

    The cost of a busy link is that of an idle link at the target size plus
    the difference between busy and idle in the largest measured cell.
    """
    result: dict[str, float] = {}
    largest, busy = costs[-3:-1]
    for figure, (name, measure) in zip(figures, MEASURES, strict=True):
        added = measure(busy.link) - measure(largest.link)
        result[f"target_busy_link_{name}"] = figure.link_at_target() + added
    for figure in figures:
        result[f"target_entry_{figure.name}"] = figure.entry_at_target()
        result[f"target_link_{figure.name}"] = figure.link_at_target()
        result[f"target_follower_{figure.name}"] = figure.follower_at_target()
        result[f"target_leader_{figure.name}"] = figure.leader_at_target()
    return result


def cell_lines(costs: Sequence[CellCost]) -> list[str]:
    """Return the lines of a table of all measured cells."""
    lines = [
        "entries servers req/s | role: CPU %, MB, bytes/s out, bytes/s in"
    ]
    for cost in costs:
        lines.append(
            f"{cost.entries:7} {cost.servers:7} {cost.requests_per_s:5.0f} |"
            f" sees {cost.servers_seen} servers, {cost.leases} leases,"
            f" {cost.moves} moves, {cost.link_frames_per_s:.1f} frames/s a"
            " link"
        )
        for role in ("hub", "follower", "leader", "link", "entry"):
            rate = getattr(cost, role)
            lines.append(
                f"{'':22}| {role:8} {rate.cpu_percent:6.2f}"
                f" {rate.resident_mb:7.1f} {rate.sent_bytes_per_s:11.0f}"
                f" {rate.received_bytes_per_s:11.0f}"
            )
    return lines


def slope_lines(figures: Sequence[Figure]) -> list[str]:
    """Return the lines of a table of the slopes of each role."""
    lines = ["slopes: base, per entry, per server, per entry and server"]
    for figure in figures:
        for role in ("entry", "link", "serving", "follower", "leader"):
            plane: Plane = getattr(figure, role)
            numbers = " ".join(f"{number:12.5g}" for number in plane)
            lines.append(f"{figure.name:12} {role:8} {numbers}")
    return lines


def json_figures(results: Sequence[GoalResult]) -> dict[str, Any]:
    """Return the figures and missed goals for the last line of output."""
    missed = [
        r.name for r in results if r.goal is not None and r.value > r.goal
    ]
    figures: dict[str, Any] = {r.name: round(r.value, 4) for r in results}
    return figures | {"goals_missed": missed}


__all__ = [
    "cell_lines",
    "compare_with_goals",
    "failover_figures",
    "GoalResult",
    "in_force_figures",
    "json_figures",
    "probe_figures",
    "restart_figures",
    "slope_lines",
    "target_figures",
]
