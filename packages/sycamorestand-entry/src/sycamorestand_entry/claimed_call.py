"""A non-idempotent call to a plain service, which runs at most once.

The order of the steps guarantees that: the ledger stores the claim, then
the dispatch; the entry writes the first byte; the ledger stores the
outcome with the answer; only then does the entry release the answer.
Whichever step fails, a later call with the same key reads from the ledger
how far the first one got.
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
from sycamorestand_entry.reservation import reserve_server
from sycamorestand_entry.service_call import acquire_slot
from sycamorestand_entry.service_call import CallFailed
from sycamorestand_entry.service_call import exchange
from sycamorestand_entry.service_call import ServiceAnswer
from sycamorestand_entry.upstream import ConnectFailed
from sycamorestand_model.errors import LedgerUnavailable
from sycamorestand_model.home_regions import home_regions
from sycamorestand_model.ledger import Dispatch
from sycamorestand_model.ledger import NOT_KEPT_CONTENT_TYPE
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
RESEND_PAUSE_S: Final = 0.5
# How long after its deadline a stop waits for the answer to a call.
LATE_IN_STOP_S: Final = 5.0


class ClaimedCall:
    """One call with a claim; `run` continues after the caller has left.

    ``run_state`` is what is known about the execution so far. It is
    ``unknown`` until the claim is held, because an earlier call with the
    same key may have run.
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
        self._owner_used = False
        self._abandoned = False

    def abandon(self) -> None:
        """Mark the call as past its deadline; it is not written after that."""
        self._abandoned = True

    async def run(self) -> None:
        """Run the call to its outcome and set ``finished``.

        A `RequestError` is stored in ``refusal`` and not raised.
        """
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
            # The ledger may have stored the claim although its answer is
            # missing. Without an outcome it would block the key for ever.
            self._record_in_background([self._outcome("not_run")])
            raise
        if recorded is not None:
            await self._charge_recorded(recorded)
            return
        self.run_state = "not_run"
        try:
            answer = await self._dispatch_in_slot()
        except CallFailed as error:
            self._record_in_background([self._outcome("unknown")])
            raise BackendFailed(
                f"the service gave no whole answer: {error}", run="unknown"
            ) from error
        except RequestError:
            self._record_in_background([self._outcome("not_run")])
            raise
        await self._record_answer(answer)

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
                server = await self._choose_server(failed)
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
            self._owner_used = True
        raise Overloaded(
            "no backend server of the service took the call", SERVER_RETRY_S
        )

    async def _choose_server(self, failed: set[str]) -> Announcement:
        context = self._context
        homes = home_regions(context.control.in_force(), self._call.customer)
        among = context.servers.names_in(homes)
        await reserve_server(
            context,
            self._call.service,
            remaining_s(self._call.deadline_at_s),
            among,
        )
        return context.servers.choose(
            self._call.service, time.monotonic(), failed, among=among
        )

    async def _attempt(self, server: Announcement) -> ServiceAnswer:
        context = self._context
        call = self._call
        # A connection that has been idle may be dead without an error. The
        # entry could not know whether a call written to it has run.
        connection = await context.pool.acquire(
            server.address, context.settings.silent_idle_s
        )
        try:
            held = await self._record_dispatch(server)
        except BaseException:
            connection.close()
            raise
        limit_s = max(0.0, remaining_s(call.deadline_at_s))
        limit_s += context.settings.late_answer_s
        return await self._write(server, connection, limit_s, held)

    async def _record_dispatch(self, server: Announcement) -> bool:
        call = self._call
        records = self._renewed_claim()
        records.append(
            Dispatch(call.customer, call.request_key, self._owner, server.name)
        )
        results = await write_ledger(self._context, records, run="not_run")
        return self._holds(results[-1])

    def _renewed_claim(self) -> list[LedgerRecord]:
        """Return the records that claim the key again for another server.

        They are needed after a server has answered that it did not run the
        call. An owner dispatches only once, because the ledger cannot
        distinguish a second dispatch from a delayed first one. Outcome,
        claim and dispatch are written in one batch, so that no other
        attempt can claim the key in between.
        """
        if not self._owner_used:
            return []
        call = self._call
        outcome = self._outcome("not_run")
        self._owner = _new_owner()
        self._owner_used = False
        content = fingerprint(call.method.encode(), call.target, call.body)
        claim = make_claim(
            call.customer, call.request_key, content, self._owner
        )
        return [outcome, claim]

    def _holds(self, result: LedgerResult) -> bool:
        if result.state == "ok":
            return True
        # The ledger applied an earlier send of this dispatch and the answer
        # was lost. Only this call uses the owner and has written nothing
        # under it yet, so the call may be sent.
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
        answer: ServiceAnswer | None = None
        error: Exception = CallFailed("the entry stops")
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._give_up_in_stop, tasks.cancel_scope)
            try:
                answer = await exchange(
                    self._context,
                    self._call,
                    server,
                    connection,
                    limit_s,
                    held,
                )
            except RequestError as refusal:
                self.run_state = "not_run"
                error = refusal
            except CallFailed as failure:
                error = failure
            tasks.cancel_scope.cancel()
        if answer is None:
            raise error
        return answer

    async def _give_up_in_stop(self, scope: anyio.CancelScope) -> None:
        """End the wait for a late answer soon after its caller has left.

        A planned stop would wait for a server that hangs, and be killed with
        the outcomes that it holds.
        """
        await self._context.wait_for_stop()
        left_s = min(
            remaining_s(self._call.deadline_at_s) + LATE_IN_STOP_S,
            self._context.stop_deadline_s() - self._context.now_s(),
        )
        await anyio.sleep(max(0.0, left_s))
        scope.cancel()

    async def _record_answer(self, answer: ServiceAnswer) -> None:
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
            self._record_in_background(records)
            raise
        if charged:
            self._context.metrics.charges.inc({"state": results[1].state})
            require_charged(results[1])
            self.cost_micros = results[1].cost_micros
        self.answer = recorded

    async def _charge_recorded(self, recorded: RecordedAnswer) -> None:
        # The entry that ran the call may have crashed before the charge.
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
            answer = RecordedAnswer(answer.status, NOT_KEPT_CONTENT_TYPE, b"")
        return outcome._replace(
            status=answer.status,
            content_type=answer.content_type,
            answer=answer.body,
        )

    def _record_in_background(self, records: list[LedgerRecord]) -> None:
        self._context.start_background(
            _record_until_durable, self._context, records
        )


def _new_owner() -> str:
    return secrets.token_hex(8)


async def _record_until_durable(
    context: EntryContext, records: list[LedgerRecord]
) -> None:
    with anyio.move_on_after(context.settings.late_answer_s):
        while True:
            try:
                await context.control.write_ledger(records)
                return
            except LedgerUnavailable:
                context.metrics.ledger_failures.inc({})
                await anyio.sleep(RESEND_PAUSE_S)
    _LOG.error("outcome not recorded", extra={"records": len(records)})


__all__ = ["ClaimedCall"]
