"""Findings of readers and checks, each with its place and a remedy."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final
from typing import Literal
from typing import NamedTuple

from sycamorestand_model.limits import MAX_FINDINGS

ERROR: Final = "error"
WARNING: Final = "warning"
MAX_KEY_PATH_CHARACTERS: Final = 160

Severity = Literal["error", "warning"]


class Finding(NamedTuple):
    """One error or warning, its place and its remedy.

    ``file`` is relative to the declarations folder, and empty if the
    declarations came as one document. ``key_path`` is dotted, for example
    ``customers.acme.profiles[0]``. A message never contains the key of a
    customer or operator, as findings are printed and sent to operators.
    """

    severity: Severity
    file: str
    key_path: str
    message: str
    remedy: str = ""


class Place(NamedTuple):
    """The file and the dotted key path of a value."""

    file: str = ""
    key_path: str = ""


class Findings:
    """Collects findings, so that one run reports all of them.

    It keeps the first `MAX_FINDINGS`, adds one error that says that there
    are more, and drops the rest.
    """

    def __init__(self) -> None:
        self._findings: list[Finding] = []

    def error(self, place: Place, message: str, remedy: str = "") -> None:
        """Add an error; declarations with an error cannot be applied."""
        self._add(Finding(ERROR, *place, message, remedy))

    def warning(self, place: Place, message: str, remedy: str = "") -> None:
        """Add a warning; declarations with warnings can be applied."""
        self._add(Finding(WARNING, *place, message, remedy))

    def extend(self, findings: Iterable[Finding]) -> None:
        """Add findings that were collected elsewhere."""
        for finding in findings:
            self._add(finding)

    def all(self) -> tuple[Finding, ...]:
        """Return the findings in the order in which they were added."""
        return tuple(self._findings)

    def _add(self, finding: Finding) -> None:
        if len(self._findings) < MAX_FINDINGS:
            self._findings.append(finding)
        elif len(self._findings) == MAX_FINDINGS:
            self._findings.append(
                Finding(
                    ERROR,
                    "",
                    "",
                    f"more than {MAX_FINDINGS} findings",
                    "mend those above and check again",
                )
            )


def key_place(place: Place, key: str) -> Place:
    """Return the place of ``key`` in the table at ``place``.

    The key path is cut at `MAX_KEY_PATH_CHARACTERS`.
    """
    path = f"{place.key_path}.{key}" if place.key_path else key
    return place._replace(key_path=path[:MAX_KEY_PATH_CHARACTERS])


def item_place(place: Place, index: int) -> Place:
    """Return the place of item ``index`` of the list at ``place``."""
    return place._replace(key_path=f"{place.key_path}[{index}]")


def has_errors(findings: Iterable[Finding]) -> bool:
    """Return whether an error is among the findings."""
    return any(finding.severity == ERROR for finding in findings)


def finding_line(finding: Finding) -> str:
    """Return a finding as one line: severity, place, message and remedy."""
    place = ": ".join(part for part in finding[1:3] if part)
    head = f"{finding.severity}: {place}" if place else finding.severity
    line = f"{head}: {finding.message}"
    return f"{line}; {finding.remedy}" if finding.remedy else line


__all__ = [
    "ERROR",
    "Finding",
    "finding_line",
    "Findings",
    "has_errors",
    "item_place",
    "key_place",
    "Place",
    "Severity",
    "WARNING",
]
