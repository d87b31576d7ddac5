"""Schemas: the fields of routes and engines and their limits."""

from __future__ import annotations

import re
from typing import Any
from typing import Final

from sycamorestand_model.findings import Findings
from sycamorestand_model.findings import Place
from sycamorestand_model.limits import MAX_DEADLINE_MS
from sycamorestand_model.limits import MAX_LIST_ITEMS
from sycamorestand_model.limits import MAX_NAME_CHARACTERS
from sycamorestand_model.limits import MAX_STEPS
from sycamorestand_model.readers import array
from sycamorestand_model.readers import choice
from sycamorestand_model.readers import Field
from sycamorestand_model.readers import flag
from sycamorestand_model.readers import integer
from sycamorestand_model.readers import name
from sycamorestand_model.readers import number
from sycamorestand_model.readers import Reader
from sycamorestand_model.readers import record
from sycamorestand_model.routes import EngineTraits
from sycamorestand_model.routes import ModelSize
from sycamorestand_model.routes import RouteTarget

MAX_PATH_CHARACTERS: Final = 500
MAX_PRIORITY: Final = 9
MAX_ATTEMPTS: Final = 10
MAX_TARGETS: Final = 16
MAX_COUNT: Final = 1_000_000_000
MAX_COST: Final = 1_000_000.0
_HOST_PATTERN: Final = re.compile(r"[a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?")


def _read_host(raw: object, place: Place, findings: Findings) -> str | None:
    if isinstance(raw, str) and _HOST_PATTERN.fullmatch(raw):
        return raw
    findings.error(
        place, "is no host name", "use lower case letters, digits, '.', '-'"
    )
    return None


def _read_path_prefix(
    raw: object, place: Place, findings: Findings
) -> str | None:
    if not isinstance(raw, str) or len(raw) > MAX_PATH_CHARACTERS:
        findings.error(
            place,
            "is no path",
            f"give a text of at most {MAX_PATH_CHARACTERS} characters",
        )
        return None
    if not raw.startswith("/") or not raw.endswith("/"):
        findings.error(
            place,
            "does not begin and end with a slash",
            "a prefix ends where a part of the path does, as in '/quotes/'",
        )
        return None
    return raw


_COUNT: Final[Reader] = integer(0, MAX_COUNT)
_NAME: Final[Reader] = name(MAX_NAME_CHARACTERS)
_DURATION_MS: Final[Reader] = number(0.0, float(MAX_DEADLINE_MS))

_TARGET: Final[Reader] = record(
    RouteTarget,
    {
        "service": Field(_NAME, required=True),
        "weight": Field(integer(0, 1_000_000)),
    },
)

_SIZE: Final[Reader] = record(
    ModelSize,
    {
        "name": Field(_NAME, required=True),
        "cost": Field(number(0.0, MAX_COST), required=True),
    },
)

ENGINE_READER: Final[Reader] = record(
    EngineTraits,
    {
        "slots": Field(integer(1, 100_000), required=True),
        "kv_tokens": Field(_COUNT, required=True),
        "kv_token_bytes": Field(number(0.0, float(MAX_COUNT))),
        "link_mbps": Field(number(0.0, float(MAX_COUNT))),
        "can_move": Field(flag),
        "can_back_up": Field(flag),
        "event_tokens": Field(integer(1, 100_000)),
        "max_event_calls": Field(integer(0, 100_000)),
        "pin_ms": Field(_DURATION_MS),
        "hold_ms": Field(_DURATION_MS),
        "handle_s": Field(number(0.0, 3_600.0)),
        "sizes": Field(array(_SIZE, MAX_STEPS)),
    },
)

ROUTE_FIELDS: Final[dict[str, Field]] = {
    "host": Field(_read_host, required=True),
    "path_prefix": Field(_read_path_prefix, required=True),
    "targets": Field(array(_TARGET, MAX_TARGETS, 1), required=True),
    "kind": Field(choice("idempotent", "once", "stream"), required=True),
    "timeout_ms": Field(integer(1, MAX_DEADLINE_MS), required=True),
    "target_latency_ms": Field(integer(0, MAX_DEADLINE_MS)),
    "priority": Field(integer(0, MAX_PRIORITY)),
    "max_attempts": Field(integer(1, MAX_ATTEMPTS)),
    "public": Field(flag),
    "sticky": Field(flag),
    "resumable": Field(flag),
    "gap_target_ms": Field(integer(0, MAX_DEADLINE_MS)),
    "sizes": Field(array(_NAME, min(MAX_STEPS, MAX_LIST_ITEMS))),
    "silence_limit_ms": Field(integer(0, MAX_DEADLINE_MS)),
    "home_regions": Field(array(_NAME, MAX_LIST_ITEMS)),
}

RouteValues = dict[str, Any]

__all__ = ["ENGINE_READER", "ROUTE_FIELDS", "RouteValues"]
