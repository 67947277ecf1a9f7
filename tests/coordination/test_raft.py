"""Raft under lost messages, partitions, restarts, and disks that fail or are wiped."""

from __future__ import annotations

import unittest
from random import Random

import msgspec
from hypothesis import HealthCheck
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from wagtailkeel_coordination.raft import RaftLog
from wagtailkeel_coordination.raft import RaftNode
from wagtailkeel_coordination.raft import StorageFaultError
from wagtailkeel_coordination.raft.elections import ELECTION_TIMEOUT_MIN_S
from wagtailkeel_coordination.raft.raft_state import STORAGE_RETRY_S
from wagtailkeel_protocol.raft_messages import RaftMessage
from wagtailkeel_protocol.raft_messages import RestartReply
from wagtailkeel_protocol.raft_messages import RestartRequest
from wagtailkeel_protocol.raft_messages import VoteReply
from wagtailkeel_protocol.raft_messages import VoteRequest
from wagtailkeel_state import CommandAnswer
from wagtailkeel_state import Configuration
from wagtailkeel_state import LogEntry
from wagtailkeel_state import apply_entry
from wagtailkeel_state.commands import DefineDataCentre
from wagtailkeel_state.persistent_state import Snapshot
from wagtailkeel_state.persistent_state import Vote

VOTERS = ["a", "b", "c"]
STEPS = 400
FIRST_ELECTION_S = 3.0
COMMITTING_HISTORIES = 20
EXAMPLES = 40


class FakeDisk:
    """Durable state in memory; survives a restart of its node unless it is wiped."""

    def __init__(self, identity: str) -> None:
        self.identity = identity
        self.vote = Vote()
        self.entries: list[LogEntry] = []
        self.snapshot = b""
        self.is_broken = False

    def _check(self) -> None:
        if self.is_broken:
            raise StorageFaultError("broken")

    def save_vote(self, vote: Vote) -> None:
        self._check()
        self.vote = vote

    def append(self, entries: list[LogEntry]) -> None:
        """Like the log store, replace overlapping entries; after a gap, drop the earlier ones."""
        self._check()
        first = entries[0].index
        kept = [entry for entry in self.entries if entry.index < first]
        if kept and kept[-1].index != first - 1:
            kept = []
        self.entries = kept + entries

    def truncate_from(self, index: int) -> None:
        """Don't persist the truncation: the entries are back after a restart."""
        self._check()

    def save_snapshot(self, snapshot: Snapshot) -> None:
        self._check()
        self.snapshot = msgspec.msgpack.encode(snapshot.configuration)

    def load(self) -> tuple[Configuration, RaftLog]:
        config = Configuration()
        if self.snapshot:
            config = msgspec.msgpack.decode(self.snapshot, type=Configuration)
        entries = [entry for entry in self.entries if entry.index > config.index]
        if entries and entries[0].index != config.index + 1:
            entries = []
        return config, RaftLog(config.index, config.term, entries)


class FakeControl:
    """One instance: a node, its disk and its applied configuration."""

    def __init__(self, cluster: FakeRaftCluster, name: str, disk: FakeDisk) -> None:
        self.cluster = cluster
        self.name = name
        self.disk = disk
        self.config, log = disk.load()
        self.node = RaftNode(
            name,
            disk.identity,
            VOTERS,
            disk.vote,
            log,
            self.config,
            disk,
            self.send,
            self.apply,
            self.replace_configuration,
            Random(cluster.random.random()),
            cluster.now,
        )

    def send(self, peer: str, message: RaftMessage) -> None:
        self.cluster.requests.append((self.name, peer, message))

    def apply(self, entry: LogEntry) -> CommandAnswer:
        self.cluster.on_apply(entry)
        return apply_entry(self.config, entry)

    def replace_configuration(self, config: Configuration) -> None:
        self.config = config


