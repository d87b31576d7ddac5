"""uvicorn without its command line."""

from __future__ import annotations

import subprocess
import sys
from typing import Final

PARTS: Final = "import sycamorestand_peer.uvicorn_parts as parts"


def run(*lines: str) -> str:
    """Run the lines in a new process and return what they print."""
    command = [sys.executable, "-c", "\n".join(lines)]
    return subprocess.run(
        command, check=True, capture_output=True, text=True
    ).stdout


class TestParts:
    def test_rest_of_the_package_loads_when_asked_for(self) -> None:
        """A library that imports uvicorn itself must find all of it."""
        printed = run(
            PARTS,
            "import sys, uvicorn",
            "print('uvicorn.main' in sys.modules)",
            "print(uvicorn.Server is parts.Server, callable(uvicorn.run))",
            "print(uvicorn.Config is parts.Config, uvicorn.__version__ > '')",
        )
        assert printed == "False\nTrue True\nTrue True\n"

    def test_package_that_was_imported_before_is_used(self) -> None:
        """Two copies of the classes would not be instances of each other."""
        printed = run(
            "import uvicorn, sys",
            "before = sys.modules['uvicorn']",
            PARTS,
            "print(parts.Config is uvicorn.Config)",
            "print(sys.modules['uvicorn'] is before)",
        )
        assert printed == "True\nTrue\n"
