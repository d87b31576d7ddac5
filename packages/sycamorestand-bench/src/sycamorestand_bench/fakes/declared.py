"""Define the declarations that tests and scenarios share."""

from __future__ import annotations

from typing import Final

from sycamorestand_model.declarations import CascadeStep
from sycamorestand_model.declarations import Customer
from sycamorestand_model.declarations import Declarations
from sycamorestand_model.declarations import Model
from sycamorestand_model.declarations import Profile
from sycamorestand_model.declarations import Service
from sycamorestand_model.declarations import Version
from sycamorestand_model.in_force import InForce
from sycamorestand_model.keys import hash_key

CALLER_KEY: Final = "guild-caller-key"
OTHER_CALLER_KEY: Final = "other-caller-key"
BACKEND_KEY: Final = "backend-key"
BACKEND_KEY_HASH: Final = hash_key(BACKEND_KEY, b"12345678")
SMALL: Final = "nest-small@1"
SMALL_NEXT: Final = "nest-small@2"
LARGE: Final = "nest-large@1"
LARGE_NEXT: Final = "nest-large@2"
SESSION_KEY: Final = b"session-key-of-the-tests"


def guild_configuration() -> InForce:
    """Return a configuration with two models of two versions each.

    It declares the profile "review", which is a cascade of both models, a
    profile for each model alone, two customers and the service "orders".
    """
    small = _model("nest-small", 100_000, 400_000)
    large = _model("nest-large", 1_000_000, 4_000_000)
    cascade = (CascadeStep("nest-small"), CascadeStep("nest-large"))
    profiles = (
        Profile("review", cascade, quality_target=0.9),
        Profile("small", cascade[:1], quality_target=0.5),
        Profile("large", cascade[1:], quality_target=0.9),
    )
    customers = (
        _customer("guild", CALLER_KEY, ("nest-small", "nest-large")),
        _customer("other", OTHER_CALLER_KEY, (SMALL,)),
    )
    declarations = Declarations(
        models={model.name: model for model in (small, large)},
        profiles={profile.name: profile for profile in profiles},
        customers={customer.name: customer for customer in customers},
        services={"orders": Service("orders", call_micros=7)},
    )
    return InForce(
        revision=1, declarations=declarations, session_key=SESSION_KEY
    )


def _model(name: str, input_micros: int, output_micros: int) -> Model:
    versions = {
        version: Version(name, version, input_micros, output_micros)
        for version in ("1", "2")
    }
    return Model(name, "1", versions)


def _customer(name: str, key: str, versions: tuple[str, ...]) -> Customer:
    return Customer(
        name,
        (hash_key(key, b"12345678"),),
        ("review", "small", "large"),
        versions,
        ("orders",) if name == "guild" else (),
    )


__all__ = [
    "BACKEND_KEY",
    "BACKEND_KEY_HASH",
    "CALLER_KEY",
    "guild_configuration",
    "LARGE",
    "LARGE_NEXT",
    "OTHER_CALLER_KEY",
    "SESSION_KEY",
    "SMALL",
    "SMALL_NEXT",
]
