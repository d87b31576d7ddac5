"""Handlers of the commands that empty a data centre and take it back.

The order is part of the configuration: an entry that does not have it gets no
lease, and no restart forgets it. The data centre's name is not checked against
the servers that are announced, as voters know different ones at a moment.
"""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

from sycamorestand_state.configuration_state import applied
from sycamorestand_state.configuration_state import ConfigurationState
from sycamorestand_state.configuration_state import Decision
from sycamorestand_state.configuration_state import refused
from sycamorestand_state.configuration_state import unchanged

if TYPE_CHECKING:
    from sycamorestand_state.commands import DrainDataCentre
    from sycamorestand_state.commands import UndrainDataCentre

MAX_NAME_CHARACTERS: Final = 128
# Each is in every push of the configuration.
MAX_DRAINING: Final = 64


def drain_data_centre(
    state: ConfigurationState, command: DrainDataCentre
) -> Decision:
    """Send the backend servers of a data centre no new work."""
    name = command.data_centre
    if not 0 < len(name) <= MAX_NAME_CHARACTERS:
        return refused(
            state, f"data_centre: has 1 to {MAX_NAME_CHARACTERS} characters"
        )
    if name in state.draining_data_centres:
        return unchanged(state, f"{name}: is draining already")
    if len(state.draining_data_centres) >= MAX_DRAINING:
        return refused(
            state, f"{MAX_DRAINING} data centres are draining; undrain one"
        )
    draining = {**state.draining_data_centres, name: command.reason}
    return applied(
        state._replace(draining_data_centres=draining),
        f"{name}: its backend servers get no new work: {command.reason}",
    )


def undrain_data_centre(
    state: ConfigurationState, command: UndrainDataCentre
) -> Decision:
    """Send the backend servers of a data centre new work again."""
    name = command.data_centre
    if name not in state.draining_data_centres:
        return unchanged(state, f"{name}: is not draining")
    remaining = dict(state.draining_data_centres)
    del remaining[name]
    return applied(
        state._replace(draining_data_centres=remaining),
        f"{name}: its backend servers get new work again: {command.reason}",
    )


__all__ = ["drain_data_centre", "MAX_DRAINING", "undrain_data_centre"]
