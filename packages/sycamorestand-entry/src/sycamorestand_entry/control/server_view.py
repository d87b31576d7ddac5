"""The backend servers as an entry sees them, with their loads."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from sycamorestand_state.directory import BackendDirectory
from sycamorestand_state.directory import DirectoryDelta
from sycamorestand_state.loads import LoadUpdate

if TYPE_CHECKING:
    from sycamorestand_model.backend_servers import Announcement


class ServerView:
    """Follows the directory of one control process at a time.

    Requests read the servers thousands of times a second and they change
    a few times a second, so the view with loads is made at a change.
    """

    def __init__(self, name: str, epoch: int) -> None:
        self._directory = BackendDirectory(name, epoch)
        self._origin = ""
        self._view: dict[str, Announcement] = {}

    def servers(self) -> dict[str, Announcement]:
        """Return the servers by name; not to be changed by the reader."""
        return self._view

    def announce(self, announcement: Announcement, now_s: float) -> None:
        """Take an announcement that came to this entry itself."""
        self._directory.announce(announcement, now_s)
        self._refresh(now_s)

    def follow(self, origin: str, payload: bytes, now_s: float) -> bool:
        """Take a delta; False asks for everything from its origin.

        After a move the former origin's records go as soon as the new
        one has told all of its own, so that the entry is never without
        servers in between.
        """
        delta = msgspec.msgpack.decode(payload, type=DirectoryDelta)
        outcome = self._directory.apply_delta(delta, now_s)
        if outcome == "resync":
            return False
        if outcome == "applied" and origin != self._origin:
            if self._origin:
                self._directory.forget_origin(self._origin, now_s)
            self._origin = origin
        self._refresh(now_s)
        return True

    def take_loads(self, payload: bytes, now_s: float) -> None:
        """Take the loads of the servers that this entry uses."""
        update = msgspec.msgpack.decode(payload, type=LoadUpdate)
        self._directory.apply_loads(update, now_s)
        self._refresh(now_s)

    def expire(self, now_s: float) -> tuple[str, ...]:
        """Drop what has run out and return the servers that are gone."""
        gone = self._directory.expire(now_s)
        if gone:
            self._refresh(now_s)
        return gone

    def _refresh(self, now_s: float) -> None:
        view = {}
        for name, server in self._directory.servers().items():
            load = self._directory.load(name, now_s)
            view[name] = server if load is None else server._replace(load=load)
        self._view = view


__all__ = ["ServerView"]
