"""Commits the leader's own decisions to the configuration's log."""

from __future__ import annotations

import logging
from typing import Final
from typing import TYPE_CHECKING

from sycamorestand_control.errors import ControlError
from sycamorestand_control.groups import CONFIGURATION_GROUP
from sycamorestand_state.commands import encode_command

if TYPE_CHECKING:
    from sycamorestand_control.groups import LogGroups
    from sycamorestand_state.commands import Command

LOG: Final = logging.getLogger(__name__)
PROPOSE_TIMEOUT_S: Final = 3.0


async def commit_decision(
    groups: LogGroups, command: Command, message: str
) -> None:
    """Commit a command and log its outcome with ``message``.

    A command that is not committed is logged too; the leader decides again.
    """
    try:
        result = await groups.propose(
            CONFIGURATION_GROUP, encode_command(command), PROPOSE_TIMEOUT_S
        )
    except ControlError as error:
        LOG.warning("not committed", extra={"reason": str(error)})
        return
    if not result.duplicate:
        LOG.info(
            message,
            extra={"command": repr(command), "outcome": result.outcome},
        )


__all__ = ["commit_decision"]
