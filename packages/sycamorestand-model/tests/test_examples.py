from __future__ import annotations

from pathlib import Path
import re

import pytest

from sycamorestand_model.check import check
from sycamorestand_model.keys import key_matches
from sycamorestand_model.load import load_folder

EXAMPLES = Path(__file__).parents[3] / "examples"
DEMO_KEY_ROW = re.compile(r"\| (\w+) `([\w-]+)` \| `(demo-[\w-]+)` \|")


@pytest.mark.parametrize("name", ["guild", "authority"])
class TestExamples:
    def test_example_has_no_findings(self, name: str) -> None:
        assert check(load_folder(EXAMPLES / name)) == ()

    def test_demo_keys_of_readme_match_hashes(self, name: str) -> None:
        declarations = load_folder(EXAMPLES / name).declarations
        owners = {**declarations.customers, **declarations.operators}
        readme = (EXAMPLES / name / "README.md").read_text()
        keys = {row[1]: row[2] for row in DEMO_KEY_ROW.findall(readme)}
        assert keys.keys() == owners.keys()
        for owner, key in keys.items():
            assert key_matches(key, owners[owner].key_hashes[0])

    def test_strongest_model_costs_about_ten_times_the_cheapest(
        self, name: str
    ) -> None:
        models = load_folder(EXAMPLES / name).declarations.models.values()
        prices = sorted(
            model.versions[model.stable].output_micros_per_mtoken
            for model in models
        )
        assert 8 <= prices[-1] / prices[0] <= 12
