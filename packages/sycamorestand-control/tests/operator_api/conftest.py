from __future__ import annotations

from collections.abc import Callable
from collections.abc import MutableMapping
import json
from typing import Any
from typing import NamedTuple

import anyio
import pytest

from sycamorestand_control.operator_api.app import make_operator_app
from sycamorestand_control.operator_api.types import AuditEntry
from sycamorestand_control.operator_api.types import AuditPage
from sycamorestand_control.operator_api.types import BillPage
from sycamorestand_control.operator_api.types import ChangeAnswer
from sycamorestand_control.operator_api.types import ChangeRequest
from sycamorestand_control.operator_api.types import DeclarationsAnswer
from sycamorestand_control.operator_api.types import Explanation
from sycamorestand_control.operator_api.types import InForceAnswer
from sycamorestand_control.operator_api.types import OperatorIdentity
from sycamorestand_control.operator_api.types import ReplaceVoterRequest
from sycamorestand_control.operator_api.types import StatusAnswer
from sycamorestand_control.operator_api.types import TransferAnswer
from sycamorestand_control.order_turns import OrderTurns
from sycamorestand_control.wait_limit import WaitLimit
from sycamorestand_model.codec import to_document
from sycamorestand_model.declarations import Customer
from sycamorestand_model.declarations import Declarations
from sycamorestand_model.declarations import Operator
from sycamorestand_model.keys import hash_key

CUSTOMER_HASH = hash_key("one", b"12345678")
ADMIN_HASH = hash_key("key-admin", b"12345678")
KEYS = {
    "key-viewer": OperatorIdentity("vera", "viewer"),
    "key-operator": OperatorIdentity("otto", "operator"),
    "key-admin": OperatorIdentity("ada", "admin"),
}
DECLARED = Declarations(
    customers={"acme": Customer("acme", (CUSTOMER_HASH,), (), ())},
    operators={"ada": Operator("ada", (ADMIN_HASH,), "admin")},
)


class FakeBackend:
    """A control process at revision 5; methods raise ``failure`` if set."""

    def __init__(self) -> None:
        self.changes: list[ChangeRequest] = []
        self.replacements: list[ReplaceVoterRequest] = []
        self.answer = ChangeAnswer("accepted", 6)
        self.failure: Exception | None = None
        self.is_ready = True

    def _fail(self) -> None:
        if self.failure is not None:
            raise self.failure

    async def wait_for_leader(self, waits: WaitLimit) -> None:
        return

    async def change(
        self, request: ChangeRequest, waits: WaitLimit | None = None
    ) -> ChangeAnswer:
        self._fail()
        self.changes.append(request)
        return self.answer

    async def declarations(self) -> DeclarationsAnswer:
        self._fail()
        return DeclarationsAnswer(5, DECLARED)

    async def in_force(self, revision: int) -> InForceAnswer:
        return InForceAnswer(revision, False, 3, 2, ("vm-3",))

    async def status(self) -> StatusAnswer:
        self._fail()
        return StatusAnswer("a", 3, "a", 5, 5, ())

    async def audit(self, after: int, limit: int) -> AuditPage:
        entry = AuditEntry(
            after + 1, 0.0, "ada", "c1", "apply", "", 4, 5, "accepted"
        )
        return AuditPage((entry,) * min(limit, 2), after + 1)

    async def bills(self, customer: str, after: int, limit: int) -> BillPage:
        return BillPage((), after)

    async def nodes(self) -> tuple[()]:
        return ()

    async def backends(self) -> tuple[()]:
        return ()

    async def room(self, service: str) -> tuple[()]:
        return ()

    async def rollouts(self) -> tuple[()]:
        return ()

    async def replace_voter(
        self, request: ReplaceVoterRequest
    ) -> ChangeAnswer:
        self._fail()
        self.replacements.append(request)
        return self.answer

    async def explain(self, subject: str) -> Explanation:
        self._fail()
        return Explanation(subject, ("because",))

    async def transfer_leadership(self, operator: str) -> TransferAnswer:
        return TransferAnswer("b", 4)

    def knows_operators(self) -> bool:
        return True

    def ready(self) -> bool:
        return self.is_ready


class Reply(NamedTuple):
    status: int
    headers: dict[str, str]
    body: Any

    @property
    def code(self) -> str:
        return self.body["error"]["code"]


Caller = Callable[..., Reply]


@pytest.fixture
def backend() -> FakeBackend:
    return FakeBackend()


@pytest.fixture
def declared() -> Declarations:
    """Return the fake backend's declarations at revision 5."""
    return DECLARED


@pytest.fixture
def apply_body() -> dict[str, Any]:
    """Return the body of an apply that changes no declaration."""
    return {
        "change_id": "c-2",
        "kind": "apply",
        "base_revision": 5,
        "declarations": to_document(DECLARED),
    }


@pytest.fixture
def refusals() -> list[str]:
    return []


@pytest.fixture
def turns() -> OrderTurns:
    return OrderTurns(0)


@pytest.fixture
def call(
    backend: FakeBackend, refusals: list[str], turns: OrderTurns
) -> Caller:
    """Return a function that sends one request through the application."""
    app = make_operator_app(backend, KEYS.get, refusals.append, turns=turns)

    def send_request(
        method: str,
        path: str,
        body: object = b"",
        key: str = "key-admin",
        headers: tuple[tuple[bytes, bytes], ...] = (),
    ) -> Reply:
        content = body if isinstance(body, bytes) else json.dumps(body)
        raw = content if isinstance(content, bytes) else content.encode()
        path, _, query = path.partition("?")
        bearer = (b"authorization", f"Bearer {key}".encode())
        scope: MutableMapping[str, Any] = {
            "type": "http",
            "method": method,
            "path": path,
            "query_string": query.encode(),
            "headers": [*((bearer,) if key else ()), *headers],
        }
        sent: list[MutableMapping[str, Any]] = []

        async def receive() -> MutableMapping[str, Any]:
            return {"type": "http.request", "body": raw, "more_body": False}

        async def send(message: MutableMapping[str, Any]) -> None:
            sent.append(message)

        anyio.run(app, scope, receive, send)
        start, end = sent
        return Reply(
            start["status"],
            {k.decode(): v.decode() for k, v in start["headers"]},
            json.loads(end["body"]),
        )

    return send_request
