"""Handlers of the changes to the configuration, one for each command.

They are pure functions from the current state and a command to a decision.
"""

from __future__ import annotations

from sycamorestand_model.declarations import Declarations
from sycamorestand_model.declarations import find_version
from sycamorestand_model.declarations import Operator
from sycamorestand_model.declarations import version_id
from sycamorestand_state.codec import encoded_size_bytes
from sycamorestand_state.commands import ApplyDeclarations
from sycamorestand_state.commands import CreateCluster
from sycamorestand_state.commands import DrainVm
from sycamorestand_state.commands import LiftQuarantine
from sycamorestand_state.commands import Quarantine
from sycamorestand_state.commands import Reinstate
from sycamorestand_state.commands import RotateSessionKey
from sycamorestand_state.commands import UndrainVm
from sycamorestand_state.commands import Withdraw
from sycamorestand_state.configuration_state import applied
from sycamorestand_state.configuration_state import ConfigurationState
from sycamorestand_state.configuration_state import Decision
from sycamorestand_state.configuration_state import refused
from sycamorestand_state.configuration_state import unchanged
from sycamorestand_state.configuration_state import Withdrawal
from sycamorestand_state.difference import describe_difference
from sycamorestand_state.references import MAX_DECLARATIONS_BYTES
from sycamorestand_state.references import reference_findings
from sycamorestand_state.results import ClusterIdentity
from sycamorestand_state.rollouts import not_stable_findings
from sycamorestand_state.rollouts import reconcile
from sycamorestand_state.rollouts import stop_for_version


def create_cluster(
    state: ConfigurationState, command: CreateCluster
) -> Decision:
    """Set the identity of a new cluster and its first operator."""
    if state.cluster is not None:
        return refused(
            state, f"cluster {state.cluster.cluster_id!r} exists already"
        )
    if command.shard_count < 1:
        return refused(state, "shard_count: is 1 or more")
    if not command.session_key:
        return refused(state, "session_key: is empty")
    admin = Operator(command.operator, (command.admin_key_hash,), "admin")
    created = state._replace(
        cluster=ClusterIdentity(
            command.cluster_id, command.shard_count, command.now_s
        ),
        declarations=Declarations(operators={admin.name: admin}),
        session_key=command.session_key,
    )
    return applied(
        created,
        f"cluster {command.cluster_id!r} created, shard_count "
        f"{command.shard_count}",
        f"operators.{admin.name}: added",
    )


def apply_declarations(
    state: ConfigurationState, command: ApplyDeclarations
) -> Decision:
    """Put new declarations in force, or refuse them with all findings."""
    declarations = command.declarations
    size_bytes = encoded_size_bytes(declarations)
    if size_bytes > MAX_DECLARATIONS_BYTES:
        return refused(
            state,
            f"declarations: are {size_bytes} bytes, at most "
            f"{MAX_DECLARATIONS_BYTES} can be applied",
        )
    findings = (
        *_document_findings(state.declarations, declarations),
        *reference_findings(declarations),
        *not_stable_findings(state.rollouts, declarations),
    )
    if findings:
        return refused(state, *findings)
    if declarations == state.declarations:
        return unchanged(state, "these declarations are in force already")
    return _replace_declarations(state, command)


def withdraw(state: ConfigurationState, command: Withdraw) -> Decision:
    """Stop new work for a version, and stop its roll-out."""
    identity = command.version
    if identity in state.withdrawn:
        return unchanged(state, f"{identity}: is withdrawn already")
    if find_version(state.declarations, identity) is None:
        return refused(state, _unknown_version(state, identity))
    withdrawal = Withdrawal(
        state.revision + 1, command.operator, command.reason
    )
    reconciled = stop_for_version(state, identity, "withdrawn", command.now_s)
    return applied(
        state._replace(
            withdrawn={**state.withdrawn, identity: withdrawal},
            rollouts=reconciled.rollouts,
        ),
        f"{identity}: withdrawn: {command.reason}",
        *reconciled.difference,
    )


def reinstate(state: ConfigurationState, command: Reinstate) -> Decision:
    """End a withdrawal; no other change ends one."""
    identity = command.version
    if identity not in state.withdrawn:
        return unchanged(state, f"{identity}: is not withdrawn")
    version = find_version(state.declarations, identity)
    if version is not None and version.withdrawn:
        return refused(
            state,
            f"{identity}: is declared withdrawn; apply declarations without "
            "that first",
        )
    remaining = dict(state.withdrawn)
    del remaining[identity]
    return applied(
        state._replace(withdrawn=remaining),
        f"{identity}: reinstated: {command.reason}",
    )


def quarantine(state: ConfigurationState, command: Quarantine) -> Decision:
    """Stop new work for a version until the quarantine is lifted."""
    identity = command.version
    if identity in state.quarantined:
        return unchanged(state, f"{identity}: is quarantined already")
    if find_version(state.declarations, identity) is None:
        return refused(state, _unknown_version(state, identity))
    reconciled = stop_for_version(
        state, identity, "quarantined", command.now_s
    )
    return applied(
        state._replace(
            quarantined={**state.quarantined, identity: command.evidence},
            rollouts=reconciled.rollouts,
        ),
        f"{identity}: quarantined",
        *reconciled.difference,
        evidence=command.evidence,
    )


