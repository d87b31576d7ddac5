"""Callers that wait for an applied entry or a confirmed read."""

from __future__ import annotations

from typing import NamedTuple

import anyio

from sycamorestand_consensus.errors import NotLeader
from sycamorestand_consensus.errors import ProposalLost
from sycamorestand_consensus.messages import Entry


class Waiter:
    """One caller that waits for a result or an error."""

    def __init__(self) -> None:
        """Start without a result or error."""
        self._done = anyio.Event()
        self._result: object = None
        self._error: Exception | None = None

    def succeed(self, result: object) -> None:
        """Wake the caller with a result."""
        self._result = result
        self._done.set()

    def fail(self, error: Exception) -> None:
        """Wake the caller with an error."""
        self._error = error
        self._done.set()

    async def wait(self) -> object:
        """Return the result or raise the error."""
        await self._done.wait()
        if self._error is not None:
            raise self._error
        return self._result


class _Proposal(NamedTuple):
    term: int
    waiter: Waiter


class PendingProposals:
    """Waiters by the log index of the entry that they proposed."""

    def __init__(self) -> None:
        """Start without waiters."""
        self._by_index: dict[int, _Proposal] = {}

    def add(self, index: int, term: int) -> Waiter:
        """Return a waiter for an entry that was just appended."""
        waiter = Waiter()
        self._by_index[index] = _Proposal(term, waiter)
        return waiter

    def resolve(self, entry: Entry, result: object) -> None:
        """Pass the result to the caller that proposed the entry.

        The caller gets ``ProposalLost`` if its own entry was overwritten
        by one of another term.
        """
        proposal = self._by_index.pop(entry.log_index, None)
        if proposal is None:
            return
        if proposal.term == entry.term:
            proposal.waiter.succeed(result)
        else:
            proposal.waiter.fail(ProposalLost("another entry took the place"))

    def fail_after(self, index: int, *, except_term: int) -> None:
        """Fail the waiters after ``index`` that are not of ``except_term``."""
        lost = [
            entry_index
            for entry_index, proposal in self._by_index.items()
            if entry_index > index and proposal.term != except_term
        ]
        for lost_index in lost:
            proposal = self._by_index.pop(lost_index)
            proposal.waiter.fail(ProposalLost("leadership was lost"))

    def fail_through(self, index: int) -> None:
        """Fail the waiters up to ``index``, which a snapshot covers."""
        covered = [
            entry_index
            for entry_index in self._by_index
            if entry_index <= index
        ]
        for covered_index in covered:
            proposal = self._by_index.pop(covered_index)
            proposal.waiter.fail(ProposalLost("a snapshot hides the outcome"))


class PendingReads:
    """Waiters of read barriers, until confirmed and until applied."""

    def __init__(self) -> None:
        """Start without waiters."""
        self._unconfirmed: dict[int, Waiter] = {}
        self._confirmed: list[tuple[int, Waiter]] = []

    def add(self, barrier_id: int) -> Waiter:
        """Return a waiter for a new barrier."""
        waiter = Waiter()
        self._unconfirmed[barrier_id] = waiter
        return waiter

    def confirm(self, barrier_id: int, index: int) -> None:
        """Let a read proceed once ``index`` is applied."""
        waiter = self._unconfirmed.pop(barrier_id, None)
        if waiter is not None:
            self._confirmed.append((index, waiter))

    def complete_through(self, index: int) -> None:
        """Wake the callers whose read index is at most ``index``."""
        if not self._confirmed:
            return
        waiting = []
        for read_index, waiter in self._confirmed:
            if read_index <= index:
                waiter.succeed(None)
            else:
                waiting.append((read_index, waiter))
        self._confirmed = waiting

    def fail_unconfirmed(self, leader_id: str) -> None:
        """Fail the unconfirmed reads, as this member does not lead."""
        for waiter in self._unconfirmed.values():
            waiter.fail(NotLeader(leader_id))
        self._unconfirmed.clear()

    def fail_all(self) -> None:
        """Fail all reads, as this member stops."""
        self.fail_unconfirmed("")
        for _, waiter in self._confirmed:
            waiter.fail(NotLeader(""))
        self._confirmed.clear()


__all__ = ["PendingProposals", "PendingReads", "Waiter"]
