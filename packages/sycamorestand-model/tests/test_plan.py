from __future__ import annotations

import pytest

from sycamorestand_model.codec import from_msgpack
from sycamorestand_model.codec import to_document
from sycamorestand_model.codec import to_msgpack
from sycamorestand_model.declarations import CascadeStep
from sycamorestand_model.declarations import Customer
from sycamorestand_model.declarations import Declarations
from sycamorestand_model.declarations import Model
from sycamorestand_model.declarations import Operator
from sycamorestand_model.declarations import Profile
from sycamorestand_model.declarations import Rollout
from sycamorestand_model.declarations import Service
from sycamorestand_model.declarations import Version
from sycamorestand_model.errors import WireError
from sycamorestand_model.keys import hash_key
from sycamorestand_model.load import load_document
from sycamorestand_model.plan import plan
from sycamorestand_model.plan import plan_line_text

KEY_HASH = hash_key("one", b"12345678")
NEW_KEY_HASH = hash_key("two", b"12345678")


@pytest.fixture
def declarations() -> Declarations:
    versions = {name: Version("cheap", name, 10, 20) for name in ("1", "2")}
    return Declarations(
        models={"cheap": Model("cheap", "1", versions, fallback="2")},
        profiles={"help": Profile("help", (CascadeStep("cheap"),), 0.9)},
        customers={
            "acme": Customer("acme", (KEY_HASH,), ("help",), ("cheap",))
        },
        services={"portal": Service("portal")},
        rollouts={"cheap": Rollout("cheap", "2")},
        operators={"ann": Operator("ann", (KEY_HASH,), "admin")},
    )


class TestCodec:
    def test_msgpack_round_trip_keeps_declarations(
        self, declarations: Declarations
    ) -> None:
        assert from_msgpack(to_msgpack(declarations)) == declarations

    def test_document_round_trip_keeps_declarations(
        self, declarations: Declarations
    ) -> None:
        loaded = load_document(to_document(declarations))
        assert loaded.findings == ()
        assert loaded.declarations == declarations

    def test_malformed_bytes_raise_wire_error(
        self, declarations: Declarations
    ) -> None:
        content = to_msgpack(declarations)
        for malformed in (
            b"",
            content[:-1],
            b"\xc1",
            b"\x91" * 5_000,
            b"\xa1x",
        ):
            with pytest.raises(WireError):
                from_msgpack(malformed)


class TestPlan:
    def test_equal_declarations_have_no_differences(
        self, declarations: Declarations
    ) -> None:
        assert plan(declarations, declarations) == ((), ())

    def test_changes_are_listed_by_key_path(
        self, declarations: Declarations
    ) -> None:
        profile = declarations.profiles["help"]
        changed_profile = profile._replace(quality_target=0.95)
        new = declarations._replace(
            profiles={"help": changed_profile}, services={}
        )
        assert [
            plan_line_text(line) for line in plan(declarations, new)[0]
        ] == [
            "changed profiles.help.quality_target: 0.9 -> 0.95",
            "removed services.portal",
        ]

    def test_key_hashes_are_counted_and_never_shown(
        self, declarations: Declarations
    ) -> None:
        customer = declarations.customers["acme"]
        rotated = customer._replace(key_hashes=(NEW_KEY_HASH,))
        new = declarations._replace(customers={"acme": rotated})
        result = plan(declarations, new)
        assert "1 keys (1 new, 1 removed)" in result.lines[0].after
        assert KEY_HASH not in repr(result)
        assert NEW_KEY_HASH not in repr(result)
        assert "loses a key" in result.notes[0]

    def test_notes_describe_effects_on_sessions(
        self, declarations: Declarations
    ) -> None:
        model = declarations.models["cheap"]
        withdrawn = {
            **model.versions,
            "1": model.versions["1"]._replace(withdrawn=True),
        }
        changed_model = model._replace(stable="2", versions=withdrawn)
        customer = declarations.customers["acme"]
        restricted = customer._replace(versions=("cheap@2",))
        new = declarations._replace(
            models={"cheap": changed_model},
            customers={"acme": restricted},
            rollouts={},
        )
        notes = " / ".join(plan(declarations, new).notes)
        assert "cheap@1 is withdrawn" in notes
        assert "new work on cheap moves from 1 to 2 at once" in notes
        assert "customer acme loses cheap@1" in notes
        assert "roll-out of cheap ends" in notes
        reverse_notes = " / ".join(plan(new, declarations).notes)
        assert "cheap@1 is reinstated" in reverse_notes

    def test_removals_have_notes(self, declarations: Declarations) -> None:
        notes = plan(declarations, Declarations()).notes
        subjects = [note.split(" is ")[0] for note in notes]
        assert "model cheap" in subjects
        assert "customer acme" in subjects
        assert "operator ann" in subjects
