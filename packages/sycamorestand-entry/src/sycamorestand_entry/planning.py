"""Choice of the versions that a chat request may run on, in order."""

from __future__ import annotations

from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING
from zlib import crc32

from sycamorestand_decisions.cascade import StepPrice
from sycamorestand_decisions.versions import choose_version
from sycamorestand_entry.billing import cost_micros
from sycamorestand_entry.billing import wall_now_s
from sycamorestand_entry.billing import write_ledger
from sycamorestand_entry.claims import FULL_RETRY_S
from sycamorestand_entry.errors import NotAllowed
from sycamorestand_entry.errors import NoVersion
from sycamorestand_entry.errors import Overloaded
from sycamorestand_entry.errors import RequestError
from sycamorestand_entry.gate import check_version
from sycamorestand_entry.gate import DispatchIntent
from sycamorestand_entry.sessions import verify_session
from sycamorestand_entry.sse import Usage
from sycamorestand_model.declarations import version_id
from sycamorestand_model.ledger import Pin

if TYPE_CHECKING:
    from sycamorestand_entry.chat_request import ChatRequest
    from sycamorestand_entry.context import EntryContext
    from sycamorestand_model.declarations import CascadeStep
    from sycamorestand_model.declarations import Model
    from sycamorestand_model.in_force import InForce

# A pin never changes, so each entry caches the pins it has read. The limit
# keeps callers that invent session names from exhausting the memory.
MAX_CACHED_PINS: Final = 10_000
VERSION_RETRY_S: Final = 5.0
HASH_RANGE: Final = 2.0**32


class Plan(NamedTuple):
    """The versions of the usable steps, from the cheapest to the strongest.

    Steps without a usable version are left out; ``steps`` holds the index
    of each remaining step in the profile. A session has one version and
    never cascades.
    """

    versions: tuple[str, ...]
    steps: tuple[int, ...]
    session_name: str
    in_session: bool = False


async def plan_chat(context: EntryContext, chat: ChatRequest) -> Plan:
    """Return the versions for the request.

    Raises a `RequestError` if the customer may use none of them now.
    """
    options = chat.options
    if not options.session_token and not options.session_name:
        return _plan_steps(context, chat)
    if options.session_token:
        in_force = context.control.in_force()
        keys = (in_force.session_key, in_force.previous_session_key)
        session = verify_session(
            options.session_token, chat.customer.name, keys
        )
        name, version = session.name, session.version
    else:
        name = options.session_name
        version = await _pinned_version(context, chat)
    refusal = _find_refusal(context, chat, version, in_session=True)
    if refusal is not None:
        raise refusal
    return Plan((version,), (len(chat.profile.steps) - 1,), name, True)


def first_step(context: EntryContext, chat: ChatRequest, plan: Plan) -> int:
    """Return the index into the plan of the first step to run."""
    last = len(plan.versions) - 1
    # Only a rating can accept the answer of an earlier step.
    if plan.in_session or not last or not context.rating.configured:
        return last
    begin_step = context.cascade.first_step(
        chat.profile,
        chat.request_class,
        _step_prices(context, chat, plan),
        0.0,
        context.random,
    )
    remaining = [i for i, step in enumerate(plan.steps) if step >= begin_step]
    return remaining[0] if remaining else last


async def _pinned_version(context: EntryContext, chat: ChatRequest) -> str:
    key = (chat.customer.name, chat.options.session_name)
    cached = context.pins.get(key)
    if cached is not None:
        return cached
    # Two entries may receive requests of a new session at the same time.
    # The ledger stores the first pin and returns its version to both.
    plan = _plan_steps(context, chat)
    offered = plan.versions[_session_step(context, chat, plan)]
    pin = Pin(*key, offered, wall_now_s())
    result = (await write_ledger(context, [pin], run="not_run"))[0]
    if not result.version:
        raise Overloaded("the ledger takes no new sessions now", FULL_RETRY_S)
    if len(context.pins) >= MAX_CACHED_PINS:
        context.pins.clear()
    context.pins[key] = result.version
    return result.version


