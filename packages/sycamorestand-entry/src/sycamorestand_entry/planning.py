"""Which versions a chat request may run on, in their order."""

from __future__ import annotations

from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

from sycamorestand_entry.billing import now_s
from sycamorestand_entry.billing import write_ledger
from sycamorestand_entry.errors import NotAllowed
from sycamorestand_entry.errors import NoVersion
from sycamorestand_entry.gate import check_version
from sycamorestand_entry.gate import DispatchIntent
from sycamorestand_entry.sessions import verify_session
from sycamorestand_model.declarations import version_id
from sycamorestand_model.ledger import Pin

if TYPE_CHECKING:
    from sycamorestand_entry.chat_request import ChatRequest
    from sycamorestand_entry.context import EntryContext
    from sycamorestand_model.declarations import CascadeStep

# A pin never changes, so it may be remembered; the bound keeps callers
# that invent session names from filling the memory.
MAX_REMEMBERED_PINS: Final = 10_000
VERSION_RETRY_S: Final = 5.0


class Plan(NamedTuple):
    """Version identities from the cheaper to the stronger step.

    A session has one version and never a second step.
    """

    versions: tuple[str, ...]
    session_name: str
    in_session: bool = False


async def plan_chat(context: EntryContext, chat: ChatRequest) -> Plan:
    """Return the versions for the request, or refuse."""
    options = chat.options
    if options.session_token:
        key = context.control.in_force().session_key
        session = verify_session(
            options.session_token, chat.customer.name, key
        )
        plan = Plan((session.version,), session.name, True)
    elif options.session_name:
        version = await _pinned_version(context, chat)
        plan = Plan((version,), options.session_name, True)
    else:
        return Plan(_step_versions(context, chat), chat.request_key)
    refusal = _refusal(context, chat, plan.versions[0], in_session=True)
    if refusal is not None:
        raise refusal
    return plan


async def _pinned_version(context: EntryContext, chat: ChatRequest) -> str:
    key = (chat.customer.name, chat.options.session_name)
    known = context.pins.get(key)
    if known is not None:
        return known
    # Two entries may see the first request of a session at once. The
    # ledger keeps one version and tells it to both.
    offered = _step_versions(context, chat)[-1]
    pin = Pin(*key, offered, now_s())
    result = (await write_ledger(context, [pin], run="not_run"))[0]
    if len(context.pins) >= MAX_REMEMBERED_PINS:
        context.pins.clear()
    context.pins[key] = result.version
    return result.version


def _step_versions(
    context: EntryContext, chat: ChatRequest
) -> tuple[str, ...]:
    found = [_step_version(context, chat, step) for step in chat.profile.steps]
    versions = tuple(version for version in found if version)
    if versions:
        return versions
    allowed = _any_allowed(chat)
    if not allowed:
        raise NotAllowed("you may use no version of this profile")
    raise NoVersion(
        "every version that you may use is withdrawn", VERSION_RETRY_S
    )


def _step_version(
    context: EntryContext, chat: ChatRequest, step: CascadeStep
) -> str:
    model = context.control.in_force().declarations.models.get(step.model)
    if model is None:
        return ""
    for name in (model.stable, *sorted(model.versions)):
        identity = version_id(model.name, name)
        if _refusal(context, chat, identity, in_session=False) is None:
            return identity
    return ""


def _any_allowed(chat: ChatRequest) -> bool:
    models = {step.model for step in chat.profile.steps}
    return any(
        identity.partition("@")[0] in models
        for identity in chat.customer.versions
    )


def _refusal(
    context: EntryContext,
    chat: ChatRequest,
    identity: str,
    in_session: bool,
) -> Exception | None:
    intent = DispatchIntent(
        chat.customer.name, chat.profile.name, identity, "", in_session
    )
    return check_version(context.control.in_force(), intent)


__all__ = ["Plan", "plan_chat"]
