"""Types of declarations, such as models, profiles, customers, services."""

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
    """One version of a model and its prices.

    Prices are in micro-units of currency for a million tokens. All
    processes name a version by its identity ``model@name``, see
    `version_id`. A version that is ``withdrawn`` gets no new work.
    """

    model: str
    name: str
    input_micros_per_mtoken: int
    output_micros_per_mtoken: int
    withdrawn: bool = False


class Model(NamedTuple):
    """A model, its versions by name, and the version for new work.

    New work goes to ``stable``, or to ``fallback`` while ``stable`` is
    quarantined or withdrawn. If ``fallback`` is empty, that work is refused.
    ``pinned_servers`` is the least number of servers that hold each of the
    model's versions that are in use.
    """

    name: str
    stable: str
    versions: dict[str, Version]
    pinned_servers: int = 1
    fallback: str = ""


class CascadeStep(NamedTuple):
    """One step of a profile: a model and the versions that it may use.

    An empty ``versions`` allows every version of the model.
    """

    model: str
    versions: tuple[str, ...] = ()


class Objective(NamedTuple):
    """Relative weights of cost, latency and exposure in decisions.

    Exposure is to bad versions during a roll-out. The weights need not add
    up to 1.
    """

    cost_weight: float = 1.0
    latency_weight: float = 1.0
    exposure_weight: float = 1.0


class Profile(NamedTuple):
    """A named cascade of models, from cheaper to stronger ones.

    ``quality_target`` is the share of answers, 0 to 1, that must pass the
    rating. ``max_added_latency_ms`` limits the time that earlier steps may
    take before the last step starts.
    """

    name: str
    steps: tuple[CascadeStep, ...]
    quality_target: float
    max_added_latency_ms: int = 2_000
    default_deadline_ms: int = 30_000
    objective: Objective = Objective()


class Customer(NamedTuple):
    """A caller, its keys, what it may use, and its share of the servers.

    ``key_hashes`` are salted hashes, see `sycamorestand_model.keys`. Each
    item of ``versions`` is a model name or ``model@version``. ``weight`` is
    the customer's weight in fair queueing. ``priority``, if it is set,
    replaces the priority of the routes that the customer calls in the rank at
    engines, and goes before it in admission (`urgency`). Requests run only in
    the ``home_regions``, in any region if there are none.
    """

    name: str
    key_hashes: tuple[str, ...]
    profiles: tuple[str, ...]
    versions: tuple[str, ...]
    services: tuple[str, ...] = ()
    weight: float = 1.0
    priority: int | None = None
    home_regions: tuple[str, ...] = ()


class Service(NamedTuple):
    """A plain service, its idempotent methods and the price of a call.

    Calls with a method in ``idempotent_methods`` may be repeated. With an
    ``engine`` it is a service of model engines that routes lead to.
    ``max_connections`` is how many connections one of its servers accepts
    from all callers together; 0 means that the limit is unknown.
    ``cold_requests_per_s`` is how many requests a second a server that is
    cold gets from all entries together; 0 means as many as a warm one.
    """

    name: str
    idempotent_methods: tuple[str, ...] = ("GET", "HEAD")
    call_micros: int = 0
    default_deadline_ms: int = 10_000
    health_path: str = ""
    max_connections: int = 0
    engine: EngineTraits | None = None
    cold_requests_per_s: float = 0.0


class Rollout(NamedTuple):
    """A roll-out that moves a model's new work to ``version`` in steps.

    ``shares`` holds the share of new work for each step. A step lasts at
    least ``min_step_s``, or its own time in ``steps_s`` if that is given,
    and needs enough evidence, such as ``min_samples`` requests. A step
    that lacks evidence waits for it without a limit if ``patience_s`` is
    0. Otherwise it waits ``patience_s`` longer than its least time; then
    the next step begins, or the roll-out stops if the version is suspect.
    """

    model: str
    version: str
    shares: tuple[float, ...] = DEFAULT_SHARES
    min_samples: int = 200
    min_step_s: float = 60.0
    steps_s: tuple[float, ...] = ()
    patience_s: float = 0.0

    def step_s(self, step: int) -> float:
        """Return the least duration of a step in seconds."""
        return self.steps_s[step] if self.steps_s else self.min_step_s


class Operator(NamedTuple):
    """A person who may read the configuration.

    With the role ``operator`` or ``admin`` the person may also change it.
    """

    name: str
    key_hashes: tuple[str, ...]
    role: Literal["viewer", "operator", "admin"] = "viewer"


class Declarations(NamedTuple):
    """All declarations of one revision, by section and name.

    ``limits`` and ``document`` are not sections of named items; they
    belong to the routes.
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


# Fields of `Declarations` that hold named items.
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
    """Return the declared version of an identity, None if there is none."""
    model_name, _, name = identity.partition(VERSION_SEPARATOR)
    model = declarations.models.get(model_name)
    return None if model is None else model.versions.get(name)


def is_version_allowed(customer: Customer, identity: str) -> bool:
    """Return whether the customer may use a version.

    This is so if the customer's list names the version or its model.
    """
    model_name = identity.partition(VERSION_SEPARATOR)[0]
    return identity in customer.versions or model_name in customer.versions


__all__ = [
    "CascadeStep",
    "Customer",
    "Declarations",
    "DEFAULT_SHARES",
    "find_version",
    "is_version_allowed",
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