class FakeRaftCluster:
    """Loses, duplicates and delays messages; restarts, partitions and wipes nodes."""

    def __init__(self, random: Random) -> None:
        self.random = random
        self.now = 0.0
        self.requests: list[tuple[str, str, RaftMessage]] = []
        self.replies: list[tuple[str, RaftMessage]] = []
        self.committed: dict[int, LogEntry] = {}
        self.partitioned: set[str] = set()
        self.accepted: set[str] = set()
        self.leaders_by_term: dict[int, str] = {}
        self.proposals = 0
        self.wipes = 0
        self.controls = {n: FakeControl(self, n, FakeDisk(f"{n}0")) for n in VOTERS}
        for control in self.controls.values():
            control.node.form({n: f"{n}0" for n in VOTERS})

    def on_apply(self, entry: LogEntry) -> None:
        known = self.committed.setdefault(entry.index, entry)
        assert known == entry, "two replicas applied different entries at one index"
        if entry.command_id:
            self.accepted.add(entry.command_id)

    def step(self) -> None:
        actions = [
            (30, self.deliver_request),
            (30, self.deliver_reply),
            (3, self.drop_message),
            (15, self.tick),
            (6, self.propose),
            (1, self.restart),
            (0.5, self.restart_all),
            (1, self.toggle_partition),
            (0.3, self.wipe),
        ]
        weights = [weight for weight, _ in actions]
        self.random.choices([action for _, action in actions], weights)[0]()
        for control in self.controls.values():
            if control.node.is_leader:
                known = self.leaders_by_term.setdefault(control.node.term, control.name)
                assert known == control.name, "two leaders in one term"
        leases = [c.name for c in self.controls.values() if c.node.has_read_lease(self.now)]
        assert len(leases) <= 1, f"{leases} would all answer reads"

    def deliver_request(self, *, in_order: bool = False) -> None:
        if not self.requests:
            return
        position = 0 if in_order else self.random.randrange(len(self.requests))
        is_duplicated = not in_order and self.random.random() < 0.05
        request = self.requests[position] if is_duplicated else self.requests.pop(position)
        sender, receiver, message = request
        if {sender, receiver} & self.partitioned:
            return
        reply = self.controls[receiver].node.on_request(self.copy(message), self.now)
        self.replies.append((sender, reply))

    def deliver_reply(self, *, in_order: bool = False) -> None:
        if not self.replies:
            return
        position = 0 if in_order else self.random.randrange(len(self.replies))
        receiver, reply = self.replies.pop(position)
        if receiver not in self.partitioned:
            self.controls[receiver].node.on_reply(self.copy(reply), self.now)

    @staticmethod
    def copy(message: RaftMessage) -> RaftMessage:
        encoded = msgspec.msgpack.encode(message)
        return msgspec.msgpack.decode(encoded, type=RaftMessage)

    def drop_message(self) -> None:
        for queue in (self.requests, self.replies):
            if queue and self.random.random() < 0.5:
                queue.pop(self.random.randrange(len(queue)))

    def tick(self) -> None:
        self.now += self.random.uniform(0.01, 0.5)
        for control in self.controls.values():
            control.node.tick(self.now)

    def propose(self) -> None:
        for control in self.controls.values():
            if control.node.is_leader:
                self.proposals += 1
                command = DefineDataCentre(name=f"dc{self.proposals}", region="home")
                control.node.propose(command, command_id=f"p{self.proposals}")
                control.node.flush(self.now)

    def restart(self) -> None:
        name = self.random.choice(VOTERS)
        self.controls[name] = FakeControl(self, name, self.controls[name].disk)

    def restart_all(self) -> None:
        for name, control in list(self.controls.items()):
            self.controls[name] = FakeControl(self, name, control.disk)

    def wipe(self) -> None:
        """Wipe one disk, only while both other nodes are voters that hold all committed entries."""
        name = self.random.choice(VOTERS)
        others = [c for n, c in self.controls.items() if n != name]
        newest = max(self.committed, default=0)
        is_safe = all(
            other.node.is_voter
            and other.node.log.last_index >= newest
            and len(other.node.voters_by_id) == len(VOTERS)
            for other in others
        )
        if not is_safe or self.partitioned:
            return
        self.wipes += 1
        self.controls[name] = FakeControl(self, name, FakeDisk(f"{name}{self.wipes}"))

    def toggle_partition(self) -> None:
        self.partitioned = set() if self.partitioned else {self.random.choice(VOTERS)}

    def settle(self, seconds: float = 20.0) -> None:
        """End all partitions and run for ``seconds`` without losing or reordering messages."""
        self.partitioned = set()
        end = self.now + seconds
        while self.now < end:
            self.now += 0.05
            for control in self.controls.values():
                control.node.tick(self.now)
            while self.requests or self.replies:
                self.deliver_request(in_order=True)
                self.deliver_reply(in_order=True)


def play_history(random: Random) -> FakeRaftCluster:
    """Play random moves on a cluster that has elected its first leader."""
    cluster = FakeRaftCluster(random)
    cluster.settle(FIRST_ELECTION_S)
    for _ in range(STEPS):
        cluster.step()
    return cluster


