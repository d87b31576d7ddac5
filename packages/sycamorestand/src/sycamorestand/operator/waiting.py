"""Waits until a revision is in force everywhere."""

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
    """Return once every live entry acts on the revision.

    An entry behind a partition holds the wait up only until its lease
    has run out, as it takes no new work from then on.
    """
    shown = ""
    end_s = anyio.current_time() + context.settings.wait_s
    while True:
        answer = await _ask(client, revision)
        text = _progress(answer)
        if text != shown:
            context.output.notice(text)
            shown = text
        if answer.in_force:
            return
        if anyio.current_time() >= end_s:
            raise WaitedTooLong(f"{text}; the change itself is accepted")
        await anyio.sleep(POLL_S)


async def _ask(client: ControlClient, revision: int) -> InForceAnswer:
    try:
        body = await client.ask("/in-force", {"revision": revision})
        return from_plain(InForceAnswer, body)
    except SycamorestandError as error:
        # The change stands, so this must not end as "nothing was changed".
        raise WaitedTooLong(
            f"revision {revision} is accepted, but nobody could say whether "
            f"it is in force: {error}"
        ) from error


def _progress(answer: InForceAnswer) -> str:
    if answer.in_force:
        return f"revision {answer.revision} is in force everywhere"
    waiting = f", waiting for {', '.join(answer.waiting)}"
    return (
        f"revision {answer.revision} is in force at {answer.acknowledged} "
        f"of {answer.lease_holders} control processes"
        f"{waiting if answer.waiting else ''}"
    )


__all__ = ["wait_in_force"]
