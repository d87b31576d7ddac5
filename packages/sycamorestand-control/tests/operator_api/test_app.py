from __future__ import annotations

from collections.abc import Callable
import json
import threading
from typing import Any

import anyio
from anyio import CapacityLimiter
import pytest

from sycamorestand_control.operator_api.backend import NoLeader
from sycamorestand_control.operator_api.backend import OutcomeUnknown
from sycamorestand_control.operator_api.backend import UnknownSubject
from sycamorestand_control.operator_api.plain import from_plain
from sycamorestand_control.operator_api.plain import to_plain
from sycamorestand_control.operator_api.routes import Call
from sycamorestand_control.operator_api.routes import ROUTES
from sycamorestand_control.operator_api.types import AuditPage
from sycamorestand_control.operator_api.types import ChangeAnswer
from sycamorestand_control.operator_api.types import ChangeRequest
from sycamorestand_control.operator_api.types import Conflict
from sycamorestand_control.operator_api.types import OperatorIdentity
from sycamorestand_control.operator_api.types import StatusAnswer
from sycamorestand_control.order_turns import OrderTurns
from sycamorestand_control.wait_limit import WaitLimit
from sycamorestand_model.declarations import Declarations
from sycamorestand_model.errors import WireError

Caller = Callable[..., Any]

V1 = "/operator/v1"
CHANGES = f"{V1}/changes"
WITHDRAW: dict[str, Any] = {
    "change_id": "c-1",
    "kind": "withdraw",
    "subject": "cheap@1",
}
REPLACE = {"change_id": "c-3", "old_id": "v1", "new_id": "v4"}

# Method, path, body, key, and the status and code of the error answer.
BAD_REQUESTS = {
    "no key": ("GET", f"{V1}/status", b"", "", 401, "unauthenticated"),
    "wrong key": ("GET", f"{V1}/status", b"", "x", 401, "unauthenticated"),
    "odd key": ("GET", f"{V1}/status", b"", "é" * 999, 401, "unauthenticated"),
    "no path without a key": ("GET", "/x", b"", "", 401, "unauthenticated"),
    "unknown path": ("GET", f"{V1}/x", b"", "key-admin", 404, "unknown-path"),
    "parent path": (
        "GET",
        f"{V1}/../status",
        b"",
        "key-admin",
        404,
        "unknown-path",
    ),
    "wrong method": (
        "GET",
        CHANGES,
        b"",
        "key-admin",
        405,
        "method-not-allowed",
    ),
    "viewer changes": ("POST", CHANGES, WITHDRAW, "key-viewer", 403, None),
    "viewer reads bills": ("GET", f"{V1}/bills", b"", "key-viewer", 403, None),
    "operator replaces a voter": (
        "POST",
        f"{V1}/replace-voter",
        REPLACE,
        "key-operator",
        403,
        "forbidden",
    ),
    "operator rotates the key": (
        "POST",
        CHANGES,
        {"change_id": "c", "kind": "rotate-session-key"},
        "key-operator",
        403,
        "forbidden",
    ),
    "not JSON": ("POST", CHANGES, b"{", "key-admin", 400, "malformed-json"),
    "empty body": ("POST", CHANGES, b"", "key-admin", 400, "malformed-json"),
    "not UTF-8": ("POST", CHANGES, b"\xff", "key-admin", 400, None),
    "deep JSON": ("POST", CHANGES, b"[" * 9_999, "key-admin", 400, None),
    "not an object": (
        "POST",
        CHANGES,
        b"[]",
        "key-admin",
        422,
        "invalid-request",
    ),
    "oversized": (
        "POST",
        f"{V1}/replace-voter",
        b" " * 65_537,
        "key-admin",
        413,
        "body-too-large",
    ),
    "query field": ("GET", f"{V1}/status?x=1", b"", "key-admin", 422, None),
    "query twice": (
        "GET",
        f"{V1}/audit?after=1&after=2",
        b"",
        "key-admin",
        400,
        "invalid-request",
    ),
    "malformed query": (
        "GET",
        f"{V1}/audit?&&%ff",
        b"",
        "key-admin",
        400,
        None,
    ),
    "query too long": (
        "GET",
        f"{V1}/explain?subject={'a' * 3000}",
        b"",
        "key-admin",
        400,
        "invalid-request",
    ),
    "negative number": (
        "GET",
        f"{V1}/audit?after=-1",
        b"",
        "key-admin",
        422,
        None,
    ),
    "page too large": (
        "GET",
        f"{V1}/audit?limit=1001",
        b"",
        "key-admin",
        422,
        "invalid-request",
    ),
    "no subject": ("GET", f"{V1}/explain", b"", "key-admin", 422, None),
    "same voter": (
        "POST",
        f"{V1}/replace-voter",
        {**REPLACE, "new_id": "v1"},
        "key-admin",
        422,
        "invalid-request",
    ),
}

