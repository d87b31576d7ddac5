"""Wait until a revision is in force everywhere."""

from __future__ import annotations

from typing import Final

import anyio

from sycamorestand.operator.client import ControlClient
from sycamorestand.operator.context import Context
from sycamorestand.operator.exits import WaitedTooLong
from sycamorestand_control.operator_api.plain import from_plain
from sycamorestand_control.operator_api.types import InForceAnswer
from sycamorestand_model.errors import SycamorestandError

POLL_S: Final = 0.2


async def wait_in_force(
    context: Context, client: ControlClient, revision: int
) -> None:
    """Wait until every entry that holds a lease acts on the revision.

    An entry behind a network partition delays the return only until its
    lease expires, since it accepts no new work from then on. Raises
    `WaitedTooLong` after ``wait_s`` seconds, or if no control process can
    tell whether the revision is in force.
    """
    last_progress = ""
    end_s = anyio.current_time() + context.settings.wait_s
    while True:
        answer = await _ask_in_force(client, revision)
        progress = _progress_text(answer)
        if progress != last_progress:
            context.output.notice(progress)
            last_progress = progress
        if answer.in_force:
            return
        if anyio.current_time() >= end_s:
            raise WaitedTooLong(f"{progress}; the change itself was accepted")
        await anyio.sleep(POLL_S)


async def _ask_in_force(client: ControlClient, revision: int) -> InForceAnswer:
    try:
        body = await client.ask("/in-force", {"revision": revision})
        return from_plain(InForceAnswer, body)
    except SycamorestandError as error:
        # The change is already accepted. The exit codes of the other errors
        # would mean that nothing was changed.
        raise WaitedTooLong(
            f"revision {revision} is accepted, but no control process could "
            f"tell whether it is in force: {error}"
        ) from error


def _progress_text(answer: InForceAnswer) -> str:
    if answer.in_force:
        return f"revision {answer.revision} is in force everywhere"
    waiting = f", waiting for {', '.join(answer.waiting)}"
    return (
        f"revision {answer.revision} is in force at {answer.acknowledged} "
        f"of {answer.lease_holders} control processes"
        f"{waiting if answer.waiting else ''}"
    )


__all__ = ["wait_in_force"]
