"""Read bodies and queries as typed requests, and report all findings."""

from __future__ import annotations

import re
from typing import Any
from typing import Final

from sycamorestand_control.operator_api.errors import ApiError
from sycamorestand_control.operator_api.errors import INVALID_REQUEST
from sycamorestand_control.operator_api.types import CHANGE_KINDS
from sycamorestand_control.operator_api.types import ChangeRequest
from sycamorestand_control.operator_api.types import ReplaceVoterRequest
from sycamorestand_model.check import check
from sycamorestand_model.declarations import Declarations
from sycamorestand_model.declarations import VERSION_SEPARATOR
from sycamorestand_model.findings import Finding
from sycamorestand_model.findings import Findings
from sycamorestand_model.findings import has_errors
from sycamorestand_model.findings import Place
from sycamorestand_model.load import load_document
from sycamorestand_model.readers import choice
from sycamorestand_model.readers import Field
from sycamorestand_model.readers import integer
from sycamorestand_model.readers import Reader
from sycamorestand_model.readers import record

MAX_REVISION: Final = 2**62
MAX_MESSAGE_CHARACTERS: Final = 500
MAX_SUBJECT_CHARACTERS: Final = 200
DEFAULT_PAGE_ROWS: Final = 100
MAX_PAGE_ROWS: Final = 1_000

ID_PATTERN: Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,63}")
SUBJECT_PATTERN: Final = re.compile(
    rf"[A-Za-z0-9][A-Za-z0-9._:@/-]{{0,{MAX_SUBJECT_CHARACTERS - 1}}}"
)
VERSION_KINDS: Final = frozenset(
    {"withdraw", "reinstate", "quarantine", "lift-quarantine"}
)
KINDS_WITHOUT_SUBJECT: Final = frozenset({"apply", "rotate-session-key"})


def read_change(body: object) -> ChangeRequest:
    """Return the requested change, without its declarations.

    `read_declarations` reads and checks the declarations of an apply.
    Raises `ApiError` with all findings.
    """
    findings = Findings()
    request = _CHANGE(body, Place(), findings)
    raw = body.get("declarations") if isinstance(body, dict) else None
    if request is not None:
        _check_subject(request, findings)
        _check_has_declarations(request.kind, raw, findings)
    _raise_on_errors(findings)
    return request


def read_declarations(
    document: object,
) -> tuple[Declarations, tuple[Finding, ...]]:
    """Return the declarations and all findings of reading and checking."""
    loaded = load_document(document)
    return loaded.declarations, check(loaded)


def read_plan(body: object) -> object:
    """Return the declarations document to plan, not yet checked."""
    findings = Findings()
    values = _PLAN(body, Place(), findings)
    _raise_on_errors(findings)
    return values["declarations"]


def read_replace_voter(body: object) -> ReplaceVoterRequest:
    """Return the requested replacement of a voter.

    Raises `ApiError` with all findings.
    """
    findings = Findings()
    request = _REPLACE_VOTER(body, Place(), findings)
    if request is not None and request.old_id == request.new_id:
        findings.error(
            Place("", "new_id"),
            "is the old voter's id",
            "a wiped disk makes a new id; give that one",
        )
    _raise_on_errors(findings)
    return request


def read_empty(body: object) -> None:
    """Raise `ApiError` unless the body is an object without fields."""
    findings = Findings()
    record(dict, {})(body, Place(), findings)
    _raise_on_errors(findings)


def read_query(
    fields: dict[str, str], defaults: dict[str, int | str]
) -> dict[str, Any]:
    """Return the query fields, with ``defaults`` for missing ones.

    A field whose default is an integer is read as one. Raises `ApiError`
    with all findings.
    """
    findings = Findings()
    values: dict[str, Any] = dict(defaults)
    for key, text in fields.items():
        place = Place("", key)
        if key not in defaults:
            findings.error(
                place, "unknown field", f"known are {list(defaults)}"
            )
        elif isinstance(defaults[key], int):
            values[key] = _read_integer(key, text, place, findings)
        elif text and not SUBJECT_PATTERN.fullmatch(text):
            findings.error(place, "is no name", "give a declared name")
        else:
            values[key] = text
    _raise_on_errors(findings)
    return values