# The fields that a change body adds to WITHDRAW, and the finding's key path.
BAD_CHANGES: dict[str, tuple[dict[str, Any], str]] = {
    "unknown field": ({"subjekt": "a"}, "subjekt"),
    "operator in the body": ({"operator": "ada"}, "operator"),
    "no change id": ({"change_id": ""}, "change_id"),
    "long change id": ({"change_id": "a" * 65}, "change_id"),
    "change id of another type": ({"change_id": 5}, "change_id"),
    "unknown kind": ({"kind": "erase"}, "kind"),
    "negative revision": ({"base_revision": -1}, "base_revision"),
    "revision as a text": ({"base_revision": "5"}, "base_revision"),
    "huge revision": ({"base_revision": 2**70}, "base_revision"),
    "no subject": ({"subject": ""}, "subject"),
    "subject with a control character": ({"subject": "a\x1b@1"}, "subject"),
    "subject without a version": ({"subject": "cheap"}, "subject"),
    "unexpected subject": ({"kind": "rotate-session-key"}, "subject"),
    "unexpected declarations": ({"declarations": {}}, "declarations"),
    "long message": ({"message": "m" * 501}, "message"),
    "apply without declarations": (
        {"kind": "apply", "subject": ""},
        "declarations",
    ),
}


class TestReadRequests:
    @pytest.mark.parametrize(
        "path",
        [
            "status",
            "declarations",
            "in-force?revision=5",
            "audit?after=3&limit=2",
            "nodes",
            "backends",
            "room?service=stock",
            "rollouts",
            "explain?subject=cheap@1",
        ],
    )
    def test_viewer_may_read(self, call: Caller, path: str) -> None:
        assert call("GET", f"{V1}/{path}", key="key-viewer").status == 200

    def test_answers_convert_back_to_their_types(self, call: Caller) -> None:
        status = from_plain(StatusAnswer, call("GET", f"{V1}/status").body)
        assert status == StatusAnswer("a", 3, "a", 5, 5, ())
        page = from_plain(AuditPage, call("GET", f"{V1}/audit").body)
        assert page.entries[0].operator == "ada"

    def test_unknown_field_is_ignored(self) -> None:
        answer = to_plain(ChangeAnswer("accepted", 6))
        newer = {**answer, "added": 1}
        assert from_plain(ChangeAnswer, newer) == ChangeAnswer("accepted", 6)

    @pytest.mark.parametrize(
        "bad", [None, [], {}, {"outcome": "maybe", "revision": 1}]
    )
    def test_value_of_another_type_raises_wire_error(
        self, bad: object
    ) -> None:
        with pytest.raises(WireError):
            from_plain(ChangeAnswer, bad)

    def test_only_admins_see_key_hashes(
        self, call: Caller, declared: Declarations
    ) -> None:
        key_hash = declared.customers["acme"].key_hashes[0]
        path = f"{V1}/declarations"
        for key in ("key-viewer", "key-operator"):
            assert key_hash not in repr(call("GET", path, key=key).body)
        assert key_hash in repr(call("GET", path).body)

    def test_plan_shows_the_difference_without_key_hashes(
        self, call: Caller, declared: Declarations
    ) -> None:
        body = {"declarations": {}}
        reply = call("POST", f"{V1}/plan", body, key="key-viewer")
        assert reply.body["revision"] == 5
        paths = [line["key_path"] for line in reply.body["lines"]]
        assert paths == ["customers.acme", "operators.ada"]
        key_hash = declared.customers["acme"].key_hashes[0]
        assert key_hash not in repr(reply.body)

    def test_health_paths_need_no_key(
        self, call: Caller, backend: Any
    ) -> None:
        assert call("GET", "/healthz", key="").status == 200
        assert call("GET", "/readyz", key="").status == 200
        backend.is_ready = False
        assert call("GET", "/readyz", key="").status == 503


