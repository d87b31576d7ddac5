"""The configuration that entries act on: declarations plus decisions."""

from __future__ import annotations

from typing import NamedTuple

from sycamorestand_model.declarations import Declarations


class RolloutShare(NamedTuple):
    """How much of a model's new work goes to the version rolled out."""

    version: str
    share: float
    step: int
    state: str


class InForce(NamedTuple):
    """One revision as entries apply it; a lower revision is ignored.

    ``withdrawn`` and ``quarantined`` hold version identities and
    ``shares`` is by model. ``session_key`` signs session tokens;
    those that ``previous_session_key`` signed stay valid, as a session
    outlives a rotation.
    ``ledger_shards`` is fixed by the first start of the cluster.
    """

    revision: int = 0
    declarations: Declarations = Declarations()
    withdrawn: tuple[str, ...] = ()
    quarantined: tuple[str, ...] = ()
    shares: dict[str, RolloutShare] = {}
    draining_vms: tuple[str, ...] = ()
    session_key: bytes = b""
    ledger_shards: int = 1
    previous_session_key: bytes = b""


__all__ = ["InForce", "RolloutShare"]
