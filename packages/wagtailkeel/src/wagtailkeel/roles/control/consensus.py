"""The consensus node of a control instance: its log on disk, its peers and the applied entries."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import anyio

from wagtailkeel.roles.control.proposer import Proposer
from wagtailkeel.roles.control.raft_disk import RaftDisk
from wagtailkeel.roles.control.raft_events import RaftEvents
from wagtailkeel_coordination import events
from wagtailkeel_coordination.raft import RaftLog
from wagtailkeel_coordination.raft import RaftNode
from wagtailkeel_coordination.raft.voter_changes import UNLIMITED_VOTERS
from wagtailkeel_state.configuration_machine import apply_entry
from wagtailkeel_transport import RpcError
from wagtailkeel_transport import clock
from wagtailkeel_transport.log import logger
from wagtailkeel_transport.methods import RAFT

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from wagtailkeel.roles.address_book import AddressBook
    from wagtailkeel.roles.configuration_store import ConfigurationStore
    from wagtailkeel.settings import DiscoverySettings
    from wagtailkeel_coordination.counters import Counters
    from wagtailkeel_coordination.events import EventSink
    from wagtailkeel_protocol.raft_messages import RaftMessage
    from wagtailkeel_state.address_pool import AddressPool
    from wagtailkeel_state.commands import CommandAnswer
    from wagtailkeel_state.commands import LogEntry
    from wagtailkeel_state.configuration import Configuration
    from wagtailkeel_transport.rpc import RpcClient
    from wagtailkeel_transport.storage import LogStore

RAFT_CALL_TIMEOUT_S = 1.0
LEADER_WAIT_TIMEOUT_S = 1.0
"""How long the request of a joining node waits for an election to end."""


class Consensus:
    """Connects the consensus node with disk, peers and configuration; ``proposer`` appends to it.

    The configuration in ``store`` becomes the one that the log store was opened with.
    """

    def __init__(
        self,
        instance_id: str,
        identity: str,
        discovery: DiscoverySettings | None,
        pools: list[AddressPool],
        log_store: LogStore,
        store: ConfigurationStore,
        address_book: AddressBook,
        rpc_client: RpcClient,
        counters: Counters,
        event_sink: EventSink,
    ) -> None:
        self._store = store
        self._address_book = address_book
        self._rpc_client = rpc_client
        self._counters = counters
        self._emit = event_sink.emit
        self._disk = RaftDisk(log_store)
        self._tasks: TaskGroup | None = None
        self._leader_changed = anyio.Event()
        configuration = store.configuration = log_store.configuration
        self.raft = RaftNode(
            instance_id,
            identity,
            [] if discovery else address_book.control_ids,
            log_store.vote,
            RaftLog(configuration.index, configuration.term, log_store.entries),
            configuration,
            self._disk,
            self._send,
            self._apply,
            self._replace_configuration,
            Random(),
            clock.seconds(),
            discovery.voters if discovery else UNLIMITED_VOTERS,
        )
        self.proposer = Proposer(self.raft, store, pools)
        self._events = RaftEvents(self.raft, event_sink)

    def start_calls_in(self, tasks: TaskGroup) -> None:
        """Make calls to other instances in a task group; nothing is sent before this."""
        self._tasks = tasks

    def tick(self) -> None:
        """Let timers expire, and report a failed disk and changes of leader or voters."""
        self.raft.tick(clock.seconds())
        if self.raft.has_storage_failed and self._disk.last_error:
            logger.error(
                "this instance neither leads nor votes until its disk works again: {}",
                self._disk.last_error,
            )
            self._emit(events.StorageFailed(self._disk.last_error))
            self._disk.last_error = ""
        self._emit_changes()

    async def on_request(self, request: RaftMessage) -> RaftMessage:
        """Answer a message of another instance."""
        reply = self.raft.on_request(request, clock.seconds())
        self._emit_changes()
        return reply

    async def wait_for_leader(self) -> None:
        """Wait for an election to end, so that nodes can join right after it."""
        with anyio.move_on_after(LEADER_WAIT_TIMEOUT_S):
            while not self.raft.leader_id:
                await self._leader_changed.wait()

    def _send(self, peer: str, message: RaftMessage) -> None:
        if self._tasks is not None:
            self._tasks.start_soon(self._call, peer, message)

    async def _call(self, peer: str, message: RaftMessage) -> None:
        address = self._address_book.rpc_address(peer)
        if address is None:
            return
        self._counters["raft_requests"] += 1
        try:
            reply = await self._rpc_client.call(address, RAFT, message, RAFT_CALL_TIMEOUT_S)
        except RpcError:
            self._counters["raft_failures"] += 1
            return
        self.raft.on_reply(reply, clock.seconds())
        self._emit_changes()

    def _apply(self, entry: LogEntry) -> CommandAnswer:
        self._store.retain_entry(entry)
        answer = apply_entry(self._store.configuration, entry)
        self.proposer.on_applied(entry, answer)
        self._counters["entries_applied"] += 1
        return answer

    def _replace_configuration(self, configuration: Configuration) -> None:
        self._store.replace(configuration)
        self._counters["snapshots_installed"] += 1

    def _emit_changes(self) -> None:
        if self._events.emit_changes():
            self._leader_changed.set()
            self._leader_changed = anyio.Event()
