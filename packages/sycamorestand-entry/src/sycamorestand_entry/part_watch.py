"""Tells control which requests this entry had at servers that ended.

Control names the parts of prompts, and the whole requests, that are refused.
One dial tells whether a server has ended, for all requests that were there.
"""

from __future__ import annotations

from collections import Counter
from collections import OrderedDict
import logging
import math
import secrets
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

import anyio

from sycamorestand_decisions.part_trials import max_trials
from sycamorestand_decisions.part_trials import trial_pause_s
from sycamorestand_entry.left_requests import LeftRequests
from sycamorestand_entry.left_requests import ServerRequest
from sycamorestand_entry.server_end import has_ended
from sycamorestand_model.prompt_parts import CustomerPart
from sycamorestand_model.prompt_parts import Suspect
from sycamorestand_model.request_digest import is_request
from sycamorestand_peer.messages import EndsWanted
from sycamorestand_peer.messages import PartsReport
from sycamorestand_peer.messages import PartsWatched
from sycamorestand_peer.messages import ServerBoot
from sycamorestand_peer.messages import ServerEnded

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

    from sycamorestand_entry.metrics import Metrics
    from sycamorestand_entry.ports import ControlPort
    from sycamorestand_entry.request_parts import RequestFate
    from sycamorestand_entry.request_parts import RequestParts
    from sycamorestand_entry.upstream_pool import UpstreamPool
    from sycamorestand_model.backend_servers import Announcement
    from sycamorestand_model.prompt_parts import BlockedPart

_LOG = logging.getLogger(__name__)
REPORT_INTERVAL_S: Final = 0.1
# A message to control may be lost with its link, and the next control process
# is in use a second later.
REPEAT_AFTER_S: Final = (1.0, 3.0, 8.0)
SOUND_S: Final = 1.0
# How long a part is refused after control has last blamed it. The next
# control process of an entry may have to ask the others first.
BLAMED_S: Final = 3.0
MAX_REPORTS: Final = 64
MAX_ENDED: Final = 256
ENDED_S: Final = 5.0
MAX_SUSPECTS: Final = 160
MAX_LOGGED_REQUESTS: Final = 48
MAX_REPORTED_PARTS: Final = 48
MAX_SOUND_PARTS: Final = 4096
MAX_USED_TRIALS: Final = 1024
# A server at its limit of connections resets many requests, and lives.
CHECK_INTERVAL_S: Final = 0.2
# A request under which two servers have ended as they began to answer it may
# be what ends them.
MAX_BROKEN_STARTS: Final = 2
# Events after which an answer has begun, and the time for which its server has
# to live on: one that ends under a request may have sent some events of it.
SOUND_EVENTS: Final = 2
SOUND_LIFE_S: Final = 1.0
PROCESS_ID_BYTES: Final = 6


class _Blamed(NamedTuple):
    block: BlockedPart
    until_s: float


class _Report(NamedTuple):
    message: ServerEnded
    next_s: float
    repeats: int


class AnswerLife:
    """Whether a server lives on after it has begun an answer.

    >>> life = AnswerLife()
    >>> [life.lives_on(*each) for each in ((1, 0.0), (2, 0.1), (9, 1.1))]
    [False, False, True]
    """

    def __init__(self) -> None:
        self._begun_s = math.inf

    def lives_on(self, events: int, now_s: float) -> bool:
        """Return whether it does, once ``events`` of the answer have come."""
        if events < SOUND_EVENTS:
            return False
        self._begun_s = min(self._begun_s, now_s)
        return now_s - self._begun_s >= SOUND_LIFE_S


