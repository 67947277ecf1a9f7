"""Which instances count for an acknowledgement, beside those that have votes (review/7)."""

from __future__ import annotations

import unittest
from types import SimpleNamespace
from typing import cast

from tests.coordination.raft_cluster import CATCH_UP_S
from tests.coordination.raft_cluster import STEP_S
from tests.coordination.raft_cluster import Cluster
from wagtailkeel_coordination.raft.learners import LEARNER_TIMEOUT_S
from wagtailkeel_coordination.raft.member_majority import MemberMajority
from wagtailkeel_coordination.raft.progress import ProgressTable
from wagtailkeel_coordination.raft.raft_log import RaftLog
from wagtailkeel_coordination.raft.raft_state import RaftState
from wagtailkeel_coordination.raft.voter_changes import LEARNER_ABSENCE_S
from wagtailkeel_coordination.raft.voter_changes import VOTER_TIMEOUT_S
from wagtailkeel_protocol.raft_messages import AppendReply
from wagtailkeel_state.commands import DefineDataCentre
from wagtailkeel_state.persistent_state import Snapshot

ELECTION_S = 3.0
ANSWER_LAG_S = 5 * STEP_S
"""Longer than half of the members take to answer requests that are sent from now on."""


class MemberMajorityTest(unittest.TestCase):
    def test_as_many_as_leave_the_others_no_majority(self) -> None:
        cases = [
            ("abcde", "", "abc", True),
            ("abcde", "", "ab", False),
            ("abcde", "fg", "abc", False),
            ("abcde", "fg", "abcd", True),
            ("abcde", "fg", "abcf", True),
            ("abcde", "f", "abc", True),
            ("abcdefghi", "jk", "abcde", False),
        ]
        for voters, learners, holders, expected in cases:
            with self.subTest(voters=voters, learners=learners, holders=holders):
                progress = ProgressTable(RaftLog(0, 0, []))
                for name in holders[1:]:
                    progress.of(name).match_index = 7
                    progress.of(name).acknowledged_sent_at = 3.0
                state = SimpleNamespace(instance_id=holders[0], member_ids={*voters, *learners})
                majority = MemberMajority(cast("RaftState", state), progress)
                self.assertEqual(majority.list_holders(7), sorted(holders))
                self.assertIs(majority.has_stored(7), expected)
                self.assertIs(majority.has_answered(since=3.0), expected)

    def test_voters_that_have_answered(self) -> None:
        for answered, expected in [("bc", True), ("b", False), ("bd", False)]:
            with self.subTest(answered=answered):
                progress = ProgressTable(RaftLog(0, 0, []))
                for name in answered:
                    progress.of(name).acknowledged_sent_at = 3.0
                state = SimpleNamespace(instance_id="a", voters_by_id=dict.fromkeys("abc", ""))
                majority = MemberMajority(cast("RaftState", state), progress)
                self.assertIs(majority.have_voters_answered(since=3.0), expected)
                self.assertFalse(majority.have_voters_answered(since=3.1))


class MembersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.cluster = Cluster()
        self.cluster.run(3.0)
        for name in "defg":
            self.cluster.add(name, f"{name}0")
        self.cluster.run(3.0)
        self.followers = [name for name in "abcdefg" if name != self.cluster.leader.name]

    def propose(self) -> int:
        index = self.cluster.leader.node.propose(DefineDataCentre(name="x", region="home"), "x")
        assert index is not None
        return index

    def partition_two(self) -> set[str]:
        """Partition two voters from the others until they have lost their votes."""
        partitioned = set(self.followers[:2])
        self.cluster.partitioned.update(partitioned)
        self.cluster.run(VOTER_TIMEOUT_S + CATCH_UP_S)
        self.assertEqual(self.cluster.leader.node.learner_ids, sorted(partitioned))
        return partitioned

    def test_most_votes_acknowledge_nothing_while_most_instances_may_be_elsewhere(self) -> None:
        """Three of five votes acknowledged while four of seven instances reached each other."""
        self.partition_two()
        self.cluster.partitioned.update(self.followers[2:4])
        index = self.propose()
        self.cluster.run(2 * LEARNER_ABSENCE_S)
        leader = self.cluster.leader.node
        self.assertGreaterEqual(leader.commit_index, index)
        self.assertFalse(leader.is_stored_by_most(index))
        self.cluster.partitioned.clear()
        self.cluster.run(CATCH_UP_S)
        self.assertTrue(self.cluster.leader.node.is_stored_by_most(index))

    def test_five_instances_acknowledge_while_two_are_away(self) -> None:
        self.partition_two()
        index = self.propose()
        self.cluster.run(2 * STEP_S)
        self.assertTrue(self.cluster.leader.node.is_stored_by_most(index))

    def test_instances_that_are_gone_for_long_count_no_more(self) -> None:
        """Two that have gone for good, each with a successor, must not weigh on later losses."""
        self.partition_two()
        self.cluster.run(LEARNER_ABSENCE_S)
        self.assertEqual(self.cluster.leader.node.learner_ids, [])
        self.cluster.partitioned.update(self.followers[2:4])
        index = self.propose()
        self.cluster.run(CATCH_UP_S)
        self.assertTrue(self.cluster.leader.node.is_stored_by_most(index))

    def test_new_leader_does_not_wait_anew_for_instances_that_are_gone(self) -> None:
        """With six leaving one after the other, nothing was acknowledged for 9 s after the last."""
        self.partition_two()
        self.cluster.run(LEARNER_ABSENCE_S / 2)
        self.cluster.lose(self.cluster.leader.name)
        self.cluster.wait_for_leader()
        self.cluster.run(LEARNER_ABSENCE_S / 2)
        self.assertEqual(self.cluster.leader.node.learner_ids, [])

    def test_a_minority_of_the_instances_goes_on_in_the_end(self) -> None:
        """The others may be gone for good; without a limit nothing would be acknowledged again."""
        self.partition_two()
        self.cluster.partitioned.update(self.followers[2:4])
        index = self.propose()
        self.cluster.run(LEARNER_TIMEOUT_S - VOTER_TIMEOUT_S)
        self.assertFalse(self.cluster.leader.node.is_stored_by_most(index))
        self.cluster.run(2 * VOTER_TIMEOUT_S)
        self.assertTrue(self.cluster.leader.node.is_stored_by_most(index))

    def test_a_minority_drops_nobody_right_after_it_was_cut_off(self) -> None:
        """The answers of the others, from before, still counted."""
        partitioned = self.partition_two()
        while self.cluster.leader.node.learner_ids:
            self.cluster.run(STEP_S)
        dropped_at = self.cluster.now
        for pause_s in (0.1, 0.5, 1.0):
            with self.subTest(pause_s=pause_s):
                self.setUp()
                self.partition_two()
                self.cluster.run(dropped_at - self.cluster.now - ANSWER_LAG_S - pause_s)
                self.cluster.partitioned.update(self.followers[2:4])
                self.cluster.run(2 * LEARNER_ABSENCE_S)
                self.assertEqual(self.cluster.leader.node.learner_ids, sorted(partitioned))

    def test_a_minority_drops_nobody_after_an_election(self) -> None:
        """All members count as having answered a leader that has just been elected."""
        partitioned = self.partition_two()
        self.cluster.partitioned.update(self.followers[2:4])
        self.cluster.run(2 * LEARNER_ABSENCE_S)
        leader = self.cluster.leader.node
        leader.on_reply(AppendReply(leader.term + 1, "", False, 0, 0, ""), self.cluster.now)
        self.assertFalse(leader.is_leader)
        self.cluster.wait_for_leader()
        self.cluster.run(ELECTION_S)
        self.assertEqual(self.cluster.leader.node.learner_ids, sorted(partitioned))

    def test_new_leader_finds_the_instances_without_a_vote(self) -> None:
        """It did not know them until they had asked for it, 2 s and more after their return."""
        partitioned = self.partition_two()
        former = self.cluster.leader.name
        self.cluster.lose(former)
        self.cluster.partitioned.clear()
        for name in partitioned:
            self.cluster.restart(name)
        self.cluster.wait_for_leader()
        self.cluster.run(CATCH_UP_S)
        self.assertLessEqual(partitioned, set(self.cluster.leader.node.voters_by_id))

    def test_snapshot_keeps_the_instances_without_a_vote(self) -> None:
        partitioned = self.partition_two()
        leader = self.cluster.leader
        leader.disk.save_snapshot(Snapshot(leader.config))
        self.cluster.restart(leader.name)
        self.assertEqual(self.cluster.members[leader.name].node.learner_ids, sorted(partitioned))

    def test_two_lost_disks_leave_four_voters(self) -> None:
        """With both former identities removed at once, two of three votes would be a quorum."""
        for steps in range(10):
            with self.subTest(steps=steps):
                cluster = Cluster()
                cluster.run(3.0)
                for name in "de":
                    cluster.add(name, f"{name}0")
                cluster.run(3.0)
                for name in [name for name in "abcde" if name != cluster.leader.name][:2]:
                    cluster.add(name, f"{name}1")
                    cluster.run(steps * STEP_S)
                for _ in range(int(ELECTION_S / STEP_S)):
                    cluster.run(STEP_S)
                    self.assertGreaterEqual(len(cluster.leader.node.voters_by_id), 4)
                self.assertEqual(len(cluster.leader.node.voters_by_id), 5)

    def test_instances_beyond_the_most_voters_are_listed(self) -> None:
        """Five of nine votes acknowledged while six of eleven instances were elsewhere."""
        for name in "hijk":
            self.cluster.add(name, f"{name}0")
        self.cluster.run(ELECTION_S)
        leader = self.cluster.leader.node
        self.assertEqual(len(leader.voters_by_id), 9)
        self.assertEqual(leader.member_ids, set("abcdefghijk"))


if __name__ == "__main__":
    unittest.main()
