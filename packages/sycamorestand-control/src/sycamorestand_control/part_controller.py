"""Blocks prompt parts whose requests end the servers that begin them.

Every control process gathers what all entries tell, so that the next leader
knows it too. The leader decides, and commits each decision as a revision of
the configuration. So an entry that has just started acts on it before its
first request, and one that cannot be reached loses its lease first. Until the
reports of all entries can be there, a blame is only told to the entries.
"""

from __future__ import annotations

import logging
import time
from typing import Final
from typing import TYPE_CHECKING

import anyio

from sycamorestand_control.commit import commit_decision
from sycamorestand_control.groups import CONFIGURATION_GROUP
from sycamorestand_decisions.ending_parts import EndingParts
from sycamorestand_decisions.evidence_gaps import EvidenceGaps
from sycamorestand_decisions.part_trials import PartTrials
from sycamorestand_decisions.server_boots import ServerBoots
from sycamorestand_model.prompt_parts import BlockedPart
from sycamorestand_peer.clock import boottime_s
from sycamorestand_peer.messages import EndsWanted
from sycamorestand_peer.messages import PartsReport
from sycamorestand_peer.messages import PartsWatched
from sycamorestand_peer.messages import ServerBoot
from sycamorestand_peer.messages import ServerEnded
from sycamorestand_state.change_ids import unique_change_id
from sycamorestand_state.commands import ANY_REVISION
from sycamorestand_state.commands import BlockPart
from sycamorestand_state.commands import ReleasePart
from sycamorestand_state.commands import SYSTEM
from sycamorestand_state.commands import TryPart

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Set as AbstractSet

    from sycamorestand_control.ends_file import EndsFile
    from sycamorestand_control.groups import LogGroups
    from sycamorestand_decisions.end_counts import Blame
    from sycamorestand_decisions.ending_parts import PartCount
    from sycamorestand_decisions.part_trials import Trial
    from sycamorestand_model.backend_servers import Announcement
    from sycamorestand_model.prompt_parts import CustomerPart
    from sycamorestand_peer.mesh import PeerMesh
    from sycamorestand_peer.messages import Message
    from sycamorestand_state.commands import Command
    from sycamorestand_state.configuration import ConfigurationMachine

LOG: Final = logging.getLogger(__name__)
TICK_S: Final = 0.1
# Entries forget a blame that is not repeated for some times this long.
REPEAT_INTERVAL_S: Final = 1.0
SAVE_INTERVAL_S: Final = 1.0
# Less than `ends_file.MAX_DOWN_S`, so that the file tells that this runs.
REFRESH_INTERVAL_S: Final = 5.0
# Entries refuse a blamed part for less than this.
CLEARED_S: Final = 4.0
BOOTS_INTERVAL_S: Final = 0.5
# In place of an entry process that tells of an end.
ANNOUNCED: Final = "announcement"
MAX_LOGGED_SERVERS: Final = 8
MAX_LOGGED_PARTS: Final = 16
MAX_LOGGED_COUNTS: Final = 12
NOTHING_WATCHED: Final = PartsWatched(())


