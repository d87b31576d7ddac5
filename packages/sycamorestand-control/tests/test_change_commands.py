from __future__ import annotations

from typing import get_args

import pytest

from sycamorestand_control.change_commands import make_command
from sycamorestand_control.operator_api.types import ChangeKind
from sycamorestand_control.operator_api.types import ChangeRequest
from sycamorestand_model.declarations import Declarations
from sycamorestand_state.commands import ANY_REVISION
from sycamorestand_state.commands import ApplyDeclarations
from sycamorestand_state.commands import decode_command
from sycamorestand_state.commands import encode_command

KEY = b"k" * 32


def request(kind: str, base: int | None = None) -> ChangeRequest:
    return ChangeRequest(
        "change-1",
        kind,  # type: ignore[arg-type]
        base,
        "subject",
        Declarations() if kind == "apply" else None,
        "why",
        "ann",
    )


class TestMakeCommand:
    @pytest.mark.parametrize("kind", get_args(ChangeKind))
    def test_every_kind_becomes_an_encodable_command(self, kind: str) -> None:
        command = make_command(request(kind, 7), 1.0, KEY)
        assert decode_command(encode_command(command)) == command
        assert command.change_id == "change-1"
        assert command.operator == "ann"

    @pytest.mark.parametrize("kind", get_args(ChangeKind))
    def test_a_resend_through_any_voter_is_the_same_change(
        self, kind: str
    ) -> None:
        """An answer is lost and the client resends to another voter.

        That voter has another clock and may have applied more revisions.
        Apart from the time, the command must be the same. Otherwise the
        resend is refused as a different change under a known id, although
        the first one was accepted.
        """
        first = make_command(request(kind), 1.0, KEY)
        again = make_command(request(kind), 2.0, KEY)
        assert again._replace(now_s=1.0) == first

    def test_without_a_base_any_revision_matches(self) -> None:
        command = make_command(request("reinstate"), 1.0, KEY)
        assert command.base_revision == ANY_REVISION

    def test_an_apply_keeps_its_base_revision(self) -> None:
        command = make_command(request("apply", 3), 1.0, KEY)
        assert isinstance(command, ApplyDeclarations)
        assert command.base_revision == 3
