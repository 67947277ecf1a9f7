"""Connects a node to control: joins, sends heartbeats and pulls newer configurations."""

from __future__ import annotations

from random import Random
from random import SystemRandom
from typing import TYPE_CHECKING
from typing import TypeVar

import anyio

from wagtailkeel_coordination import events
from wagtailkeel_coordination.lease import PlacementLease
from wagtailkeel_protocol.codec import encode_datagram
from wagtailkeel_protocol.messages import AnnounceReply
from wagtailkeel_protocol.messages import AnnounceRequest
from wagtailkeel_protocol.messages import Heartbeat
from wagtailkeel_protocol.messages import HeartbeatAck
from wagtailkeel_protocol.messages import LeaveRequest
from wagtailkeel_protocol.messages import PullReply
from wagtailkeel_protocol.messages import PullRequest
from wagtailkeel_protocol.messages import RecordServerRequest
from wagtailkeel_protocol.snapshot_codec import decompress_entries
from wagtailkeel_transport import RpcError
from wagtailkeel_transport import clock
from wagtailkeel_transport.log import logger
from wagtailkeel_transport.methods import ANNOUNCE
from wagtailkeel_transport.methods import LEAVE
from wagtailkeel_transport.methods import PULL
from wagtailkeel_transport.methods import RECORD_SERVER

if TYPE_CHECKING:
    from collections.abc import Callable

    from wagtailkeel.roles.address_book import AddressBook
    from wagtailkeel.roles.configuration_store import ConfigurationStore
    from wagtailkeel.roles.control_caller import ControlCaller
    from wagtailkeel.roles.metrics import Metrics
    from wagtailkeel_coordination.events import EventSink
    from wagtailkeel_protocol.messages import VersionHint
    from wagtailkeel_state.server_member import ServerRecord
    from wagtailkeel_transport import UdpEndpoint
    from wagtailkeel_transport.rpc_method import RpcMethod

Request = TypeVar("Request")

HEARTBEAT_INTERVAL_S = 0.5
ACK_TIMEOUT_S = 1.5
ANNOUNCE_RETRY_INTERVAL_S = 0.3
ANNOUNCE_TIMEOUT_S = 3.0
CHANGE_TIMEOUT_S = 0.5
CHANGE_RETRY_INTERVAL_S = 0.1
PULL_TIMEOUT_S = 2.0
PULL_RETRY_INTERVAL_S = 0.2
VERSION_POLL_INTERVAL_S = 0.02
CONFIRMATION_RETRY_INTERVAL_S = 0.05
BOOT_ID_BITS = 53


def generate_boot_id() -> int:
    """Return a random number that identifies one incarnation of a node."""
    return SystemRandom().getrandbits(BOOT_ID_BITS)


