"""The control role: consensus, commands, membership, shares and bookings."""

from __future__ import annotations

import time
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING

import anyio
from loguru import logger

from wagtailkeel.roles.address_book import AddressBook
from wagtailkeel.roles.configuration_store import ConfigurationStore
from wagtailkeel.roles.control.leader_duties import LeaderDuties
from wagtailkeel.roles.control.node_statuses import list_nodes
from wagtailkeel.roles.control.pending_proposals import PendingProposals
from wagtailkeel.roles.control.raft_disk import RaftDisk
from wagtailkeel.roles.metrics import Metrics
from wagtailkeel.roles.process_dump import build_dump
from wagtailkeel_coordination.address_assignment import assign_addresses
from wagtailkeel_coordination.membership import is_current
from wagtailkeel_coordination.raft import RaftLog
from wagtailkeel_coordination.raft import RaftNode
from wagtailkeel_coordination.raft.formation import decide_formation
from wagtailkeel_protocol.codec import decode_datagram
from wagtailkeel_protocol.codec import encode_datagram
from wagtailkeel_protocol.malformed import Malformed
from wagtailkeel_protocol.messages import AnnounceReply
from wagtailkeel_protocol.messages import AnnounceRequest
from wagtailkeel_protocol.messages import CommandReply
from wagtailkeel_protocol.messages import CommandRequest
from wagtailkeel_protocol.messages import DumpReply
from wagtailkeel_protocol.messages import DumpRequest
from wagtailkeel_protocol.messages import Heartbeat
from wagtailkeel_protocol.messages import HeartbeatAck
from wagtailkeel_protocol.messages import PullReply
from wagtailkeel_protocol.messages import PullRequest
from wagtailkeel_protocol.messages import StatusReply
from wagtailkeel_protocol.messages import StatusRequest
from wagtailkeel_protocol.messages import StopRequest
from wagtailkeel_protocol.messages import VersionHint
from wagtailkeel_protocol.raft_messages import FormationReply
from wagtailkeel_protocol.raft_messages import FormationRequest
from wagtailkeel_state.commands import CommandAnswer
from wagtailkeel_state.commands import JoinBalancer
from wagtailkeel_state.commands import JoinServer
from wagtailkeel_state.commands import StopAgent
from wagtailkeel_state.configuration import Configuration
from wagtailkeel_state.configuration_machine import apply_entry
from wagtailkeel_state.enums import AnswerStatus
from wagtailkeel_transport import DataFolder
from wagtailkeel_transport import LogStore
from wagtailkeel_transport import RpcClient
from wagtailkeel_transport import RpcError
from wagtailkeel_transport import RpcServer
from wagtailkeel_transport import UdpEndpoint
from wagtailkeel_transport.methods import ANNOUNCE
from wagtailkeel_transport.methods import COMMAND
from wagtailkeel_transport.methods import DUMP
from wagtailkeel_transport.methods import FORMATION
from wagtailkeel_transport.methods import PULL
from wagtailkeel_transport.methods import RAFT
from wagtailkeel_transport.methods import STATUS
from wagtailkeel_transport.methods import STOP_AGENT

if TYPE_CHECKING:
    from anyio.abc import TaskGroup
    from anyio.abc import TaskStatus

    from wagtailkeel.settings import ControlInstanceSettings
    from wagtailkeel.settings import ControlSettings
    from wagtailkeel.settings import Settings
    from wagtailkeel_protocol.raft_messages import RaftMessage
    from wagtailkeel_state.commands import AnyCommand
    from wagtailkeel_state.commands import LogEntry

TICK_INTERVAL_S = 0.05
DUTY_INTERVAL_S = 0.25
HINT_INTERVAL_S = 0.1
FORMATION_RETRY_S = 0.2
FORMATION_TIMEOUT_S = 1.0
RAFT_CALL_TIMEOUT_S = 1.0
COMMIT_TIMEOUT_S = 5.0


