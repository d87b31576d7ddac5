"""Why a request must not go to one more server, by what became of others.

A request that ends servers some time after it came would be at several of
them before the first has ended.
"""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

from sycamorestand_entry.gate import check_parts
from sycamorestand_entry.part_watch import MAX_BROKEN_STARTS
from sycamorestand_entry.routed.prompt_attempt import blocked_parts

if TYPE_CHECKING:
    from sycamorestand_entry.part_watch import PartWatch
    from sycamorestand_entry.routed.call import RoutedCall
    from sycamorestand_entry.routed.exchange import Exchange

BLOCKED: Final = "a part of its prompt is blocked"
SUSPECT: Final = "servers ended under a part of its prompt"
UNLUCKY: Final = "servers ended as they began to answer it"


class EndedAttempts:
    """The attempts of one call, as far as servers may have ended under them.

    Each reason is empty where nothing speaks against one more attempt.
    """

    def __init__(self, watch: PartWatch, call: RoutedCall) -> None:
        self._watch = watch
        self._call = call
        self._exchanges: list[Exchange] = []

    def add(self, exchange: Exchange) -> None:
        """Add an attempt that was sent."""
        self._exchanges.append(exchange)

    def reason_to_hold(self) -> str:
        """Return why the request must stay where it is."""
        if self._is_blocked():
            return BLOCKED
        return SUSPECT if self._watch.is_suspect(self._call.parts) else ""

    def reason_not_to_repeat(self) -> str:
        """Return why the request must not be sent again after a failure."""
        broken = sum(each.may_have_ended_server for each in self._exchanges)
        if broken >= MAX_BROKEN_STARTS:
            return UNLUCKY
        if self._is_blocked():
            return BLOCKED
        is_suspect = self._watch.has_suspect_part(self._call.parts)
        return SUSPECT if self._has_broken() and is_suspect else ""

    def _is_blocked(self) -> bool:
        """Return whether a part of the prompt is blocked, and not tried.

        A trial that no server has run may go to another one.
        """
        blocked = blocked_parts(self._watch, self._call)
        if self._has_broken():
            return bool(blocked)
        return check_parts(blocked, self._watch.may_try) is not None

    def _has_broken(self) -> bool:
        return any(each.is_broken for each in self._exchanges)


__all__ = ["EndedAttempts"]
