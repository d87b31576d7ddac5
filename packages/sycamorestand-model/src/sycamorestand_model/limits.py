"""Limits on declarations, so that a faulty folder cannot overload voters.

Every declaration is sent to every entry and stored in every snapshot, and
the check of a large folder occupies a control process. Users declare about
twenty items.
"""

from __future__ import annotations

from typing import Final

MAX_FILES: Final = 1_000
MAX_FILE_BYTES: Final = 1_048_576
MAX_TOTAL_BYTES: Final = 2_097_152
MAX_FOLDER_DEPTH: Final = 2
MAX_NAME_CHARACTERS: Final = 63
MAX_VERSION_CHARACTERS: Final = 63
MAX_KEYS: Final = 8
MAX_LIST_ITEMS: Final = 500
MAX_STEPS: Final = 8
MAX_SHARES: Final = 20
MAX_VERSIONS: Final = 64
MAX_WEIGHT: Final = 1_000_000.0
MAX_DEADLINE_MS: Final = 3_600_000
MAX_STEP_S: Final = 604_800.0
MAX_SAMPLES: Final = 10_000_000
# Equals 1,000 currency units for a million tokens. A higher price is a
# mistake in the unit.
MAX_PRICE_MICROS: Final = 1_000_000_000
MAX_PINNED_SERVERS: Final = 1_000
MAX_CONNECTIONS: Final = 1_000_000
MAX_COLD_REQUESTS_PER_S: Final = 100_000.0
# Without a limit, a large faulty file would produce a finding for each line
# and hide the first ones.
MAX_FINDINGS: Final = 500

MAX_DECLARATIONS: Final[dict[str, int]] = {
    "models": 500,
    "profiles": 1_000,
    "customers": 2_000,
    "services": 1_000,
    "rollouts": 500,
    "operators": 500,
    "routes": 10_000,
}

__all__ = [
    "MAX_COLD_REQUESTS_PER_S",
    "MAX_CONNECTIONS",
    "MAX_DEADLINE_MS",
    "MAX_DECLARATIONS",
    "MAX_FILE_BYTES",
    "MAX_FILES",
    "MAX_FINDINGS",
    "MAX_FOLDER_DEPTH",
    "MAX_KEYS",
    "MAX_LIST_ITEMS",
    "MAX_NAME_CHARACTERS",
    "MAX_PINNED_SERVERS",
    "MAX_PRICE_MICROS",
    "MAX_SAMPLES",
    "MAX_SHARES",
    "MAX_STEP_S",
    "MAX_STEPS",
    "MAX_TOTAL_BYTES",
    "MAX_VERSION_CHARACTERS",
    "MAX_VERSIONS",
    "MAX_WEIGHT",
]
