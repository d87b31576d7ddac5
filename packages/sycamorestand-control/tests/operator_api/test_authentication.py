from __future__ import annotations

from sycamorestand_control.operator_api.authentication import make_authenticate
from sycamorestand_control.operator_api.types import OperatorIdentity
from sycamorestand_model.declarations import Declarations
from sycamorestand_model.declarations import Operator
from sycamorestand_model.keys import hash_key

BOOTSTRAP = hash_key("first-day")


def declared(role: str) -> Declarations:
    operator = Operator("ann", (hash_key("ann-key"),), role)
    return Declarations(operators={"ann": operator})


class TestAuthenticate:
    def test_declared_key_has_the_operators_role(self) -> None:
        authenticate = make_authenticate(lambda: declared("viewer"))
        assert authenticate("ann-key") == OperatorIdentity("ann", "viewer")
        for wrong in ("", "ann", "ann-key ", "é" * 500):
            assert authenticate(wrong) is None

    def test_no_key_is_valid_without_operators_and_bootstrap_key(self) -> None:
        authenticate = make_authenticate(Declarations)
        assert authenticate("") is None
        assert authenticate("first-day") is None

    def test_bootstrap_key_is_rejected_once_an_admin_is_declared(self) -> None:
        """Guard against admin access with the key of an old settings file.

        The first apply needs the bootstrap key, as no admin is declared
        yet. After that the key must not authenticate anybody.
        """
        current = [Declarations()]
        authenticate = make_authenticate(lambda: current[0], BOOTSTRAP)
        assert authenticate("first-day") == ("bootstrap", "admin")
        current[0] = declared("viewer")
        assert authenticate("first-day") == ("bootstrap", "admin")
        current[0] = declared("admin")
        assert authenticate("first-day") is None
