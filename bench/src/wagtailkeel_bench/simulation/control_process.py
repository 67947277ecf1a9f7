"""One process of a control instance: the product's consensus, driven by virtual time."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING
from typing import Protocol

import msgspec

from wagtailkeel_coordination.raft import RaftNode
from wagtailkeel_coordination.raft.handover_wait import HandoverWait
from wagtailkeel_protocol.raft_messages import RaftMessage
from wagtailkeel_protocol.raft_messages import VoteHandover
from wagtailkeel_protocol.raft_messages import VoteReply
from wagtailkeel_protocol.raft_messages import VoteRequest
from wagtailkeel_state import CommandAnswer
from wagtailkeel_state import Configuration
from wagtailkeel_state import LogEntry
from wagtailkeel_state import apply_entry

if TYPE_CHECKING:
    from collections.abc import Callable

    from wagtailkeel_bench.event_scheduler import EventScheduler
    from wagtailkeel_bench.simulation.instance import Instance
    from wagtailkeel_bench.simulation.invariants import Invariants
    from wagtailkeel_state.commands import AnyCommand

TICK_INTERVAL_S = 0.05
JOIN_INTERVAL_S = 0.5
HANDOVER_INTERVAL_S = 0.1
CALL_TIMEOUT_S = 1.0


def copy_message(message: RaftMessage) -> RaftMessage:
    """Return a message as the receiver decodes it."""
    return msgspec.msgpack.decode(msgspec.msgpack.encode(message), type=RaftMessage)


class ProcessHost(Protocol):
    """What a process needs of the cluster that it runs in."""

    voter_limit: int
    random: Random
    scheduler: EventScheduler
    invariants: Invariants

    def other_names(self, name: str) -> list[str]:
        """Return the names of all other instances."""

    def deliver(
        self, sender: str, receiver: str, on_arrival: Callable[[ControlProcess], None]
    ) -> None:
        """Call ``on_arrival`` with the process that runs at the receiver when a message arrives."""

    @staticmethod
    def build_command(command_id: str) -> AnyCommand:
        """Return a command that the state accepts any number of times."""

    def on_acknowledged(self, name: str, command_id: str) -> None:
        """Record that an instance told the operator that a command is in force."""


class ControlProcess:
    """Runs from a start of an instance to its end; ``instance`` outlives it."""

    def __init__(self, host: ProcessHost, instance: Instance) -> None:
        self.instance = instance
        self.is_running = True
        self._host = host
        self._commands_by_index: dict[int, tuple[int, str]] = {}
        self._unconfirmed_commands_by_index: dict[int, str] = {}
        self._handover_wait: HandoverWait | None = None
        self._handover_state = VoteHandover.NOT_LEADER
        identity, vote, self.config, log = instance.disk.open()
        host.invariants.on_start(identity, vote, log)
        self.node = RaftNode(
            instance.name,
            identity,
            [],
            vote,
            log,
            self.config,
            instance.disk,
            self._send,
            self._apply,
            self._replace_configuration,
            Random(host.random.random()),
            host.scheduler.now,
            host.voter_limit,
        )
        host.scheduler.call_later(host.random.uniform(0.0, TICK_INTERVAL_S), self._tick)
        host.scheduler.call_later(host.random.uniform(0.0, JOIN_INTERVAL_S), self._join)

    @property
    def is_awake(self) -> bool:
        """Return whether the process runs and is not suspended."""
        return self.is_running and not self.instance.is_frozen

    def _tick(self) -> None:
        if not self.is_running:
            return
        self._host.scheduler.call_later(TICK_INTERVAL_S, self._tick)
        if self.is_awake:
            self.node.tick(self._host.scheduler.now)
            self._host.invariants.on_step(self.node)
            self._acknowledge_stored()

    # Messages among instances

    def _send(self, peer: str, message: RaftMessage) -> None:
        sent_at = self._host.scheduler.now

        def on_reply(reply: RaftMessage) -> None:
            if not self.is_running or self._host.scheduler.now - sent_at > CALL_TIMEOUT_S:
                return
            self.node.on_reply(copy_message(reply), self._host.scheduler.now)
            self._host.invariants.on_step(self.node)
            self._acknowledge_stored()

        def on_request(receiver: ControlProcess) -> None:
            reply = receiver.answer(copy_message(message))
            self._host.deliver(peer, self.instance.name, lambda _: on_reply(reply))

        self._host.deliver(self.instance.name, peer, on_request)

    def answer(self, message: RaftMessage) -> RaftMessage:
        """Return the reply to a request."""
        reply = self.node.on_request(message, self._host.scheduler.now)
        self._host.invariants.on_step(self.node)
        if isinstance(message, VoteRequest) and isinstance(reply, VoteReply):
            self._host.invariants.on_vote(reply, message.candidate_id)
        return reply

    def _join(self) -> None:
        """Ask all instances to replicate the log to this one, if the leader may not know it."""
        if not self.is_running:
            return
        self._host.scheduler.call_later(JOIN_INTERVAL_S, self._join)
        if not self.is_awake or self._handover_wait is not None:
            return
        if not self.node.must_ask_for_replication(self._host.scheduler.now):
            return
        for peer in self._host.other_names(self.instance.name):
            self._host.deliver(
                self.instance.name, peer, lambda receiver: receiver.on_join(self.instance.name)
            )

    def on_join(self, name: str) -> None:
        """Start replicating to an instance if leader."""
        if self.node.is_leader:
            self.node.add_learner(name, self._host.scheduler.now)

    # Planned stops

    def stop(self) -> None:
        """Hand over the vote, then end."""
        if not self.is_awake or not self.node.is_voter:
            self.end()
            return
        self._handover_wait = HandoverWait(self._host.scheduler.now)
        self._hand_over()

    def _hand_over(self) -> None:
        if not self.is_running:
            return
        assert self._handover_wait is not None
        identity = self.node.identity
        if not self.node.has_committed_vote(self.instance.name, identity):
            self._handover_state = VoteHandover.COMPLETE
        if self._handover_wait.is_over(self._handover_state, self._host.scheduler.now):
            self.end()
            return
        self._host.scheduler.call_later(HANDOVER_INTERVAL_S, self._hand_over)
        self._handover_state = VoteHandover.NOT_LEADER
        leader = self.node.leader_id
        if leader == self.instance.name:
            self._handover_state = self.on_handover_request(self.instance.name, identity)
        elif leader:
            self._host.deliver(self.instance.name, leader, self._request_handover)

    def _request_handover(self, leader: ControlProcess) -> None:
        state = leader.on_handover_request(self.instance.name, self.node.identity)

        def on_reply(_: ControlProcess) -> None:
            self._handover_state = state

        self._host.deliver(leader.instance.name, self.instance.name, on_reply)

    def on_handover_request(self, name: str, identity: str) -> VoteHandover:
        """Replace the vote of an instance that is about to stop."""
        state = self.node.hand_over_vote(name, identity, self._host.scheduler.now)
        self._host.invariants.on_step(self.node)
        return state

    def end(self) -> None:
        """End at once."""
        if self.is_running:
            self.is_running = False
            self.instance.disk.close()

    # Commands

    def propose(self, command_id: str) -> None:
        """Propose a command as leader.

        It is acknowledged once it is committed in this term and stored by most instances.
        """
        index = self.node.propose(self._host.build_command(command_id), command_id)
        if index is None:
            return
        self._commands_by_index[index] = (self.node.term, command_id)
        self.node.flush(self._host.scheduler.now)
        self._host.invariants.on_step(self.node)

    def _acknowledge_stored(self) -> None:
        """Acknowledge what most instances have stored; a former leader leaves it to the next."""
        if not self.node.is_leader:
            self._unconfirmed_commands_by_index.clear()
        for index in list(self._unconfirmed_commands_by_index):
            if self.node.is_stored_by_most(index):
                self.acknowledge(self._unconfirmed_commands_by_index.pop(index))

    def acknowledge(self, command_id: str) -> None:
        """Tell the operator that a command is in force."""
        self._host.on_acknowledged(self.instance.name, command_id)

    def has_stored(self, command_id: str) -> bool:
        """Return whether a command is in the log or has been applied."""
        log = self.node.log
        entries = log.entries_after(log.base_index, log.last_index - log.base_index)
        is_in_log = any(entry.command_id == command_id for entry in entries)
        return is_in_log or command_id in self.config.answers_by_command_id

    def _apply(self, entry: LogEntry) -> CommandAnswer:
        self._host.invariants.on_apply(entry)
        answer = apply_entry(self.config, entry)
        term, command_id = self._commands_by_index.pop(entry.index, (0, ""))
        if command_id and term == entry.term:
            self._unconfirmed_commands_by_index[entry.index] = command_id
        return answer

    def _replace_configuration(self, config: Configuration) -> None:
        self.config = config
