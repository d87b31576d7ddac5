"""Output of the results: table, plots, report page and JSON line."""

from __future__ import annotations

import json
from math import isnan
from pathlib import Path
from typing import Final
from typing import TYPE_CHECKING

from sycamorestand_bench.decisions.figures import spread
from sycamorestand_bench.decisions.scenario_table import find_scenarios

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sycamorestand_bench.decisions.outcome import GoalResult
    from sycamorestand_bench.decisions.outcome import Outcome

HEADER: Final = (
    f"{'scenario':22}{'user':11}{'policy':16}{'figure':18}"
    f"{'median':>10}{'least':>10}{'most':>10}"
)


def table_lines(outcomes: Sequence[Outcome]) -> list[str]:
    """Return a header and one line for each figure with its spread."""
    lines = [HEADER]
    for outcome in outcomes:
        shown = find_scenarios(outcome.scenario)[0].shown
        for policy, row in outcome.values.items():
            for figure in shown:
                if figure not in row:
                    continue
                found = spread(row[figure])
                lines.append(
                    f"{outcome.scenario:22}{outcome.user:11}{policy:16}"
                    f"{figure:18}{_format(found.median):>10}"
                    f"{_format(found.least):>10}{_format(found.most):>10}"
                )
    return lines


def goal_lines(results: Sequence[GoalResult]) -> list[str]:
    """Return one line for each goal with its measured value and bound."""
    return [
        f"{'met' if r.met else 'NOT MET':8}{r.scenario:22}{r.user:11}"
        f"{r.goal.name}: {r.goal.over} {_format(r.measured)}, "
        f"{r.goal.kind} {r.goal.bound:g}"
        for r in results
    ]


def json_line(results: Sequence[GoalResult], seeds: Sequence[int]) -> str:
    """Return the goals as one line of JSON."""
    goals = [
        {
            "scenario": r.scenario,
            "user": r.user,
            "goal": r.goal.name,
            "figure": r.goal.figure,
            "over": r.goal.over,
            "kind": r.goal.kind,
            "bound": r.goal.bound,
            "measured": None if isnan(r.measured) else round(r.measured, 5),
            "met": r.met,
        }
        for r in results
    ]
    met = all(r.met for r in results)
    return json.dumps(
        {
            "bench": "decisions",
            "seeds": list(seeds),
            "met": met,
            "goals": goals,
        }
    )


def write_report(
    folder: Path, outcomes: Sequence[Outcome], results: Sequence[GoalResult]
) -> None:
    """Write ``report.md`` and one plot for each scenario."""
    folder.mkdir(parents=True, exist_ok=True)
    lines = ["# Decisions under load", "", "## Goals", "", "```"]
    lines += [*goal_lines(results), "```", ""]
    for name in dict.fromkeys(outcome.scenario for outcome in outcomes):
        same = [o for o in outcomes if o.scenario == name]
        document = find_scenarios(name)[0].measure.__doc__ or ""
        lines += [f"## {name}", ""]
        if "partial(" not in document:
            lines += [document.strip().replace("\n    ", " "), ""]
        lines += ["```", *table_lines(same), "```", ""]
        _plot(folder / f"{name}.png", name, same)
        lines += [f"![{name}]({name}.png)", ""]
    (folder / "report.md").write_text("\n".join(lines))


def _plot(path: Path, name: str, outcomes: Sequence[Outcome]) -> None:
    # The import takes a second, and most runs draw no plot.
    import matplotlib as mpl

    mpl.use("Agg")
    from matplotlib import pyplot

    shown = find_scenarios(name)[0].shown
    figure, axes = pyplot.subplots(
        len(outcomes),
        len(shown),
        figsize=(3.0 * len(shown), 3.0 * len(outcomes)),
        squeeze=False,
    )
    for row, outcome in zip(axes, outcomes, strict=True):
        for axis, shown_figure in zip(row, shown, strict=True):
            policies = [
                p for p, v in outcome.values.items() if shown_figure in v
            ]
            values = [
                [v for v in outcome.values[p][shown_figure] if not isnan(v)]
                for p in policies
            ]
            axis.boxplot(values, tick_labels=policies)
            axis.tick_params(axis="x", rotation=30, labelsize=6)
            axis.set_title(f"{outcome.user}: {shown_figure}", fontsize=8)
    figure.suptitle(name)
    figure.tight_layout()
    figure.savefig(path, dpi=80)
    pyplot.close(figure)


def _format(value: float) -> str:
    return "-" if isnan(value) else f"{value:.4g}"


__all__ = ["goal_lines", "json_line", "table_lines", "write_report"]
