"""Send a stream of changes, each one again until it is accepted."""

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
    """A change; every attempt sends the same content."""

    change_id: str
    kind: str
    base_revision: int


class Accepted(NamedTuple):
    """An accepted change and the revision in the answer to its operator."""

    change: Change
    revision: int
    tries: int


class ChangeStream:
    """Withdraws and reinstates a version in turn.

    Each change is sent to one operator port after the other until an
    answer accepts or finally refuses it. ``accepted`` holds the changes
    whose acceptance the operator has seen.
    """

    def __init__(self, prefix: str, ports: Sequence[int], base: int) -> None:
        self.accepted: list[Accepted] = []
        self._prefix = prefix
        self._ports = list(ports)
        self._base = base

    def send(self, count: int) -> None:
        """Send ``count`` changes, each based on the revision of the last.

        Raises `AssertionError` where a change is refused with 409 or 422,
        or is not accepted after `MAX_ATTEMPTS`.
        """
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
            # A final refusal of a valid change is a fault of the system.
            assert answer.status not in (409, 422), (sent, answer)
            time.sleep(RESEND_PAUSE_S)
        raise AssertionError(f"no control process accepted {sent}")


def send_change(port: int, sent: Change, subject: str = SUBJECT) -> Answer:
    """Send a change once, to one control process."""
    return change(port, sent.change_id, sent.kind, subject, sent.base_revision)


__all__ = ["Accepted", "Change", "ChangeStream", "send_change", "SUBJECT"]