class Control:
    """Owns the data folder, the consensus node and the leader's duties."""

    def __init__(self, settings: Settings, section: ControlSettings) -> None:
        self.metrics = Metrics()
        self._settings = settings
        self._section = section
        self._instance_id = settings.instance.id
        self._own = self._find_own(settings)
        self._endpoint = UdpEndpoint(settings.instance.own_host, self._own.port)
        self._rpc_client = RpcClient(settings.instance.own_host)
        self._folder = DataFolder(Path(section.data_folder))
        self._disk = RaftDisk(self._open_log())
        self._store = ConfigurationStore()
        self._store.configuration = self._log_store.configuration
        self._address_book = AddressBook(settings.control_instances, self._store)
        self._pending = PendingProposals()
        self._raft = self._build_raft()
        self._duties = LeaderDuties.from_settings(section, self.metrics, time.monotonic())
        self._led_term = 0
        self._hinted_version = 0
        self._hinted_at = float("-inf")
        self._tasks: TaskGroup | None = None

    @classmethod
    def from_settings(cls, settings: Settings) -> Control:
        """Build the role; the data folder is locked and read here."""
        assert settings.control is not None, "the caller checks for the section"
        return cls(settings, settings.control)

    @staticmethod
    def _find_own(settings: Settings) -> ControlInstanceSettings:
        own_id = settings.instance.id
        return next(found for found in settings.control_instances if found.id == own_id)

    def _open_log(self) -> LogStore:
        self._log_store = LogStore(self._folder)
        if self._log_store.cut_bytes:
            logger.warning(
                "cut {} bytes of an unfinished write from the log's end", self._log_store.cut_bytes
            )
        return self._log_store

    def _build_raft(self) -> RaftNode:
        configuration = self._log_store.configuration
        log = RaftLog(configuration.index, configuration.term, self._log_store.entries)
        return RaftNode(
            self._instance_id,
            self._folder.identity,
            self._address_book.control_ids,
            self._log_store.vote,
            log,
            configuration,
            self._disk,
            self._send_raft,
            self._apply,
            self._replace,
            Random(),
            time.monotonic(),
        )

    async def run(self, *, task_status: TaskStatus[None]) -> None:
        """Serve until cancelled."""
        server = RpcServer(
            {
                ANNOUNCE: self._announce,
                STOP_AGENT: self._stop_agent,
                COMMAND: self._command,
                PULL: self._answer_pull,
                STATUS: self._status,
                DUMP: self._dump,
                FORMATION: self._answer_formation,
                RAFT: self._on_raft_request,
            }
        )
        await server.start(self._settings.instance.own_host, self._own.rpc_port)
        try:
            async with anyio.create_task_group() as tasks:
                self._tasks = tasks
                tasks.start_soon(self._endpoint.receive, self._on_datagram)
                task_status.started()
                await self._form()
                tasks.start_soon(self._tick_forever)
                tasks.start_soon(self._lead_forever)
        finally:
            self._endpoint.close()
            self._rpc_client.close()
            with anyio.CancelScope(shield=True):
                await server.close()
            self._folder.close()

    async def stop(self) -> None:
        """All that was answered is durable already."""

    # Forming the cluster

    async def _form(self) -> None:
        while not self._raft.voters_by_id:
            replies = await self._ask_formation()
            expected = self._address_book.control_ids
            voters = decide_formation(self._instance_id, self._folder.identity, expected, replies)
            if voters is not None and not self._raft.voters_by_id:
                self._raft.form(voters)
                logger.info("formed a cluster of {}", ", ".join(sorted(voters)))
                return
            await anyio.sleep(FORMATION_RETRY_S)

    async def _ask_formation(self) -> list[FormationReply]:
        replies: list[FormationReply] = []

        async def ask(control_id: str) -> None:
            address = self._address_book.rpc_address(control_id)
            assert address is not None, "control instances are in the settings"
            request = FormationRequest(self._instance_id, self._folder.identity)
            try:
                replies.append(
                    await self._rpc_client.call(address, FORMATION, request, FORMATION_TIMEOUT_S)
                )
            except RpcError:
                self.metrics.counters["formation_failures"] += 1

        async with anyio.create_task_group() as tasks:
            for control_id in self._address_book.control_ids:
                if control_id != self._instance_id:
                    tasks.start_soon(ask, control_id)
        return replies

    async def _answer_formation(self, request: FormationRequest) -> FormationReply:
        return FormationReply(
            self._instance_id, self._folder.identity, dict(self._raft.voters_by_id)
        )

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
        self._raft.on_reply(reply, time.monotonic())

    async def _on_raft_request(self, request: RaftMessage) -> RaftMessage:
        return self._raft.on_request(request, time.monotonic())

    def _apply(self, entry: LogEntry) -> CommandAnswer:
        self._store.retain(entry)
        answer = apply_entry(self._store.configuration, entry)
        self._pending.resolve(entry, answer)
        self.metrics.counters["entries_applied"] += 1
        return answer

    def _replace(self, configuration: Configuration) -> None:
        self._store.replace(configuration)
        self.metrics.counters["snapshots_installed"] += 1

    async def _tick_forever(self) -> None:
        while True:
            self._raft.tick(time.monotonic())
            if self._raft.has_failed and self._disk.last_error:
                logger.error("stepped down for good: {}", self._disk.last_error)
                self._disk.last_error = ""
            self._send_hints()
            await anyio.sleep(TICK_INTERVAL_S)

    def _send_hints(self) -> None:
        version, now = self._store.version, time.monotonic()
        if version == self._hinted_version or not self._raft.is_leader:
            return
        if now - self._hinted_at < HINT_INTERVAL_S:
            return
        self._hinted_version, self._hinted_at = version, now
        datagram = encode_datagram(VersionHint(self._instance_id, version))
        config = self._store.configuration
        for node_id in [*config.servers_by_id, *config.balancers_by_id]:
            address = self._address_book.datagram_address(node_id)
            if address is not None:
                self._endpoint.send(datagram, address)
                self.metrics.counters["control_bytes_sent"] += len(datagram)

    async def _propose(self, request: CommandRequest) -> CommandAnswer | None:
        """Return the committed answer; None when not the leader; UNKNOWN when no commit is seen."""
        if not self._raft.is_leader:
            return None
        earlier = self._store.configuration.answers_by_command_id.get(request.command_id)
        if earlier is not None and request.command_id:
            return earlier
        command = assign_addresses(request.command, self._store.configuration, self._section.pools)
        index = self._raft.log.last_index + 1
        # A single voter commits within propose, so the waiting entry must be there before.
        pending = self._pending.add(index, self._raft.term)
        proposed = self._raft.propose(
            command, request.command_id, request.author, request.expected_version
        )
        if proposed is None:
            self._pending.forget(index)
            return None
        self._raft.flush(time.monotonic())
        with anyio.move_on_after(COMMIT_TIMEOUT_S):
            await pending.done.wait()
        self._pending.forget(index)
        if pending.answer is not None:
            return pending.answer
        return CommandAnswer(
            AnswerStatus.UNKNOWN, "no quorum confirmed the command; send it again with its id"
        )

    def _propose_duty(self, command: AnyCommand) -> None:
        if self._raft.propose(command, author="control") is not None:
            self._raft.flush(time.monotonic())

    # Leader's duties

    async def _lead_forever(self) -> None:
        while True:
            await anyio.sleep(DUTY_INTERVAL_S)
            now = time.monotonic()
            if not self._raft.has_read_lease(now):
                continue
            if self._led_term != self._raft.term:
                self._led_term = self._raft.term
                self._duties.start_term(now)
                logger.info("leading term {}", self._raft.term)
            if self._raft.commit_index == self._raft.log.last_index:
                for command in self._duties.find_due(self._store.configuration, now, time.time()):
                    self._propose_duty(command)
            self._raft.admit_learners(now)

    # Messages of nodes

    def _on_datagram(self, datagram: bytes) -> None:
        message = decode_datagram(datagram)
        if isinstance(message, Malformed):
            self.metrics.counters[f"dropped_{message.value}"] += 1
            return
        self.metrics.counters["control_bytes_received"] += len(datagram)
        if isinstance(message, Heartbeat):
            self._on_heartbeat(message)
        else:
            self.metrics.counters["dropped_unexpected_message"] += 1

    def _on_heartbeat(self, message: Heartbeat) -> None:
        now = time.monotonic()
        config = self._store.configuration
        is_leader = self._raft.has_read_lease(now)
        lease_s = self._duties.membership.on_heartbeat(message, config, now) if is_leader else 0.0
        ack = HeartbeatAck(
            self._instance_id,
            config.index,
            lease_s,
            self._instance_id if is_leader else self._raft.leader_id,
            is_current(message, config),
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
            return AnnounceReply(False, reason="the announcement names no member")
        return await self._join(command, command_id)

    async def _stop_agent(self, request: StopRequest) -> AnnounceReply:
        command = StopAgent(server_id=request.server_id, boot_id=request.boot_id)
        return await self._join(command, f"stop/{request.server_id}/{request.boot_id}")

    async def _join(self, command: AnyCommand, command_id: str) -> AnnounceReply:
        answer = await self._propose(CommandRequest(command, command_id, "node"))
        if answer is None:
            return AnnounceReply(False, leader_id=self._raft.leader_id)
        if not answer.is_accepted:
            return AnnounceReply(False, answer.index, self._raft.leader_id, answer.reason)
        return AnnounceReply(True, answer.index, self._instance_id)

    # Operators

    async def _command(self, request: CommandRequest) -> CommandReply:
        answer = await self._propose(request)
        return CommandReply(answer, self._raft.leader_id)

    async def _answer_pull(self, request: PullRequest) -> PullReply:
        return self._store.answer_pull(request.since)

    async def _status(self, request: StatusRequest) -> StatusReply:
        now = time.monotonic()
        return StatusReply(
            self._store.version,
            self._raft.leader_id,
            self._raft.has_read_lease(now),
            list_nodes(self._store.configuration, self._duties.membership, now),
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
                "version": self._store.version,
                "commit_index": raft.commit_index,
                "last_index": raft.log.last_index,
                "base_index": raft.log.base_index,
                "has_failed": raft.has_failed,
                "mass_silence_events": self._duties.membership.mass_silence_events,
                "metrics": self.metrics.dump(),
            }
        )
