"""What becomes of a committed command whose handler fails."""

from __future__ import annotations

from collections.abc import Callable
import logging
from typing import Any
from typing import Final
from typing import TypeVar

from sycamorestand_state.errors import PROCESS_ERRORS

LOG: Final = logging.getLogger(__name__)
# The text is the same on every replica; the error is in the log alone.
FAULT_FINDING: Final = (
    "the change cannot be applied because of a fault of this release; "
    "nothing was changed, see the log of the control process"
)

_Result = TypeVar("_Result")


class FaultGuard:
    """Refuses commands whose handler fails, and counts them as ``faults``.

    An error that was raised further would end every process, and again at
    each start. The same command over the same state fails at the same place
    on every replica, so that all keep the same state.
    """

    def __init__(self) -> None:
        self.faults = 0

    def call(
        self,
        handler: Callable[[], _Result],
        refusal: _Result,
        described: dict[str, Any],
    ) -> _Result:
        """Return what the handler returns, ``refusal`` if it fails.

        The line in the log has the fields of ``described``.
        """
        try:
            return handler()
        except PROCESS_ERRORS:
            raise
        except Exception:
            self.faults += 1
            LOG.exception(
                "committed command failed and is refused", extra=described
            )
            return refusal


__all__ = ["FAULT_FINDING", "FaultGuard"]
