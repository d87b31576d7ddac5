"""A call that must not be repeated, from its claim to its outcome.

The order is what makes it run at most once: the claim is durable, then
the dispatch, then the first byte is written, then the outcome with the
answer is durable, and only then is the answer released. Wherever that
chain breaks, a second call with the key finds how far it came.
"""

from __future__ import annotations

import logging
import secrets
import time
from typing import Final
from typing import TYPE_CHECKING

import anyio

from sycamorestand_entry.billing import require_charged
from sycamorestand_entry.billing import service_charge
from sycamorestand_entry.billing import write_ledger
from sycamorestand_entry.callers import remaining_s
from sycamorestand_entry.claims import fingerprint
from sycamorestand_entry.claims import make_claim
from sycamorestand_entry.claims import RecordedAnswer
from sycamorestand_entry.claims import take_claim
from sycamorestand_entry.errors import BackendFailed
from sycamorestand_entry.errors import DeadlineExceeded
from sycamorestand_entry.errors import InternalError
from sycamorestand_entry.errors import LedgerFailed
from sycamorestand_entry.errors import NoBackendServer
from sycamorestand_entry.errors import Overloaded
from sycamorestand_entry.errors import RequestError
from sycamorestand_entry.errors import Run
from sycamorestand_entry.errors import StillRunning
from sycamorestand_entry.service_call import acquire_slot
from sycamorestand_entry.service_call import CallFailed
from sycamorestand_entry.service_call import exchange
from sycamorestand_entry.service_call import ServiceAnswer
from sycamorestand_entry.upstream import ConnectFailed
from sycamorestand_model.errors import LedgerUnavailable
from sycamorestand_model.ledger import Dispatch
from sycamorestand_model.ledger import NOT_KEPT
from sycamorestand_model.ledger import Outcome

if TYPE_CHECKING:
    from sycamorestand_entry.context import EntryContext
    from sycamorestand_entry.service_call import ServiceCall
    from sycamorestand_entry.upstream import UpstreamConnection
    from sycamorestand_model.backend_servers import Announcement
    from sycamorestand_model.declarations import Service
    from sycamorestand_model.ledger import LedgerRecord
    from sycamorestand_model.ledger import LedgerResult

_LOG = logging.getLogger(__name__)
MAX_ATTEMPTS: Final = 3
SERVER_RETRY_S: Final = 1.0
SETTLE_PAUSE_S: Final = 0.5


