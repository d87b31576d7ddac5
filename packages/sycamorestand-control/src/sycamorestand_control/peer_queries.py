"""Queries between control processes, for state that only one of them has."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import contextlib
from typing import TYPE_CHECKING

import anyio

from sycamorestand_consensus.errors import ConsensusError
from sycamorestand_control.errors import ControlError
from sycamorestand_control.errors import NoLeader
from sycamorestand_control.groups import CONFIGURATION_GROUP
from sycamorestand_peer.clock import boottime_s
from sycamorestand_peer.errors import PeerTimeout
from sycamorestand_peer.messages import CallReply
from sycamorestand_peer.messages import Query

if TYPE_CHECKING:
    from sycamorestand_control.groups import LogGroups
    from sycamorestand_peer.mesh import PeerMesh

Handler = Callable[[bytes], Awaitable[bytes]]


class QueryRefused(ControlError):
    """The queried process refuses, with the reason as the message."""


class PeerQueries:
    """Sends queries to other control processes and answers theirs.

    ``handlers`` maps the kind of a query to its handler. A handler raises
    `ControlError` or `ConsensusError` if this process cannot answer.
    """

    def __init__(
        self,
        mesh: PeerMesh,
        groups: LogGroups,
        handlers: Mapping[str, Handler],
    ) -> None:
        self._mesh = mesh
        self._groups = groups
        self._handlers = handlers

    async def handle_query(self, sender: str, message: Query) -> None:
        """Answer a query of another control process."""
        try:
            payload = await self._handle(message.kind, message.payload)
        except (ConsensusError, ControlError) as error:
            reply = CallReply(message.call_id, str(error), b"")
        else:
            reply = CallReply(message.call_id, "", payload)
        self._mesh.send(sender, reply)

    async def query_leader(
        self,
        kind: str,
        payload: bytes,
        timeout_s: float,
        group: int = CONFIGURATION_GROUP,
    ) -> bytes:
        """Return the answer of a log's leader, which may be this process.

        Raises `NoLeader` if no leader answers in time, and `QueryRefused`
        with the leader's reason if it refuses.
        """
        if self._groups.is_leader(group):
            try:
                return await self._handle(kind, payload)
            except ConsensusError as error:
                raise QueryRefused(str(error)) from error
        address = self._groups.leader_address(group)
        if not address:
            raise NoLeader(self._groups.missing_leader_reason(group))
        try:
            return await self._query(address, kind, payload, timeout_s)
        except PeerTimeout as error:
            raise NoLeader(
                f"the leader at {address} does not answer"
            ) from error

    async def read_from_leader(
        self,
        kind: str,
        payload: bytes,
        timeout_s: float,
        group: int = CONFIGURATION_GROUP,
    ) -> bytes:
        """Return the leader's answer to a query that changes nothing.

        If the leader is replaced before it answers, the next one is queried
        in what is left of the time. Raises the errors of `query_leader`.
        """
        deadline_s = boottime_s() + timeout_s
        reason = "no time was left to ask the leader"
        while (left_s := deadline_s - boottime_s()) > 0:
            address = self._groups.leader_address(group)
            if self._groups.is_leader(group) or not address:
                with anyio.move_on_after(left_s):
                    return await self.query_leader(
                        kind, payload, left_s, group
                    )
                raise NoLeader(self._groups.unconfirmed_reason(group))
            call_id = self._mesh.next_call_id()
            query = Query(call_id, kind, payload)
            try:
                reply = await self._groups.call_leader(
                    group, address, call_id, query, left_s
                )
            except PeerTimeout as error:
                reason = str(error)
                continue
            if reply.failure:
                raise QueryRefused(reply.failure)
            return reply.payload
        raise NoLeader(reason)

    async def query_each(
        self, addresses: Iterable[str], kind: str, timeout_s: float
    ) -> list[bytes]:
        """Query all addresses at once; return the answers that arrive.

        Processes that refuse or do not answer in ``timeout_s`` are skipped.
        """
        answers: list[bytes] = []

        async def query_one(address: str) -> None:
            with contextlib.suppress(PeerTimeout, ControlError):
                answers.append(
                    await self._query(address, kind, b"", timeout_s)
                )

        async with anyio.create_task_group() as tasks:
            for address in addresses:
                tasks.start_soon(query_one, address)
        return answers

    async def _handle(self, kind: str, payload: bytes) -> bytes:
        handler = self._handlers.get(kind)
        if handler is None:
            raise QueryRefused(f"question {kind!r} is unknown")
        return await handler(payload)

    async def _query(
        self, address: str, kind: str, payload: bytes, timeout_s: float
    ) -> bytes:
        call_id = self._mesh.next_call_id()
        query = Query(call_id, kind, payload)
        reply = await self._mesh.call(address, call_id, query, timeout_s)
        if reply.failure:
            raise QueryRefused(reply.failure)
        return reply.payload


__all__ = ["Handler", "PeerQueries", "QueryRefused"]
