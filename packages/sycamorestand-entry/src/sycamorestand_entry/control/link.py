"""Link of an entry to its control process over the network."""

from __future__ import annotations

import logging
import time
from typing import Any
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING
from typing import TypeVar

import anyio
from anyio.abc import TaskStatus
import msgspec

from sycamorestand_entry.control.attachment import Attachment
from sycamorestand_entry.control.ledger_client import LedgerClient
from sycamorestand_entry.control.sample_counts import SampleCounts
from sycamorestand_entry.control.server_view import ServerView
from sycamorestand_model.in_force import InForce
from sycamorestand_peer.clock import boottime_s
from sycamorestand_peer.codec import unpack_configuration
from sycamorestand_peer.key_file import as_key_source
from sycamorestand_peer.mesh import PeerMesh
from sycamorestand_peer.messages import AddressList
from sycamorestand_peer.messages import AnnouncementRelay
from sycamorestand_peer.messages import ConfigurationPush
from sycamorestand_peer.messages import ControlList
from sycamorestand_peer.messages import EntryCount
from sycamorestand_peer.messages import LeaseDenied
from sycamorestand_peer.messages import LeaseGrantMessage
from sycamorestand_peer.messages import LeaseRequest
from sycamorestand_peer.messages import SampleReport
from sycamorestand_peer.messages import TableResync
from sycamorestand_peer.messages import TableUpdate
from sycamorestand_state.leases import HeldLease
from sycamorestand_state.leases import LeaseGrant
from sycamorestand_state.leases import RENEW_INTERVAL_S

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from sycamorestand_model.backend_servers import Announcement
    from sycamorestand_model.entry_reports import EntryAddress
    from sycamorestand_model.entry_reports import VersionSample
    from sycamorestand_model.ledger import LedgerRecord
    from sycamorestand_model.ledger import LedgerResult
    from sycamorestand_peer.key_file import KeySource
    from sycamorestand_peer.messages import Message
    from sycamorestand_peer.tls import TlsIdentity

LOG: Final = logging.getLogger(__name__)
# Interval of lease requests while the entry has no lease and refuses every
# call. It is shorter than the renewal interval, but long enough that the
# requests of all entries do not delay the election that they wait for.
NO_LEASE_INTERVAL_S: Final = 0.1
REPORT_INTERVAL_S: Final = 2.0
# Interval while a roll-out runs. A bad version keeps its share of requests
# until a report shows its failures.
ROLLOUT_REPORT_INTERVAL_S: Final = 0.4
EXPIRE_INTERVAL_S: Final = 0.2
# Bounds the address lists kept for control processes that were replaced.
MAX_ADDRESS_LISTS: Final = 32
LOADS_TABLE: Final = "loads"
M = TypeVar("M")


class LinkSettings(NamedTuple):
    """Settings of an entry's link to its control process.

    ``control_addresses`` lists the nearest first; the entry stays with the
    first one that answers. ``cluster_keys`` are fixed keys, or a source that
    returns the keys that are valid now.
    """

    vm: str
    data_centre: str
    peer_address: str
    control_addresses: tuple[str, ...]
    cluster_keys: tuple[bytes, ...] | KeySource
    peer_listen: str = ""
    tls: TlsIdentity | None = None


