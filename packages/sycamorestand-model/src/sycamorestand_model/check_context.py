"""The context that all checks of declarations share."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final
from typing import NamedTuple

from sycamorestand_model.declarations import CascadeStep
from sycamorestand_model.declarations import Declarations
from sycamorestand_model.declarations import Model
from sycamorestand_model.findings import ERROR
from sycamorestand_model.findings import Finding
from sycamorestand_model.findings import Findings
from sycamorestand_model.findings import Place
from sycamorestand_model.load import LoadResult

UNKNOWN_REMEDY: Final = "correct the name or declare it"


class CheckContext(NamedTuple):
    """The declarations to check, their files, and the findings so far.

    ``files`` maps ``section.name`` to the file of a declaration, also of
    one that could not be read. ``broken`` holds the ``section.name`` of
    the declarations that have reading errors. They may lack fields that
    their file contains, so checks for missing items skip them.
    """

    declarations: Declarations
    files: dict[str, str]
    broken: frozenset[str]
    findings: Findings


def make_context(loaded: LoadResult, findings: Findings) -> CheckContext:
    """Return the context of the checks; they add to ``findings``."""
    broken = _broken_declarations(loaded.findings, loaded.files)
    return CheckContext(loaded.declarations, loaded.files, broken, findings)


def usable_versions(model: Model, step: CascadeStep) -> list[str]:
    """Return the declared versions that a step allows and may run.

    Withdrawn versions are left out. A step that lists no versions allows
    every version of the model.
    """
    names = step.versions or tuple(model.versions)
    return [
        name
        for name in names
        if name in model.versions and not model.versions[name].withdrawn
    ]


def report_unknown(
    context: CheckContext, section: str, name: str, place: Place
) -> None:
    """Add a finding for a reference to a name that is not declared."""
    if f"{section}.{name}" in context.files:
        # The declaration exists but has errors, which are reported already.
        return
    context.findings.error(
        place, f"no {section} declares {name!r}", UNKNOWN_REMEDY
    )


def declaration_place(context: CheckContext, section: str, name: str) -> Place:
    """Return the file and the key path of a declaration."""
    key_path = f"{section}.{name}"
    return Place(context.files.get(key_path, ""), key_path)


def _broken_declarations(
    findings: Iterable[Finding], files: dict[str, str]
) -> frozenset[str]:
    paths = [f.key_path for f in findings if f.severity == ERROR]
    return frozenset(
        identity
        for identity in files
        if any(f"{path}.".startswith(f"{identity}.") for path in paths)
    )


__all__ = [
    "CheckContext",
    "declaration_place",
    "make_context",
    "report_unknown",
    "UNKNOWN_REMEDY",
    "usable_versions",
]