def _session_step(context: EntryContext, chat: ChatRequest, plan: Plan) -> int:
    # A session never escalates, so its version must meet the quality
    # target by itself. The learner treats that as a call that runs exactly
    # one step (``idempotent=False``).
    begin_step = context.cascade.first_step(
        chat.profile,
        chat.request_class,
        _step_prices(context, chat, plan),
        0.0,
        context.random,
        idempotent=False,
    )
    remaining = [i for i, step in enumerate(plan.steps) if step >= begin_step]
    return remaining[0] if remaining else len(plan.versions) - 1


def _plan_steps(context: EntryContext, chat: ChatRequest) -> Plan:
    step_versions = [
        (_step_version(context, chat, step), index)
        for index, step in enumerate(chat.profile.steps)
    ]
    usable = [(version, index) for version, index in step_versions if version]
    if usable:
        versions, steps = zip(*usable, strict=True)
        return Plan(versions, steps, "")
    if not _has_allowed_version(chat):
        raise NotAllowed("you may use no version of this profile")
    raise NoVersion(
        "every version that you may use is withdrawn", VERSION_RETRY_S
    )


def _step_version(
    context: EntryContext, chat: ChatRequest, step: CascadeStep
) -> str:
    in_force = context.control.in_force()
    model = in_force.declarations.models.get(step.model)
    if model is None:
        return ""
    allowed = [
        identity
        for identity in (version_id(model.name, n) for n in model.versions)
        if _find_refusal(context, chat, identity, in_session=False) is None
    ]
    chosen = choose_version(
        model, in_force, _rollout_position(chat, model), allowed
    )
    if chosen is not None:
        return chosen
    # The stable version is withdrawn or not allowed for this customer. Any
    # other version that the customer may use serves the request, except
    # those that get their work from a roll-out.
    in_rollout = _rollout_versions(in_force, model)
    alternatives = [
        identity for identity in allowed if identity not in in_rollout
    ]
    return alternatives[0] if alternatives else ""


def _rollout_versions(in_force: InForce, model: Model) -> set[str]:
    """Return the versions that receive work only through a roll-out.

    This includes a version whose roll-out is declared but has not begun.
    Otherwise it would receive all work at once, without any earlier step,
    when the stable version is withdrawn.
    """
    names = []
    share = in_force.shares.get(model.name)
    if share is not None:
        names.append(share.version)
    declared = in_force.declarations.rollouts.get(model.name)
    if declared is not None:
        names.append(declared.version)
    return {version_id(model.name, name) for name in names}


def _rollout_position(chat: ChatRequest, model: Model) -> float:
    # The hash covers the request key, so a request that is sent again with
    # its key gets the same version.
    name = chat.options.session_name or chat.request_key
    text = f"{chat.customer.name}/{name}/{model.name}"
    return crc32(text.encode()) / HASH_RANGE


def _step_prices(
    context: EntryContext, chat: ChatRequest, plan: Plan
) -> list[StepPrice]:
    declarations = context.control.in_force().declarations
    usage = Usage(chat.input_tokens, chat.max_tokens)
    by_step = dict(zip(plan.steps, plan.versions, strict=True))
    prices = []
    for index, step in enumerate(chat.profile.steps):
        version = by_step.get(index, "")
        cost = cost_micros(declarations, version, usage) if version else 0
        prices.append(StepPrice(version or step.model, float(cost)))
    return prices


def _has_allowed_version(chat: ChatRequest) -> bool:
    models = {step.model for step in chat.profile.steps}
    return any(
        identity.partition("@")[0] in models
        for identity in chat.customer.versions
    )


def _find_refusal(
    context: EntryContext,
    chat: ChatRequest,
    identity: str,
    in_session: bool,
) -> RequestError | None:
    intent = DispatchIntent(
        chat.customer.name, chat.profile.name, identity, "", in_session
    )
    return check_version(context.control.in_force(), intent)


__all__ = ["first_step", "Plan", "plan_chat"]
