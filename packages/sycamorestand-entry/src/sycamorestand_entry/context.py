"""State that all requests of one entry process share."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import logging
import math
from random import Random
import time
from typing import Any
from typing import Final
from typing import TYPE_CHECKING

import anyio

from sycamorestand_decisions.answer_lengths import AnswerLengths
from sycamorestand_decisions.arrivals import ArrivalBudget
from sycamorestand_decisions.attempt_timeouts import AnswerTimes
from sycamorestand_decisions.attempt_timeouts import ServerProgress
from sycamorestand_decisions.cascade import CascadeLearner
from sycamorestand_decisions.observed_loads import ObservedLoads
from sycamorestand_decisions.peer_entries import PeerEntries
from sycamorestand_decisions.prefill import PrefillRates
from sycamorestand_decisions.queue_delay import QueueDelay
from sycamorestand_decisions.retained_sessions import RetainedSessions
from sycamorestand_decisions.retained_sessions import Step
from sycamorestand_decisions.retry import RetryBudget
from sycamorestand_decisions.server_loss import ServerLoss
from sycamorestand_decisions.urgent_requests import UrgentRequests
from sycamorestand_entry.answer_memory import AnswerMemory
from sycamorestand_entry.callers import Authenticator
from sycamorestand_entry.load_reports import LoadReports
from sycamorestand_entry.loans import Loans
from sycamorestand_entry.metrics import Metrics
from sycamorestand_entry.outcome_reports import OutcomeReports
from sycamorestand_entry.part_watch import PartWatch
from sycamorestand_entry.rating import RatingClient
from sycamorestand_entry.server_limits import ServerLimits
from sycamorestand_entry.server_watch import ServerWatch
from sycamorestand_entry.servers import Servers
from sycamorestand_entry.slots import Slots
from sycamorestand_entry.start_hold import StartHold
from sycamorestand_entry.upstream_pool import UpstreamPool
from sycamorestand_peer.messages import SessionsStay
from sycamorestand_peer.messages import SharedRatings

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from sycamorestand_entry.ports import ControlPort
    from sycamorestand_entry.settings import EntrySettings

_LOG = logging.getLogger(__name__)
# Time to finish a request's own bookkeeping before the process is ended.
STOP_MARGIN_S: Final = 0.2


class EntryContext:
    """The objects that request handlers share, created once per process."""

    def __init__(
        self,
        settings: EntrySettings,
        control: ControlPort,
        background: TaskGroup,
        random: Random | None = None,
    ) -> None:
        self.settings = settings
        self.control = control
        self._background = background
        self._stop_begun = anyio.Event()
        self.metrics = Metrics()
        self.authenticator = Authenticator()
        self.server_loss = ServerLoss()
        self.pool = UpstreamPool(
            settings.connect_timeout_s, settings.pool_idle_s, self.server_loss
        )
        self.rating = RatingClient(
            settings.rating_url, settings.rating_timeout_s, self.metrics
        )
        self.random = random or Random()
        self.server_watch = ServerWatch(
            self.pool, self.server_loss, control, self.now_s
        )
        self.part_watch = PartWatch(
            self.pool, control, self.metrics, self.now_s
        )
        self.server_limits = ServerLimits(
            control, self.metrics, self.now_s, self.random, self.server_loss
        )
        self.outcome_reports = OutcomeReports(control)
        self.observed_loads = ObservedLoads()
        self.load_reports = LoadReports(
            control, self.observed_loads, self.metrics, self.now_s
        )
        self.servers = Servers(
            control,
            self.random,
            self.server_loss,
            self.server_limits.held,
            self.outcome_reports,
            self.observed_loads.observed,
        )
        self.peer_entries = PeerEntries(
            settings.vm, settings.data_centre, self.random
        )
        self.slots = Slots(
            self.servers,
            self.metrics,
            self.servers.shared_room,
            control.entry_count,
        )
        self.retries = RetryBudget(settings.retry_share)
        self.arrivals = ArrivalBudget(settings.allowance)
        self.loans = Loans(self.arrivals, control, self.now_s)
        self.urgent_requests = UrgentRequests()
        self.server_progress = ServerProgress()
        self.answer_memory = AnswerMemory()
        self.answer_times = AnswerTimes()
        self.answer_lengths = AnswerLengths()
        self.prefill_rates = PrefillRates()
        self.cascade = CascadeLearner()
        control.add_listener(SharedRatings, self._on_ratings)
        self.retained_sessions = RetainedSessions(settings.session_idle_s)
        control.add_listener(SessionsStay, self._on_sessions)
        self._queue_delays: dict[tuple[str, bool], QueueDelay] = {}
        self._event_gaps: dict[str, QueueDelay] = {}
        self.start_hold = StartHold()
        self.pins: dict[tuple[str, str], str] = {}
        self.stopping = False
        self._stop_deadline_s = math.inf

    def now_s(self) -> float:
        """Return the time of the monotonic clock."""
        return time.monotonic()

    def begin_stop(self) -> None:
        """Start stopping; with a stop limit, set the stop deadline."""
        self.stopping = True
        self._stop_begun.set()
        limit_s = self.settings.stop_limit_s
        if limit_s:
            self._stop_deadline_s = self.now_s() + limit_s - STOP_MARGIN_S

    async def wait_for_stop(self) -> None:
        """Return once the planned stop has begun."""
        await self._stop_begun.wait()

    def stop_deadline_s(self) -> float:
        """Return when answers must be complete, infinity without a limit.

        The time is on the monotonic clock.
        """
        return self._stop_deadline_s

    def has_other_serving_entry(self) -> bool:
        """Return whether another entry is known that is not stopping."""
        return any(
            address.vm != self.settings.vm and not address.stopping
            for address in self.control.addresses()
        )

    def queue_delay(self, service: str, short_prefill: bool) -> QueueDelay:
        """Return the mean queue delay at the servers of a service.

        Requests with a ``short_prefill`` have a delay of their own, because
        engines serve them before the others.
        """
        return self._queue_delays.setdefault(
            (service, short_prefill), QueueDelay()
        )

    def event_gap(self, service: str) -> QueueDelay:
        """Return the mean gap between events of a service's streams."""
        return self._event_gaps.setdefault(service, QueueDelay())

    def _on_ratings(self, message: SharedRatings) -> None:
        self.cascade.observe_ratings(message.ratings)

    def _on_sessions(self, message: SessionsStay) -> None:
        step = Step(message.service, message.version, message.step)
        self.retained_sessions.retain(step, message.places)

    def start_background(
        self, function: Callable[..., Awaitable[None]], *arguments: Any
    ) -> None:
        """Run a function that outlives its request.

        A planned stop waits for it. An exception in it is logged and not
        raised, because in the task group it would end the whole process
        with all running requests.
        """
        self._background.start_soon(_run_logged, function, arguments)


async def _run_logged(
    function: Callable[..., Awaitable[None]], arguments: tuple[Any, ...]
) -> None:
    try:
        await function(*arguments)
    except Exception:
        _LOG.exception("background task failed")


__all__ = ["EntryContext"]
