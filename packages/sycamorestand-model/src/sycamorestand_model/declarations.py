"""What operators declare: models, versions, profiles, customers, services."""

from __future__ import annotations

from typing import Final
from typing import Literal
from typing import NamedTuple

from sycamorestand_model.routes import CallerLimits
from sycamorestand_model.routes import EngineTraits
from sycamorestand_model.routes import Route
from sycamorestand_model.routes import SourceDocument

VERSION_SEPARATOR: Final = "@"
DEFAULT_SHARES: Final = (0.01, 0.05, 0.25, 1.0)


class Version(NamedTuple):
    """One version of a model and its prices in micro-units of currency.

    A version is known everywhere by its identity ``model@name``, see
    `version_id`.
    """

    model: str
    name: str
    input_micros_per_mtoken: int
    output_micros_per_mtoken: int
    withdrawn: bool = False


class Model(NamedTuple):
    """A model, its versions by name, and the one that new work goes to.

    ``fallback`` takes the new work while ``stable`` is quarantined or
    withdrawn; empty means that such work is turned away.
    """

    name: str
    stable: str
    versions: dict[str, Version]
    pinned_servers: int = 1
    fallback: str = ""


class CascadeStep(NamedTuple):
    """One step of a profile: a model and which versions it may use.

    An empty ``versions`` allows every version of the model.
    """

    model: str
    versions: tuple[str, ...] = ()


class Objective(NamedTuple):
    """Weights of what a profile's user wants least of; they need no sum."""

    cost_weight: float = 1.0
    latency_weight: float = 1.0
    exposure_weight: float = 1.0


class Profile(NamedTuple):
    """A named way to answer requests, from cheaper to stronger models.

    ``quality_target`` is the share of answers, 0 to 1, that must pass the
    rating. ``max_added_latency_ms`` bounds what earlier steps of the
    cascade may add before the last one starts.
    """

    name: str
    steps: tuple[CascadeStep, ...]
    quality_target: float
    max_added_latency_ms: int = 2_000
    default_deadline_ms: int = 30_000
    objective: Objective = Objective()


class Customer(NamedTuple):
    """Who may call, with what, and with which share of the servers.

    ``key_hashes`` are salted hashes, see `sycamorestand_model.keys`. An
    entry of ``versions`` is a model name or ``model@version``.
    """

    name: str
    key_hashes: tuple[str, ...]
    profiles: tuple[str, ...]
    versions: tuple[str, ...]
    services: tuple[str, ...] = ()
    weight: float = 1.0
    priority: int | None = None


class Service(NamedTuple):
    """A plain service: which of its calls may be repeated, and its price.

    One with an ``engine`` is a service of model engines that routes lead
    to. ``max_connections`` is what one of its servers accepts from all
    callers together; 0 tells nothing.
    """

    name: str
    idempotent_methods: tuple[str, ...] = ("GET", "HEAD")
    call_micros: int = 0
    default_deadline_ms: int = 10_000
    health_path: str = ""
    max_connections: int = 0
    engine: EngineTraits | None = None


class Rollout(NamedTuple):
    """A declared roll-out: new work moves to ``version`` in these shares.

    ``steps_s`` gives each step its own least time in place of
    ``min_step_s``. A step that lacks evidence waits for it without end,
    or, where ``patience_s`` is above 0, that much longer; then it goes on,
    or the roll-out stops if the version is suspect.
    """

    model: str
    version: str
    shares: tuple[float, ...] = DEFAULT_SHARES
    min_samples: int = 200
    min_step_s: float = 60.0
    steps_s: tuple[float, ...] = ()
    patience_s: float = 0.0

    def step_s(self, step: int) -> float:
        """Return the least time of one step."""
        return self.steps_s[step] if self.steps_s else self.min_step_s


class Operator(NamedTuple):
    """Who may read or change the configuration."""

    name: str
    key_hashes: tuple[str, ...]
    role: Literal["viewer", "operator", "admin"] = "viewer"


class Declarations(NamedTuple):
    """Everything that one revision declares, each part by its name.

    ``limits`` and ``document`` have no names; they belong to routes.
    """

    models: dict[str, Model] = {}
    profiles: dict[str, Profile] = {}
    customers: dict[str, Customer] = {}
    services: dict[str, Service] = {}
    rollouts: dict[str, Rollout] = {}
    operators: dict[str, Operator] = {}
    routes: dict[str, Route] = {}
    limits: CallerLimits = CallerLimits()
    document: SourceDocument = SourceDocument()


# The parts of `Declarations` that hold named items.
SECTIONS: Final = (
    "models",
    "profiles",
    "customers",
    "services",
    "rollouts",
    "operators",
    "routes",
)


def version_id(model: str, version: str) -> str:
    """Return the identity of a version, for example ``nest-small@3``."""
    return f"{model}{VERSION_SEPARATOR}{version}"


def find_version(declarations: Declarations, identity: str) -> Version | None:
    """Return the declared version for ``model@name``, None if unknown."""
    model_name, _, name = identity.partition(VERSION_SEPARATOR)
    model = declarations.models.get(model_name)
    return None if model is None else model.versions.get(name)


def is_version_allowed(customer: Customer, identity: str) -> bool:
    """Tell whether the customer's list names this version or its model."""
    model_name = identity.partition(VERSION_SEPARATOR)[0]
    return identity in customer.versions or model_name in customer.versions


__all__ = [
    "CascadeStep",
    "Customer",
    "is_version_allowed",
    "Declarations",
    "DEFAULT_SHARES",
    "find_version",
    "Model",
    "Objective",
    "Operator",
    "Profile",
    "Rollout",
    "SECTIONS",
    "Service",
    "Version",
    "version_id",
    "VERSION_SEPARATOR",
]
