"""A cluster of consensus nodes in memory, whose instances come, go and lose their disks."""

from __future__ import annotations

from random import Random

from tests.coordination.test_raft import FakeDisk
from wagtailkeel_coordination.raft import RaftNode
from wagtailkeel_protocol.raft_messages import RaftMessage
from wagtailkeel_protocol.raft_messages import VoteHandover
from wagtailkeel_state import CommandAnswer
from wagtailkeel_state import LogEntry
from wagtailkeel_state import apply_entry
from wagtailkeel_state.commands import DefineDataCentre

FOUNDERS = ("a", "b", "c")
VOTER_LIMIT = 5
STEP_S = 0.05
CATCH_UP_S = 1.0
MESSAGES_PER_STEP = 500
WAIT_TIMEOUT_S = 20.0


class Member:
    """One instance and its disk."""

    def __init__(
        self, cluster: Cluster, name: str, identity: str, disk: FakeDisk | None = None
    ) -> None:
        self.name = name
        self.disk = disk or FakeDisk(identity)
        self.config, log = self.disk.load()
        self._cluster = cluster
        self.node = RaftNode(
            name,
            self.disk.identity,
            [],
            self.disk.vote,
            log,
            self.config,
            self.disk,
            lambda peer, message: cluster.send(name, peer, message),
            self.apply,
            lambda config: setattr(self, "config", config),
            Random(name),
            cluster.now,
            VOTER_LIMIT,
        )

    def apply(self, entry: LogEntry) -> CommandAnswer:
        return apply_entry(self.config, entry)


class Cluster:
    """Delivers every message in order, except to and from partitioned members."""

    def __init__(self) -> None:
        self.now = 0.0
        self.partitioned: set[str] = set()
        self.stopping: set[str] = set()
        self._messages: list[tuple[str, str, RaftMessage]] = []
        self.members = {name: Member(self, name, f"{name}0") for name in FOUNDERS}
        for member in self.members.values():
            member.node.form({name: f"{name}0" for name in FOUNDERS})

    def send(self, sender: str, receiver: str, message: RaftMessage) -> None:
        self._messages.append((sender, receiver, message))

    def add(self, name: str, identity: str) -> None:
        """Start an instance with an empty disk, which asks the leader to replicate to it."""
        self.members[name] = Member(self, name, identity)

    def _join_learners(self) -> None:
        """Let every instance that the leader may not know ask each leader to replicate to it."""
        learners = {
            name
            for name, member in self.members.items()
            if member.node.must_ask_for_replication(self.now)
        }
        for leader in self.members.values():
            if leader.node.is_leader and leader.name not in self.partitioned:
                for name in learners - self.stopping - self.partitioned:
                    leader.node.add_learner(name, self.now)

    def stop(self, name: str) -> VoteHandover:
        """Stop an instance as planned: it ends once its vote is handed over or can't be."""
        member = self.members[name]
        self.stopping.add(name)
        state = VoteHandover.PENDING
        while state is VoteHandover.PENDING:
            state = self.leader.node.hand_over_vote(name, member.node.identity, self.now)
            self.run(STEP_S)
        del self.members[name]
        return state

    def restart(self, name: str) -> None:
        """End the process of an instance at once, and start it from its disk."""
        self.members[name] = Member(self, name, "", self.members[name].disk)

    def lose(self, name: str) -> None:
        """End an instance at once; its disk is lost."""
        del self.members[name]

    def commit(self, command_id: str) -> None:
        """Propose a command at the leader and wait until it is committed."""
        self.leader.node.propose(DefineDataCentre(name=command_id, region="home"), command_id)
        deadline = self.now + WAIT_TIMEOUT_S
        while command_id not in self.leader.config.answers_by_command_id:
            assert self.now < deadline, f"{command_id} is not committed"
            self.run(STEP_S)

    def wait_for_leader(self) -> None:
        """Run until there is a leader."""
        deadline = self.now + WAIT_TIMEOUT_S
        while not any(member.node.is_leader for member in self.members.values()):
            assert self.now < deadline, "there is no leader"
            self.run(STEP_S)

    @property
    def leader(self) -> Member:
        leaders = [
            m for m in self.members.values() if m.node.is_leader and m.name not in self.partitioned
        ]
        return max(leaders, key=lambda member: member.node.term)

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            self._join_learners()
            for member in self.members.values():
                member.node.tick(self.now)
            self._deliver()

    def _deliver(self) -> None:
        for _ in range(MESSAGES_PER_STEP):
            if not self._messages:
                return
            sender, receiver, message = self._messages.pop(0)
            if {sender, receiver} & self.partitioned or receiver not in self.members:
                continue
            reply = self.members[receiver].node.on_request(message, self.now)
            if sender in self.members:
                self.members[sender].node.on_reply(reply, self.now)
        raise AssertionError("messages never end: a rejected request is resent at once")
