"""An entry's view of the backend servers with their loads."""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

import msgspec

from sycamorestand_state.directory import BackendDirectory
from sycamorestand_state.directory import DirectoryDelta
from sycamorestand_state.loads import LoadUpdate

if TYPE_CHECKING:
    from sycamorestand_model.backend_servers import Announcement


MAX_LEFT_SERVERS: Final = 1024


class ServerView:
    """Replicate the directory of the control process in use.

    Requests read the servers thousands of times a second, while the servers
    change a few times a second. So the view with the loads is rebuilt at
    each change and not at each read.
    """

    def __init__(self, name: str, epoch: int) -> None:
        self._directory = BackendDirectory(name, epoch)
        self._origin = ""
        self._view: dict[str, Announcement] = {}
        # By server, the incarnation that said that it leaves.
        self._left: dict[str, int] = {}

    def servers(self) -> dict[str, Announcement]:
        """Return the servers by name; callers must not modify the dict."""
        return self._view

    def announce(self, announcement: Announcement, now_s: float) -> None:
        """Apply an announcement that a server sent to this entry."""
        self._directory.announce(announcement, now_s)
        self._refresh(now_s)

    def record_leaving(
        self, server: Announcement, now_s: float
    ) -> Announcement | None:
        """Show the server as leaving until it starts again.

        Return the announcement that says so, None if it would tell nothing
        new.
        """
        name = server.name
        if self._left.get(name, -1) >= server.incarnation:
            return None
        if len(self._left) >= MAX_LEFT_SERVERS:
            del self._left[next(iter(self._left))]
        self._left[name] = server.incarnation
        shown = self._view.get(name)
        self._refresh(now_s)
        if shown is None or shown.leaving:
            return None
        if shown.incarnation != server.incarnation:
            return None
        return shown._replace(leaving=True, sequence=shown.sequence + 1)

    def apply_directory_delta(
        self, origin: str, payload: bytes, now_s: float
    ) -> bool:
        """Apply a delta; return False if a full resync is needed.

        After the entry moved to another control process, the records of the
        former origin are dropped once the first delta of the new one is
        applied. Until then the entry keeps using the known servers.
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

    def apply_load_update(self, payload: bytes, now_s: float) -> None:
        """Apply an update of the loads of the servers."""
        update = msgspec.msgpack.decode(payload, type=LoadUpdate)
        self._directory.apply_loads(update, now_s)
        self._refresh(now_s)

    def expire(self, now_s: float) -> tuple[str, ...]:
        """Drop expired servers and return their names."""
        gone = self._directory.expire(now_s)
        if gone:
            self._refresh(now_s)
        return gone

    def _refresh(self, now_s: float) -> None:
        view = {}
        for name, server in self._directory.servers().items():
            load = self._directory.load(name, now_s)
            view[name] = server if load is None else server._replace(load=load)
        for name, incarnation in self._left.items():
            shown = view.get(name)
            if shown is not None and shown.incarnation == incarnation:
                view[name] = shown._replace(leaving=True)
        self._view = view


__all__ = ["MAX_LEFT_SERVERS", "ServerView"]