class PartWatch:
    """The requests at servers that ended, and the parts that are watched."""

    def __init__(
        self,
        pool: UpstreamPool,
        control: ControlPort,
        metrics: Metrics,
        now_s: Callable[[], float],
    ) -> None:
        self.process = secrets.token_hex(PROCESS_ID_BYTES)
        self._pool = pool
        self._control = control
        self._metrics = metrics
        self._now_s = now_s
        self._left = LeftRequests()
        self._broken: dict[str, list[ServerRequest]] = {}
        self._to_check: list[Announcement] = []
        self._lived_s: OrderedDict[str, float] = OrderedDict()
        self._reports: dict[ServerBoot, _Report] = {}
        self._watched: frozenset[str] = frozenset()
        self._watches_requests = False
        # Since when a request is blocked, by its name, revision and trials.
        self._stages_s: dict[tuple[str, int, int], float] = {}
        self._staged: Mapping[str, BlockedPart] = {}
        self._blamed: dict[str, _Blamed] = {}
        self._sound_s: OrderedDict[CustomerPart, float] = OrderedDict()
        self._sound: set[CustomerPart] = set()
        self._refused: set[CustomerPart] = set()
        self._used_trials: OrderedDict[tuple[str, int, int], None] = (
            OrderedDict()
        )
        # When this process heard of the end of a server, by any entry.
        self._ended_s: OrderedDict[ServerBoot, float] = OrderedDict()
        self._wake = anyio.Event()
        pool.on_refused = self._on_refused
        control.add_listener(PartsWatched, self._on_watched)
        control.add_listener(EndsWanted, self._on_ends_wanted)

    async def run(self) -> None:
        """Check servers and send reports until cancelled."""
        async with anyio.create_task_group() as checks:
            checks.start_soon(self._send_reports)
            while True:
                await self._wake.wait()
                self._wake = anyio.Event()
                to_check, self._to_check = self._to_check, []
                for server in to_check:
                    checks.start_soon(self._check, server)

    def record_left(
        self,
        server: Announcement,
        request: ServerRequest,
        fate: RequestFate,
    ) -> None:
        """Record that a request leaves a server that has not answered it."""
        now_s = self._now_s()
        boot = _boot(server)
        self._left.add(boot, request, fate, now_s)
        if self._is_known_to_have_ended(boot):
            self._report_end(boot, [], now_s)

    def record_broken(
        self, server: Announcement, request: ServerRequest
    ) -> None:
        """Record that a request's connection to a server has ended."""
        self._check_soon(server)
        self._broken[server.name].append(request)

    def record_sound(self, customer: str, parts: Iterable[str]) -> None:
        """Record that a server answers a request with these parts."""
        now_s = self._now_s()
        blocked = self._control.in_force().blocked_parts
        for part in parts:
            key = CustomerPart(customer, part)
            self._sound_s[key] = now_s
            self._sound_s.move_to_end(key)
            if part in self._watched or part in blocked:
                self._sound.add(key)
        while len(self._sound_s) > MAX_SOUND_PARTS:
            self._sound_s.popitem(last=False)

    def record_answered(self, parts: RequestParts) -> None:
        """Record that the caller has the whole answer to a request.

        An answer that went on at a second server shows nothing, as the
        request may have ended the first one.
        """
        if parts.has_broken:
            return
        parts.fate.is_answered = True
        blocked = self._control.in_force().blocked_parts
        if not (self._watches_requests or any(map(is_request, blocked))):
            return
        for name in parts.whole_names:
            if name in self._watched or name in blocked:
                self._sound.add(CustomerPart(parts.customer, name))

    def blocked_for(self, parts: RequestParts) -> dict[str, BlockedPart]:
        """Return for which of its parts, or itself, a request is blocked."""
        found = self.blocked(parts.customer, parts.prompt)
        blocked = self._control.in_force().blocked_parts
        if any(map(is_request, blocked)) or any(map(is_request, self._blamed)):
            found.update(self.blocked(parts.customer, parts.whole_names))
        return found

    def is_suspect(self, parts: RequestParts) -> bool:
        """Return whether several servers have ended under it or its parts.

        It is true until one answers, or control knows what ended them.
        """
        if self.has_suspect_part(parts):
            return True
        return self._watches_requests and not self._watched.isdisjoint(
            parts.whole_names
        )

    def has_suspect_part(self, parts: RequestParts) -> bool:
        """Return whether several servers have ended under a prompt part."""
        return not self._watched.isdisjoint(parts.prompt)

    def is_trial_due(self, part: str, block: BlockedPart) -> bool:
        """Return whether control permits a trial of a part if asked."""
        since_s = self._stages_s.get((part, block.revision, block.trials))
        if since_s is None or block.trials >= max_trials(part):
            return False
        return self._now_s() - since_s >= trial_pause_s(part, block)

    def _sync_stages(self, now_s: float) -> None:
        blocked = self._control.in_force().blocked_parts
        if blocked is self._staged:
            return
        self._staged = blocked
        stages = [
            (part, block.revision, block.trials)
            for part, block in blocked.items()
        ]
        self._stages_s = {s: self._stages_s.get(s, now_s) for s in stages}

    def blocked(
        self, customer: str, parts: Iterable[str]
    ) -> dict[str, BlockedPart]:
        """Return those of the parts that are blocked for the customer."""
        blocked = self._control.in_force().blocked_parts
        if self._blamed:
            blocked = self._with_blamed(blocked)
        return {
            part: blocked[part]
            for part in parts
            if part in blocked and blocked[part].concerns(customer)
        }

    def _with_blamed(
        self, blocked: Mapping[str, BlockedPart]
    ) -> dict[str, BlockedPart]:
        now_s = self._now_s()
        self._blamed = {
            part: blamed
            for part, blamed in self._blamed.items()
            if part not in blocked and now_s < blamed.until_s
        }
        blames = {part: blamed.block for part, blamed in self._blamed.items()}
        return {**blames, **blocked}

    def record_refused(self, customer: str, part: str) -> None:
        """Record that a request with a blocked part is refused."""
        self._refused.add(CustomerPart(customer, part))

    def may_try(self, part: str, block: BlockedPart) -> bool:
        """Return whether this process may send one request with the part."""
        trial = block.trial
        if trial is None or trial.process != self.process:
            return False
        key = (part, block.revision, trial.number)
        return key not in self._used_trials

    def use_trial(self, part: str, block: BlockedPart) -> None:
        """Use the permission to send one request with a blocked part."""
        if block.trial is None:
            return
        key = (part, block.revision, block.trial.number)
        extra = {"part": part, "trial": block.trial.number}
        _LOG.info("trial of a blocked part", extra=extra)
        self._used_trials[key] = None
        if len(self._used_trials) > MAX_USED_TRIALS:
            self._used_trials.popitem(last=False)

    def return_trial(self, part: str, block: BlockedPart) -> None:
        """Give back a permission whose request no server has run.

        A server that has started anew refuses what is meant for the one
        before, and a part has few trials.
        """
        if block.trial is None:
            return
        key = (part, block.revision, block.trial.number)
        if key in self._used_trials:
            extra = {"part": part, "trial": block.trial.number}
            _LOG.info("trial of a blocked part was not run", extra=extra)
            del self._used_trials[key]

    async def _check(self, server: Announcement) -> None:
        ended = await self._has_ended(server)
        requests = self._broken.pop(server.name, [])
        result = "ended" if ended else "lives"
        self._metrics.broken_servers.inc({"result": result})
        if not ended:
            self._record_lived(server.name)
            return
        now_s = self._now_s()
        self._report_end(_boot(server), requests, now_s)

    async def _has_ended(self, server: Announcement) -> bool:
        if self._is_known_to_have_ended(_boot(server)):
            # The next server at its address may accept connections already.
            return True
        lived_s = self._lived_s.get(server.name, -math.inf)
        pause_s = lived_s + CHECK_INTERVAL_S - self._now_s()
        await anyio.sleep(max(0.0, pause_s))
        try:
            return await has_ended(self._pool, self._control, server)
        except Exception:
            # The exception would end the whole process.
            _LOG.exception("check of a backend server failed")
            return False

    def _on_refused(self, address: str) -> None:
        """Tell of a server that refuses a connection: it has ended.

        Nothing may have been under way there, at any entry, while requests
        that have left it may have ended it.
        """
        for server in self._control.backend_servers().values():
            if server.address != address or server.leaving:
                continue
            if server.name not in self._broken:
                self._report_end(_boot(server), [], self._now_s())

    def _check_soon(self, server: Announcement) -> None:
        if server.name not in self._broken:
            self._broken[server.name] = []
            self._to_check.append(server)
            self._wake.set()

    def has_lived_since(self, server: str, at_s: float) -> bool:
        """Return whether a dial has found the server alive since then."""
        return self._lived_s.get(server, -math.inf) >= at_s

    def now_s(self) -> float:
        """Return the time that `has_lived_since` compares with."""
        return self._now_s()

    def _record_lived(self, server: str) -> None:
        self._lived_s[server] = self._now_s()
        self._lived_s.move_to_end(server)
        if len(self._lived_s) > MAX_REPORTS:
            self._lived_s.popitem(last=False)

    def _report_end(
        self, server: ServerBoot, broken: list[ServerRequest], now_s: float
    ) -> None:
        """Tell control what this process had at a server that ended.

        Without requests there, the end itself is told, once.
        """
        left = self._left.take(server, now_s)
        requests = broken + left
        is_known = self._is_known_to_have_ended(server)
        self._note_ended(server, now_s)
        if is_known and not requests:
            return
        _log_end(server, broken, left)
        if len(self._reports) >= MAX_REPORTS:
            return
        suspects = _suspects(requests)
        known = self._reports.get(server)
        if known is not None:
            suspects = tuple(
                dict.fromkeys((*known.message.suspects, *suspects))
            )[:MAX_SUSPECTS]
        message = ServerEnded(
            server.server, server.incarnation, self.process, suspects
        )
        self._reports[server] = _Report(message, now_s, 0)
        # What waits for the next interval is lost with the process.
        self._send_ends(now_s)

    async def _send_reports(self) -> None:
        while True:
            await anyio.sleep(REPORT_INTERVAL_S)
            try:
                self.send_reports(self._now_s())
            except Exception:
                _LOG.exception("report of prompt parts failed")

    def send_reports(self, now_s: float) -> None:
        """Send control what it does not have yet, some of it repeatedly."""
        self._sync_stages(now_s)
        self._send_ends(now_s)
        self._send_parts()

    def _send_ends(self, now_s: float) -> None:
        for server, report in list(self._reports.items()):
            if now_s < report.next_s:
                continue
            self._control.send(report.message)
            if report.repeats == len(REPEAT_AFTER_S):
                del self._reports[server]
                continue
            next_s = now_s + REPEAT_AFTER_S[report.repeats]
            self._reports[server] = report._replace(
                next_s=next_s, repeats=report.repeats + 1
            )

    def _send_parts(self) -> None:
        if self._sound or self._refused:
            sound, self._sound = self._sound, set()
            refused, self._refused = self._refused, set()
            self._control.send(
                PartsReport(
                    self.process,
                    tuple(sorted(sound)[:MAX_REPORTED_PARTS]),
                    tuple(sorted(refused)[:MAX_REPORTED_PARTS]),
                )
            )

    def _on_ends_wanted(self, message: EndsWanted) -> None:
        """Send all reports again, as a control process does not have them."""
        now_s = self._now_s()
        self._reports = {
            server: _Report(report.message, now_s, 0)
            for server, report in self._reports.items()
        }

    def _on_watched(self, message: PartsWatched) -> None:
        added = set(message.parts) - self._watched
        self._watched = frozenset(message.parts)
        self._watches_requests = any(map(is_request, self._watched))
        for part in message.cleared:
            self._blamed.pop(part, None)
        for ended in message.ended:
            self._on_ended(ended)
        until_s = self._now_s() + BLAMED_S
        for part, block in message.blamed.items():
            self._blamed[part] = _Blamed(block, until_s)
        recent_s = self._now_s() - SOUND_S
        for key in reversed(self._sound_s):
            if self._sound_s[key] < recent_s:
                return
            if key.part in added:
                self._sound.add(key)

    def _on_ended(self, server: ServerBoot) -> None:
        """Tell what has left a server of whose end another entry told."""
        if not self._is_known_to_have_ended(server):
            self._note_ended(server, self._now_s())
            self._report_end(server, [], self._now_s())

    def _is_known_to_have_ended(self, server: ServerBoot) -> bool:
        """Return whether an entry has told so lately.

        An entry that is cut off may be refused by a server that lives on.
        """
        ended_s = self._ended_s.get(server, -math.inf)
        return self._now_s() - ended_s < ENDED_S

    def _note_ended(self, server: ServerBoot, now_s: float) -> None:
        self._ended_s.setdefault(server, now_s)
        if now_s - self._ended_s[server] >= ENDED_S:
            self._ended_s[server] = now_s
        if len(self._ended_s) > MAX_ENDED:
            self._ended_s.popitem(last=False)


