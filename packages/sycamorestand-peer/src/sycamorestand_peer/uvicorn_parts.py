"""uvicorn's server and its configuration.

The package `uvicorn` also imports its command line with click, its
supervisors and multiprocessing: 0.06 s of processor time at each start of a
process, and none of it is used here. So this module creates the package from
its import spec and imports the needed submodules only; the package's own
code runs when anything else of it is asked for. The modules of uvicorn stay
as they are. If `uvicorn` has been imported before, nothing is deferred.

The processes of the system import uvicorn through this module only.
"""

from __future__ import annotations

from importlib.util import find_spec
from importlib.util import module_from_spec
import sys
from typing import Any
from typing import Final

PACKAGE: Final = "uvicorn"


def _defer_package() -> None:
    """Create the package without running the code of its `__init__`.

    That code runs when an attribute is read that the package lacks.
    """
    spec = None if PACKAGE in sys.modules else find_spec(PACKAGE)
    if spec is None or spec.loader is None:
        return
    loader = spec.loader
    package = module_from_spec(spec)

    def load(name: str) -> Any:
        vars(package).pop("__getattr__", None)
        loader.exec_module(package)
        return getattr(package, name)

    vars(package)["__getattr__"] = load
    sys.modules[PACKAGE] = package


_defer_package()

import uvicorn.config  # noqa: E402
import uvicorn.server  # noqa: E402

Config = uvicorn.config.Config
Server = uvicorn.server.Server
ServerState = uvicorn.server.ServerState
# `uvicorn.lifespan` takes it from the package.
vars(uvicorn).setdefault("Config", Config)

__all__ = ["Config", "Server", "ServerState"]
