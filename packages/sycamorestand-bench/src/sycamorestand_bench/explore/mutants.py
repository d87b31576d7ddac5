"""Mutants that disable safeguards of the core, to test the checks.

An exploration without findings is evidence only if the same checks detect a
known fault. Each mutant disables one safeguard by replacing functions of the
core by name.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
from typing import Final
from typing import NamedTuple
from unittest import mock

from sycamorestand_consensus.change import _check_leader
from sycamorestand_consensus.lease import lease_until_s
from sycamorestand_consensus.messages import Entry
from sycamorestand_consensus.raft_state import append_entries
from sycamorestand_consensus.raft_state import RaftState
from sycamorestand_consensus.raft_state import send_now
from sycamorestand_consensus.raft_state import set_hard_state
from sycamorestand_consensus.raft_state import truncate_from

PACKAGE: Final = "sycamorestand_consensus"


class Replacement(NamedTuple):
    """A function of the core, by module and name, and its replacement."""

    module: str
    name: str
    stand_in: Callable[..., object]


@contextlib.contextmanager
def without_safeguard(name: str) -> Iterator[None]:
    """Disable one safeguard of the core while the context is active."""
    with contextlib.ExitStack() as stack:
        for module, function, stand_in in MUTANTS[name]:
            target = f"{PACKAGE}.{module}.{function}"
            stack.enter_context(mock.patch(target, stand_in))
        yield


def _always(*_: object) -> bool:
    return True


def _never(*_: object) -> bool:
    return False


def _do_nothing(*_: object) -> None:
    return None


def _start_now_s(state: RaftState) -> float:
    return state.now_s


def _last_own_index(state: RaftState) -> Callable[[str], float]:
    def index_of(member_id: str) -> float:
        if member_id == state.member_id:
            return state.log.last_index
        return state.progress[member_id].match_index

    return index_of


def _any_round(state: RaftState) -> Callable[[str], float]:
    return lambda _: state.round


def _truncate_and_append(state: RaftState, entries: tuple[Entry, ...]) -> None:
    if not entries or entries[0].log_index <= state.commit_index:
        return
    first = entries[0].log_index
    if first <= state.log.last_index:
        truncate_from(state, first)
    append_entries(state, entries)


def _previous_term(state: RaftState, *, pre: bool) -> int:
    return state.term if pre else state.term - 1


def _set_led(state: RaftState) -> None:
    set_hard_state(state, state.hard._replace(led=True))


MUTANTS: Final[dict[str, tuple[Replacement, ...]]] = {
    "commit-earlier-terms": (
        Replacement("commit", "is_from_current_term", _always),
    ),
    "answer-before-sync": (
        Replacement("election", "send_after_sync", send_now),
        Replacement("follower", "send_after_sync", send_now),
    ),
    "vote-before-sync": (
        Replacement("election", "send_after_sync", send_now),
    ),
    "vote-for-anyone": (Replacement("election", "_is_up_to_date", _always),),
    "vote-twice": (Replacement("election", "_has_vote_for", _always),),
    "vote-despite-promise": (
        Replacement("inbox", "has_active_promise", _never),
    ),
    "forget-promise-in-restart": (
        Replacement("core", "assume_promise", _do_nothing),
    ),
    "end-promises-without-restart": (
        Replacement("election", "ended_term", _previous_term),
    ),
    "led-before-first-lease": (
        Replacement("core", "record_leadership", _set_led),
    ),
    "lease-at-once-after-transfer": (
        Replacement("election", "lease_start_s", _start_now_s),
    ),
    "claim-without-promise": (
        Replacement("core", "claim_lease_s", lease_until_s),
    ),
    "count-own-unsynced-entries": (
        Replacement("commit", "_synced_index", _last_own_index),
    ),
    "read-without-round": (
        Replacement("commit", "_answered_round", _any_round),
    ),
    "two-changes-at-once": (
        Replacement("change", "_check_change", _check_leader),
    ),
    "truncate-without-conflict": (
        Replacement("follower", "_append_new_entries", _truncate_and_append),
    ),
}


__all__ = ["MUTANTS", "without_safeguard"]
