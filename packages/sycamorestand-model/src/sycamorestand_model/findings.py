"""Findings: what a check has to say, each with its place and a remedy."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final
from typing import Literal
from typing import NamedTuple

ERROR: Final = "error"
WARNING: Final = "warning"


class Finding(NamedTuple):
    """One fault, where it is and what to do about it.

    ``file`` is relative to the declarations folder and empty where the
    declarations came as one document. ``key_path`` is dotted, for example
    ``customers.acme.profiles[0]``. Messages never repeat a key.
    """

    severity: Literal["error", "warning"]
    file: str
    key_path: str
    message: str
    remedy: str = ""


def has_errors(findings: Iterable[Finding]) -> bool:
    """Tell whether the declarations may not be applied as they are."""
    return any(finding.severity == ERROR for finding in findings)


def finding_line(finding: Finding) -> str:
    """Return one finding as a line of text for people."""
    place = ":".join(part for part in finding[1:3] if part)
    line = f"{finding.severity}: {place}: {finding.message}"
    return f"{line}; {finding.remedy}" if finding.remedy else line


__all__ = ["ERROR", "Finding", "finding_line", "has_errors", "WARNING"]