class TestChanges:
    @pytest.mark.parametrize(
        ("outcome", "status"),
        [
            ("accepted", 200),
            ("duplicate", 200),
            ("conflict", 409),
            ("refused", 422),
        ],
    )
    def test_outcome_sets_the_status(
        self, call: Caller, backend: Any, outcome: Any, status: int
    ) -> None:
        conflict = Conflict(6, "ben", "c-0", "apply")
        backend.answer = ChangeAnswer(outcome, 6, conflicts=(conflict,))
        reply = call("POST", CHANGES, WITHDRAW)
        assert reply.status == status
        assert from_plain(ChangeAnswer, reply.body) == backend.answer

    def test_operator_is_set_from_the_key(
        self, call: Caller, backend: Any
    ) -> None:
        call("POST", CHANGES, WITHDRAW, key="key-operator")
        call("POST", f"{V1}/replace-voter", REPLACE)
        assert backend.changes[0].operator == "otto"
        assert backend.replacements[0].operator == "ada"

    def test_apply_passes_declarations_to_the_backend(
        self,
        call: Caller,
        backend: Any,
        declared: Declarations,
        apply_body: dict[str, Any],
    ) -> None:
        assert call("POST", CHANGES, apply_body).status == 200
        assert backend.changes[0].declarations == declared
        assert backend.changes[0].base_revision == 5

    def test_answer_lists_all_errors_of_declarations(
        self, call: Caller, backend: Any, apply_body: dict[str, Any]
    ) -> None:
        bad = {
            "services": {"portal": {"call_micros": -1}},
            "rollouts": {"none": {"version": "1"}},
        }
        reply = call("POST", CHANGES, {**apply_body, "declarations": bad})
        answer = from_plain(ChangeAnswer, reply.body)
        assert (reply.status, answer.outcome) == (422, "refused")
        assert [f.key_path for f in answer.findings if f[0] == "error"] == [
            "services.portal.call_micros",
            "rollouts.none",
        ]
        assert backend.changes == []

    @pytest.mark.parametrize("declares_length", [True, False])
    def test_full_room_refuses_large_changes_alone(
        self, call: Caller, turns: OrderTurns, declares_length: bool
    ) -> None:
        """Guards against bodies of waiting orders that fill the memory."""
        turns.room.used_bytes = turns.room.limit_bytes
        message = {**WITHDRAW, "message": "x" * 70_000}
        body = json.dumps(message).encode()
        length = (b"content-length", b"%d" % len(body))
        headers = (length,) if declares_length else ()
        reply = call("POST", CHANGES, body, headers=headers)
        assert (reply.status, reply.code) == (503, "no-room")
        assert reply.headers["retry-after"] == "1"
        assert call("POST", CHANGES, WITHDRAW).status == 200
        assert turns.room.free_bytes == 0

    def test_large_change_holds_no_turn_while_no_leader_is_known(
        self, call: Caller, backend: Any, turns: OrderTurns
    ) -> None:
        """Guards against an order that keeps the next ones waiting.

        The process knows no leader at first, and the one that it then knows
        is lost before it answers. The user's change is still made, once.
        """
        change = backend.change
        failures: list[Exception] = [
            NoLeader("no leader is known"),
            OutcomeUnknown("the leader does not answer"),
        ]

        async def wait_for_leader(waits: WaitLimit) -> None:
            with anyio.fail_after(1):
                async with turns.turn():
                    pass
            if len(failures) == 2:
                raise failures.pop(0)

        async def lose_the_leader_once(
            request: ChangeRequest, waits: WaitLimit
        ) -> ChangeAnswer:
            assert waits.left_s < 1
            if failures:
                raise failures.pop(0)
            answer: ChangeAnswer = await change(request, waits)
            return answer

        backend.wait_for_leader = wait_for_leader
        backend.change = lose_the_leader_once
        body = json.dumps(WITHDRAW).encode() + b" " * 70_000
        assert call("POST", CHANGES, body).status == 200
        assert len(backend.changes) == 1

    def test_message_keeps_no_control_characters(
        self, call: Caller, backend: Any
    ) -> None:
        call("POST", CHANGES, {**WITHDRAW, "message": "a\x1b[2Jb\n"})
        assert backend.changes[0].message == "a [2Jb "

    @pytest.mark.parametrize("case", BAD_CHANGES)
    def test_bad_change_is_refused_with_the_field(
        self, call: Caller, backend: Any, case: str
    ) -> None:
        added, key_path = BAD_CHANGES[case]
        reply = call("POST", CHANGES, {**WITHDRAW, **added})
        assert (reply.status, reply.code) == (422, "invalid-request")
        found = [f["key_path"] for f in reply.body["error"]["findings"]]
        assert found == [key_path]
        assert backend.changes == []

    def test_answer_lists_all_findings_of_a_change(self, call: Caller) -> None:
        reply = call("POST", CHANGES, {"kind": "x", "a": 1, "message": 2})
        found = {f["key_path"] for f in reply.body["error"]["findings"]}
        assert found == {"kind", "a", "message", "change_id"}


