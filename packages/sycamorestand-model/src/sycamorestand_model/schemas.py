"""Schemas: the fields of each kind of declaration and their limits."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from typing import Final

from sycamorestand_model.declarations import CascadeStep
from sycamorestand_model.declarations import Customer
from sycamorestand_model.declarations import Model
from sycamorestand_model.declarations import Objective
from sycamorestand_model.declarations import Operator
from sycamorestand_model.declarations import Profile
from sycamorestand_model.declarations import Rollout
from sycamorestand_model.declarations import Service
from sycamorestand_model.declarations import Version
from sycamorestand_model.declarations import VERSION_SEPARATOR
from sycamorestand_model.findings import Findings
from sycamorestand_model.findings import key_place
from sycamorestand_model.findings import Place
from sycamorestand_model.limits import MAX_COLD_REQUESTS_PER_S
from sycamorestand_model.limits import MAX_CONNECTIONS
from sycamorestand_model.limits import MAX_DEADLINE_MS
from sycamorestand_model.limits import MAX_KEYS
from sycamorestand_model.limits import MAX_LIST_ITEMS
from sycamorestand_model.limits import MAX_NAME_CHARACTERS
from sycamorestand_model.limits import MAX_PINNED_SERVERS
from sycamorestand_model.limits import MAX_PRICE_MICROS
from sycamorestand_model.limits import MAX_SAMPLES
from sycamorestand_model.limits import MAX_SHARES
from sycamorestand_model.limits import MAX_STEP_S
from sycamorestand_model.limits import MAX_STEPS
from sycamorestand_model.limits import MAX_VERSION_CHARACTERS
from sycamorestand_model.limits import MAX_VERSIONS
from sycamorestand_model.limits import MAX_WEIGHT
from sycamorestand_model.readers import array
from sycamorestand_model.readers import check_name
from sycamorestand_model.readers import choice
from sycamorestand_model.readers import Field
from sycamorestand_model.readers import flag
from sycamorestand_model.readers import integer
from sycamorestand_model.readers import key_hash
from sycamorestand_model.readers import name
from sycamorestand_model.readers import number
from sycamorestand_model.readers import optional
from sycamorestand_model.readers import Reader
from sycamorestand_model.readers import record
from sycamorestand_model.readers import text
from sycamorestand_model.route_schemas import ENGINE_READER
from sycamorestand_model.route_schemas import MAX_PATH_CHARACTERS
from sycamorestand_model.route_schemas import ROUTE_FIELDS
from sycamorestand_model.routes import Route

PATTERN_CHARACTERS: Final = "*?[]^$|"
HTTP_METHODS: Final = ("GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST")

# A reader of one declaration. Its arguments are the key of the table, the
# raw table, the place and the collector of findings.
DeclarationReader = Callable[[str, object, Place, Findings], Any]


def _read_allowed_version(
    raw: object, place: Place, findings: Findings
) -> str | None:
    """Read ``model`` or ``model@version``; a pattern is an error.

    A pattern would also allow versions that do not exist yet, so a
    customer would get a new, expensive version without having agreed to
    it.
    """
    if isinstance(raw, str) and any(c in raw for c in PATTERN_CHARACTERS):
        findings.error(
            place,
            "patterns are not authorised here",
            "name the model, or model@version",
        )
        return None
    if not isinstance(raw, str):
        findings.error(place, "is not a text", "give model or model@version")
        return None
    model, separator, version = raw.partition(VERSION_SEPARATOR)
    is_valid = check_name(model, MAX_NAME_CHARACTERS, place, findings)
    if separator:
        is_valid &= check_name(
            version, MAX_VERSION_CHARACTERS, place, findings
        )
    return raw if is_valid else None


def _read_versions(
    raw: object, place: Place, findings: Findings
) -> dict[str, dict[str, Any]] | None:
    if not isinstance(raw, dict) or not raw:
        findings.error(place, "is no table of versions", "add a version")
        return None
    if len(raw) > MAX_VERSIONS:
        findings.error(
            place,
            f"{len(raw)} versions are too many",
            f"keep at most {MAX_VERSIONS}; remove old withdrawn ones",
        )
        return None
    versions = {}
    for key, table in raw.items():
        version_place = key_place(place, key)
        is_name_valid = check_name(
            key, MAX_VERSION_CHARACTERS, version_place, findings
        )
        values = _VERSION(table, version_place, findings)
        if is_name_valid and values is not None:
            versions[key] = values
    return versions


def _named_reader(
    factory: Callable[..., Any], fields: dict[str, Field]
) -> Any:
    read_table = record(dict, fields)

    def read(key: str, raw: object, place: Place, findings: Findings) -> Any:
        is_name_valid = check_name(key, MAX_NAME_CHARACTERS, place, findings)
        values = read_table(raw, place, findings)
        if values is None or not is_name_valid:
            return None
        return factory(key, values)

    return read


def _make_model(key: str, values: dict[str, Any]) -> Model:
    versions = {
        version: Version(model=key, name=version, **prices)
        for version, prices in values.pop("versions").items()
    }
    return Model(name=key, versions=versions, **values)


_NAME: Final[Reader] = name(MAX_NAME_CHARACTERS)
_VERSION_NAME: Final[Reader] = name(MAX_VERSION_CHARACTERS)
_NAMES: Final[Reader] = array(_NAME, MAX_LIST_ITEMS)
_MICROS: Final[Reader] = integer(0, MAX_PRICE_MICROS)
_WEIGHT: Final[Reader] = number(0.0, MAX_WEIGHT)
_DEADLINE_MS: Final[Reader] = integer(1, MAX_DEADLINE_MS)
_KEY_HASHES: Final[Reader] = array(key_hash, MAX_KEYS)

_VERSION: Final[Reader] = record(
    dict,
    {
        "input_micros_per_mtoken": Field(_MICROS, required=True),
        "output_micros_per_mtoken": Field(_MICROS, required=True),
        "withdrawn": Field(flag),
    },
)

_STEP: Final[Reader] = record(
    CascadeStep,
    {
        "model": Field(_NAME, required=True),
        "versions": Field(array(_VERSION_NAME, MAX_VERSIONS)),
    },
)

_OBJECTIVE: Final[Reader] = record(
    Objective,
    {
        "cost_weight": Field(_WEIGHT),
        "latency_weight": Field(_WEIGHT),
        "exposure_weight": Field(_WEIGHT),
    },
)

_MODEL: Final[DeclarationReader] = _named_reader(
    _make_model,
    {
        "stable": Field(_VERSION_NAME, required=True),
        "versions": Field(_read_versions, required=True),
        "pinned_servers": Field(integer(0, MAX_PINNED_SERVERS)),
        "fallback": Field(optional(_VERSION_NAME)),
    },
)

_PROFILE: Final[DeclarationReader] = _named_reader(
    lambda key, values: Profile(name=key, **values),
    {
        "steps": Field(
            array(_STEP, MAX_STEPS, min_items=1, unique=False), required=True
        ),
        "quality_target": Field(number(0.0, 1.0), required=True),
        "max_added_latency_ms": Field(integer(0, MAX_DEADLINE_MS)),
        "default_deadline_ms": Field(_DEADLINE_MS),
        "objective": Field(_OBJECTIVE),
    },
)

_CUSTOMER: Final[DeclarationReader] = _named_reader(
    lambda key, values: Customer(name=key, **values),
    {
        "key_hashes": Field(_KEY_HASHES, required=True),
        "profiles": Field(_NAMES, required=True),
        "versions": Field(
            array(_read_allowed_version, MAX_LIST_ITEMS), required=True
        ),
        "services": Field(_NAMES),
        # Fair queueing divides by the weight, so it must not be 0.
        "weight": Field(number(0.001, MAX_WEIGHT)),
        "priority": Field(integer(0, 9)),
        "home_regions": Field(_NAMES),
    },
)

_SERVICE: Final[DeclarationReader] = _named_reader(
    lambda key, values: Service(name=key, **values),
    {
        "idempotent_methods": Field(
            array(choice(*HTTP_METHODS), len(HTTP_METHODS))
        ),
        "call_micros": Field(_MICROS),
        "default_deadline_ms": Field(_DEADLINE_MS),
        "health_path": Field(text(MAX_PATH_CHARACTERS)),
        "max_connections": Field(integer(0, MAX_CONNECTIONS)),
        "engine": Field(ENGINE_READER),
        "cold_requests_per_s": Field(number(0.0, MAX_COLD_REQUESTS_PER_S)),
    },
)

_ROUTE: Final[DeclarationReader] = _named_reader(
    lambda key, values: Route(name=key, **values), ROUTE_FIELDS
)

_ROLLOUT: Final[DeclarationReader] = _named_reader(
    lambda key, values: Rollout(model=key, **values),
    {
        "version": Field(_VERSION_NAME, required=True),
        "shares": Field(
            array(number(0.0, 1.0), MAX_SHARES, min_items=1, unique=False)
        ),
        "min_samples": Field(integer(1, MAX_SAMPLES)),
        "min_step_s": Field(number(0.0, MAX_STEP_S)),
        "steps_s": Field(
            array(number(0.0, MAX_STEP_S), MAX_SHARES, unique=False)
        ),
        "patience_s": Field(number(0.0, MAX_STEP_S)),
    },
)

_OPERATOR: Final[DeclarationReader] = _named_reader(
    lambda key, values: Operator(name=key, **values),
    {
        "key_hashes": Field(_KEY_HASHES, required=True),
        "role": Field(choice("viewer", "operator", "admin")),
    },
)

# The readers by section. The key of a roll-out's table is its model, so a
# model has at most one roll-out.
SECTIONS: Final[dict[str, DeclarationReader]] = {
    "models": _MODEL,
    "profiles": _PROFILE,
    "customers": _CUSTOMER,
    "services": _SERVICE,
    "rollouts": _ROLLOUT,
    "operators": _OPERATOR,
    "routes": _ROUTE,
}

__all__ = ["DeclarationReader", "SECTIONS"]
