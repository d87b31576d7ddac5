"""Explain how the system treats a subject, for ``sycactl explain``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sycamorestand_decisions.part_trials import max_trials
from sycamorestand_decisions.server_limits import NO_LIMIT
from sycamorestand_model.declarations import find_version
from sycamorestand_model.declarations import VERSION_SEPARATOR
from sycamorestand_model.in_force import takes_new_work
from sycamorestand_model.request_digest import is_request

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sycamorestand_control.ledger_reader import LedgerReader
    from sycamorestand_control.tables import SharedTables
    from sycamorestand_state.configuration import ConfigurationMachine


def explain_subject(
    subject: str,
    configuration: ConfigurationMachine,
    tables: SharedTables,
    ledger: LedgerReader,
    verdicts: Mapping[str, str],
    limits_per_s: Mapping[str, float],
) -> tuple[str, ...]:
    """Return lines about a subject.

    That is a version, model, customer, request, backend server, VM, data
    centre, or blocked prompt part or request. A request is named by its
    customer and request key, joined by a slash. The result is empty if the
    subject is unknown.
    """
    lines = [
        *_explain_version(subject, configuration, tables),
        *_explain_model(subject, configuration),
        *_explain_customer(subject, configuration),
        *_explain_request(subject, ledger),
        *_explain_server(subject, configuration, tables),
        *_explain_data_centre(subject, configuration, tables),
        *_explain_limit(subject, limits_per_s),
        *_explain_vm(subject, configuration, tables),
        *_explain_part(subject, configuration),
    ]
    if lines and subject in verdicts:
        lines.append(f"the leader's last finding: {verdicts[subject]}")
    return tuple(lines)


def _explain_version(
    subject: str, configuration: ConfigurationMachine, tables: SharedTables
) -> list[str]:
    in_force = configuration.in_force()
    version = find_version(in_force.declarations, subject)
    if version is None:
        return []
    model = in_force.declarations.models[version.model]
    lines = [f"{subject} is declared at revision {in_force.revision}"]
    if model.stable == version.name:
        lines.append("it is the stable version: new work goes to it")
    share = in_force.shares.get(version.model)
    if share is not None and share.version == version.name:
        lines.append(
            f"its roll-out is {share.state} at step {share.step},"
            f" share {share.share:.2%} of new work"
        )
    if subject in in_force.withdrawn:
        lines.append("it is withdrawn: it gets no new work")
    if subject in in_force.quarantined:
        lines.append("it is quarantined: it gets no new work")
    holders = [
        server.name
        for server in tables.servers().values()
        if subject in server.versions and takes_new_work(in_force, server)
    ]
    lines.append(f"{len(holders)} backend servers hold it: {holders}")
    return lines


def _explain_model(
    subject: str, configuration: ConfigurationMachine
) -> list[str]:
    model = configuration.in_force().declarations.models.get(subject)
    if model is None:
        return []
    lines = [
        f"model {subject}: stable version {model.stable},"
        f" versions {', '.join(sorted(model.versions))}"
    ]
    rollout = configuration.rollout(subject)
    if rollout is not None:
        lines.append(
            f"roll-out of {rollout.version} is {rollout.state} at step"
            f" {rollout.step}: {rollout.reason or rollout.evidence}"
        )
    return lines


def _explain_customer(
    subject: str, configuration: ConfigurationMachine
) -> list[str]:
    declarations = configuration.in_force().declarations
    customer = declarations.customers.get(subject)
    if customer is None:
        return []
    return [
        f"customer {subject} may use the profiles"
        f" {', '.join(customer.profiles) or 'none'}",
        f"on {', '.join(customer.versions) or 'no version'}, and the services"
        f" {', '.join(customer.services) or 'none'}",
        f"its share of waiting work has the weight {customer.weight:g}",
    ]


def _explain_request(subject: str, ledger: LedgerReader) -> list[str]:
    customer, separator, request_key = subject.partition("/")
    if not separator or VERSION_SEPARATOR in customer:
        return []
    row = ledger.find(customer, request_key)
    if row is None:
        return [f"no charge of {customer} has the request key {request_key}"]
    return [
        f"charged once, {row.cost_micros} micros on {row.version}:"
        f" {row.input_tokens} tokens in, {row.output_tokens} out"
    ]


def _explain_server(
    subject: str, configuration: ConfigurationMachine, tables: SharedTables
) -> list[str]:
    server = tables.servers().get(subject)
    if server is None:
        return []
    state = "serving"
    if server.leaving:
        state = "leaving: no new work"
    elif not takes_new_work(configuration.in_force(), server):
        state = f"in {server.data_centre}, which is draining: no new work"
    lines = [
        f"backend server {subject} at {server.address} is {state}",
        f"it holds {', '.join(server.versions) or 'nothing'},"
        f" capacity {server.capacity}",
    ]
    load = tables.load(subject)
    if load is not None:
        lines.append(
            f"{load.age_s:.1f} s ago it reported {load.running} running"
            f" and {load.queued} queued"
        )
    return lines


def _explain_data_centre(
    subject: str, configuration: ConfigurationMachine, tables: SharedTables
) -> list[str]:
    draining = configuration.in_force().draining_data_centres
    servers = [
        server
        for server in tables.servers().values()
        if server.data_centre == subject
    ]
    if not servers and subject not in draining:
        return []
    lines = [f"data centre {subject}: {len(servers)} backend servers"]
    if subject in draining:
        lines.append("it is draining: its backend servers get no new work")
    return lines


def _explain_vm(
    subject: str, configuration: ConfigurationMachine, tables: SharedTables
) -> list[str]:
    node = tables.entries().get(subject)
    if node is None:
        return []
    draining = configuration.in_force().draining_vms
    lines = [f"VM {subject} serves callers at {node.host}:{node.port}"]
    if node.stopping:
        lines.append("it is stopping as planned: callers are sent elsewhere")
    if subject in draining:
        lines.append("it is draining: callers are sent elsewhere")
    state = tables.entry_state(subject)
    if state is not None:
        lines.append(f"it acts on revision {state.acked_revision}")
    return lines


def _explain_limit(
    subject: str, limits_per_s: Mapping[str, float]
) -> list[str]:
    limit_per_s = limits_per_s.get(subject, NO_LIMIT)
    if limit_per_s == NO_LIMIT:
        return []
    return [
        f"backend server {subject} takes {limit_per_s:g} requests a second"
        " from all entries together, by its own answers"
    ]


def _explain_part(
    subject: str, configuration: ConfigurationMachine
) -> list[str]:
    block = configuration.in_force().blocked_parts.get(subject)
    if block is None:
        return []
    customers = ", ".join(repr(customer) for customer in block.customers)
    concerned = "everyone" if block.is_for_everyone else customers
    kind = "request" if is_request(subject) else "prompt part"
    return [
        f"{kind} {subject} is blocked since revision {block.revision},"
        f" for {concerned}",
        f"{block.trials} of {max_trials(subject)} trials of it were let"
        " through since",
    ]


__all__ = ["explain_subject"]