def lift_quarantine(
    state: ConfigurationState, command: LiftQuarantine
) -> Decision:
    """End a quarantine; a roll-out that it stopped remains stopped."""
    identity = command.version
    if identity not in state.quarantined:
        return unchanged(state, f"{identity}: is not quarantined")
    remaining = dict(state.quarantined)
    del remaining[identity]
    return applied(
        state._replace(quarantined=remaining),
        f"{identity}: quarantine lifted",
        evidence=command.evidence,
    )


def drain_vm(state: ConfigurationState, command: DrainVm) -> Decision:
    """Remove a VM's entries from the addresses that callers get."""
    if command.vm in state.draining_vms:
        return unchanged(state, f"{command.vm}: is draining already")
    draining = {**state.draining_vms, command.vm: command.reason}
    return applied(
        state._replace(draining_vms=draining),
        f"{command.vm}: draining: {command.reason}",
    )


def undrain_vm(state: ConfigurationState, command: UndrainVm) -> Decision:
    """Add a VM's entries to the addresses that callers get again."""
    if command.vm not in state.draining_vms:
        return unchanged(state, f"{command.vm}: is not draining")
    remaining = dict(state.draining_vms)
    del remaining[command.vm]
    return applied(
        state._replace(draining_vms=remaining),
        f"{command.vm}: no longer draining: {command.reason}",
    )


def rotate_session_key(
    state: ConfigurationState, command: RotateSessionKey
) -> Decision:
    """Replace the session key and keep the previous one.

    The previous key still verifies the tokens that it signed.
    """
    if not command.session_key:
        return refused(state, "session_key: is empty")
    if command.session_key == state.session_key:
        return unchanged(state, "this session key is in force already")
    return applied(
        state._replace(
            session_key=command.session_key,
            previous_session_key=state.session_key,
        ),
        "session key rotated",
    )


def _replace_declarations(
    state: ConfigurationState, command: ApplyDeclarations
) -> Decision:
    declarations = command.declarations
    withdrawn = _declared_withdrawals(state, command)
    reconciled = reconcile(state.rollouts, declarations)
    updated = state._replace(
        declarations=declarations,
        withdrawn=withdrawn,
        rollouts=reconciled.rollouts,
    )
    lines = [
        *describe_difference(state.declarations, declarations),
        *reconciled.difference,
    ]
    for identity in sorted(set(withdrawn) - set(state.withdrawn)):
        lines.append(f"{identity}: withdrawn: declared")
        stopped = stop_for_version(
            updated, identity, "withdrawn", command.now_s
        )
        updated = updated._replace(rollouts=stopped.rollouts)
        lines.extend(stopped.difference)
    return applied(
        updated,
        *lines,
        notes=_still_withdrawn(state, declarations),
        evidence=command.message,
    )


def _document_findings(
    current: Declarations, wanted: Declarations
) -> tuple[str, ...]:
    """Return findings if the document would replace a newer one.

    If operators number their documents, the highest number stays in force.
    Declarations without a document, or from an older one, would undo a
    change that was acknowledged.
    """
    old = current.document
    new = wanted.document
    if new.number < old.number:
        return (
            f"document: number {new.number} is below {old.number}, which is "
            "in force; give the next document a higher number",
        )
    if new.number == old.number and new.content != old.content:
        return (
            f"document: number {new.number} is in force with other content; "
            "give the next document a higher number",
        )
    return ()


def _declared_withdrawals(
    state: ConfigurationState, command: ApplyDeclarations
) -> dict[str, Withdrawal]:
    withdrawn = dict(state.withdrawn)
    for model in command.declarations.models.values():
        for version in model.versions.values():
            identity = version_id(model.name, version.name)
            if version.withdrawn and identity not in withdrawn:
                withdrawn[identity] = Withdrawal(
                    state.revision + 1, command.operator, "declared"
                )
    return withdrawn


def _still_withdrawn(
    state: ConfigurationState, declarations: Declarations
) -> tuple[str, ...]:
    notes = []
    for identity, withdrawal in sorted(state.withdrawn.items()):
        version = find_version(declarations, identity)
        if version is not None and not version.withdrawn:
            notes.append(
                f"{identity}: stays withdrawn, since revision "
                f"{withdrawal.revision} by {withdrawal.operator}; only "
                "reinstate brings it back"
            )
    return tuple(notes)


def _unknown_version(state: ConfigurationState, identity: str) -> str:
    known = sorted(
        version_id(model.name, name)
        for model in state.declarations.models.values()
        for name in model.versions
    )
    names = ", ".join(known) or "none is declared"
    return f"unknown version {identity!r}; known: {names}"


__all__ = [
    "apply_declarations",
    "create_cluster",
    "drain_vm",
    "lift_quarantine",
    "quarantine",
    "reinstate",
    "rotate_session_key",
    "undrain_vm",
    "withdraw",
]
