"""Find the process that holds the other end of a loopback connection."""

from __future__ import annotations

from contextlib import suppress
import os
from pathlib import Path
from typing import Final
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

TCP_TABLE: Final = Path("/proc/net/tcp")
LOCAL_ADDRESS: Final = 1
INODE: Final = 9
NOBODY: Final = ""


def owner_of_port(port: int, pids: Mapping[str, int]) -> str:
    """Return the name of the process whose socket has this local port.

    ``pids`` has the processes by name. The result is empty if none of them
    has such a socket now.
    """
    inode = _inode_of_port(port)
    link = f"socket:[{inode}]"
    for name, pid in pids.items():
        if inode and link in _open_files(pid):
            return name
    return NOBODY


def _inode_of_port(port: int) -> str:
    suffix = f":{port:04X}"
    for line in TCP_TABLE.read_text().splitlines()[1:]:
        fields = line.split()
        if fields[LOCAL_ADDRESS].endswith(suffix):
            return fields[INODE]
    return ""


def _open_files(pid: int) -> set[str]:
    folder = f"/proc/{pid}/fd"
    links: set[str] = set()
    # Files are closed while they are listed, and the process may end.
    with suppress(OSError):
        for name in os.listdir(folder):
            with suppress(OSError):
                links.add(os.readlink(f"{folder}/{name}"))
    return links


__all__ = ["NOBODY", "owner_of_port"]