def _read_integer(
    key: str, text: str, place: Place, findings: Findings
) -> int | None:
    high = MAX_PAGE_ROWS if key == "limit" else MAX_REVISION
    low = 1 if key == "limit" else 0
    if not text.isascii() or not text.isdecimal() or len(text) > 20:
        findings.error(place, "is no whole number", f"give {low} to {high}")
        return None
    return integer(low, high)(int(text), place, findings)


def _check_subject(request: ChangeRequest, findings: Findings) -> None:
    place = Place("", "subject")
    if request.kind in KINDS_WITHOUT_SUBJECT:
        if request.subject:
            findings.error(place, f"{request.kind} has none", "leave it out")
        return
    if not request.subject:
        findings.error(place, "missing", f"{request.kind} needs a subject")
        return
    has_version = VERSION_SEPARATOR in request.subject
    if request.kind in VERSION_KINDS and not has_version:
        findings.error(place, "names no version", "give model@version")


def _check_has_declarations(
    kind: str, raw: object, findings: Findings
) -> None:
    place = Place("", "declarations")
    if kind == "apply" and not isinstance(raw, dict):
        findings.error(place, "missing", "apply needs declarations")
    elif kind != "apply" and raw is not None:
        findings.error(place, f"{kind} takes none", "leave them out")


def _raise_on_errors(findings: Findings) -> None:
    found = findings.all()
    if has_errors(found):
        raise ApiError(
            422,
            INVALID_REQUEST,
            f"{len(found)} findings in the request",
            found,
        )


def _pattern_reader(pattern: re.Pattern[str], expected: str) -> Reader:
    def read(raw: object, place: Place, findings: Findings) -> str | None:
        if isinstance(raw, str) and pattern.fullmatch(raw):
            return raw
        findings.error(place, "cannot be used", f"give {expected}")
        return None

    return read


def _read_message(raw: object, place: Place, findings: Findings) -> str | None:
    if not isinstance(raw, str) or len(raw) > MAX_MESSAGE_CHARACTERS:
        findings.error(
            place,
            "cannot be used",
            f"give a text of at most {MAX_MESSAGE_CHARACTERS} characters",
        )
        return None
    # The audit trail is printed on terminals, so it must not contain control
    # sequences.
    return "".join(c if c.isprintable() else " " for c in raw)


def _read_subject(raw: object, place: Place, findings: Findings) -> str | None:
    return "" if raw == "" else _SUBJECT_TEXT(raw, place, findings)


def _make_change(**values: Any) -> ChangeRequest:
    values.pop("declarations", None)
    revision = values.pop("base_revision", -1)
    base_revision = None if revision < 0 else revision
    return ChangeRequest(base_revision=base_revision, **values)


def _read_revision(
    raw: object, place: Place, findings: Findings
) -> int | None:
    # None from a reader means an invalid value, so null is returned as -1.
    return -1 if raw is None else _REVISION(raw, place, findings)


def _pass_through(raw: object, place: Place, findings: Findings) -> object:
    """Return declarations as they are; `read_declarations` checks them."""
    return () if raw is None else raw


_REVISION: Final = integer(0, MAX_REVISION)
_ID: Final = _pattern_reader(
    ID_PATTERN, "an id of letters, digits, '.', '_' and '-'"
)
_SUBJECT_TEXT: Final = _pattern_reader(SUBJECT_PATTERN, "a declared name")

_CHANGE: Final = record(
    _make_change,
    {
        "change_id": Field(_ID, required=True),
        "kind": Field(choice(*CHANGE_KINDS), required=True),
        "base_revision": Field(_read_revision),
        "subject": Field(_read_subject),
        "declarations": Field(_pass_through),
        "message": Field(_read_message),
    },
)

_PLAN: Final = record(
    dict, {"declarations": Field(_pass_through, required=True)}
)

_REPLACE_VOTER: Final = record(
    ReplaceVoterRequest,
    {
        "change_id": Field(_ID, required=True),
        "old_id": Field(_ID, required=True),
        "new_id": Field(_ID, required=True),
    },
)

__all__ = [
    "DEFAULT_PAGE_ROWS",
    "MAX_PAGE_ROWS",
    "read_change",
    "read_declarations",
    "read_empty",
    "read_plan",
    "read_query",
    "read_replace_voter",
]
