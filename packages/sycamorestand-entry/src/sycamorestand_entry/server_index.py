"""The backend servers that take new work, by version or service.

Requests ask for the servers of a target thousands of times a second at 910
servers, which change a few times a second. Each answer is therefore computed
once for each change, and only for targets that are asked for.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from sycamorestand_model.in_force import takes_new_work

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from sycamorestand_entry.ports import ControlPort
    from sycamorestand_model.backend_servers import Announcement


class ServerIndex:
    """The servers of each target now, by their announcements."""

    def __init__(self, control: ControlPort) -> None:
        self._control = control
        self._servers: Mapping[str, Announcement] = {}
        self._draining: tuple[str, ...] = ()
        self._holders: dict[str, Sequence[Announcement]] = {}
        self._main_versions: dict[str, str] = {}

    def holders(self, target: str) -> Sequence[Announcement]:
        """Return the servers with the version or service that take work."""
        self._drop_outdated()
        holders = self._holders.get(target)
        if holders is None:
            in_force = self._control.in_force()
            holders = tuple(
                server
                for server in self._servers.values()
                if target in server.versions
                and takes_new_work(in_force, server)
            )
            self._holders[target] = holders
        return holders

    def main_version(self, service: str) -> str:
        """Return the version of a service that most of its servers have.

        Return the service itself if they announce no or one version.
        """
        self._drop_outdated()
        version = self._main_versions.get(service)
        if version is None:
            version = _main_version(service, self.holders(service))
            self._main_versions[service] = version
        return version

    def _drop_outdated(self) -> None:
        # The mapping is never modified, so another one means a change.
        servers = self._control.backend_servers()
        draining = self._control.in_force().draining_data_centres
        if servers is self._servers and draining == self._draining:
            return
        self._servers = servers
        self._draining = draining
        self._holders.clear()
        self._main_versions.clear()


def _main_version(service: str, holders: Sequence[Announcement]) -> str:
    counts: Counter[str] = Counter()
    for server in holders:
        counts.update(v for v in server.versions if v != service)
    if len(counts) <= 1:
        return service
    return max(sorted(counts), key=lambda name: counts[name])


__all__ = ["ServerIndex"]