def _boot(server: Announcement) -> ServerBoot:
    return ServerBoot(server.name, server.incarnation)


def _log_end(
    server: ServerBoot,
    broken: list[ServerRequest],
    left: list[ServerRequest],
) -> None:
    requests = broken + left
    begun = [r.request for r in requests if r.is_begun]
    extra = {
        "backend_server": server.server,
        "begun": ",".join(sorted(begun)[:MAX_LOGGED_REQUESTS]),
        "waiting": len(requests) - len(begun),
        "left": len(left),
        "requests": ",".join(r.whole for r in requests[:MAX_LOGGED_REQUESTS]),
    }
    _LOG.warning("backend server ended under requests", extra=extra)


def _suspects(requests: list[ServerRequest]) -> tuple[Suspect, ...]:
    """Return the requests and their parts, those that were begun first."""
    counts = Counter(
        (not request.is_begun, request.customer, part)
        for request in requests
        for part in (*request.parts, request.whole)
        if part
    )
    places = {
        part: place
        for request in requests
        for place, part in enumerate(request.parts)
    }
    return tuple(
        Suspect(customer, part, not is_waiting, count, places.get(part, 0))
        for (is_waiting, customer, part), count in sorted(counts.items())
    )[:MAX_SUSPECTS]


__all__ = [
    "AnswerLife",
    "MAX_BROKEN_STARTS",
    "PartWatch",
    "SOUND_LIFE_S",
]
