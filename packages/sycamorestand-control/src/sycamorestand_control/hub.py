"""Serve the entries that are attached to a control process."""

from __future__ import annotations

import functools
import logging
from typing import Final
from typing import TYPE_CHECKING
import zlib

import anyio

from sycamorestand_model.in_force import InForce
from sycamorestand_peer.clock import boottime_s
from sycamorestand_peer.codec import pack_configuration
from sycamorestand_peer.messages import AddressList
from sycamorestand_peer.messages import ConfigurationPush
from sycamorestand_peer.messages import ControlList
from sycamorestand_peer.messages import EntryCount
from sycamorestand_peer.messages import LeaseDenied
from sycamorestand_peer.messages import LeaseGrantMessage

if TYPE_CHECKING:
    from collections.abc import Callable

    from sycamorestand_control.lease_service import LeaseService
    from sycamorestand_control.tables import SharedTables
    from sycamorestand_peer.mesh import PeerMesh
    from sycamorestand_peer.messages import LeaseRequest

LOG: Final = logging.getLogger(__name__)
TICK_S: Final = 0.1
# Longer than an entry's lease. Nothing more is sent to an entry that has been
# silent for this long.
DETACH_AFTER_S: Final = 5.0
# A lost push is repeated when the entry renews its lease, but not at each
# renewal, because the whole configuration is the largest message.
PUSH_RETRY_S: Final = 0.3
# Loads and addresses are approximate and late in any case, so they are sent
# less often.
SLOW_INTERVAL_S: Final = 1.0
# Callers only need a few addresses to choose from, not those of all 330
# entries.
ADDRESSES_FOR_CALLERS: Final = 8


class _AttachedEntry:
    """What was last heard from and sent to an entry."""

    def __init__(self, address: str, vm: str, data_centre: str) -> None:
        self.address = address
        self.vm = vm
        self.data_centre = data_centre
        self.heard_s = 0.0
        self.pushed_revision = 0
        self.pushed_s = 0.0
        self.addresses: AddressList | None = None
        self.controls: ControlList | None = None


