"""Parts of prompts that are suspected to end the servers that read them.

A prompt is a list of parts, most of which other prompts share. Callers name
the parts as they like, so names and their number are bounded here, before
anything is kept by them.
"""

from __future__ import annotations

from collections.abc import Sequence
import hashlib
import re
from typing import Final
from typing import NamedTuple

from sycamorestand_model.request_digest import is_request

MAX_PARTS: Final = 32
DIGEST_BYTES: Final = 8
# Names that operators can give to commands, and that fit into log lines.
PLAIN_NAME: Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,31}")
DIGEST_PREFIX: Final = "digest-"
FURTHER_PREFIX: Final = "further-"
# Three requests may be sent on late under a part, and one end be unseen.
MAX_TRIALS: Final = 2


class CustomerPart(NamedTuple):
    """A prompt part, as a customer uses it."""

    customer: str
    part: str


class Suspect(NamedTuple):
    """A part in requests that a server had when it ended.

    ``requests`` had the part. ``is_begun`` is true if the server had begun
    to answer one of them, and false if they still waited there. ``place`` is
    that of the part in their prompts, from 0.
    """

    customer: str
    part: str
    is_begun: bool
    requests: int
    place: int = 0


class PartTrial(NamedTuple):
    """The permission of one entry process to send one more request.

    ``process`` is the id that the process has chosen at its start.
    """

    number: int
    process: str


class BlockedPart(NamedTuple):
    """A part whose requests are refused, as they have ended servers.

    They are refused to ``customers``, or to everyone, since ``revision``.
    ``trials`` counts the permissions to send one more that were given,
    ``trial`` is the last one. ``is_certain`` is true if other parts of the
    same requests were answered while servers ended under this one.
    """

    customers: tuple[str, ...]
    is_for_everyone: bool = False
    trials: int = 0
    trial: PartTrial | None = None
    revision: int = 0
    is_certain: bool = False

    def concerns(self, customer: str) -> bool:
        """Return whether requests of the customer are refused."""
        return self.is_for_everyone or customer in self.customers


def tracked_parts(customer: str, names: Sequence[str]) -> tuple[str, ...]:
    """Return the names by which the parts of a prompt are tracked.

    A name that is long or not plain, or looks like that of a whole request,
    is replaced by its digest. All parts
    beyond `MAX_PARTS` share one name of the customer, so that none escapes
    in a long list.

    Example: ``tracked_parts("club", ["a1", "a/b"])`` is
    ``("a1", "digest-0debd2558bca8fa0")``.
    """
    tracked = [_bounded(name) for name in names[:MAX_PARTS] if name]
    if len(names) > MAX_PARTS:
        tracked.append(FURTHER_PREFIX + _digest(customer))
    return tuple(dict.fromkeys(tracked))


def _bounded(name: str) -> str:
    if PLAIN_NAME.fullmatch(name) and not is_request(name):
        return name
    return DIGEST_PREFIX + _digest(name)


def _digest(text: str) -> str:
    digest = hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES)
    return digest.hexdigest()


__all__ = [
    "BlockedPart",
    "CustomerPart",
    "MAX_TRIALS",
    "PartTrial",
    "Suspect",
    "tracked_parts",
]
