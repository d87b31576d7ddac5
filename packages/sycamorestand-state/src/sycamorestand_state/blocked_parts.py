"""Handlers of the commands that block, try and release prompt parts.

A block is part of the configuration, so that it reaches every entry within
the time of a lease, and no restart forgets it.
"""

from __future__ import annotations

from collections import Counter
from typing import Final

from sycamorestand_model.prompt_parts import BlockedPart
from sycamorestand_model.prompt_parts import MAX_TRIALS
from sycamorestand_model.prompt_parts import PartTrial
from sycamorestand_state.commands import BlockPart
from sycamorestand_state.commands import ReleasePart
from sycamorestand_state.commands import TryPart
from sycamorestand_state.configuration_state import applied
from sycamorestand_state.configuration_state import ConfigurationState
from sycamorestand_state.configuration_state import Decision
from sycamorestand_state.configuration_state import refused
from sycamorestand_state.configuration_state import unchanged

# Each takes some 60 bytes of every push of the configuration.
MAX_BLOCKED_PARTS: Final = 256
MAX_PART_CHARACTERS: Final = 64
EVERYONE: Final = "everyone"


def block_part(state: ConfigurationState, command: BlockPart) -> Decision:
    """Refuse requests with a part to more customers, or to everyone."""
    part = command.part
    if not 0 < len(part) <= MAX_PART_CHARACTERS:
        return refused(
            state, f"part: has 1 to {MAX_PART_CHARACTERS} characters"
        )
    new = BlockedPart(
        (), revision=state.revision + 1, is_certain=command.is_certain
    )
    known = state.blocked_parts.get(part, new)
    customers = tuple(sorted({*known.customers, *command.customers}))
    for_everyone = known.is_for_everyone or command.is_for_everyone
    block = known._replace(customers=customers, is_for_everyone=for_everyone)
    if block == known:
        return unchanged(state, f"{part}: is blocked already")
    blocked = {k: b for k, b in state.blocked_parts.items() if k != part}
    lines = [f"{part}: blocked for {_customers_text(block)}"]
    while len(blocked) >= MAX_BLOCKED_PARTS:
        dropped = _part_to_drop(blocked)
        del blocked[dropped]
        lines.append(f"{dropped}: released, as too many parts are blocked")
    blocked[part] = block
    return applied(
        state._replace(blocked_parts=blocked),
        *lines,
        evidence=command.evidence,
    )


def try_part(state: ConfigurationState, command: TryPart) -> Decision:
    """Permit a process to send one more request with a blocked part."""
    known = state.blocked_parts.get(command.part)
    if known is None:
        return unchanged(state, f"{command.part}: is not blocked")
    if command.number != known.trials + 1 or command.number > MAX_TRIALS:
        return refused(
            state,
            f"{command.part}: trial {command.number} is not the next one of "
            f"{MAX_TRIALS}",
        )
    tried = known._replace(
        trials=command.number,
        trial=PartTrial(command.number, command.process),
    )
    return applied(
        state._replace(
            blocked_parts={**state.blocked_parts, command.part: tried}
        ),
        f"{command.part}: trial {command.number} of {MAX_TRIALS}",
    )


def release_part(state: ConfigurationState, command: ReleasePart) -> Decision:
    """Accept requests with the part again."""
    if command.part not in state.blocked_parts:
        return unchanged(state, f"{command.part}: is not blocked")
    remaining = dict(state.blocked_parts)
    del remaining[command.part]
    return applied(
        state._replace(blocked_parts=remaining),
        f"{command.part}: released",
        evidence=command.evidence,
    )


def _part_to_drop(blocked: dict[str, BlockedPart]) -> str:
    """Return the oldest part of the customer that has most of them.

    A customer that makes up parts pushes out its own only. Where every part
    is blocked for everyone alone, it is the oldest of all.
    """
    counts = Counter(
        customer for block in blocked.values() for customer in block.customers
    )
    # Voters may hold the parts in different orders.
    largest = max(
        counts,
        key=lambda customer: (counts[customer], customer),
        default=None,
    )
    return min(
        (block.revision, part)
        for part, block in blocked.items()
        if largest is None or largest in block.customers
    )[1]


def _customers_text(block: BlockedPart) -> str:
    if block.is_for_everyone:
        return EVERYONE
    return ", ".join(repr(customer) for customer in block.customers)


__all__ = ["block_part", "MAX_BLOCKED_PARTS", "release_part", "try_part"]
