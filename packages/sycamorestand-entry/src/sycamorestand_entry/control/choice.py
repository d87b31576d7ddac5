"""Which control process an entry is attached to, and who else there is."""

from __future__ import annotations

from collections.abc import Iterable


class ControlChoice:
    """The addresses of control processes, the nearest first, and one of them.

    ``start`` is what the entry was started with; it is never forgotten.
    """

    def __init__(self, start: tuple[str, ...]) -> None:
        self._start = start
        self._addresses = list(start)
        self._current = 0
        self._voters: frozenset[str] = frozenset()

    @property
    def address(self) -> str:
        """Return the control process that the entry is attached to."""
        return self._addresses[self._current]

    def move_on(self) -> None:
        """Attach to the next one; this one is silent."""
        self._current = (self._current + 1) % len(self._addresses)

    def add(self, addresses: Iterable[str]) -> None:
        """Note addresses that may serve as well, behind the known ones."""
        known = (*self._addresses, *addresses)
        self._addresses = list(dict.fromkeys(known))

    def learn(self, voters: tuple[str, ...]) -> bool:
        """Go by the voters of now; return whether the entry moves.

        The addresses of the start stay behind them: should all voters be
        lost that are known, one of those may be there again. A list of the
        same voters moves nothing, in whatever order: an entry that left the
        nearest one for its silence would go back to it, and again.
        """
        if not voters or frozenset(voters) == self._voters:
            return False
        before = self.address
        self._voters = frozenset(voters)
        self._addresses = list(dict.fromkeys((*voters, *self._start)))
        self._current = 0
        return self.address != before


__all__ = ["ControlChoice"]
