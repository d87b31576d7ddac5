"""Request classes, by which the cascade learns pass rates.

Pass rates of cheap models differ between tasks and prompt sizes far more than
between callers. Classes that are too fine collect too few ratings; classes
that are too coarse mix requests that the cheap model can answer with requests
that it cannot.
"""

from __future__ import annotations

from typing import Final
from typing import NamedTuple

# In tokens, by powers of eight: the pass rate of small models falls with the
# order of magnitude of the prompt size.
SIZE_BOUNDS: Final = (("s", 256), ("m", 2_048), ("l", 16_384))
LARGEST: Final = "xl"
MAX_TASK_LENGTH: Final = 32


class RequestFeatures(NamedTuple):
    """Properties of a request that are known before it runs.

    ``task`` is a label that the caller may send, for example "review".
    """

    task: str = ""
    input_tokens: int = 0
    turns: int = 1
    has_tools: bool = False


def request_class(features: RequestFeatures) -> str:
    """Return the class of a request, for example ``review/m/chat``."""
    task = features.task[:MAX_TASK_LENGTH] or "any"
    kind = "tools" if features.has_tools else _kind(features.turns)
    return f"{task}/{_size(features.input_tokens)}/{kind}"


def _kind(turns: int) -> str:
    return "chat" if turns > 1 else "single"


def _size(tokens: int) -> str:
    for name, bound in SIZE_BOUNDS:
        if tokens <= bound:
            return name
    return LARGEST


__all__ = ["request_class", "RequestFeatures"]
