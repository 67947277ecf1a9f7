"""The control role: consensus, commands, membership, shares and bookings."""

from __future__ import annotations

import time
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING

import anyio

from wagtailkeel.roles.address_book import AddressBook
from wagtailkeel.roles.configuration_store import ConfigurationStore
from wagtailkeel.roles.control.cluster_formation import ClusterFormation
from wagtailkeel.roles.control.departure import Departure
from wagtailkeel.roles.control.leader_duties import LeaderDuties
from wagtailkeel.roles.control.node_statuses import list_node_statuses
from wagtailkeel.roles.control.operator_state import OperatorState
from wagtailkeel.roles.control.proposer import Proposer
from wagtailkeel.roles.control.raft_disk import RaftDisk
from wagtailkeel.roles.control.raft_events import RaftEvents
from wagtailkeel.roles.datagram_call_server import DatagramCallServer
from wagtailkeel.roles.metrics import Metrics
from wagtailkeel.roles.process_dump import build_dump
from wagtailkeel.settings import ControlInstanceSettings
from wagtailkeel_coordination import events
from wagtailkeel_coordination.membership import is_current_incarnation
from wagtailkeel_coordination.raft import RaftLog
from wagtailkeel_coordination.raft import RaftNode
from wagtailkeel_coordination.raft.voter_changes import UNLIMITED_VOTERS
from wagtailkeel_protocol.codec import decode_datagram
from wagtailkeel_protocol.codec import encode_datagram
from wagtailkeel_protocol.malformed import Malformed
from wagtailkeel_protocol.messages import AnnounceReply
from wagtailkeel_protocol.messages import AnnounceRequest
from wagtailkeel_protocol.messages import CallPartsRequest
from wagtailkeel_protocol.messages import CallRequest
from wagtailkeel_protocol.messages import CommandReply
from wagtailkeel_protocol.messages import CommandRequest
from wagtailkeel_protocol.messages import DumpReply
from wagtailkeel_protocol.messages import DumpRequest
from wagtailkeel_protocol.messages import Heartbeat
from wagtailkeel_protocol.messages import HeartbeatAck
from wagtailkeel_protocol.messages import LeaveRequest
from wagtailkeel_protocol.messages import RecordServerRequest
from wagtailkeel_protocol.messages import StatusReply
from wagtailkeel_protocol.messages import StatusRequest
from wagtailkeel_protocol.messages import StopRequest
from wagtailkeel_protocol.version_hint import encode_version_hint
from wagtailkeel_state.commands import CommandAnswer
from wagtailkeel_state.commands import JoinBalancer
from wagtailkeel_state.commands import JoinServer
from wagtailkeel_state.commands import RecordServer
from wagtailkeel_state.commands import RemoveServer
from wagtailkeel_state.commands import StopAgent
from wagtailkeel_state.configuration import Configuration
from wagtailkeel_state.configuration_machine import apply_entry
from wagtailkeel_transport import RpcError
from wagtailkeel_transport import UdpEndpoint
from wagtailkeel_transport import clock
from wagtailkeel_transport.log import logger
from wagtailkeel_transport.methods import ANNOUNCE
from wagtailkeel_transport.methods import COMMAND
from wagtailkeel_transport.methods import CONTROL_JOIN
from wagtailkeel_transport.methods import DUMP
from wagtailkeel_transport.methods import FORMATION
from wagtailkeel_transport.methods import LEAVE
from wagtailkeel_transport.methods import PULL
from wagtailkeel_transport.methods import RAFT
from wagtailkeel_transport.methods import RECORD_SERVER
from wagtailkeel_transport.methods import STATUS
from wagtailkeel_transport.methods import STOP_AGENT
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
    from wagtailkeel_protocol.raft_messages import RaftMessage
    from wagtailkeel_state.commands import AnyCommand
    from wagtailkeel_state.commands import LogEntry
    from wagtailkeel_transport.rpc_method import RpcHandlers

TICK_INTERVAL_S = 0.05
DUTY_INTERVAL_S = 0.25
VERSION_HINT_INTERVAL_S = 0.1
RAFT_CALL_TIMEOUT_S = 1.0
LEADER_WAIT_TIMEOUT_S = 1.0
"""How long the request of a joining node waits for an election to end."""