class PartController:
    """Gathers ends of servers, and blocks, tries and releases parts.

    ``entries`` and ``others`` return the peer addresses of the entries
    attached here and of the other control processes; ``ends_file`` keeps what
    is gathered over a restart; ``servers`` returns the known backend servers.
    """

    def __init__(
        self,
        mesh: PeerMesh,
        groups: LogGroups,
        configuration: ConfigurationMachine,
        entries: Callable[[], Iterable[str]],
        others: Callable[[], Iterable[str]],
        ends_file: EndsFile,
        servers: Callable[[], Mapping[str, Announcement]] = dict,
    ) -> None:
        self._mesh = mesh
        self._groups = groups
        self._configuration = configuration
        self._entries = entries
        self._others = others
        self._ends_file = ends_file
        self._evidence = EndingParts()
        self._evidence.restore(ends_file.read(), boottime_s())
        # When what the file has changed last.
        self._saved_s = self._evidence.changed_s
        self._told = anyio.Event()
        self._servers = servers
        self._boots = ServerBoots()
        self._boots_s = 0.0
        self._gaps = EvidenceGaps()
        self._trials = PartTrials()
        self._blocked: dict[str, BlockedPart] = {}
        self._sound: dict[str, CustomerPart] = {}
        self._sent: dict[str, PartsWatched] = {}
        self._asked: set[str] = set()
        self._blames: list[Blame] = []
        # When each part was blamed last.
        self._blamed_s: dict[str, float] = {}
        self._repeat_s = 0.0
        self._leads = False
        self._waits = False
        self.watched: tuple[str, ...] = ()
        self.ends = 0

    def handle_server_ended(self, sender: str, message: ServerEnded) -> None:
        """Add what an entry had at a server that ended by itself."""
        server = (message.server, message.incarnation)
        is_new = self._evidence.record_end(
            server, message.process, message.suspects, boottime_s()
        )
        if is_new:
            self.ends += 1
            self._told.set()
            _log_end(message)
            self._forward(sender, message)
            # What the other entries had there counts as soon as they tell.
            self._push_watched(boottime_s())

    def handle_parts_report(self, sender: str, message: PartsReport) -> None:
        """Add what became of requests with watched and blocked parts."""
        now_s = boottime_s()
        blocked = self._configuration.in_force().blocked_parts
        for sound in message.sound:
            block = blocked.get(sound.part)
            self._evidence.record_sound(sound, block is not None, now_s)
            if block is not None and block.concerns(sound.customer):
                self._sound[sound.part] = sound
        for refused in message.refused:
            self._trials.record_refused(refused.part, message.process, now_s)
        self._forward(sender, message)

    def handle_ends_wanted(self, sender: str, message: EndsWanted) -> None:
        """Tell a new leader, which may have just started, what is known."""
        for report in self._evidence.reports():
            ended = ServerEnded(*report.server, *report[1:])
            self._mesh.send(sender, ended)

    def _forward(self, sender: str, message: Message) -> None:
        """Send what an entry reports to the other control processes."""
        others = set(self._others())
        if sender in others:
            return
        for address in others:
            self._mesh.send(address, message)

    async def run(self) -> None:
        """Watch and decide every `TICK_S`, until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._keep_saving)
            while True:
                await anyio.sleep(TICK_S)
                await self.check(boottime_s())

    async def _keep_saving(self) -> None:
        """Write what is known, apart from decisions: a disk may be slow.

        An end is written as soon as it is told, as the next one may come
        with the end of all processes.
        """
        refresh_s = 0.0
        while True:
            with anyio.move_on_after(SAVE_INTERVAL_S):
                await self._told.wait()
            self._told = anyio.Event()
            has_changed = self._evidence.changed_s != self._saved_s
            is_due = self._evidence.end_count and boottime_s() >= refresh_s
            if not (has_changed or is_due):
                continue
            self._saved_s = self._evidence.changed_s
            ends = self._evidence.known_ends(boottime_s())
            await self._ends_file.write(ends)
            refresh_s = boottime_s() + REFRESH_INTERVAL_S
            await anyio.sleep(TICK_S)

    async def check(self, now_s: float) -> None:
        """Tell the entries what to watch and, while leading, decide."""
        self._sync_blocked(now_s)
        self._record_boots(now_s)
        if self._evidence.has_changed_lately(now_s):
            self.watched = self._evidence.watch(now_s, self._blocked)
            blames = self._evidence.blames(self._blocked, now_s)
            known = {blame.part for blame in self._blames}
            added = [each for each in blames if each.part not in known]
            if added:
                counts = self._evidence.counts(self._blocked, now_s)
                _log_blames(added, counts)
            self._blames = blames
        self._push_watched(now_s)
        self._record_gaps(now_s)
        led, self._leads = (
            self._leads,
            self._groups.is_leader(CONFIGURATION_GROUP),
        )
        if not self._leads:
            self._sound.clear()
            return
        if not led:
            LOG.info(
                "ends known to the new leader",
                extra={"ends": self._evidence.end_count},
            )
            self._gaps.record_gap(now_s)
            for address in self._others():
                self._mesh.send(address, EndsWanted())
        for command in self._decide(now_s):
            await commit_decision(
                self._groups, command, "prompt part decision"
            )

    def _record_boots(self, now_s: float) -> None:
        """Record the ends that announcements show.

        Entries hear of them, and tell what they had at these servers.
        """
        if now_s < self._boots_s:
            return
        self._boots_s = now_s + BOOTS_INTERVAL_S
        for server in self._boots.ended(self._servers().values()):
            if self._evidence.record_end(server, ANNOUNCED, (), now_s):
                LOG.info(
                    "next boot of a server that ended",
                    extra={"backend_server": server[0]},
                )

    def _sync_blocked(self, now_s: float) -> None:
        """Forget what spoke against parts that have been released."""
        blocked = self._configuration.in_force().blocked_parts
        if blocked == self._blocked:
            return
        for part in self._blocked.keys() - blocked.keys():
            self._evidence.forget(part, now_s)
        self._blocked = blocked
        self._blames = self._evidence.blames(blocked, now_s)

    def _record_gaps(self, now_s: float) -> None:
        """Note what may be missing of what entries have to tell."""
        for address in self._others():
            silence_s = self._mesh.silence_s(address)
            self._gaps.record_silence(silence_s, now_s)

    def _push_watched(self, now_s: float) -> None:
        """Tell the entries what to watch, and what to refuse already.

        A leader may be missing, or its revision on the way. What there is to
        tell is repeated, as a message may be lost with its link.
        """
        blamed = {
            blame.part: BlockedPart(blame.customers, blame.is_for_everyone)
            for blame in self._blames
        }
        cleared = self._cleared_blames(blamed.keys(), now_s)
        ended = tuple(
            ServerBoot(*server) for server in self._evidence.recent_ends(now_s)
        )
        message = PartsWatched(self.watched, blamed, cleared, ended)
        attached = set(self._entries())
        self._ask_new_entries(attached, now_s)
        self._sent = {a: m for a, m in self._sent.items() if a in attached}
        is_due = message != NOTHING_WATCHED and now_s >= self._repeat_s
        if is_due:
            self._repeat_s = now_s + REPEAT_INTERVAL_S
        for address in attached:
            known = self._sent.get(address, NOTHING_WATCHED)
            if is_due or _tells_more(message, known):
                self._sent[address] = message
                self._mesh.send(address, message)

    def _cleared_blames(
        self, blamed: AbstractSet[str], now_s: float
    ) -> tuple[str, ...]:
        """Return the parts that were blamed lately and are not to blame."""
        self._blamed_s.update(dict.fromkeys(blamed, now_s))
        self._blamed_s = {
            part: at_s
            for part, at_s in self._blamed_s.items()
            if now_s - at_s < CLEARED_S
        }
        return tuple(
            sorted(self._blamed_s.keys() - blamed - self._blocked.keys())
        )

    def _ask_new_entries(self, attached: set[str], now_s: float) -> None:
        """Ask entries that come from another control process, now lost.

        One that goes may have ended, with what it had to tell.
        """
        if self._asked - attached:
            self._evidence.record_lost_entry(now_s)
        for address in attached - self._asked:
            self._mesh.send(address, EndsWanted())
            self._gaps.record_gap(now_s)
        self._asked = attached

    def _decide(self, now_s: float) -> list[Command]:
        blocked = self._blocked
        released = [part for part in self._sound if part in blocked]
        commands: list[Command] = [_release(part) for part in released]
        self._sound.clear()
        commands += self._blocks(now_s)
        commands += [
            _try(trial)
            for trial in self._trials.due(blocked, now_s)
            if trial.part not in released
        ]
        return commands

    def _blocks(self, now_s: float) -> list[Command]:
        """Return the blocks that need not wait for further reports."""
        may_block = self._gaps.may_decide(bool(self._blames), now_s)
        waited, self._waits = self._waits, bool(self._blames) and not may_block
        if self._waits and not waited:
            parts = ", ".join(blame.part for blame in self._blames)
            LOG.info(
                "blame waits for entries that moved", extra={"parts": parts}
            )
        return [_block(blame) for blame in self._blames if may_block]


def _tells_more(message: PartsWatched, known: PartsWatched) -> bool:
    """Return whether an entry that knows the one needs the other."""
    if not set(message.ended) <= set(known.ended):
        return True
    return message._replace(ended=known.ended) != known


def _log_end(message: ServerEnded) -> None:
    """Log what an entry tells, also what speaks against nothing."""

    def text(is_begun: bool) -> str:
        parts = [s.part for s in message.suspects if s.is_begun == is_begun]
        return ", ".join(parts[:MAX_LOGGED_PARTS])

    extra = {
        "backend_server": message.server,
        "incarnation": message.incarnation,
        "entry_process": message.process,
        "begun": text(True),
        "waiting": text(False),
    }
    LOG.info("an entry tells of a server's end", extra=extra)


def _log_blames(blames: list[Blame], counts: list[PartCount]) -> None:
    """Log what is blamed, beside which other parts it might have been."""
    rivals = [
        f"{each.part} {each.ends} {each.mean_requests:.1f}"
        for each in counts[:MAX_LOGGED_COUNTS]
    ]
    extra = {
        "parts": ", ".join(blame.part for blame in blames),
        "ends_and_mean_requests": ", ".join(rivals),
        "rivals": len(counts),
    }
    LOG.info("parts are blamed", extra=extra)


def _block(blame: Blame) -> BlockPart:
    servers = ", ".join(blame.servers[:MAX_LOGGED_SERVERS])
    return BlockPart(
        unique_change_id("block", blame.part),
        SYSTEM,
        ANY_REVISION,
        blame.part,
        blame.customers,
        blame.is_for_everyone,
        blame.is_certain,
        f"{len(blame.servers)} servers ended under it, and none answered it:"
        f" {servers}",
        time.time(),
    )


def _try(trial: Trial) -> TryPart:
    return TryPart(
        unique_change_id("try", trial.part, trial.number),
        SYSTEM,
        ANY_REVISION,
        trial.part,
        trial.number,
        trial.process,
        time.time(),
    )


def _release(part: str) -> ReleasePart:
    return ReleasePart(
        unique_change_id("release", part),
        SYSTEM,
        ANY_REVISION,
        part,
        "a server has answered a request with it",
        time.time(),
    )


__all__ = ["PartController", "TICK_S"]
