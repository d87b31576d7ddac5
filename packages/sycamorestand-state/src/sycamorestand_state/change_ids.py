"""Answers by change id, so that a resent change gets the first answer.

The number and size of stored answers and their age, on the clock of the log,
are bounded. A resend whose answer was evicted looks like a new change. It then
gets a conflict, because the base revision that it carries became outdated
when the change was first applied. Only commands that act on a single
subject may omit the base revision.
"""

from __future__ import annotations

from collections.abc import Iterable
import secrets
from typing import Final
from typing import NamedTuple

from sycamorestand_state.codec import encoded_size_bytes
from sycamorestand_state.results import ChangeResult

MAX_CHANGE_IDS: Final = 4096
MAX_CHANGE_ID_AGE_S: Final = 7 * 86_400.0
MAX_CHANGE_ID_CHARACTERS: Final = 200
# Most answers take 100 bytes. One with many findings is as large as an entry
# of the audit trail.
MAX_ANSWERS_BYTES: Final = 2 * 1024 * 1024


UNIQUE_BYTES: Final = 8


class StoredAnswer(NamedTuple):
    """A fingerprint of the change with this id, and the answer it got."""

    fingerprint: bytes
    result: ChangeResult
    now_s: float


class StoredAnswers:
    """The answers to the newest changes by their id, in the log's order."""

    def __init__(
        self, answers: Iterable[tuple[str, StoredAnswer]] = ()
    ) -> None:
        self._answers: dict[str, StoredAnswer] = {}
        self._sizes_bytes: dict[str, int] = {}
        self.size_bytes = 0
        for change_id, answer in answers:
            self._put(change_id, answer)
        self._drop_surplus()

    def __len__(self) -> int:
        return len(self._answers)

    def get(self, change_id: str) -> StoredAnswer | None:
        """Return the answer to a change, None if none is stored."""
        return self._answers.get(change_id)

    def items(self) -> list[tuple[str, StoredAnswer]]:
        """Return all ids and answers, the oldest first."""
        return list(self._answers.items())

    def store(self, change_id: str, answer: StoredAnswer) -> None:
        """Store an answer and evict the oldest ones beyond the bounds."""
        self._put(change_id, answer)
        self._drop_surplus()
        self.drop_expired(answer.now_s)

    def drop_expired(self, now_s: float) -> None:
        """Drop answers that are older than `MAX_CHANGE_ID_AGE_S`."""
        oldest_s = now_s - MAX_CHANGE_ID_AGE_S
        while self._answers:
            first = next(iter(self._answers))
            if self._answers[first].now_s >= oldest_s:
                return
            self._drop(first)

    def _put(self, change_id: str, answer: StoredAnswer) -> None:
        self._answers[change_id] = answer
        self._sizes_bytes[change_id] = encoded_size_bytes((change_id, answer))
        self.size_bytes += self._sizes_bytes[change_id]

    def _drop_surplus(self) -> None:
        while (
            len(self._answers) > MAX_CHANGE_IDS
            or self.size_bytes > MAX_ANSWERS_BYTES
        ):
            self._drop(next(iter(self._answers)))

    def _drop(self, change_id: str) -> None:
        del self._answers[change_id]
        self.size_bytes -= self._sizes_bytes.pop(change_id)


def unique_change_id(*parts: object) -> str:
    """Return an id that no other change has, which begins with the parts.

    For a change that the system makes itself and sends once. An id made of
    its subject alone would give a later change of the same subject the answer
    to the first one.
    """
    suffix = secrets.token_hex(UNIQUE_BYTES)
    return "-".join((*map(str, parts), suffix))


__all__ = [
    "MAX_ANSWERS_BYTES",
    "MAX_CHANGE_ID_AGE_S",
    "MAX_CHANGE_ID_CHARACTERS",
    "MAX_CHANGE_IDS",
    "StoredAnswer",
    "StoredAnswers",
    "unique_change_id",
]