class ClaimedCall:
    """State of one call; `run` goes on when the caller has left.

    ``run_state`` is what is known at any moment. Before the claim is
    held it is ``unknown``, as an earlier call with the key may have run.
    """

    def __init__(
        self, context: EntryContext, call: ServiceCall, service: Service
    ) -> None:
        self.finished = anyio.Event()
        self.answer: RecordedAnswer | None = None
        self.refusal: RequestError | None = None
        self.cost_micros = 0
        self.run_state: Run = "unknown"
        self._context = context
        self._call = call
        self._service = service
        self._owner = _new_owner()
        self._owner_spent = False
        self._abandoned = False

    def abandon(self) -> None:
        """Give up at the deadline; what was not written never will be."""
        self._abandoned = True

    async def run(self) -> None:
        """Run the call to its outcome; never raises a `RequestError`."""
        try:
            await self._run()
        except RequestError as error:
            self.refusal = error
        except Exception:
            _LOG.exception("call failed")
            self.refusal = InternalError("the entry failed")
        finally:
            self.finished.set()

    async def _run(self) -> None:
        call = self._call
        content = fingerprint(call.method.encode(), call.target, call.body)
        claim = make_claim(
            call.customer, call.request_key, content, self._owner
        )
        try:
            recorded = await take_claim(self._context, claim)
        except LedgerFailed:
            # The claim may be there all the same and would keep the key
            # from ever running.
            self._settle_later([self._outcome("not_run")])
            raise
        if recorded is not None:
            await self._charge_recorded(recorded)
            return
        self.run_state = "not_run"
        try:
            answer = await self._dispatch_in_slot()
        except CallFailed as error:
            self._settle_later([self._outcome("unknown")])
            raise BackendFailed(
                f"the service gave no whole answer: {error}", run="unknown"
            ) from error
        except RequestError:
            self._settle_later([self._outcome("not_run")])
            raise
        await self._record(answer)

    async def _dispatch_in_slot(self) -> ServiceAnswer:
        slot = await acquire_slot(self._context, self._call)
        begin_s = time.monotonic()
        failed = True
        try:
            answer = await self._dispatch()
            failed = False
            return answer
        finally:
            latency_s = time.monotonic() - begin_s
            self._context.slots.finish(slot, latency_s, failed)

    async def _dispatch(self) -> ServiceAnswer:
        failed: set[str] = set()
        for _ in range(MAX_ATTEMPTS):
            try:
                server = self._context.servers.choose(
                    self._call.service, time.monotonic(), failed
                )
                failed.add(server.name)
                answer = await self._attempt(server)
            except ConnectFailed:
                continue
            except NoBackendServer:
                if failed:
                    break
                raise
            if not answer.not_run:
                return answer
            self.run_state = "not_run"
            self._owner_spent = True
        raise Overloaded(
            "no backend server of the service took the call", SERVER_RETRY_S
        )

    async def _attempt(self, server: Announcement) -> ServiceAnswer:
        context = self._context
        call = self._call
        # A connection that has been idle may have gone silent without an
        # error. Whether a call written into it ran could not be told.
        connection = await context.pool.acquire(
            server.address, context.settings.silent_idle_s
        )
        try:
            held = await self._mark_dispatch(server)
        except BaseException:
            connection.close()
            raise
        limit_s = max(0.0, remaining_s(call.deadline_at_s))
        limit_s += context.settings.late_answer_s
        return await self._write(server, connection, limit_s, held)

    async def _mark_dispatch(self, server: Announcement) -> bool:
        call = self._call
        records = self._renewed_claim()
        records.append(
            Dispatch(call.customer, call.request_key, self._owner, server.name)
        )
        results = await write_ledger(self._context, records, run="not_run")
        return self._holds(results[-1])

    def _renewed_claim(self) -> list[LedgerRecord]:
        """Return what claims the key anew after a server did not run it.

        An owner dispatches once: the ledger could not tell a second
        dispatch from a late first one. Outcome, claim and dispatch go in
        one batch, so that no other attempt comes in between.
        """
        if not self._owner_spent:
            return []
        call = self._call
        outcome = self._outcome("not_run")
        self._owner = _new_owner()
        self._owner_spent = False
        content = fingerprint(call.method.encode(), call.target, call.body)
        claim = make_claim(
            call.customer, call.request_key, content, self._owner
        )
        return [outcome, claim]

    def _holds(self, result: LedgerResult) -> bool:
        if result.state == "ok":
            return True
        # The first send of this very dispatch was applied and its answer
        # was lost. Nothing has been written under this owner yet, and
        # nobody else knows it, so the call may go.
        own = result.owner == self._owner
        return own and result.claim_state == "dispatched"

    async def _write(
        self,
        server: Announcement,
        connection: UpstreamConnection,
        limit_s: float,
        held: bool,
    ) -> ServiceAnswer:
        if self._abandoned:
            connection.close()
            raise DeadlineExceeded("the deadline passed", run="not_run")
        if not held:
            connection.close()
            raise StillRunning("another attempt holds the claim")
        self.run_state = "unknown"
        try:
            return await exchange(
                self._context, self._call, server, connection, limit_s, held
            )
        except RequestError:
            self.run_state = "not_run"
            raise

    async def _record(self, answer: ServiceAnswer) -> None:
        recorded = RecordedAnswer(
            answer.status, answer.content_type, answer.body
        )
        records: list[LedgerRecord] = [self._outcome("done", recorded)]
        charged = answer.status < 500
        if charged:
            cost = self._service.call_micros
            records.append(service_charge(self._call, cost))
        try:
            results = await write_ledger(self._context, records, run="ran")
        except LedgerFailed:
            self._settle_later(records)
            raise
        if charged:
            self._context.metrics.charges.inc({"state": results[1].state})
            require_charged(results[1])
            self.cost_micros = results[1].cost_micros
        self.answer = recorded

    async def _charge_recorded(self, recorded: RecordedAnswer) -> None:
        # The entry that ran the call may have died before its charge.
        if recorded.status < 500:
            charge = service_charge(self._call, self._service.call_micros)
            results = await write_ledger(self._context, [charge], run="ran")
            require_charged(results[0])
            self.cost_micros = results[0].cost_micros
        self.answer = recorded

    def _outcome(
        self, state: str, answer: RecordedAnswer | None = None
    ) -> Outcome:
        call = self._call
        outcome = Outcome(call.customer, call.request_key, self._owner, state)
        if answer is None:
            return outcome
        limit = self._context.settings.max_recorded_answer_bytes
        if len(answer.body) > limit:
            answer = RecordedAnswer(answer.status, NOT_KEPT, b"")
        return outcome._replace(
            status=answer.status,
            content_type=answer.content_type,
            answer=answer.body,
        )

    def _settle_later(self, records: list[LedgerRecord]) -> None:
        self._context.start_background(_settle, self._context, records)


def _new_owner() -> str:
    return secrets.token_hex(8)


async def _settle(context: EntryContext, records: list[LedgerRecord]) -> None:
    with anyio.move_on_after(context.settings.late_answer_s):
        while True:
            try:
                await context.control.write_ledger(records)
                return
            except LedgerUnavailable:
                context.metrics.ledger_failures.inc({})
                await anyio.sleep(SETTLE_PAUSE_S)
    _LOG.error("outcome not recorded", extra={"records": len(records)})


__all__ = ["ClaimedCall"]
