"""The membership of a node: it joins, sends heartbeats, and joins again if it was removed."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from wagtailkeel.roles.control_datagrams import ControlDatagrams
from wagtailkeel.roles.node_link.boot_id import generate_boot_id
from wagtailkeel.roles.node_link.change_requests import ChangeRequests
from wagtailkeel.roles.node_link.current_leader import HEARTBEAT_INTERVAL_S
from wagtailkeel.roles.node_link.current_leader import CurrentLeader
from wagtailkeel.roles.node_link.version_pulls import VersionPulls
from wagtailkeel_coordination import events
from wagtailkeel_coordination.lease import PlacementLease
from wagtailkeel_protocol.codec import encode_datagram
from wagtailkeel_protocol.messages import AnnounceReply
from wagtailkeel_protocol.messages import AnnounceRequest
from wagtailkeel_protocol.messages import Heartbeat
from wagtailkeel_protocol.messages import HeartbeatAck
from wagtailkeel_transport import RpcError
from wagtailkeel_transport import clock
from wagtailkeel_transport.log import logger
from wagtailkeel_transport.methods import ANNOUNCE

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

ANNOUNCE_RETRY_INTERVAL_S = 0.3
ANNOUNCE_TIMEOUT_S = 3.0
VERSION_POLL_INTERVAL_S = 0.02
CONFIRMATION_RETRY_INTERVAL_S = 0.05


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
        self.is_joined = anyio.Event()
        self._may_join = may_join
        self._instance_id = instance_id
        self._address_book = address_book
        self._store = store
        self._caller = caller
        self._build_announcement = build_announcement
        self._build_heartbeat = build_heartbeat
        self._on_rejoin = on_rejoin
        self._lease = lease or PlacementLease()
        self._metrics = metrics
        self._emit = event_sink.emit
        self._has_event_log = event_sink is not events.UNLOGGED
        self._version_confirmed_at = float("-inf")
        self._confirmation_requested_at = float("-inf")
        self._joined_at = float("inf")
        self._must_rejoin = anyio.Event()
        counters = metrics.counters
        self._datagrams = ControlDatagrams(address_book, endpoint, counters)
        self._leader = CurrentLeader(address_book, event_sink)
        self._pulls = VersionPulls(address_book, store, caller, counters)
        self._changes = ChangeRequests(instance_id, self._leader, address_book, caller, counters)

    @property
    def leader_id(self) -> str:
        """Instance id of the control instance that heartbeats are sent to."""
        return self._leader.instance_id

    @property
    def acknowledged_at(self) -> float:
        """When a leader last acknowledged a heartbeat; at first, when this object was built."""
        return self._leader.acknowledged_at

    @property
    def has_newer_version(self) -> bool:
        """Return whether a version newer than this node's is known to exist."""
        return self._pulls.has_newer_version

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
            tasks.start_soon(self._pulls.run)
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
            await self._pulls.pull_from(control_id)
            if self._may_join is not None:
                await self._may_join.wait()
            reply = await self._announce_to(control_id)
            if reply is None or not reply.is_joined:
                leader_hint = reply.leader_id if reply and reply.leader_id != control_id else ""
                if reply is not None and reply.reason:
                    logger.error("control rejected the join: {}", reply.reason)
                await anyio.sleep(0.0 if leader_hint else ANNOUNCE_RETRY_INTERVAL_S)
                continue
            self._leader.instance_id = control_id
            self._joined_at = clock.seconds()
            await self._wait_for_version(control_id, reply.index)
            if not self._has_event_log:
                logger.info("joined as incarnation {} at index {}", self.boot_id, reply.index)
            self._emit(events.NodeJoined(self.boot_id, reply.index))
            self.is_joined.set()
            return

    async def _wait_for_version(self, control_id: str, version: int) -> None:
        """Pull until this node has the version of its join; it must not serve with an older one."""
        while self._store.version < version:
            if not await self._pulls.pull_from(control_id):
                self.record_peer_version(control_id, version)
                await anyio.sleep(VERSION_POLL_INTERVAL_S)

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
        await self._changes.leave(self.boot_id)

    async def record_server(self, number: int, record: ServerRecord) -> bool:
        """Let control record what this agent acknowledges; repeat this until control answers.

        Wait until the agent has joined; return whether control has recorded it.
        """
        await self.is_joined.wait()
        return await self._changes.record_server(self.boot_id, number, record)

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
        self._leader.switch_if_silent(now)
        heartbeat = Heartbeat(self._instance_id, self.boot_id, self._store.version, sent_at=now)
        if self._build_heartbeat is not None:
            heartbeat = self._build_heartbeat(heartbeat)
        self._datagrams.send(self.leader_id, encode_datagram(heartbeat))

    def on_ack(self, message: HeartbeatAck) -> None:
        """Process the acknowledgement of a heartbeat.

        A follower's redirects this node to the leader. The leader's renews the lease, or makes this
        node rejoin if control has removed it.
        """
        self.record_peer_version(message.sender, message.version)
        if message.leader_id != message.sender:
            if self._leader.switch_to(message.leader_id):
                self._send_heartbeat()
            return
        self._leader.on_ack(message.leader_id)
        self._version_confirmed_at = max(self._version_confirmed_at, message.sent_at)
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

    def on_version_hint(self, message: VersionHint) -> None:
        """Apply the entries of a hint, and pull those that this node lacks."""
        self._pulls.on_version_hint(message)

    def record_peer_version(self, peer_id: str, version: int) -> None:
        """Record a peer's configuration version; pull it if it is newer than this node's."""
        self._pulls.record_peer_version(peer_id, version)