class TestRoles:
    @pytest.fixture
    def without_operators(self, apply_body: dict[str, Any]) -> dict[str, Any]:
        document = {**apply_body["declarations"], "operators": {}}
        return {**apply_body, "declarations": document}

    def test_operator_cannot_change_the_operators(
        self, call: Caller, backend: Any, without_operators: dict[str, Any]
    ) -> None:
        """Guard against operators who make themselves admins by an apply.

        The apply is refused before anything is proposed. Without a base
        revision it is refused too, as another change could be committed
        between the comparison of operators and this apply.
        """
        body = without_operators
        reply = call("POST", CHANGES, body, key="key-operator")
        assert (reply.status, reply.code) == (403, "forbidden")
        body["base_revision"] = None
        reply = call("POST", CHANGES, body, key="key-operator")
        assert (reply.status, reply.code) == (422, "invalid-request")
        assert backend.changes == []
        assert call("POST", CHANGES, body).status == 200

    def test_operator_may_apply_with_unchanged_operators(
        self, call: Caller, backend: Any, apply_body: dict[str, Any]
    ) -> None:
        reply = call("POST", CHANGES, apply_body, key="key-operator")
        assert reply.status == 200
        assert len(backend.changes) == 1

    def test_resend_with_an_older_base_reaches_the_backend(
        self, call: Caller, backend: Any, without_operators: dict[str, Any]
    ) -> None:
        """Guard against a 403 for a resent apply that was accepted.

        The first answer was lost, and an admin has changed the operators
        since. The resend has other operators than the current ones, but it
        cannot be committed on an old base: the backend answers duplicate or
        conflict.
        """
        backend.answer = ChangeAnswer("duplicate", 5)
        body = {**without_operators, "base_revision": 4}
        reply = call("POST", CHANGES, body, key="key-operator")
        assert reply.body["outcome"] == "duplicate"

    def test_base_above_this_process_revision_answers_behind(
        self, call: Caller, apply_body: dict[str, Any]
    ) -> None:
        body = {**apply_body, "base_revision": 9}
        reply = call("POST", CHANGES, body, key="key-operator")
        assert (reply.status, reply.code) == (503, "behind")


