"""An entry's view of its control process, kept over the network."""

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
    from sycamorestand_model.ledger import LedgerRecord
    from sycamorestand_model.ledger import LedgerResult
    from sycamorestand_model.nodes import EntryAddress
    from sycamorestand_model.nodes import VersionSample
    from sycamorestand_peer.key_file import KeySource
    from sycamorestand_peer.messages import Message
    from sycamorestand_peer.tls import TlsIdentity

LOG: Final = logging.getLogger(__name__)
# Without a lease every call is refused, so it is asked for more often; not
# so often that all entries at once hold up the election that they wait for.
ASK_INTERVAL_S: Final = 0.1
REPORT_INTERVAL_S: Final = 2.0
# While a roll-out runs: what a bad version does between two reports is
# exposure that nobody judges.
ROLLOUT_REPORT_INTERVAL_S: Final = 0.4
EXPIRE_INTERVAL_S: Final = 0.2
# Control processes that are replaced again and again must not add up.
MAX_CONTROLS: Final = 32
LOADS: Final = "loads"
M = TypeVar("M")


class LinkSettings(NamedTuple):
    """What an entry needs to find its control process.

    ``control_addresses`` has the nearest first; the first one that
    answers is kept. ``cluster_keys`` are fixed ones, or a source that
    returns those that are valid now.
    """

    vm: str
    data_centre: str
    peer_address: str
    control_addresses: tuple[str, ...]
    cluster_keys: tuple[bytes, ...] | KeySource
    peer_listen: str = ""
    tls: TlsIdentity | None = None


