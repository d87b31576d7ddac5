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
    def test_a_declared_key_has_its_role(self) -> None:
        authenticate = make_authenticate(lambda: declared("viewer"))
        assert authenticate("ann-key") == OperatorIdentity("ann", "viewer")
        for wrong in ("", "ann", "ann-key ", "é" * 500):
            assert authenticate(wrong) is None

    def test_nobody_gets_in_by_default(self) -> None:
        authenticate = make_authenticate(Declarations)
        assert authenticate("") is None
        assert authenticate("first-day") is None

    def test_the_bootstrap_key_ends_with_the_first_admin(self) -> None:
        """A settings file with the bootstrap key is copied and forgotten.

        Until an admin is declared the key opens everything, or the first
        apply were impossible. Afterwards it opens nothing.
        """
        current = [Declarations()]
        authenticate = make_authenticate(lambda: current[0], BOOTSTRAP)
        assert authenticate("first-day") == ("bootstrap", "admin")
        current[0] = declared("viewer")
        assert authenticate("first-day") == ("bootstrap", "admin")
        current[0] = declared("admin")
        assert authenticate("first-day") is None
