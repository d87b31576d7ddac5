from __future__ import annotations

from hypothesis import HealthCheck
from hypothesis import settings

settings.register_profile(
    "sycamorestand-consensus",
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
settings.load_profile("sycamorestand-consensus")