class ControlLink:
    """Holds the lease, the configuration, the directory and the addresses.

    It is the entry's `ControlPort`. ``address`` returns where callers
    reach this entry, with its load.
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
        self._told_addresses: dict[str, tuple[EntryAddress, ...]] = {}
        self._entries = 0
        self._stopping = False
        self._samples = SampleCounts()
        self._kicked = anyio.Event()
        self._ready = anyio.Event()
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
        self._requests = 0
        self._listeners: dict[type, Callable[[Any], None]] = {}
        self.moves = 0
        self.resyncs = 0
        self.denials = 0

    def in_force(self) -> InForce:
        """Return the newest configuration that this entry has applied."""
        return self._in_force

    def lease_remaining_s(self) -> float:
        """Return how long new work may be accepted; reads the clock."""
        return self._lease.remaining_s(boottime_s())

    def backend_servers(self) -> Mapping[str, Announcement]:
        """Return the live backend servers by name."""
        return self._servers.servers()

    def addresses(self) -> tuple[EntryAddress, ...]:
        """Return what callers may use, ranked for this data centre.

        After a move that is what the next control process told before it:
        it tells a list again only once that has changed.
        """
        told = self._told_addresses.get(self.control_address())
        if told is not None:
            self._addresses = told
        return self._addresses

    def entry_count(self) -> int:
        """Return how many entries there are, 0 before the first lease."""
        return self._entries

    def report(self, sample: VersionSample) -> None:
        """Count what an attempt on a version showed."""
        self._samples.add(sample, time.time())

    def send(self, message: Message) -> None:
        """Send the control process a message that needs no answer."""
        self.mesh.send(self.control_address(), message)

    def add_listener(
        self, kind: type[M], listener: Callable[[M], None]
    ) -> None:
        """Call ``listener`` with each message of a kind that comes."""
        self._listeners[kind] = listener

    def set_stopping(self) -> None:
        """Leave the address answers, beginning with the next renewal."""
        self._stopping = True
        self._kicked.set()

    def control_address(self) -> str:
        """Return the control process that this entry is attached to."""
        return self._attachment.address

    async def announce(self, announcement: Announcement) -> None:
        """Pass a backend server's announcement on.

        The entry's own directory takes it at once: a server that leaves
        gets no more work from here, whatever the way through control
        takes.
        """
        self._servers.announce(announcement, boottime_s())
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
        """Keep the link until cancelled; started with the first lease."""
        async with anyio.create_task_group() as tasks:
            await tasks.start(self.mesh.run)
            tasks.start_soon(self._renew)
            tasks.start_soon(self._ledger.run)
            tasks.start_soon(self._send_reports)
            tasks.start_soon(self._expire_servers)
            await self._ready.wait()
            task_status.started()

    async def _renew(self) -> None:
        while True:
            self._kicked = anyio.Event()
            now_s = boottime_s()
            if self._attachment.is_time_to_move(now_s):
                self._move(now_s)
            self._log_lease_change()
            self._ask(now_s)
            held = self.lease_remaining_s() > 0
            pause_s = RENEW_INTERVAL_S if held else ASK_INTERVAL_S
            with anyio.move_on_after(pause_s):
                await self._kicked.wait()

    def _ask(self, now_s: float) -> None:
        """Ask for a lease; without answers, through another entry too.

        The direct way is tried all the same, so that it is used again as
        soon as it works.
        """
        control = self.control_address()
        request = self._request(now_s)
        self.mesh.send_directly(control, request)
        if not self._attachment.is_silent(now_s):
            return
        relay = self.mesh.relay_for(control) or self._next_relay()
        if relay:
            self.mesh.send_through(relay, control, request)

    def _next_relay(self) -> str:
        """Return an entry to ask through; another one each time."""
        own = self.mesh.address
        peers = [a.peer_address for a in self.addresses()]
        others = [peer for peer in peers if peer not in ("", own)]
        if not others:
            return ""
        return others[self._requests % len(others)]

    def _log_lease_change(self) -> None:
        """Log when the lease is lost or held again, and from whom.

        Without control at all the entry moves on each second. Those moves
        are not logged, as they would fill the disk during an outage.
        """
        held = self.lease_remaining_s() > 0
        if held == self._was_held:
            return
        self._was_held = held
        text = "lease held" if held else "lease lost: refusing work"
        LOG.info(text, extra={"control": self.control_address()})

    def _request(self, now_s: float) -> LeaseRequest:
        self._requests += 1
        return LeaseRequest(
            self._address()._replace(stopping=self._stopping),
            self.mesh.incarnation,
            self._requests,
            now_s,
            self._in_force.revision,
        )

    def _move(self, now_s: float) -> None:
        """Attach to the next control process; this one grants nothing."""
        self._attachment.move(now_s)
        self.moves += 1
        if self.lease_remaining_s() > 0:
            LOG.info(
                "control changed", extra={"control": self.control_address()}
            )

    def _handle_message(self, sender: str, message: Any) -> None:
        match message:
            case LeaseGrantMessage():
                self._take_grant(message)
            case LeaseDenied():
                self._take_denial(sender, message)
            case ConfigurationPush():
                self._take_configuration(message)
            case TableUpdate():
                self._take_table(sender, message)
            case ControlList():
                self._take_controls(message)
            case AddressList():
                self._take_addresses(sender, message)
            case EntryCount():
                self._entries = message.entries
            case _:
                self._pass_on(message)

    def _pass_on(self, message: Any) -> None:
        listener = self._listeners.get(type(message))
        if listener is not None:
            listener(message)

    def _take_grant(self, message: LeaseGrantMessage) -> None:
        self._attachment.granted(boottime_s())
        grant = LeaseGrant(message.length_s, message.revision)
        self._lease.renew(message.sent_at_s, grant)
        self._ready.set()

    def _take_denial(self, sender: str, message: LeaseDenied) -> None:
        self.denials += 1
        now_s = boottime_s()
        self._attachment.denied(sender, message, now_s)
        if self._attachment.is_time_to_move(now_s):
            self._kicked.set()

    def _take_controls(self, message: ControlList) -> None:
        if self._attachment.learn(message.addresses, boottime_s()):
            self._kicked.set()

    def _take_configuration(self, push: ConfigurationPush) -> None:
        if push.revision <= self._in_force.revision:
            # A control process that lags, or a frame from before a move:
            # a configuration never reverts.
            return
        self._in_force = unpack_configuration(push)
        self._kicked.set()

    def _take_addresses(self, sender: str, message: AddressList) -> None:
        """Keep each control process's list; that of the one in use counts.

        One that was left for its silence may be cut off: it forgets every
        entry and tells an empty list for some seconds more, and callers who
        ask here would be sent nowhere.
        """
        if len(self._told_addresses) >= MAX_CONTROLS:
            self._told_addresses.clear()
        self._told_addresses[sender] = message.addresses

    def _take_table(self, sender: str, message: TableUpdate) -> None:
        now_s = boottime_s()
        if sender != self.control_address():
            return
        if message.table == LOADS:
            self._servers.take_loads(message.payload, now_s)
        elif not self._servers.follow(sender, message.payload, now_s):
            self.resyncs += 1
            self.mesh.send(sender, TableResync(message.table))

    async def _send_reports(self) -> None:
        sequence = 0
        while True:
            await anyio.sleep(self._report_interval_s())
            rows = self._samples.take()
            ratings = self._samples.take_ratings()
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
