"""What one attempt of a routed call tells of its request and prompt parts."""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

from sycamorestand_entry.blocked_requests import record_refusal
from sycamorestand_entry.left_requests import ServerRequest
from sycamorestand_entry.part_watch import AnswerLife
from sycamorestand_entry.routed.decision_log import PartRefused
from sycamorestand_entry.upstream import BrokenConnection
from sycamorestand_entry.upstream import ServerLost

if TYPE_CHECKING:
    from sycamorestand_entry.part_watch import PartWatch
    from sycamorestand_entry.routed.call import RoutedCall
    from sycamorestand_entry.upstream import UpstreamError
    from sycamorestand_model.backend_servers import Announcement
    from sycamorestand_model.prompt_parts import BlockedPart

OK: Final = 200
NO_STATUS: Final = 0


class PromptAttempt:
    """One attempt, as the watch of prompt parts sees it.

    If another entry forwards the attempt, that entry tells control of it.
    ``is_broken`` is true once its connection has ended, ``is_sound`` once a
    server that has begun to answer lives on for a while. That clears the
    parts of the prompt; the request itself may end its server later, until
    its whole answer is there. An answer that goes on at a second server
    clears nothing, as the request may have ended the first one.
    """

    def __init__(
        self, watch: PartWatch, call: RoutedCall, is_forwarded: bool
    ) -> None:
        self.is_broken = False
        self.is_sound = False
        self._watch = watch
        self._call = call
        self._is_told = not is_forwarded
        self._is_answered = False
        self._broken_s = 0.0
        self._life = AnswerLife()
        self._tried: dict[str, BlockedPart] = {}

    def record_events(self, count: int, now_s: float) -> None:
        """Record the number of events that have come so far."""
        if not self.is_sound and self._life.lives_on(count, now_s):
            self._record_sound()

    def record_answer(self, status: int, not_run: bool) -> None:
        """Record a complete answer, or a refusal."""
        if not_run:
            self._return_trials()
            return
        if status == OK and not self.is_sound:
            self._record_sound()
        self._is_answered = True

    def record_failure(self, error: UpstreamError) -> None:
        """Record that the answer broke off."""
        is_lost = isinstance(error, ServerLost)
        self.is_broken = isinstance(error, BrokenConnection) and not is_lost
        self._broken_s = self._watch.now_s()
        self._call.parts.has_broken |= self.is_broken

    def may_have_ended(self, server: str) -> bool:
        """Return whether the server may have ended under the attempt.

        Not if it has accepted a connection since: servers close connections
        for other reasons too.
        """
        if not self.is_broken or self.is_sound:
            return False
        return not self._watch.has_lived_since(server, self._broken_s)

    def record_end(
        self, server: Announcement, status: int, is_begun: bool
    ) -> None:
        """Record what the server had of the request, should it end now.

        ``status`` is that of its answer, 0 without one.
        """
        if self._is_answered or not self._is_told:
            return
        if not self.is_broken and status not in (NO_STATUS, OK):
            return
        call = self._call
        request = ServerRequest(
            call.log.request,
            call.customer,
            () if self.is_sound else call.parts.prompt,
            is_begun,
            call.parts.whole,
        )
        if self.is_broken:
            self._watch.record_broken(server, request)
        else:
            self._watch.record_left(server, request, call.parts.fate)

    def use_trials(self) -> None:
        """Use the permissions by which the request may be sent."""
        self._tried = blocked_parts(self._watch, self._call)
        for part, block in self._tried.items():
            self._watch.use_trial(part, block)

    def _return_trials(self) -> None:
        for part, block in self._tried.items():
            self._watch.return_trial(part, block)

    def _record_sound(self) -> None:
        self.is_sound = True
        call = self._call
        if call.parts.has_broken:
            return
        if self._is_told and call.parts.prompt:
            self._watch.record_sound(call.customer, call.parts.prompt)


def blocked_parts(
    watch: PartWatch, call: RoutedCall
) -> dict[str, BlockedPart]:
    """Return for which parts, or itself, the request is blocked."""
    return watch.blocked_for(call.parts)


def record_blocked(watch: PartWatch, call: RoutedCall) -> None:
    """Record the parts for which a call is refused."""
    for part, block in blocked_parts(watch, call).items():
        call.log.add(PartRefused(part, block.revision, block.trials))
    record_refusal(watch, call.parts)


__all__ = ["blocked_parts", "PromptAttempt", "record_blocked"]
