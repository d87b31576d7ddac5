"""The control process that an entry is attached to, and its alternatives."""

from __future__ import annotations

from collections.abc import Iterable


class ControlChoice:
    """Select one address of a list of control processes, the nearest first.

    ``initial`` are the addresses in the entry's settings; they always stay
    in the list.
    """

    def __init__(self, initial: tuple[str, ...]) -> None:
        self._initial = initial
        self._addresses = list(initial)
        self._current = 0
        self._voters: frozenset[str] = frozenset()

    @property
    def address(self) -> str:
        """Return the address of the selected control process."""
        return self._addresses[self._current]

    def select_next(self) -> None:
        """Select the next address, the first one after the last."""
        self._current = (self._current + 1) % len(self._addresses)

    def add(self, addresses: Iterable[str]) -> None:
        """Append addresses of other control processes to the known ones."""
        known = (*self._addresses, *addresses)
        self._addresses = list(dict.fromkeys(known))

    def update_voters(self, voters: tuple[str, ...]) -> bool:
        """Replace the voters; return whether the selection changed.

        The addresses from the settings follow the voters in the list: if
        all known voters are lost, a control process at one of these
        addresses may run again. A list of the same voters in any order
        changes nothing. Otherwise an entry that left the nearest voter
        because it was silent would return to it with each list.
        """
        if not voters or frozenset(voters) == self._voters:
            return False
        before = self.address
        self._voters = frozenset(voters)
        self._addresses = list(dict.fromkeys((*voters, *self._initial)))
        self._current = 0
        return self.address != before


__all__ = ["ControlChoice"]
