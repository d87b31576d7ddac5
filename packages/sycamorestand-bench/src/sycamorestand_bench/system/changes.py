"""A stream of changes that an operator resends until they are accepted."""

from __future__ import annotations

import time
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

from sycamorestand_bench.system.operators import change

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sycamorestand_bench.system.operators import Answer

SUBJECT: Final = "nest-large@3"
MAX_ATTEMPTS: Final = 40
RESEND_PAUSE_S: Final = 0.1


class Change(NamedTuple):
    """A change as it was sent, each time with the same content."""

    change_id: str
    kind: str
    base_revision: int


class Accepted(NamedTuple):
    """A change and the revision that its operator was told."""

    change: Change
    revision: int
    tries: int


class ChangeStream:
    """Withdraws and reinstates a version in turn, at control processes.

    The ports are asked in turn, the next one on any answer that is not
    final. ``accepted`` holds what the operator knows to be accepted.
    """

    def __init__(self, prefix: str, ports: Sequence[int], base: int) -> None:
        self.accepted: list[Accepted] = []
        self._prefix = prefix
        self._ports = list(ports)
        self._base = base

    def send(self, count: int) -> None:
        """Send changes; each one builds on the one before."""
        for _ in range(count):
            accepted = self._send_one(len(self.accepted))
            self.accepted.append(accepted)
            self._base = accepted.revision

    def _send_one(self, number: int) -> Accepted:
        kind = "reinstate" if number % 2 else "withdraw"
        sent = Change(f"{self._prefix}-{number}", kind, self._base)
        for tries in range(1, MAX_ATTEMPTS + 1):
            port = self._ports[(number + tries) % len(self._ports)]
            answer = send_change(port, sent)
            if answer.status == 200:
                return Accepted(sent, answer.body["revision"], tries)
            # A final refusal of a change that is right is a fault.
            assert answer.status not in (409, 422), (sent, answer)
            time.sleep(RESEND_PAUSE_S)
        raise AssertionError(f"nobody accepted {sent}")


def send_change(port: int, sent: Change, subject: str = SUBJECT) -> Answer:
    """Send a change to one control process, once."""
    return change(port, sent.change_id, sent.kind, subject, sent.base_revision)


__all__ = ["Accepted", "Change", "ChangeStream", "send_change", "SUBJECT"]
