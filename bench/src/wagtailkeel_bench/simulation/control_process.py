"""One process of a control instance: the product's consensus, driven by virtual time."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

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
    from wagtailkeel_bench.simulation.cluster import Cluster
    from wagtailkeel_bench.simulation.cluster import Instance

TICK_INTERVAL_S = 0.05
JOIN_INTERVAL_S = 0.5
HANDOVER_INTERVAL_S = 0.1
CALL_TIMEOUT_S = 1.0


def copy_message(message: RaftMessage) -> RaftMessage:
    """Return a message as the receiver decodes it."""
    return msgspec.msgpack.decode(msgspec.msgpack.encode(message), type=RaftMessage)


class ControlProcess:
    """Runs from a start of an instance to its end; ``instance`` outlives it."""

    def __init__(self, cluster: Cluster, instance: Instance) -> None:
        self.instance = instance
        self.is_running = True
        self._cluster = cluster
        self._commands_by_index: dict[int, tuple[int, str]] = {}
        self._handover_wait: HandoverWait | None = None
        self._handover_state = VoteHandover.NOT_LEADER
        identity, vote, self.config, log = instance.disk.open()
        cluster.invariants.on_start(identity, vote, log)
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
            Random(cluster.random.random()),
            cluster.scheduler.now,
            cluster.voter_limit,
        )
        cluster.scheduler.call_later(cluster.random.uniform(0.0, TICK_INTERVAL_S), self._tick)
        cluster.scheduler.call_later(cluster.random.uniform(0.0, JOIN_INTERVAL_S), self._join)

    @property
    def is_awake(self) -> bool:
        """Return whether the process runs and is not suspended."""
        return self.is_running and not self.instance.is_frozen

    def _tick(self) -> None:
        if not self.is_running:
            return
        self._cluster.scheduler.call_later(TICK_INTERVAL_S, self._tick)
        if self.is_awake:
            self.node.tick(self._cluster.scheduler.now)
            self._cluster.invariants.on_step(self.node)

    # Messages among instances

    def _send(self, peer: str, message: RaftMessage) -> None:
        sent_at = self._cluster.scheduler.now

        def on_reply(reply: RaftMessage) -> None:
            if not self.is_running or self._cluster.scheduler.now - sent_at > CALL_TIMEOUT_S:
                return
            self.node.on_reply(copy_message(reply), self._cluster.scheduler.now)
            self._cluster.invariants.on_step(self.node)

        def on_request(receiver: ControlProcess) -> None:
            reply = receiver.answer(copy_message(message))
            self._cluster.deliver(peer, self.instance.name, lambda _: on_reply(reply))

        self._cluster.deliver(self.instance.name, peer, on_request)

    def answer(self, message: RaftMessage) -> RaftMessage:
        """Return the reply to a request."""
        reply = self.node.on_request(message, self._cluster.scheduler.now)
        self._cluster.invariants.on_step(self.node)
        if isinstance(message, VoteRequest) and isinstance(reply, VoteReply):
            self._cluster.invariants.on_vote(reply, message.candidate_id)
        return reply

    def _join(self) -> None:
        """Ask all instances to replicate the log to this one, if the leader may not know it."""
        if not self.is_running:
            return
        self._cluster.scheduler.call_later(JOIN_INTERVAL_S, self._join)
        if not self.is_awake or self._handover_wait is not None:
            return
        if not self.node.must_ask_for_replication(self._cluster.scheduler.now):
            return
        for peer in self._cluster.other_names(self.instance.name):
            self._cluster.deliver(
                self.instance.name, peer, lambda receiver: receiver.on_join(self.instance.name)
            )

    def on_join(self, name: str) -> None:
        """Start replicating to an instance if leader."""
        if self.node.is_leader:
            self.node.add_learner(name, self._cluster.scheduler.now)

    # Planned stops

    def stop(self) -> None:
        """Hand over the vote, then end."""
        if not self.is_awake or not self.node.is_voter:
            self.end()
            return
        self._handover_wait = HandoverWait(self._cluster.scheduler.now)
        self._hand_over()

    def _hand_over(self) -> None:
        if not self.is_running:
            return
        assert self._handover_wait is not None
        identity = self.node.identity
        if not self.node.has_committed_vote(self.instance.name, identity):
            self._handover_state = VoteHandover.COMPLETE
        if self._handover_wait.is_over(self._handover_state, self._cluster.scheduler.now):
            self.end()
            return
        self._cluster.scheduler.call_later(HANDOVER_INTERVAL_S, self._hand_over)
        self._handover_state = VoteHandover.NOT_LEADER
        leader = self.node.leader_id
        if leader == self.instance.name:
            self._handover_state = self.on_handover_request(self.instance.name, identity)
        elif leader:
            self._cluster.deliver(self.instance.name, leader, self._request_handover)

    def _request_handover(self, leader: ControlProcess) -> None:
        state = leader.on_handover_request(self.instance.name, self.node.identity)

        def on_reply(_: ControlProcess) -> None:
            self._handover_state = state

        self._cluster.deliver(leader.instance.name, self.instance.name, on_reply)

    def on_handover_request(self, name: str, identity: str) -> VoteHandover:
        """Replace the vote of an instance that is about to stop."""
        state = self.node.hand_over_vote(name, identity, self._cluster.scheduler.now)
        self._cluster.invariants.on_step(self.node)
        return state

    def end(self) -> None:
        """End at once."""
        if self.is_running:
            self.is_running = False
            self.instance.disk.close()

    # Commands

    def propose(self, command_id: str) -> None:
        """Propose a command as leader; it is acknowledged once it is committed in this term."""
        index = self.node.propose(self._cluster.build_command(command_id), command_id)
        if index is None:
            return
        self._commands_by_index[index] = (self.node.term, command_id)
        self.node.flush(self._cluster.scheduler.now)
        self._cluster.invariants.on_step(self.node)

    def _apply(self, entry: LogEntry) -> CommandAnswer:
        self._cluster.invariants.on_apply(entry)
        answer = apply_entry(self.config, entry)
        term, command_id = self._commands_by_index.pop(entry.index, (0, ""))
        if command_id and term == entry.term:
            self._cluster.on_acknowledged(command_id)
        return answer

    def _replace_configuration(self, config: Configuration) -> None:
        self.config = config
