from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from sycamorestand_bench.system.system import System

EXAMPLES = Path(__file__).parents[4] / "examples"


@pytest.fixture(scope="module")
def system(tmp_path_factory: pytest.TempPathFactory) -> Iterator[System]:
    folder = tmp_path_factory.mktemp("system")
    with System(folder, EXAMPLES) as running:
        yield running