class RaftTest(unittest.TestCase):
    @settings(
        max_examples=EXAMPLES,
        deadline=None,
        derandomize=True,
        suppress_health_check=list(HealthCheck),
    )
    @given(st.randoms(use_true_random=False))
    def test_histories(self, random: Random) -> None:
        cluster = play_history(random)
        accepted = set(cluster.accepted)
        cluster.settle()
        configs = [control.config for control in cluster.controls.values()]
        self.assertEqual({config.index for config in configs}, {configs[0].index})
        for config in configs:
            found = set(config.answers_by_command_id)
            self.assertLessEqual(accepted, found, "an accepted command is never lost")
            self.assertEqual(len(config.control_identities_by_id), len(VOTERS))

    def test_histories_commit_commands(self) -> None:
        """Histories without a leader would check nothing."""
        clusters = [play_history(Random(seed)) for seed in range(COMMITTING_HISTORIES)]
        self.assertGreater(sum(len(cluster.accepted) for cluster in clusters), 0)
        terms = {c.node.term for cluster in clusters for c in cluster.controls.values()}
        self.assertGreater(len(terms), 1, "no history elects a second leader")

    def test_wiped_voter_does_not_vote_and_returns_as_a_learner(self) -> None:
        cluster = FakeRaftCluster(Random(1))
        cluster.settle()
        cluster.controls["c"] = FakeControl(cluster, "c", FakeDisk("fresh"))
        self.assertFalse(cluster.controls["c"].node.is_voter)
        cluster.settle()
        self.assertTrue(cluster.controls["c"].node.is_voter)
        self.assertEqual(cluster.controls["a"].config.control_identities_by_id["c"], "fresh")

    def test_leader_steps_down_while_its_disk_fails(self) -> None:
        cluster = FakeRaftCluster(Random(1))
        cluster.settle()
        leader = next(c for c in cluster.controls.values() if c.node.is_leader)
        leader.disk.is_broken = True
        command = DefineDataCentre(name="x", region="home")
        self.assertIsNone(leader.node.propose(command, command_id="x"))
        self.assertTrue(leader.node.has_storage_failed)
        cluster.settle()
        others = [c for c in cluster.controls.values() if c is not leader]
        self.assertEqual(sum(c.node.is_leader for c in others), 1)
        self.assertFalse(leader.node.is_leader)

    def test_restarted_voter_does_not_vote_within_a_leader_lease(self) -> None:
        cluster = FakeRaftCluster(Random(1))
        cluster.settle()
        leader = next(c for c in cluster.controls.values() if c.node.is_leader)
        voter, candidate = (c.name for c in cluster.controls.values() if c is not leader)
        cluster.controls[voter] = FakeControl(cluster, voter, cluster.controls[voter].disk)
        request = VoteRequest(leader.node.term + 1, candidate, 10**6, 10**6, False, f"{candidate}0")
        for delay_s, is_granted in ((0.0, False), (ELECTION_TIMEOUT_MIN_S, True)):
            now = cluster.now + delay_s
            reply = cluster.controls[voter].node.on_request(request, now)
            assert isinstance(reply, VoteReply)
            self.assertEqual(reply.is_granted, is_granted)

    def test_all_voters_restarted_elect_within_the_shortest_timeout(self) -> None:
        cluster = FakeRaftCluster(Random(1))
        cluster.settle()
        for restarted, is_early in ((VOTERS, True), (VOTERS[:2], False)):
            with self.subTest(restarted=restarted):
                leader = next(c for c in cluster.controls.values() if c.node.is_leader)
                names = [leader.name, *(n for n in VOTERS if n != leader.name)][: len(restarted)]
                for name in names:
                    cluster.controls[name] = FakeControl(cluster, name, cluster.controls[name].disk)
                cluster.settle(0.15)
                leaders = [c.name for c in cluster.controls.values() if c.node.is_leader]
                self.assertEqual(len(leaders), int(is_early))
                cluster.settle()

    def test_voter_that_has_seen_a_leader_refuses_an_early_vote(self) -> None:
        cluster = FakeRaftCluster(Random(1))
        cluster.settle(0.1)
        leader = next(c for c in cluster.controls.values() if c.node.is_leader)
        voter, candidate = (c for c in cluster.controls.values() if c is not leader)
        probe = RestartRequest(candidate.name, 1, 7)
        reply = voter.node.on_request(probe, cluster.now)
        assert isinstance(reply, RestartReply)
        self.assertFalse(reply.is_leaderless)
        request = VoteRequest(
            leader.node.term + 1, candidate.name, 9, 9, False, f"{candidate.name}0", reply.process
        )
        vote = voter.node.on_request(request, cluster.now)
        assert isinstance(vote, VoteReply)
        self.assertFalse(vote.is_granted)

    def test_voter_whose_disk_failed_is_not_leaderless(self) -> None:
        """A voter whose disk fails answers heartbeats without recording contact with the leader.

        A read lease may rely on these answers, so the voter must not report that it saw no leader.
        """
        cluster = FakeRaftCluster(Random(1))
        voter, candidate = cluster.controls["a"], cluster.controls["b"]
        for disk_fails, is_leaderless in ((False, True), (True, False)):
            with self.subTest(disk_fails=disk_fails):
                voter.disk.is_broken = disk_fails
                self.assertIs(voter.node.save_vote(0, ""), not disk_fails)
                voter.disk.is_broken = False
                for _ in range(2):
                    voter.node.tick(cluster.now)
                    cluster.now += STORAGE_RETRY_S / 2
                voter.node.tick(cluster.now)
                self.assertFalse(voter.node.has_storage_failed)
                reply = voter.node.on_request(RestartRequest(candidate.name, 1, 7), cluster.now)
                assert isinstance(reply, RestartReply)
                self.assertIs(reply.is_leaderless, is_leaderless)

    def test_partitioned_leader_loses_its_read_lease(self) -> None:
        cluster = FakeRaftCluster(Random(1))
        cluster.settle()
        leader = next(c for c in cluster.controls.values() if c.node.is_leader)
        self.assertTrue(leader.node.has_read_lease(cluster.now))
        cluster.now += 1.0
        self.assertFalse(leader.node.has_read_lease(cluster.now))


if __name__ == "__main__":
    unittest.main()
