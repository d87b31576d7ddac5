"""Answers by change id, so that a resend gets the first answer again.

The bound is by count and by age of the log's own clock. An id that has
been dropped is unknown again: its resend then meets the base revision
that it carries, which its own first run made stale, and conflicts. Only
commands that take work away may come without a base revision.
"""

from __future__ import annotations

from typing import Final
from typing import NamedTuple

from sycamorestand_state.results import ChangeResult

MAX_CHANGE_IDS: Final = 4096
MAX_CHANGE_ID_AGE_S: Final = 7 * 86_400.0
MAX_CHANGE_ID_CHARACTERS: Final = 200


class StoredAnswer(NamedTuple):
    """What a change id was used for, and the answer it got."""

    fingerprint: bytes
    result: ChangeResult
    now_s: float


def store_answer(
    answers: dict[str, StoredAnswer], change_id: str, answer: StoredAnswer
) -> None:
    """Keep the answer and drop the oldest ones past the bounds.

    Changes ``answers`` in place; they stand in the order of the log.
    """
    answers[change_id] = answer
    while len(answers) > MAX_CHANGE_IDS:
        del answers[next(iter(answers))]
    drop_expired(answers, answer.now_s)


def drop_expired(answers: dict[str, StoredAnswer], now_s: float) -> None:
    """Drop answers that are older than the bound."""
    oldest_s = now_s - MAX_CHANGE_ID_AGE_S
    while answers:
        first = next(iter(answers))
        if answers[first].now_s >= oldest_s:
            return
        del answers[first]


__all__ = [
    "StoredAnswer",
    "drop_expired",
    "MAX_CHANGE_ID_AGE_S",
    "MAX_CHANGE_ID_CHARACTERS",
    "MAX_CHANGE_IDS",
    "store_answer",
]
