from __future__ import annotations

from hypothesis import settings

settings.register_profile("state", derandomize=True, deadline=None)
settings.load_profile("state")
