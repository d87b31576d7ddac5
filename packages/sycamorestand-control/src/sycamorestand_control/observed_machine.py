"""A configuration whose new revisions are told."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sycamorestand_state.configuration import ConfigurationMachine


class ObservedMachine:
    """A state machine that calls back after a new revision or a restore."""

    def __init__(
        self, machine: ConfigurationMachine, on_revision: Callable[[], None]
    ) -> None:
        self._machine = machine
        self._on_revision = on_revision

    def check(self, command: bytes) -> None:
        self._machine.check(command)

    def apply(self, index: int, command: bytes) -> object:
        before = self._machine.revision
        result = self._machine.apply(index, command)
        if self._machine.revision > before:
            self._on_revision()
        return result

    def snapshot(self) -> bytes:
        return self._machine.snapshot()

    def restore(self, data: bytes) -> None:
        self._machine.restore(data)
        self._on_revision()


__all__ = ["ObservedMachine"]