class ControlLink:
    """Hold the lease, the configuration, the directory and the addresses.

    The link is the entry's `ControlPort`. ``address`` returns the address
    at which callers reach this entry, with its load.
    """

    def __init__(
        self, settings: LinkSettings, address: Callable[[], EntryAddress]
    ) -> None:
        self._settings = settings
        self._address = address
        self._attachment = Attachment(settings.control_addresses, boottime_s())
        self._lease = HeldLease()
        self._in_force = InForce()
        self._addresses: tuple[EntryAddress, ...] = ()
        self._addresses_by_control: dict[str, tuple[EntryAddress, ...]] = {}
        self._entries = 0
        self._rank = 0
        self._stopping = False
        self._unreached: tuple[str, ...] = ()
        self._samples = SampleCounts()
        self._renew_now = anyio.Event()
        self._first_grant = anyio.Event()
        self.mesh = PeerMesh(
            settings.peer_address,
            as_key_source(settings.cluster_keys),
            self._handle_message,
            settings.peer_listen or None,
            settings.tls,
        )
        self._servers = ServerView(
            settings.peer_address, self.mesh.incarnation
        )
        self._ledger = LedgerClient(
            self.mesh,
            self.control_address,
            lambda: self._in_force.ledger_shards,
        )
        self._was_held: bool | None = None
        self._request_count = 0
        self._listeners: dict[type, Callable[[Any], None]] = {}
        self.moves = 0
        self.resyncs = 0
        self.denials = 0

    def in_force(self) -> InForce:
        """Return the newest configuration that this entry has applied."""
        return self._in_force

    def lease_remaining_s(self) -> float:
        """Return the seconds for which the entry may accept new work.

        The value is zero or less without a lease; it is computed from the
        clock at each call.
        """
        return self._lease.remaining_s(boottime_s())

    def backend_servers(self) -> Mapping[str, Announcement]:
        """Return the live backend servers by name."""
        return self._servers.servers()

    def addresses(self) -> tuple[EntryAddress, ...]:
        """Return the entries for callers, ranked for this data centre.

        The list is the last one of the control process in use. After a move
        it may date from before the move, because a control process sends
        its list only after a change. If this control process has sent none
        yet, the former list stays.
        """
        latest = self._addresses_by_control.get(self.control_address())
        if latest is not None:
            self._addresses = latest
        return self._addresses

    def entry_count(self) -> int:
        """Return the number of entries, 0 before the first lease."""
        return self._entries

    def entry_place(self) -> float:
        """Return this entry's rank among all, from 0 to below 1."""
        return self._rank / max(1, self._entries)

    def report(self, sample: VersionSample) -> None:
        """Count the result of an attempt at a version."""
        self._samples.add(sample, time.time())

    def send(self, message: Message) -> None:
        """Send the control process a message that needs no answer."""
        self.mesh.send(self.control_address(), message)

    def add_listener(
        self, kind: type[M], listener: Callable[[M], None]
    ) -> None:
        """Call ``listener`` with each received message of the type ``kind``.

        Only one listener is kept for a type.
        """
        self._listeners[kind] = listener

    def set_stopping(self) -> None:
        """Take this entry out of the addresses that callers get.

        The next lease request, sent at once, reports that it is stopping.
        """
        self._stopping = True
        self._renew_now.set()

    def set_unreached(self, services: frozenset[str]) -> None:
        """Report the services that are not reached, with a request at once."""
        self._unreached = tuple(sorted(services))
        self._renew_now.set()

    @property
    def unreached(self) -> tuple[str, ...]:
        """The services none of whose servers this entry reaches."""
        return self._unreached

    def control_address(self) -> str:
        """Return the address of the control process in use."""
        return self._attachment.address

    async def announce(self, announcement: Announcement) -> None:
        """Forward a backend server's announcement to the control process.

        The entry applies it to its own directory at once, so that it sends
        no more work to a leaving server, however long the update through
        control takes.
        """
        self._servers.announce(announcement, boottime_s())
        message = AnnouncementRelay(announcement)
        self.mesh.send(self.control_address(), message)

    def record_leaving(self, server: Announcement) -> None:
        """Send the server no more work, as it said that it leaves.

        Control is told as by an announcement of the server, so that a later
        one of the server counts for the other entries.
        """
        announcement = self._servers.record_leaving(server, boottime_s())
        if announcement is not None:
            message = AnnouncementRelay(announcement)
            self.mesh.send(self.control_address(), message)

    async def write_ledger(
        self, records: Sequence[LedgerRecord]
    ) -> list[LedgerResult]:
        """Return the results once the records are durable."""
        return await self._ledger.submit(records)

    async def run(
        self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Maintain the link until cancelled.

        ``task_status`` reports the start after the first granted lease.
        """
        async with anyio.create_task_group() as tasks:
            await tasks.start(self.mesh.run)
            tasks.start_soon(self._renew)
            tasks.start_soon(self._ledger.run)
            tasks.start_soon(self._send_reports)
            tasks.start_soon(self._expire_servers)
            await self._first_grant.wait()
            task_status.started()

    async def _renew(self) -> None:
        while True:
            self._renew_now = anyio.Event()
            now_s = boottime_s()
            if self._attachment.should_move(now_s):
                self._move_to_next(now_s)
            self._log_lease_change()
            self._request_lease(now_s)
            held = self.lease_remaining_s() > 0
            pause_s = RENEW_INTERVAL_S if held else NO_LEASE_INTERVAL_S
            with anyio.move_on_after(pause_s):
                await self._renew_now.wait()

    def _request_lease(self, now_s: float) -> None:
        """Request a lease; without answers, also through another entry.

        The direct request is still sent, so that the direct connection is
        used again as soon as it works.
        """
        control = self.control_address()
        request = self._make_lease_request(now_s)
        self.mesh.send_directly(control, request)
        if not self._attachment.is_silent(now_s):
            return
        relay = self.mesh.relay_for(control) or self._next_relay()
        if relay:
            self.mesh.send_through(relay, control, request)

    def _next_relay(self) -> str:
        """Return the peer address of another entry, in turn, or ``""``."""
        own = self.mesh.address
        peers = [a.peer_address for a in self.addresses()]
        others = [peer for peer in peers if peer not in ("", own)]
        if not others:
            return ""
        return others[self._request_count % len(others)]

    def _log_lease_change(self) -> None:
        """Log when the lease is lost or held again, with the control process.

        While no control process answers, the entry moves to the next one
        each second. These moves are not logged, as they would fill the disk
        during an outage.
        """
        held = self.lease_remaining_s() > 0
        if held == self._was_held:
            return
        self._was_held = held
        message = "lease held" if held else "lease lost: refusing work"
        LOG.info(message, extra={"control": self.control_address()})

    def _make_lease_request(self, now_s: float) -> LeaseRequest:
        self._request_count += 1
        return LeaseRequest(
            self._address()._replace(
                stopping=self._stopping, unreached=self._unreached
            ),
            self.mesh.incarnation,
            self._request_count,
            now_s,
            self._in_force.revision,
        )

    def _move_to_next(self, now_s: float) -> None:
        """Attach to the next control process, as this one grants no lease."""
        self._attachment.move(now_s)
        self.moves += 1
        if self.lease_remaining_s() > 0:
            LOG.info(
                "control changed", extra={"control": self.control_address()}
            )

    def _handle_message(self, sender: str, message: Any) -> None:
        match message:
            case LeaseGrantMessage():
                self._handle_grant(message)
            case LeaseDenied():
                self._handle_denial(sender, message)
            case ConfigurationPush():
                self._apply_configuration(message)
            case TableUpdate():
                self._apply_table(sender, message)
            case ControlList():
                self._handle_controls(message)
            case AddressList():
                self._store_addresses(sender, message)
            case EntryCount():
                self._entries = message.entries
                self._rank = message.rank
            case _:
                self._notify_listener(message)

    def _notify_listener(self, message: Any) -> None:
        listener = self._listeners.get(type(message))
        if listener is not None:
            listener(message)

    def _handle_grant(self, message: LeaseGrantMessage) -> None:
        self._attachment.record_grant(boottime_s())
        grant = LeaseGrant(message.length_s, message.revision)
        self._lease.renew(message.sent_at_s, grant)
        self._first_grant.set()

    def _handle_denial(self, sender: str, message: LeaseDenied) -> None:
        self.denials += 1
        now_s = boottime_s()
        self._attachment.record_denial(sender, message, now_s)
        if self._attachment.should_move(now_s):
            self._renew_now.set()

    def _handle_controls(self, message: ControlList) -> None:
        if self._attachment.update_voters(message.addresses, boottime_s()):
            self._renew_now.set()

    def _apply_configuration(self, push: ConfigurationPush) -> None:
        if push.revision <= self._in_force.revision:
            # The control process lags, or the frame was sent before a move.
            # The entry never goes back to an older configuration.
            return
        self._in_force = unpack_configuration(push)
        self._renew_now.set()

    def _store_addresses(self, sender: str, message: AddressList) -> None:
        """Store the address list of each control process separately.

        Only the list of the process in use is returned to callers. A control
        process that the entry left may be cut off: it loses all entries and
        still sends an empty list for some seconds, which would leave callers
        without any address.
        """
        if len(self._addresses_by_control) >= MAX_ADDRESS_LISTS:
            self._addresses_by_control.clear()
        self._addresses_by_control[sender] = message.addresses

    def _apply_table(self, sender: str, message: TableUpdate) -> None:
        now_s = boottime_s()
        if sender != self.control_address():
            return
        if message.table == LOADS_TABLE:
            self._servers.apply_load_update(message.payload, now_s)
        elif not self._servers.apply_directory_delta(
            sender, message.payload, now_s
        ):
            self.resyncs += 1
            self.mesh.send(sender, TableResync(message.table))

    async def _send_reports(self) -> None:
        sequence = 0
        while True:
            await anyio.sleep(self._report_interval_s())
            rows = self._samples.drain()
            ratings = self._samples.drain_ratings()
            if not rows and not ratings:
                continue
            sequence += 1
            report = SampleReport(
                self._settings.vm,
                self.mesh.incarnation,
                sequence,
                msgspec.msgpack.encode(rows),
                ratings,
            )
            self.mesh.send(self.control_address(), report)

    def _report_interval_s(self) -> float:
        shares = self._in_force.shares.values()
        if any(rollout.state == "running" for rollout in shares):
            return ROLLOUT_REPORT_INTERVAL_S
        return REPORT_INTERVAL_S

    async def _expire_servers(self) -> None:
        while True:
            await anyio.sleep(EXPIRE_INTERVAL_S)
            for name in self._servers.expire(boottime_s()):
                LOG.info("backend server gone", extra={"server": name})


__all__ = ["ControlLink", "LinkSettings"]
