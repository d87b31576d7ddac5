"""Run a control process with the settings read at start."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from sycamorestand_control.process import ControlProcess
from sycamorestand_control.settings import ControlSettings
from sycamorestand_peer.http_budget import PROCESS_BUDGET

if TYPE_CHECKING:
    import anyio


async def run_control(values: dict[str, Any], stop: anyio.Event) -> None:
    """Run until ``stop`` is set and leadership has been transferred."""
    PROCESS_BUDGET.configure(values["memory_limit_mb"])
    settings = {key: value for key, value in values.items()}
    del settings["log_level"]
    settings["cluster_keys"] = settings.pop("cluster_key_file")
    await ControlProcess(ControlSettings(**settings)).run(stop)


__all__ = ["run_control"]
