"""Answers by change id, so that a resent change gets the first answer.

The number of stored answers and their age, on the clock of the log, are
bounded. A resend whose answer was evicted looks like a new change. It then
gets a conflict, because the base revision that it carries became outdated
when the change was first applied. Only commands that act on a single
subject may omit the base revision.
"""

from __future__ import annotations

from typing import Final
from typing import NamedTuple

from sycamorestand_state.results import ChangeResult

MAX_CHANGE_IDS: Final = 4096
MAX_CHANGE_ID_AGE_S: Final = 7 * 86_400.0
MAX_CHANGE_ID_CHARACTERS: Final = 200


class StoredAnswer(NamedTuple):
    """A fingerprint of the change with this id, and the answer it got."""

    fingerprint: bytes
    result: ChangeResult
    now_s: float


def store_answer(
    answers: dict[str, StoredAnswer], change_id: str, answer: StoredAnswer
) -> None:
    """Store an answer and evict the oldest ones beyond the bounds.

    ``answers`` is changed in place and is in the order of the log.
    """
    answers[change_id] = answer
    while len(answers) > MAX_CHANGE_IDS:
        del answers[next(iter(answers))]
    drop_expired(answers, answer.now_s)


def drop_expired(answers: dict[str, StoredAnswer], now_s: float) -> None:
    """Drop answers that are older than `MAX_CHANGE_ID_AGE_S`."""
    oldest_s = now_s - MAX_CHANGE_ID_AGE_S
    while answers:
        first = next(iter(answers))
        if answers[first].now_s >= oldest_s:
            return
        del answers[first]


__all__ = [
    "drop_expired",
    "MAX_CHANGE_ID_AGE_S",
    "MAX_CHANGE_ID_CHARACTERS",
    "MAX_CHANGE_IDS",
    "store_answer",
    "StoredAnswer",
]