class NodeLink:
    """Maintains the membership and the configuration version of one node.

    The node pulls the configuration at once, but joins only once ``may_join`` is set, if given.
    """

    def __init__(
        self,
        instance_id: str,
        address_book: AddressBook,
        store: ConfigurationStore,
        endpoint: UdpEndpoint,
        caller: ControlCaller,
        build_announcement: Callable[[int], AnnounceRequest],
        metrics: Metrics,
        *,
        build_heartbeat: Callable[[Heartbeat], Heartbeat] | None = None,
        on_rejoin: Callable[[int], None] | None = None,
        lease: PlacementLease | None = None,
        boot_id: int | None = None,
        event_sink: EventSink = events.UNLOGGED,
        may_join: anyio.Event | None = None,
    ) -> None:
        self.boot_id = generate_boot_id() if boot_id is None else boot_id
        self.leader_id = address_book.control_ids[0]
        self.acknowledged_at = clock.seconds()
        self.is_joined = anyio.Event()
        self._switch_at = self.acknowledged_at + ACK_TIMEOUT_S
        self._may_join = may_join
        self._instance_id = instance_id
        self._address_book = address_book
        self._store = store
        self._endpoint = endpoint
        self._caller = caller
        self._build_announcement = build_announcement
        self._build_heartbeat = build_heartbeat
        self._on_rejoin = on_rejoin
        self._lease = lease or PlacementLease()
        self._metrics = metrics
        self._emit = event_sink.emit
        self._has_event_log = event_sink is not events.UNLOGGED
        self._control_lost_at = float("inf")
        self._version_confirmed_at = float("-inf")
        self._confirmation_requested_at = float("-inf")
        self._joined_at = float("inf")
        self._random = Random()
        self._versions_by_peer_id: dict[str, int] = {}
        self._newer_version_known = anyio.Event()
        self._must_rejoin = anyio.Event()

    @property
    def has_newer_version(self) -> bool:
        """Return whether a version newer than this node's is known to exist."""
        return any(version > self._store.version for version in self._versions_by_peer_id.values())

    def is_version_confirmed(self, since: float) -> bool:
        """Return whether the leader has confirmed this node's version since the time ``since``.

        It is confirmed if the leader has acknowledged a heartbeat sent at that time or later and no
        newer version is known. Otherwise send the leader a heartbeat, at most every 50 ms.
        """
        if self._version_confirmed_at >= since and not self.has_newer_version:
            return True
        now = clock.seconds()
        if (
            self._is_join_logged
            and now - self._confirmation_requested_at >= CONFIRMATION_RETRY_INTERVAL_S
        ):
            self._confirmation_requested_at = now
            self._send_heartbeat()
        return False

    async def run(self) -> None:
        """Join, then keep the membership and the configuration up to date until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._pull_forever)
            tasks.start_soon(self._heartbeat_forever)
            await self._join()
            tasks.start_soon(self._rejoin_forever)

    async def _join(self) -> None:
        attempts = 0
        leader_hint = ""
        while True:
            control_ids = self._address_book.control_ids
            control_id = leader_hint or control_ids[attempts % len(control_ids)]
            attempts += 1
            if attempts % len(control_ids) == 0:
                self._address_book.reload_seeds()
            # Pull before joining: other nodes send packets here as soon as the join is logged, and
            # handling them needs the traffic classes.
            await self._pull_from(control_id)
            if self._may_join is not None:
                await self._may_join.wait()
            reply = await self._announce_to(control_id)
            if reply is None or not reply.is_joined:
                leader_hint = reply.leader_id if reply and reply.leader_id != control_id else ""
                if reply is not None and reply.reason:
                    logger.error("control rejected the join: {}", reply.reason)
                await anyio.sleep(0.0 if leader_hint else ANNOUNCE_RETRY_INTERVAL_S)
                continue
            self.leader_id = control_id
            self._joined_at = clock.seconds()
            while self._store.version < reply.index:
                # A node must not serve with a configuration older than its join.
                if not await self._pull_from(control_id):
                    self.record_peer_version(control_id, reply.index)
                    await anyio.sleep(VERSION_POLL_INTERVAL_S)
            if not self._has_event_log:
                logger.info("joined as incarnation {} at index {}", self.boot_id, reply.index)
            self._emit(events.NodeJoined(self.boot_id, reply.index))
            self.is_joined.set()
            return

    async def _announce_to(self, control_id: str) -> AnnounceReply | None:
        request = self._build_announcement(self.boot_id)
        try:
            return await self._caller.call(control_id, ANNOUNCE, request, ANNOUNCE_TIMEOUT_S)
        except RpcError:
            self._metrics.counters["announce_failures"] += 1
            return None

    async def leave(self) -> None:
        """Notify control that the backend server has ended; repeat this until control answers.

        The caller sets a time limit. Control removes an agent that sends no heartbeats anyway, but
        then searches go on asking it for flows.
        """
        await self._repeat(LEAVE, LeaveRequest(self._instance_id, self.boot_id), "leave_failures")

    async def record_server(self, number: int, record: ServerRecord) -> bool:
        """Let control record what this agent acknowledges; repeat this until control answers.

        Wait until the agent has joined; return whether control has recorded it.
        """
        await self.is_joined.wait()
        request = RecordServerRequest(self._instance_id, self.boot_id, number, record)
        reply = await self._repeat(RECORD_SERVER, request, "record_failures")
        return reply.is_joined

    async def _repeat(
        self,
        method: RpcMethod[Request, AnnounceReply],
        request: Request,
        failure_counter: str,
    ) -> AnnounceReply:
        """Send a request to one control instance after the other until one has decided on it."""
        while True:
            for control_id in dict.fromkeys([self.leader_id, *self._address_book.control_ids]):
                try:
                    reply = await self._caller.call(control_id, method, request, CHANGE_TIMEOUT_S)
                except RpcError:
                    self._metrics.counters[failure_counter] += 1
                    continue
                if reply.is_joined or reply.reason:
                    return reply
            await anyio.sleep(CHANGE_RETRY_INTERVAL_S)

    async def _heartbeat_forever(self) -> None:
        while True:
            if self._is_join_logged:
                self._send_heartbeat()
            await anyio.sleep(HEARTBEAT_INTERVAL_S)

    @property
    def _is_join_logged(self) -> bool:
        """Return whether control has logged the join of this incarnation."""
        return self._joined_at < float("inf")

    def _send_heartbeat(self) -> None:
        now = clock.seconds()
        if now > self._switch_at:
            self._switch_to_next_control(now)
        address = self._address_book.datagram_address(self.leader_id)
        if address is None:
            return
        heartbeat = Heartbeat(self._instance_id, self.boot_id, self._store.version, sent_at=now)
        if self._build_heartbeat is not None:
            heartbeat = self._build_heartbeat(heartbeat)
        datagram = encode_datagram(heartbeat)
        self._metrics.counters["control_bytes_sent"] += len(datagram)
        self._endpoint.send(datagram, address)

    def _switch_to_next_control(self, now: float) -> None:
        """Switch to the next control instance; it has one heartbeat interval to ack."""
        if self._control_lost_at == float("inf"):
            self._control_lost_at = self.acknowledged_at
            silent_s = round(now - self.acknowledged_at, 1)
            self._emit(events.ControlLost(self.leader_id, silent_s))
        ids = self._address_book.control_ids
        position = ids.index(self.leader_id) if self.leader_id in ids else -1
        self.leader_id = ids[(position + 1) % len(ids)]
        if position + 1 == len(ids):
            self._address_book.reload_seeds()
        self._switch_at = now + HEARTBEAT_INTERVAL_S

    def on_ack(self, message: HeartbeatAck) -> None:
        """Process the acknowledgement of a heartbeat.

        A follower's redirects this node to the leader. The leader's renews the lease, or makes this
        node rejoin if control has removed it.
        """
        self.record_peer_version(message.sender, message.version)
        if message.leader_id != message.sender:
            self._switch_to_leader(message.leader_id)
            return
        self.leader_id = message.leader_id
        self.acknowledged_at = clock.seconds()
        self._switch_at = self.acknowledged_at + ACK_TIMEOUT_S
        self._version_confirmed_at = max(self._version_confirmed_at, message.sent_at)
        if self._control_lost_at < float("inf"):
            silent_s = round(self.acknowledged_at - self._control_lost_at, 1)
            self._emit(events.ControlFound(self.leader_id, silent_s))
            self._control_lost_at = float("inf")
        if message.is_member:
            if message.lease_s > 0 and message.boot_id == self.boot_id:
                self._lease.renew(message.sent_at, message.lease_s)
        elif message.sent_at > self._joined_at and message.boot_id == self.boot_id:
            self._must_rejoin.set()

    async def _rejoin_forever(self) -> None:
        while True:
            await self._must_rejoin.wait()
            self._joined_at = float("inf")
            self._must_rejoin = anyio.Event()
            self.boot_id = generate_boot_id()
            self._metrics.counters["rejoins"] += 1
            logger.warning("removed by control; rejoining as incarnation {}", self.boot_id)
            if self._on_rejoin is not None:
                self._on_rejoin(self.boot_id)
            await self._join()

    def _switch_to_leader(self, leader_id: str) -> None:
        """Switch to the leader that a follower reported; it has two heartbeat intervals to ack."""
        if not leader_id or leader_id == self.leader_id:
            return
        if self._address_book.datagram_address(leader_id) is None:
            return
        self.leader_id = leader_id
        self._switch_at = clock.seconds() + 2 * HEARTBEAT_INTERVAL_S
        self._send_heartbeat()

    def on_version_hint(self, message: VersionHint) -> None:
        """Apply the entries of a hint, and pull those that this node lacks."""
        if message.compressed_entries and message.version > self._store.version:
            entries = decompress_entries(message.compressed_entries)
            if entries is None:
                self._metrics.counters["hints_malformed"] += 1
            elif self._store.apply_pull(PullReply(entries=entries)):
                self._metrics.counters["hints_applied"] += 1
        self.record_peer_version(message.sender, message.version)

    def record_peer_version(self, peer_id: str, version: int) -> None:
        """Record a peer's configuration version; pull it if it is newer than this node's."""
        if version > self._store.version:
            self._versions_by_peer_id[peer_id] = version
            self._newer_version_known.set()

    async def _pull_forever(self) -> None:
        while True:
            await self._newer_version_known.wait()
            self._newer_version_known = anyio.Event()
            for peer_id, version in list(self._versions_by_peer_id.items()):
                if version <= self._store.version or not await self._pull_sparing_leader(peer_id):
                    del self._versions_by_peer_id[peer_id]
            if self._versions_by_peer_id:
                # The delay combines changes in quick succession into one pull.
                await anyio.sleep(PULL_RETRY_INTERVAL_S)
                self._newer_version_known.set()

    async def _pull_sparing_leader(self, peer_id: str) -> bool:
        """Pull from a random control instance, to spare the leader; if that fails, from the peer.

        A peer that is not a control instance is pulled from directly.
        """
        control_ids = self._address_book.control_ids
        if peer_id in control_ids:
            control_id = self._random.choice(control_ids)
            if control_id != peer_id and await self._pull_from(control_id):
                return True
        return await self._pull_from(peer_id)

    async def _pull_from(self, peer_id: str) -> bool:
        try:
            request = PullRequest(self._store.version, accepts_compressed=True)
            reply = await self._caller.call(peer_id, PULL, request, PULL_TIMEOUT_S)
        except RpcError:
            self._metrics.counters["pull_failures"] += 1
            return False
        self._metrics.counters["pulls"] += 1
        return self._store.apply_pull(reply)