class Control:
    """Owns the data folder, the consensus node and the leader's duties."""

    def __init__(
        self,
        settings: Settings,
        section: ControlSettings,
        read_seeds: Callable[[], list[str]] | None = None,
        event_sink: EventSink = events.UNLOGGED,
    ) -> None:
        self.metrics = Metrics()
        self._emit = event_sink.emit
        self._leader_changed = anyio.Event()
        self._settings = settings
        self._section = section
        self._instance_id = settings.instance.id
        self._own_instance = self._find_own_instance(settings)
        self._endpoint = UdpEndpoint(settings.instance.listen_host, self._own_instance.port)
        self._rpc_client = RpcClient(settings.instance.listen_host)
        self._folder = DataFolder(Path(section.data_folder))
        self._disk = RaftDisk(self._open_log())
        self._store = ConfigurationStore()
        self._store.configuration = self._log_store.configuration
        self._address_book = AddressBook.from_settings(settings, self._store, read_seeds)
        self._raft = self._build_raft()
        self._raft_events = RaftEvents(self._raft, event_sink)
        self._proposer = Proposer(self._raft, self._store, section.pools)
        self._duties = LeaderDuties.from_settings(section, self.metrics, clock.seconds())
        self._formation = ClusterFormation(
            self._instance_id,
            self._folder.identity,
            settings.discovery,
            self._raft,
            self._address_book,
            self._rpc_client,
            self.metrics.counters,
        )
        self._departure = Departure(
            self._instance_id,
            self._folder.identity,
            self._raft,
            self._address_book,
            self._rpc_client,
            self.metrics.counters,
            event_sink,
        )
        self.operator_state = OperatorState(
            self._raft, self._store, self._proposer.propose, event_sink
        )
        self._duties_term = 0
        self._hinted_version = 0
        self._hinted_at = float("-inf")
        self._tasks: TaskGroup | None = None
        self._server: RpcServer | None = None
        self._node_handlers: RpcHandlers = {
            ANNOUNCE: self._announce,
            STOP_AGENT: self._stop_agent,
            LEAVE: self._leave,
            RECORD_SERVER: self._record_server,
            PULL: self._store.handle_pull,
        }
        self._call_server = DatagramCallServer(
            self._node_handlers, self._endpoint.send, self.metrics.counters
        )

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

    @staticmethod
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

    def _open_log(self) -> LogStore:
        self._log_store = LogStore(self._folder)
        if self._log_store.truncated_bytes:
            logger.warning(
                "truncated {} bytes of an incomplete write at the end of the log",
                self._log_store.truncated_bytes,
            )
        return self._log_store

    def _build_raft(self) -> RaftNode:
        configuration = self._log_store.configuration
        log = RaftLog(configuration.index, configuration.term, self._log_store.entries)
        discovery = self._settings.discovery
        return RaftNode(
            self._instance_id,
            self._folder.identity,
            [] if discovery else self._address_book.control_ids,
            self._log_store.vote,
            log,
            configuration,
            self._disk,
            self._send_raft,
            self._apply,
            self._replace_configuration,
            Random(),
            clock.seconds(),
            discovery.voters if discovery else UNLIMITED_VOTERS,
        )

    async def run(self, *, task_status: TaskStatus[None]) -> None:
        """Serve until cancelled."""
        self._server = server = RpcServer(
            {
                **self._node_handlers,
                COMMAND: self._command,
                STATUS: self._status,
                DUMP: self._dump,
                FORMATION: self._formation.on_formation_request,
                CONTROL_JOIN: self._formation.on_join_request,
                VOTE_HANDOVER: self._departure.on_request,
                RAFT: self._on_raft_request,
            }
        )
        await server.start(self._settings.instance.listen_host, self._own_instance.rpc_port)
        try:
            async with anyio.create_task_group() as tasks:
                self._tasks = tasks
                tasks.start_soon(self._endpoint.receive_from, self._on_datagram)
                task_status.started()
                tasks.start_soon(self._tick_forever)
                tasks.start_soon(self._run_duties_forever)
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

    # Consensus

    def _send_raft(self, peer: str, message: RaftMessage) -> None:
        if self._tasks is not None:
            self._tasks.start_soon(self._call_raft, peer, message)

    async def _call_raft(self, peer: str, message: RaftMessage) -> None:
        address = self._address_book.rpc_address(peer)
        if address is None:
            return
        self.metrics.counters["raft_requests"] += 1
        try:
            reply = await self._rpc_client.call(address, RAFT, message, RAFT_CALL_TIMEOUT_S)
        except RpcError:
            self.metrics.counters["raft_failures"] += 1
            return
        self._raft.on_reply(reply, clock.seconds())
        self._emit_raft_changes()

    async def _on_raft_request(self, request: RaftMessage) -> RaftMessage:
        reply = self._raft.on_request(request, clock.seconds())
        self._emit_raft_changes()
        return reply

    def _apply(self, entry: LogEntry) -> CommandAnswer:
        self._store.retain_entry(entry)
        answer = apply_entry(self._store.configuration, entry)
        self._proposer.on_applied(entry, answer)
        self.metrics.counters["entries_applied"] += 1
        return answer

    def _replace_configuration(self, configuration: Configuration) -> None:
        self._store.replace(configuration)
        self.metrics.counters["snapshots_installed"] += 1

    async def _tick_forever(self) -> None:
        while True:
            self._raft.tick(clock.seconds())
            if self._raft.has_storage_failed and self._disk.last_error:
                logger.error(
                    "this instance neither leads nor votes until its disk works again: {}",
                    self._disk.last_error,
                )
                self._emit(events.StorageFailed(self._disk.last_error))
                self._disk.last_error = ""
            self._emit_raft_changes()
            self._send_version_hints()
            await anyio.sleep(TICK_INTERVAL_S)

    def _emit_raft_changes(self) -> None:
        if self._raft_events.emit_changes():
            self._leader_changed.set()
            self._leader_changed = anyio.Event()

    def _send_version_hints(self) -> None:
        version, now = self._store.version, clock.seconds()
        if version == self._hinted_version or not self._raft.is_leader:
            return
        if now - self._hinted_at < VERSION_HINT_INTERVAL_S:
            return
        entries = self._store.entries_after(self._hinted_version)
        self._hinted_version, self._hinted_at = version, now
        datagram = encode_version_hint(self._instance_id, version, entries)
        config = self._store.configuration
        for node_id in [*config.servers_by_id, *config.balancers_by_id]:
            address = self._address_book.datagram_address(node_id)
            if address is not None:
                self._endpoint.send(datagram, address)
                self.metrics.counters["control_bytes_sent"] += len(datagram)

    # Leader's duties

    async def _run_duties_forever(self) -> None:
        while True:
            await anyio.sleep(DUTY_INTERVAL_S)
            now = clock.seconds()
            if not self._raft.has_read_lease(now):
                continue
            if self._duties_term != self._raft.term:
                self._duties_term = self._raft.term
                self._duties.start_term(now)
                logger.info("became leader of term {}", self._raft.term)
            if self._raft.commit_index == self._raft.log.last_index:
                for command in self._duties.find_due_commands(
                    self._store.configuration, now, time.time()
                ):
                    self._proposer.propose_duty(command)

    # Messages from nodes

    def _on_datagram(self, datagram: bytes, source: tuple[str, int]) -> None:
        message = decode_datagram(datagram)
        if isinstance(message, Malformed):
            self.metrics.counters[f"dropped_{message.value}"] += 1
            return
        self.metrics.counters["control_bytes_received"] += len(datagram)
        if isinstance(message, Heartbeat):
            self._on_heartbeat(message)
        elif isinstance(message, CallRequest) and self._tasks is not None:
            self._call_server.on_request(message, source, self._tasks)
        elif isinstance(message, CallPartsRequest):
            self._call_server.on_parts_request(message, source)
        else:
            self.metrics.counters["dropped_unexpected_message"] += 1

    def _on_heartbeat(self, message: Heartbeat) -> None:
        now = clock.seconds()
        config = self._store.configuration
        is_leader = self._raft.has_read_lease(now)
        lease_s = self._duties.membership.on_heartbeat(message, config, now) if is_leader else 0.0
        ack = HeartbeatAck(
            self._instance_id,
            config.index,
            lease_s,
            self._instance_id if is_leader else self._raft.leader_id,
            is_current_incarnation(message, config),
            message.sent_at,
            message.boot_id,
        )
        address = self._address_book.datagram_address(message.sender)
        if address is None:
            return
        datagram = encode_datagram(ack)
        self.metrics.counters["heartbeats"] += 1
        self.metrics.counters["control_bytes_sent"] += len(datagram)
        self._endpoint.send(datagram, address)

    async def _announce(self, request: AnnounceRequest) -> AnnounceReply:
        if request.server is not None:
            command: AnyCommand = JoinServer(member=request.server)
            command_id = f"join/{request.server.server_id}/{request.server.boot_id}"
        elif request.balancer is not None:
            command = JoinBalancer(member=request.balancer)
            command_id = f"join/{request.balancer.instance_id}/{request.balancer.boot_id}"
        else:
            return AnnounceReply(False, reason="the announcement contains no member")
        return await self._propose_member_change(command, command_id)

    async def _stop_agent(self, request: StopRequest) -> AnnounceReply:
        command = StopAgent(server_id=request.server_id, boot_id=request.boot_id)
        return await self._propose_member_change(
            command, f"stop/{request.server_id}/{request.boot_id}"
        )

    async def _leave(self, request: LeaveRequest) -> AnnounceReply:
        command = RemoveServer(server_id=request.server_id, boot_id=request.boot_id, has_ended=True)
        return await self._propose_member_change(
            command, f"leave/{request.server_id}/{request.boot_id}"
        )

    async def _record_server(self, request: RecordServerRequest) -> AnnounceReply:
        command = RecordServer(
            agent_id=request.agent_id, boot_id=request.boot_id, record=request.record
        )
        return await self._propose_member_change(
            command, f"server/{request.agent_id}/{request.boot_id}/{request.number}"
        )

    async def _propose_member_change(self, command: AnyCommand, command_id: str) -> AnnounceReply:
        await self._wait_for_leader()
        answer = await self._proposer.propose(CommandRequest(command, command_id, "node"))
        if answer is None:
            return AnnounceReply(False, leader_id=self._raft.leader_id)
        if not answer.is_accepted:
            return AnnounceReply(False, answer.index, self._raft.leader_id, answer.reason)
        return AnnounceReply(True, answer.index, self._instance_id)

    async def _wait_for_leader(self) -> None:
        """Wait for an election to end, so that nodes can join right after it."""
        with anyio.move_on_after(LEADER_WAIT_TIMEOUT_S):
            while not self._raft.leader_id:
                await self._leader_changed.wait()

    # Queries from operator interfaces

    @property
    def leader_id(self) -> str:
        """Instance id of the leader known to this instance, or empty if there is none."""
        return self._raft.leader_id

    @property
    def is_leader(self) -> bool:
        """Return whether this instance considers itself the leader."""
        return self._raft.is_leader

    # RPC requests for commands, entries and state

    async def _command(self, request: CommandRequest) -> CommandReply:
        answer = await self.operator_state.execute(request)
        return CommandReply(answer, self._raft.leader_id)

    async def _status(self, request: StatusRequest) -> StatusReply:
        now = clock.seconds()
        return StatusReply(
            self._store.version,
            self._raft.leader_id,
            self._raft.has_read_lease(now),
            list_node_statuses(self._store.configuration, self._duties.membership, now),
            self._store.configuration,
        )

    async def _dump(self, request: DumpRequest) -> DumpReply:
        raft = self._raft
        return build_dump(
            {
                "role": "control",
                "instance": self._instance_id,
                "identity": self._folder.identity,
                "raft_role": raft.role.value,
                "term": raft.term,
                "leader": raft.leader_id,
                "is_voter": raft.is_voter,
                "voters": sorted(raft.voters_by_id),
                "learners": raft.learner_ids,
                "version": self._store.version,
                "commit_index": raft.commit_index,
                "last_index": raft.log.last_index,
                "base_index": raft.log.base_index,
                "has_failed": raft.has_storage_failed,
                "mass_silence_events": self._duties.membership.mass_silence_events,
                "metrics": self.metrics.dump(),
            }
        )
