"""The control role: consensus, commands, membership, shares and bookings."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

import anyio

from wagtailkeel.roles.address_book import AddressBook
from wagtailkeel.roles.configuration_store import ConfigurationStore
from wagtailkeel.roles.control.cluster_formation import ClusterFormation
from wagtailkeel.roles.control.consensus import Consensus
from wagtailkeel.roles.control.departure import Departure
from wagtailkeel.roles.control.duty_loop import DutyLoop
from wagtailkeel.roles.control.heartbeat_acks import HeartbeatAcks
from wagtailkeel.roles.control.leader_duties import LeaderDuties
from wagtailkeel.roles.control.member_changes import MemberChanges
from wagtailkeel.roles.control.operator_state import OperatorState
from wagtailkeel.roles.control.state_queries import StateQueries
from wagtailkeel.roles.control.version_hints import VersionHints
from wagtailkeel.roles.control_datagrams import ControlDatagrams
from wagtailkeel.roles.datagram_call_server import DatagramCallServer
from wagtailkeel.roles.metrics import Metrics
from wagtailkeel.settings import ControlInstanceSettings
from wagtailkeel_coordination import events
from wagtailkeel_protocol.codec import decode_datagram
from wagtailkeel_protocol.malformed import Malformed
from wagtailkeel_protocol.messages import CallPartsRequest
from wagtailkeel_protocol.messages import CallRequest
from wagtailkeel_protocol.messages import CommandReply
from wagtailkeel_protocol.messages import Heartbeat
from wagtailkeel_transport import UdpEndpoint
from wagtailkeel_transport import clock
from wagtailkeel_transport.log import logger
from wagtailkeel_transport.methods import COMMAND
from wagtailkeel_transport.methods import CONTROL_JOIN
from wagtailkeel_transport.methods import DUMP
from wagtailkeel_transport.methods import FORMATION
from wagtailkeel_transport.methods import PULL
from wagtailkeel_transport.methods import RAFT
from wagtailkeel_transport.methods import STATUS
from wagtailkeel_transport.methods import VOTE_HANDOVER
from wagtailkeel_transport.rpc import RpcClient
from wagtailkeel_transport.rpc import RpcServer
from wagtailkeel_transport.storage import DataFolder
from wagtailkeel_transport.storage import LogStore

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.abc import TaskGroup
    from anyio.abc import TaskStatus

    from wagtailkeel.settings import ControlSettings
    from wagtailkeel.settings import Settings
    from wagtailkeel_coordination.events import EventSink
    from wagtailkeel_protocol.messages import CommandRequest
    from wagtailkeel_transport.rpc_method import RpcHandlers

TICK_INTERVAL_S = 0.05


class Control:
    """Owns the data folder, the sockets and the parts of the role that use them."""

    def __init__(
        self,
        settings: Settings,
        section: ControlSettings,
        read_seeds: Callable[[], list[str]] | None = None,
        event_sink: EventSink = events.UNLOGGED,
    ) -> None:
        self.metrics = Metrics()
        counters = self.metrics.counters
        self._settings = settings
        instance_id = settings.instance.id
        self._own_instance = _find_own_instance(settings)
        self._endpoint = UdpEndpoint(settings.instance.listen_host, self._own_instance.port)
        self._rpc_client = RpcClient(settings.instance.listen_host)
        self._folder = DataFolder(Path(section.data_folder))
        log_store = _open_log(self._folder)
        store = ConfigurationStore()
        address_book = AddressBook.from_settings(settings, store, read_seeds)
        self._consensus = Consensus(
            instance_id,
            self._folder.identity,
            settings.discovery,
            section.pools,
            log_store,
            store,
            address_book,
            self._rpc_client,
            counters,
            event_sink,
        )
        self._raft = self._consensus.raft
        duties = LeaderDuties.from_settings(section, self.metrics, clock.seconds())
        self._duty_loop = DutyLoop(duties, self._consensus, store)
        self._formation = ClusterFormation(
            instance_id,
            self._folder.identity,
            settings.discovery,
            self._raft,
            address_book,
            self._rpc_client,
            counters,
        )
        self._departure = Departure(
            instance_id,
            self._folder.identity,
            self._raft,
            address_book,
            self._rpc_client,
            counters,
            event_sink,
        )
        self.operator_state = OperatorState(
            self._raft, store, self._consensus.proposer.propose, event_sink
        )
        datagrams = ControlDatagrams(address_book, self._endpoint, counters)
        self._version_hints = VersionHints(instance_id, self._raft, store, datagrams)
        self._heartbeat_acks = HeartbeatAcks(
            instance_id, self._raft, duties, store, datagrams, counters
        )
        self._queries = StateQueries(
            instance_id, self._folder.identity, self._raft, duties, store, self.metrics
        )
        self._tasks: TaskGroup | None = None
        self._server: RpcServer | None = None
        self._node_handlers: RpcHandlers = {
            **MemberChanges(instance_id, self._consensus).handlers,
            PULL: store.handle_pull,
        }
        self._call_server = DatagramCallServer(self._node_handlers, self._endpoint.send, counters)

    @classmethod
    def from_settings(
        cls,
        settings: Settings,
        read_seeds: Callable[[], list[str]] | None = None,
        event_sink: EventSink = events.UNLOGGED,
    ) -> Control:
        """Build the role, which locks and reads the data folder."""
        assert settings.control is not None, "the caller checks for the section"
        return cls(settings, settings.control, read_seeds, event_sink)

    @property
    def leader_id(self) -> str:
        """Instance id of the leader known to this instance, or empty if there is none."""
        return self._raft.leader_id

    @property
    def is_leader(self) -> bool:
        """Return whether this instance considers itself the leader."""
        return self._raft.is_leader

    async def run(self, *, task_status: TaskStatus[None]) -> None:
        """Serve until cancelled."""
        self._server = server = RpcServer(
            {
                **self._node_handlers,
                COMMAND: self._command,
                STATUS: self._queries.on_status_request,
                DUMP: self._queries.on_dump_request,
                FORMATION: self._formation.on_formation_request,
                CONTROL_JOIN: self._formation.on_join_request,
                VOTE_HANDOVER: self._departure.on_request,
                RAFT: self._consensus.on_request,
            }
        )
        await server.start(self._settings.instance.listen_host, self._own_instance.rpc_port)
        try:
            async with anyio.create_task_group() as tasks:
                self._tasks = tasks
                self._consensus.start_calls_in(tasks)
                tasks.start_soon(self._endpoint.receive_from, self._on_datagram)
                task_status.started()
                tasks.start_soon(self._tick_forever)
                tasks.start_soon(self._duty_loop.run)
                if self._settings.discovery is not None:
                    tasks.start_soon(self._formation.join_as_learner_forever)
                if self._formation.may_form:
                    await self._formation.form()
        finally:
            self._endpoint.close()
            self._rpc_client.close()
            with anyio.CancelScope(shield=True):
                await server.close()
            self._folder.close()

    async def stop(self) -> None:
        """Hand over the vote, if another instance can replace this one.

        Everything that was acknowledged is durable already.
        """
        self._formation.may_join = False
        await self._departure.hand_over_vote()

    async def drain(self) -> None:
        """Wait for the answers to the calls in progress, such as commands about to be committed."""
        if self._server is not None:
            await self._server.drain()

    async def _tick_forever(self) -> None:
        while True:
            self._consensus.tick()
            self._version_hints.send_if_due()
            await anyio.sleep(TICK_INTERVAL_S)

    def _on_datagram(self, datagram: bytes, source: tuple[str, int]) -> None:
        message = decode_datagram(datagram)
        if isinstance(message, Malformed):
            self.metrics.counters[f"dropped_{message.value}"] += 1
            return
        self.metrics.counters["control_bytes_received"] += len(datagram)
        if isinstance(message, Heartbeat):
            self._heartbeat_acks.on_heartbeat(message)
        elif isinstance(message, CallRequest) and self._tasks is not None:
            self._call_server.on_request(message, source, self._tasks)
        elif isinstance(message, CallPartsRequest):
            self._call_server.on_parts_request(message, source)
        else:
            self.metrics.counters["dropped_unexpected_message"] += 1

    async def _command(self, request: CommandRequest) -> CommandReply:
        answer = await self.operator_state.execute(request)
        return CommandReply(answer, self._raft.leader_id)


def _find_own_instance(settings: Settings) -> ControlInstanceSettings:
    own_id = settings.instance.id
    discovery = settings.discovery
    if discovery is not None:
        host = settings.instance.host
        return ControlInstanceSettings(
            id=own_id, host=host, port=discovery.port, rpc_port=discovery.rpc_port
        )
    return next(
        control_instance
        for control_instance in settings.control_instances
        if control_instance.id == own_id
    )


def _open_log(folder: DataFolder) -> LogStore:
    log_store = LogStore(folder)
    if log_store.truncated_bytes:
        logger.warning(
            "truncated {} bytes of an incomplete write at the end of the log",
            log_store.truncated_bytes,
        )
    return log_store
