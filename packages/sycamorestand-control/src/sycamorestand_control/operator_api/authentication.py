"""Authenticate operators by their keys."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from sycamorestand_control.operator_api.types import OperatorIdentity
from sycamorestand_model.declarations import Declarations
from sycamorestand_model.declarations import Operator
from sycamorestand_model.keys import key_matches

BOOTSTRAP_OPERATOR: Final = "bootstrap"
# Generated keys are far shorter, so a longer text cannot be a key.
MAX_KEY_CHARACTERS: Final = 256

Authenticate = Callable[[str], OperatorIdentity | None]


def make_authenticate(
    declarations: Callable[[], Declarations], bootstrap_key_hash: str = ""
) -> Authenticate:
    """Return a function that returns the operator of a key, or None.

    No operator is declared before the first apply, so nobody could apply
    declarations. Until an admin with a key is declared, the bootstrap key
    of the settings therefore authenticates an admin. Afterwards it is
    rejected, so that a copy in an old settings file gives no access.
    """

    def authenticate(key: str) -> OperatorIdentity | None:
        if not key or len(key) > MAX_KEY_CHARACTERS:
            return None
        operators = declarations().operators.values()
        for operator in operators:
            if any(key_matches(key, stored) for stored in operator.key_hashes):
                return OperatorIdentity(operator.name, operator.role)
        if any(_is_admin(operator) for operator in operators):
            return None
        if key_matches(key, bootstrap_key_hash):
            return OperatorIdentity(BOOTSTRAP_OPERATOR, "admin")
        return None

    return authenticate


def _is_admin(operator: Operator) -> bool:
    return operator.role == "admin" and bool(operator.key_hashes)


__all__ = ["Authenticate", "BOOTSTRAP_OPERATOR", "make_authenticate"]
