"""The class of a request that the cascade learns by.

Pass rates of cheap models differ between tasks and with prompt size far
more than between callers. Too fine a class never gathers ratings, too
coarse a class mixes what the cheap model can do with what it cannot.
"""

from __future__ import annotations

from typing import Final
from typing import NamedTuple

# Powers of eight: the pass rate of small models falls with the order of
# magnitude of the prompt, not with single tokens.
SIZE_BOUNDS: Final = (("s", 256), ("m", 2_048), ("l", 16_384))
LARGEST: Final = "xl"
MAX_TASK_LENGTH: Final = 32


class RequestFeatures(NamedTuple):
    """What is known of a request before it runs.

    ``task`` is a label that the caller may send, for example "review".
    """

    task: str = ""
    input_tokens: int = 0
    turns: int = 1
    has_tools: bool = False


def request_class(features: RequestFeatures) -> str:
    """Return the class, for example ``review/m/chat``."""
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
