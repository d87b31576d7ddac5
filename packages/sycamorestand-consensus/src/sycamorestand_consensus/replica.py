"""One member of one group, as the control process uses it.

The replica carries out the output of the Raft core: it sends messages,
writes batches in a thread and applies entries. The core continues while a
group commit is being synced, and the records that it adds meanwhile become
the next group commit.

Example: the first voter of a new group::

    replica = Replica(folder, 0, ReplicaSettings(), machine, send, now)
    tasks.start_soon(replica.run)
    await replica.bootstrap([(replica.member_id, "10.0.0.1:7000")])
    await replica.propose(b"command")
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
import logging
from pathlib import Path
import secrets
from typing import Final

import anyio
from anyio import lowlevel
from anyio import to_thread

from sycamorestand_consensus.applier import Applier
from sycamorestand_consensus.core import Core
from sycamorestand_consensus.errors import NotLeader
from sycamorestand_consensus.errors import TransferFailed
from sycamorestand_consensus.identity import open_identity
from sycamorestand_consensus.identity import record_group
from sycamorestand_consensus.log import ENTRY_OVERHEAD_BYTES
from sycamorestand_consensus.raft_state import is_snapshot_synced
from sycamorestand_consensus.raft_state import is_synced
from sycamorestand_consensus.raft_state import Role
from sycamorestand_consensus.replica_status import running_sizes
from sycamorestand_consensus.replica_status import running_status
from sycamorestand_consensus.replica_status import starting_status
from sycamorestand_consensus.replica_status import state_name
from sycamorestand_consensus.replica_types import MemberStatus
from sycamorestand_consensus.replica_types import ReplicaSizes
from sycamorestand_consensus.replica_types import ReplicaStatus
from sycamorestand_consensus.replica_types import StateMachine
from sycamorestand_consensus.settings import check_settings
from sycamorestand_consensus.settings import ReplicaSettings
from sycamorestand_consensus.storage import Storage
from sycamorestand_consensus.waiters import PendingProposals
from sycamorestand_consensus.waiters import PendingReads
from sycamorestand_consensus.wire import decode_message
from sycamorestand_consensus.wire import encode_message
from sycamorestand_consensus.wire import PayloadRefused
from sycamorestand_consensus.writer import Writer

LOG: Final = logging.getLogger(__name__)

SEED_BITS: Final = 64


class Replica:
    """A member of a group with its files, timers and state machine.

    The owner transports opaque payloads: it passes each payload that
    ``send`` gets for a member id to ``receive`` of that member. Payloads
    may be lost, duplicated or delayed. The members' addresses are in
    ``status().members``.
    """

    def __init__(
        self,
        folder: Path,
        group: int,
        settings: ReplicaSettings,
        machine: StateMachine,
        send: Callable[[str, bytes], None],
        now: Callable[[], float],
    ) -> None:
        """Read the identity file; ``run`` opens the other files.

        ``now`` must advance while the machine is suspended, as
        ``CLOCK_BOOTTIME`` does, since it measures leases. Raises
        ``SettingsRefused`` for settings that contradict each other.
        """
        check_settings(settings)
        identity = open_identity(folder)
        self._member_id = identity.member_id
        self._had_log = group in identity.groups
        self._folder = folder
        self._group = group
        self._settings = settings
        self._send = send
        self._now = now
        self._storage = Storage(
            folder / f"group-{group}",
            settings.segment_bytes,
            settings.reserve_bytes,
        )
        self._writer = Writer(self._storage, now, self._wake, settings)
        self._proposals = PendingProposals()
        self._reads = PendingReads()
        self._applier = Applier(group, machine, self._proposals)
        self._core: Core | None = None
        self._inbox: list[tuple[str, bytes]] = []
        self._inbox_bytes = 0
        self._refused_payloads = 0
        self._led_term = 0
        self._last_barrier_id = 0
        self._logged_state: tuple[str, str] = ("", "")
        self._wake_event = anyio.Event()
        self._output_processed = anyio.Event()
        self._opened = anyio.Event()

    @property
    def member_id(self) -> str:
        """Return the member id of this data folder."""
        return self._member_id

    async def run(self) -> None:
        """Open the files and take part in the group until cancelled.

        Raises ``LogCorrupted`` or ``StorageError`` if the files cannot be
        trusted; the process should then stop.
        """
        try:
            core = await self._open()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._writer.run, core)
                tasks.start_soon(self._run_core, core)
        except ExceptionGroup as group:
            raise group.exceptions[0] from group
        finally:
            self._core = None
            self._proposals.fail_after(0, except_term=0)
            self._reads.fail_all()
            self._storage.close()

    def receive(self, sender: str, payload: bytes) -> None:
        """Queue a payload that the member ``sender`` passed to ``send``.

        Payloads that arrive before ``run`` has opened the files are
        dropped, and those beyond ``max_backlog_bytes``, as a network may do.
        A member that cannot keep up catches up through later messages.
        """
        if self._core is None:
            return
        size_bytes = self._inbox_bytes + len(payload) + ENTRY_OVERHEAD_BYTES
        if size_bytes > self._settings.max_backlog_bytes:
            return
        self._inbox.append((sender, payload))
        self._inbox_bytes = size_bytes
        self._wake()

    async def bootstrap(self, members: Sequence[tuple[str, str]]) -> None:
        """Start a new group of voters, given as (member id, address).

        This member must be blank, and each listed voter must be given the
        same list. Usually the list holds this member alone, which then
        admits the others with ``add_learner`` and ``promote``. Waits for
        ``run`` to open the files and returns once the membership is
        synced. Raises ``BootstrapRefused``.
        """
        await self._opened.wait()
        core = self._require_core()
        core.bootstrap(members, self._now())
        self._wake()
        await self._wait_until(lambda: is_synced(core.state))

    async def propose(self, command: bytes) -> object:
        """Commit a command; return the result of ``apply`` on this member.

        Raises ``NotLeader`` or ``ProposalRefused`` if nothing was appended
        and ``ProposalLost`` if the outcome is unknown.
        """
        core = self._require_core()
        self._applier.check(command)
        entry = core.propose(command, self._now())
        return await self._wait_applied(entry.log_index, entry.term)

    async def read_barrier(self) -> None:
        """Wait until all entries committed before the call are applied.

        Confirms with a majority that this member still leads, so that a
        read after it is linearizable. Raises ``NotLeader``.
        """
        core = self._require_core()
        self._last_barrier_id += 1
        core.read_barrier(self._last_barrier_id, self._now())
        waiter = self._reads.add(self._last_barrier_id)
        self._wake()
        await waiter.wait()

    def leader_lease_remaining_s(self) -> float:
        """Return for how long no other member can lead; 0 if unknown."""
        if self._core is None:
            return 0.0
        now_s = self._now()
        return max(0.0, self._core.claim_lease_until_s(now_s) - now_s)

    def status(self) -> ReplicaStatus:
        """Return this member's view of the group."""
        if self._core is None:
            return starting_status(self._member_id)
        return running_status(
            self._core, self._applier.applied_index, self._refused_payloads
        )

    def sizes(self) -> ReplicaSizes:
        """Return what this member holds in memory and on disk."""
        if self._core is None:
            return ReplicaSizes()
        return running_sizes(
            self._core, self._inbox_bytes, self._storage.size_bytes
        )

    async def add_learner(self, member_id: str, address: str) -> None:
        """Add a member that receives entries and has no vote.

        Changes the address instead if the member exists.
        """
        core = self._require_core()
        index = core.add_learner(member_id, address, self._now())
        await self._wait_applied(index, core.state.term)

    async def promote(self, member_id: str) -> None:
        """Make a learner a voter after it has caught up and synced.

        Raises ``MembershipRefused`` until then; the caller may retry.
        """
        core = self._require_core()
        index = core.promote(member_id, self._now())
        await self._wait_applied(index, core.state.term)

    async def remove(self, member_id: str) -> None:
        """Remove a member; the leader must transfer leadership first."""
        core = self._require_core()
        index = core.remove(member_id, self._now())
        await self._wait_applied(index, core.state.term)

    async def transfer_leadership(self, target: str | None) -> None:
        """Transfer leadership to ``target`` or the most caught-up voter.

        Returns once this member no longer leads. Raises ``NotLeader`` or
        ``TransferFailed``.
        """
        core = self._require_core()
        core.transfer(target, self._now())
        state = core.state
        self._wake()
        await self._wait_until(
            lambda: state.role != Role.LEADER or state.transfer is None
        )
        if state.role == Role.LEADER:
            raise TransferFailed("the other voter did not catch up in time")

    async def _open(self) -> Core:
        recovered = await to_thread.run_sync(
            lambda: self._storage.open(had_log=self._had_log)
        )
        record_group(self._folder, self._group)
        self._applier.restore_initial(recovered.snapshot)
        seed = secrets.randbits(SEED_BITS)
        core = Core(
            self._member_id, self._settings, seed, recovered, self._now()
        )
        self._core = core
        self._opened.set()
        return core

    async def _run_core(self, core: Core) -> None:
        while True:
            self._process_inbox(core)
            core.tick(self._now())
            self._process_output(core)
            wait_s = max(0.0, core.next_wake_s() - self._now())
            if self._applier.has_pending:
                await lowlevel.checkpoint()
            else:
                with anyio.move_on_after(wait_s):
                    await self._wake_event.wait()
            self._wake_event = anyio.Event()

    def _process_inbox(self, core: Core) -> None:
        payloads = self._inbox
        self._inbox = []
        self._inbox_bytes = 0
        for sender, payload in payloads:
            try:
                message = decode_message(payload)
            except PayloadRefused:
                self._refused_payloads += 1
                continue
            if message.sender != sender:
                self._refused_payloads += 1
                continue
            core.receive(message, self._now())

    def _process_output(self, core: Core) -> None:
        output = core.drain(self._now())
        for message in output.messages:
            self._send(message.to, encode_message(message))
        if output.batch is not None:
            self._writer.enqueue(output.batch)
        self._applier.accept_output(output.install, output.committed)
        self._applier.apply_pending()
        for barrier in output.confirmed:
            self._reads.confirm(barrier.barrier_id, barrier.read_index)
        self._reads.complete_through(self._applier.applied_index)
        self._fail_lost_waiters(core)
        self._compact(core)
        self._log_role_change(core)
        self._output_processed.set()
        self._output_processed = anyio.Event()

    def _fail_lost_waiters(self, core: Core) -> None:
        state = core.state
        led_term = state.term if state.role == Role.LEADER else 0
        if led_term and led_term == self._led_term:
            return
        self._led_term = led_term
        self._proposals.fail_after(state.commit_index, except_term=led_term)
        self._reads.fail_unconfirmed(state.leader_id)

    def _compact(self, core: Core) -> None:
        applied = self._applier.applied_index
        if not self._is_snapshot_due(core, applied):
            return
        data = self._applier.snapshot()
        log_bytes = core.state.log.size_bytes
        entries_since = applied - core.state.snapshot.last_index
        core.compact(applied, data, self._now())
        LOG.info(
            "snapshot made",
            extra={
                "log": self._group,
                "index": applied,
                "entries": entries_since,
                "snapshot_bytes": len(data),
                "log_bytes_before": log_bytes,
                "log_bytes": core.state.log.size_bytes,
            },
        )
        self._wake()

    def _is_snapshot_due(self, core: Core, applied: int) -> bool:
        """Return whether a snapshot should be made now.

        Only one waits for the disk, as each is held in memory. On a full disk
        any entry is reason enough: what a snapshot covers can be removed.
        """
        state = core.state
        last = state.snapshot.last_index
        if applied <= last or not is_snapshot_synced(state):
            return False
        settings = self._settings
        size_bytes = state.log.size_between(last + 1, applied)
        return (
            state.blocked
            or applied - last >= settings.snapshot_every_entries
            or size_bytes >= settings.snapshot_every_bytes
        )

    def _log_role_change(self, core: Core) -> None:
        current = (core.state.role.value, state_name(core))
        if current == self._logged_state:
            return
        self._logged_state = current
        LOG.info(
            "group %d, member %s: %s in term %d, disk and group %s",
            self._group,
            self._member_id,
            current[0],
            core.state.term,
            current[1],
        )

    def _wake(self) -> None:
        self._wake_event.set()

    async def _wait_applied(self, index: int, term: int) -> object:
        waiter = self._proposals.add(index, term)
        self._wake()
        return await waiter.wait()

    async def _wait_until(self, is_done: Callable[[], bool]) -> None:
        while not is_done():
            await self._output_processed.wait()

    def _require_core(self) -> Core:
        if self._core is None:
            raise NotLeader("")
        return self._core


__all__ = [
    "MemberStatus",
    "Replica",
    "ReplicaStatus",
    "StateMachine",
]