class EntryHub:
    """Sends its entries leases, configuration, servers and addresses.

    ``other_controls`` returns the peer addresses of the other control
    processes, and ``voters`` those of all voters. ``denied`` counts the
    leases that were denied.
    """

    def __init__(
        self,
        mesh: PeerMesh,
        leases: LeaseService,
        tables: SharedTables,
        in_force: Callable[[], InForce],
        other_controls: Callable[[], tuple[str, ...]],
        voters: Callable[[], tuple[str, ...]] = tuple,
    ) -> None:
        self._mesh = mesh
        self._leases = leases
        self._tables = tables
        self._in_force = in_force
        self._other_controls = other_controls
        self._voters = voters
        self._attached: dict[str, _AttachedEntry] = {}
        self._cached_push = pack_configuration(InForce())
        self.denied = 0

    def attached_vms(self) -> tuple[str, ...]:
        """Return the VMs of the entries attached to this process."""
        return tuple(entry.vm for entry in self._attached.values())

    def attached_addresses(self) -> tuple[str, ...]:
        """Return the peer addresses of the entries attached here."""
        return tuple(self._attached)

    def handle_lease_request(self, sender: str, message: LeaseRequest) -> None:
        """Answer a lease request, and send what the entry lacks.

        That is a newer configuration and changes of the backend servers.
        """
        entry = self._attach(sender, message)
        self._tables.record_entry(sender, message)
        self._answer_lease(sender, message)
        self._push_configuration(entry, message.acked_revision)
        self._tables.send_to_entry(sender)

    def revision_applied(self) -> None:
        """Send the newly applied revision to every attached entry."""
        for entry in self._attached.values():
            self._push_configuration(entry, entry.pushed_revision)

    async def run(self) -> None:
        """Send the entries changes of tables and addresses, until cancelled.

        Also detaches entries that have been silent for `DETACH_AFTER_S`.
        """
        next_slow_push_s = 0.0
        stopping: frozenset[str] = frozenset()
        while True:
            await anyio.sleep(TICK_S)
            now_s = boottime_s()
            if stopping != self._tables.stopping_vms():
                # Callers must be sent elsewhere before the VM stops. A
                # change of load alone can wait for the next interval.
                stopping = self._tables.stopping_vms()
                self._push_addresses()
            self._detach_silent(now_s)
            for entry in self._attached.values():
                self._tables.send_to_entry(entry.address)
            if now_s >= next_slow_push_s:
                next_slow_push_s = now_s + SLOW_INTERVAL_S
                self._push_addresses()
                self._push_controls()
                self._push_loads()

    def _attach(self, sender: str, message: LeaseRequest) -> _AttachedEntry:
        entry = self._attached.get(sender)
        if entry is None:
            address = message.address
            entry = _AttachedEntry(sender, address.vm, address.data_centre)
            self._attached[sender] = entry
            LOG.info("entry attached", extra={"entry": address.vm})
        entry.heard_s = boottime_s()
        return entry

    def _answer_lease(self, sender: str, message: LeaseRequest) -> None:
        grant = self._leases.grant_entry(sender, message.acked_revision)
        if grant is not None:
            self._tables.record_grant(message.address.vm, grant.length_s)
            self._mesh.send(
                sender,
                LeaseGrantMessage(
                    message.sent_at_s, grant.length_s, grant.revision
                ),
            )
            # The count is sent with each lease. If it were sent once and
            # lost, the entry would use too large a share of the limits for as
            # long as it runs.
            vms = self._tables.entries()
            rank = sum(vm < message.address.vm for vm in vms)
            self._mesh.send(sender, EntryCount(len(vms), rank))
            return
        self.denied += 1
        reason = "behind"
        if self._leases.remaining_s() <= 0:
            reason = "no_quorum"
        self._mesh.send(
            sender,
            LeaseDenied(message.sent_at_s, reason, self._other_controls()),
        )

    def _push_configuration(
        self, entry: _AttachedEntry, acked_revision: int
    ) -> None:
        in_force = self._in_force()
        if acked_revision >= in_force.revision:
            return
        now_s = boottime_s()
        already_pushed = entry.pushed_revision >= in_force.revision
        if already_pushed and now_s - entry.pushed_s < PUSH_RETRY_S:
            return
        entry.pushed_revision = in_force.revision
        entry.pushed_s = now_s
        self._mesh.send(entry.address, self._make_push(in_force))

    def _make_push(self, in_force: InForce) -> ConfigurationPush:
        """Return the message for a revision, packed once for all entries.

        The operator's document is left out. Entries use only the parsed
        declarations, and the document is most of the bytes: with 1,100
        routes it would occupy an entry's slow link for longer than a change
        may take.
        """
        if self._cached_push.revision != in_force.revision:
            declarations = in_force.declarations
            document = declarations.document._replace(content=b"")
            trimmed = declarations._replace(document=document)
            self._cached_push = pack_configuration(
                in_force._replace(declarations=trimmed)
            )
        return self._cached_push

    def _push_loads(self) -> None:
        for entry in self._attached.values():
            self._tables.send_loads_to_entry(entry.address, entry.vm)

    def _push_controls(self) -> None:
        """Send each entry the addresses of the present voters.

        An entry that knew only the voters from its start would find no
        control process once all of them have been replaced.
        """
        voters = self._voters()
        for entry in self._attached.values():
            distance = functools.partial(self._distance, entry)
            controls = ControlList(tuple(sorted(voters, key=distance)))
            if voters and controls != entry.controls:
                entry.controls = controls
                self._mesh.send(entry.address, controls)

    def _distance(
        self, entry: _AttachedEntry, control: str
    ) -> tuple[bool, bool, int]:
        """Return the sort key of a control process for an entry.

        A process on the entry's host comes first, then one in its data
        centre. A hash spreads the entries over processes of equal distance.
        """
        name = self._tables.control_name(control)
        tie_breaker = zlib.crc32(f"{entry.address} {control}".encode())
        return (
            _host(control) != _host(entry.address),
            name.data_centre != entry.data_centre,
            tie_breaker,
        )

    def _push_addresses(self) -> None:
        draining = self._in_force().draining_vms
        for entry in self._attached.values():
            addresses = AddressList(
                self._tables.addresses(
                    entry.data_centre,
                    entry.vm,
                    ADDRESSES_FOR_CALLERS,
                    draining,
                )
            )
            if addresses != entry.addresses:
                entry.addresses = addresses
                self._mesh.send(entry.address, addresses)

    def _detach_silent(self, now_s: float) -> None:
        for address, entry in list(self._attached.items()):
            if now_s - entry.heard_s > DETACH_AFTER_S:
                del self._attached[address]
                self._mesh.close_link(address)
                LOG.info("entry detached", extra={"entry": entry.vm})


def _host(address: str) -> str:
    return address.rpartition(":")[0]


__all__ = ["EntryHub"]
