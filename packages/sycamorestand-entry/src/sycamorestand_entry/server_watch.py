"""Checks of silent backend servers, shared by all requests of the entry."""

from __future__ import annotations

import logging
from typing import Any
from typing import Final
from typing import TYPE_CHECKING

import anyio

from sycamorestand_decisions.server_loss import MAX_DELAY_S
from sycamorestand_entry.upstream import ConnectFailed
from sycamorestand_entry.upstream import ConnectTimedOut

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorestand_decisions.server_loss import ServerLoss
    from sycamorestand_entry.ports import ControlPort
    from sycamorestand_entry.upstream_pool import UpstreamPool

_LOG = logging.getLogger(__name__)
POLL_S: Final = 0.1
# If the entry's own link fails, all servers are checked at once.
MAX_CHECKS: Final = 32


class ServerWatch:
    """Finds lost servers, and wakes or ends the requests that wait there.

    They can go on at another server at once, in place of waiting for their
    own timeouts.
    """

    def __init__(
        self,
        pool: UpstreamPool,
        loss: ServerLoss,
        control: ControlPort,
        now_s: Callable[[], float],
    ) -> None:
        self._pool = pool
        self._loss = loss
        self._control = control
        self._now_s = now_s
        self._checking: set[str] = set()

    async def run(self) -> None:
        """Check silent servers until cancelled."""
        async with anyio.create_task_group() as checks:
            while True:
                await anyio.sleep(POLL_S)
                try:
                    due = self._due()
                except Exception:
                    # The exception would end the whole process.
                    _LOG.exception("search for silent servers failed")
                    continue
                for address in due[: MAX_CHECKS - len(self._checking)]:
                    self._checking.add(address)
                    checks.start_soon(self._check, address)

    def _due(self) -> list[str]:
        """Return the addresses to check now, the last checked ones last."""
        now_s = self._now_s()
        used = set(self._pool.addresses_in_use())
        if self._loss.has_records:
            servers = self._control.backend_servers().values()
            announced = {server.address for server in servers}
            self._loss.forget_unused(used | announced | self._checking)
        due = [
            address
            for address in used | self._loss.suspected | self._loss.refusing
            if address not in self._checking
            and self._loss.is_check_due(
                address, self._silent_since_s(address), now_s
            )
        ]
        return sorted(due, key=self._loss.checked_s)

    def _silent_since_s(self, address: str) -> float:
        return max(
            self._pool.waiting_since_s(address),
            self._pool.last_byte_s(address),
        )

    async def _check(self, address: str) -> None:
        try:
            await self._check_once(address)
        except Exception:
            _LOG.exception("check of a backend server failed")
        finally:
            self._checking.discard(address)

    async def _check_once(self, address: str) -> None:
        begin_s = self._now_s()
        silent_since_s = self._silent_since_s(address)
        heard_s = self._pool.last_byte_s(address)
        was_lost = self._loss.is_lost(address)
        needed = self._loss.dials_needed(address)
        dials = 0
        reached = False
        while not reached and self._needs_dial(
            address, needed - dials, heard_s
        ):
            dials += 1
            reached = await self._accepts_connection(address)
        now_s = self._now_s()
        longest_s = dials * self._pool.connect_timeout_s + MAX_DELAY_S
        if not reached and now_s - begin_s > longest_s:
            # This process was busy or suspended meanwhile, and the server may
            # have accepted in time.
            return
        reached = reached or self._pool.last_byte_s(address) > heard_s
        newly_lost = self._loss.record_check(
            address, reached, now_s, silent_since_s
        )
        waiting = 0 if reached else self._pool.react_to_loss(address)
        if newly_lost:
            silent_s = max(0.0, now_s - silent_since_s)
            fields = {"silent_ms": int(silent_s * 1000), "waiting": waiting}
            extra = self._server_fields(address) | fields
            _LOG.warning("backend server lost", extra=extra)
        elif was_lost and reached:
            extra = self._server_fields(address)
            _LOG.info("backend server reached again", extra=extra)

    def _server_fields(self, address: str) -> dict[str, Any]:
        """Return the log fields that name the server at this address."""
        servers = self._control.backend_servers().values()
        names = [
            server.name for server in servers if server.address == address
        ]
        return {"backend_server": ",".join(names), "address": address}

    def _needs_dial(self, address: str, missing: int, heard_s: float) -> bool:
        """Return whether another dial has to show whether it is lost.

        ``missing`` is the number of dials that still have to fail. The server
        may also be found to be alive by what it sends.
        """
        if self._pool.last_byte_s(address) > heard_s:
            return False
        if missing > 0:
            return True
        return not self._loss.has_been_silent(heard_s, self._now_s())

    async def _accepts_connection(self, address: str) -> bool:
        """Return whether the server accepts or refuses a dial.

        A refusal shows that its VM runs; the connections of a process that
        has ended there are closed or reset.
        """
        try:
            connection = await self._pool.acquire(address, max_idle_s=0.0)
        except ConnectTimedOut:
            return False
        except ConnectFailed:
            return True
        self._pool.release(address, connection)
        return True


__all__ = ["ServerWatch"]