class TestBadRequests:
    @pytest.mark.parametrize("case", BAD_REQUESTS)
    def test_bad_request_gets_its_code_and_the_next_one_is_served(
        self,
        call: Caller,
        backend: Any,
        refusals: list[str],
        case: str,
    ) -> None:
        method, path, body, key, status, code = BAD_REQUESTS[case]
        reply = call(method, path, body, key=key)
        assert reply.status == status
        assert code is None or reply.code == code
        assert refusals == [reply.code]
        assert (backend.changes, backend.replacements) == ([], [])
        assert call("GET", f"{V1}/status").status == 200

    def test_repeated_authorization_header_is_rejected(
        self, call: Caller
    ) -> None:
        repeated = ((b"authorization", b"Bearer key-admin"),)
        assert call("GET", f"{V1}/status", headers=repeated).status == 401

    def test_too_large_content_length_is_refused(self, call: Caller) -> None:
        length = ((b"content-length", b"99999999"),)
        reply = call("POST", CHANGES, WITHDRAW, headers=length)
        assert reply.code == "body-too-large"


class TestLargeDeclarations:
    def test_long_check_does_not_block_the_event_loop(
        self, backend: Any, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guard against a leader that is deposed by a check of declarations.

        The voter's heartbeats run on the event loop, and checking the
        largest declarations takes long. The check in this test waits until
        another task of the loop has run, so it fails if it runs on the loop.
        """
        loop_has_run = threading.Event()

        def slow_check(document: object) -> tuple[Declarations, tuple[()]]:
            assert loop_has_run.wait(10)
            return Declarations(), ()

        monkeypatch.setattr(
            "sycamorestand_control.operator_api.routes.read_declarations",
            slow_check,
        )
        identity = OperatorIdentity("ada", "admin")

        async def next_task() -> None:
            loop_has_run.set()

        async def main() -> Any:
            call = Call(
                backend, identity, {}, {"declarations": {}}, CapacityLimiter(1)
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(next_task)
                return await ROUTES["POST", f"{V1}/plan"].answer(call)

        assert anyio.run(main).status == 200


class TestBackendFailures:
    def test_no_leader_has_retry_after_and_leader_address(
        self, call: Caller, backend: Any
    ) -> None:
        backend.failure = NoLeader("an election runs", 2, "10.0.0.2:7000")
        reply = call("POST", CHANGES, WITHDRAW)
        assert (reply.status, reply.code) == (503, "no-leader")
        assert reply.headers["retry-after"] == "2"
        assert reply.body["error"]["leader_address"] == "10.0.0.2:7000"

    @pytest.mark.parametrize(
        "failure", [OutcomeUnknown("no answer"), ValueError("secret")]
    )
    def test_failed_change_has_an_unknown_outcome(
        self, call: Caller, backend: Any, failure: Exception
    ) -> None:
        """Guard against an answer that claims a wrong outcome.

        The change was proposed but its answer was lost, so it may be
        committed. The caller learns the outcome by resending the same
        change id.
        """
        backend.failure = failure
        reply = call("POST", CHANGES, WITHDRAW)
        assert (reply.status, reply.code) == (503, "outcome-unknown")
        assert "resend the same change id" in reply.body["error"]["message"]
        assert "secret" not in repr(reply.body)

    def test_failed_read_request_is_an_internal_error(
        self, call: Caller, backend: Any
    ) -> None:
        backend.failure = ValueError("secret")
        reply = call("GET", f"{V1}/status")
        assert (reply.status, reply.code) == (500, "internal-error")
        assert "secret" not in repr(reply.body)

    def test_unknown_subject_is_not_found(
        self, call: Caller, backend: Any
    ) -> None:
        backend.failure = UnknownSubject("no such VM")
        reply = call("GET", f"{V1}/explain?subject=vm-9")
        assert (reply.status, reply.code) == (404, "unknown-subject")
