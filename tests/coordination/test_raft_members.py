"""Voters that join one at a time and are replaced, and disks that fail temporarily."""

from __future__ import annotations

import unittest

from tests.coordination.raft_cluster import CATCH_UP_S
from tests.coordination.raft_cluster import STEP_S
from tests.coordination.raft_cluster import VOTER_LIMIT
from tests.coordination.raft_cluster import Cluster
from wagtailkeel_coordination.raft.progress import REPLY_TIMEOUT_S
from wagtailkeel_coordination.raft.raft_state import STORAGE_RETRY_S
from wagtailkeel_coordination.raft.voter_changes import VOTER_TIMEOUT_S
from wagtailkeel_protocol.raft_messages import AppendReply
from wagtailkeel_protocol.raft_messages import VoteHandover
from wagtailkeel_state.commands import DefineDataCentre

ELECTION_S = 3.0
SOUND_AFTER_S = 4.0
"""The shortest time after its start from which a successor need not be counted as lost."""


class RaftMembersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.cluster = Cluster()
        self.cluster.run(3.0)
        for name in ("d", "e"):
            self.cluster.add(name, f"{name}0")
        self.cluster.run(3.0)

    def voters(self) -> set[str]:
        return set(self.cluster.leader.node.voters_by_id)

    def follower(self) -> str:
        leader = self.cluster.leader.name
        return next(name for name in "abcde" if name in self.cluster.members and name != leader)

    def test_three_founders_become_five_voters(self) -> None:
        self.assertEqual(self.voters(), {"a", "b", "c", "d", "e"})

    def test_instances_beyond_the_limit_become_voters_while_all_run(self) -> None:
        """Nine at most: of ten, the five of the limit would be no majority."""
        names = "fghijk"
        for name in names:
            self.cluster.add(name, f"{name}0")
        self.cluster.run(VOTER_TIMEOUT_S + 3.0)
        self.assertLessEqual(set("abcde"), self.voters())
        self.assertEqual(len(self.voters()), 2 * VOTER_LIMIT - 1)

    def test_voters_beyond_the_limit_that_are_gone_lose_their_votes(self) -> None:
        self.cluster.add("f", "f0")
        self.cluster.add("g", "g0")
        self.cluster.run(CATCH_UP_S)
        lost = [self.follower(), "f"]
        for name in lost:
            self.cluster.lose(name)
        self.cluster.run(VOTER_TIMEOUT_S + CATCH_UP_S)
        self.assertEqual(self.voters(), set("abcdefg") - set(lost))

    def test_unresponsive_voter_is_replaced_once_a_learner_is_available(self) -> None:
        unresponsive = next(name for name in "abcde" if name != self.cluster.leader.name)
        self.cluster.partitioned.add(unresponsive)
        self.cluster.run(VOTER_TIMEOUT_S + 3.0)
        self.assertIn(unresponsive, self.voters())
        self.cluster.add("f", "f0")
        self.cluster.run(VOTER_TIMEOUT_S + 3.0)
        self.assertEqual(self.voters(), set("abcdef") - {unresponsive})

    def test_voter_keeps_its_vote_after_a_short_partition(self) -> None:
        self.cluster.add("f", "f0")
        self.cluster.run(CATCH_UP_S)
        partitioned_voter = next(name for name in "abcde" if name != self.cluster.leader.name)
        self.cluster.partitioned.add(partitioned_voter)
        self.cluster.run(VOTER_TIMEOUT_S / 2)
        self.assertIn(partitioned_voter, self.voters())
        self.cluster.partitioned.clear()
        for _ in range(int((VOTER_TIMEOUT_S + 3.0) / STEP_S)):
            self.cluster.run(STEP_S)
            self.assertEqual(self.voters(), set("abcdef"))

    def test_votes_do_not_gather_with_the_instances_that_were_up(self) -> None:
        """The votes of two that were dark for a moment stayed with those that stood in for them."""
        for name in "fg":
            self.cluster.add(name, f"{name}0")
        self.cluster.run(CATCH_UP_S)
        dark = set([name for name in "abcde" if name != self.cluster.leader.name][:2])
        self.cluster.partitioned.update(dark)
        self.cluster.run(VOTER_TIMEOUT_S + CATCH_UP_S)
        self.assertEqual(self.voters(), set("abcdefg") - dark)
        self.cluster.partitioned.clear()
        self.cluster.run(CATCH_UP_S)
        self.assertEqual(self.voters(), set("abcdefg"))

    def test_planned_replacement_of_most_voters_keeps_a_quorum(self) -> None:
        """Stopped instances kept their votes: two pairs in turn left no quorum for good."""
        for leaving, successors in (("ab", "fg"), ("cd", "hi")):
            for name in successors:
                self.cluster.add(name, f"{name}0")
            self.cluster.run(CATCH_UP_S)
            for name in leaving:
                self.assertIs(self.cluster.stop(name), VoteHandover.COMPLETE)
                self.cluster.run(ELECTION_S)
        self.cluster.commit("x")
        self.assertEqual(self.voters(), set("efghi"))

    def test_lost_voters_are_replaced_before_their_successors_count_as_sound(self) -> None:
        """The lost kept their votes for longer: two more losses then left no quorum for good."""
        for lost, successors in (("ab", "fg"), ("cd", "hi")):
            for name in successors:
                self.cluster.add(name, f"{name}0")
            for name in lost:
                self.cluster.lose(name)
            self.cluster.run(SOUND_AFTER_S)
        self.cluster.run(ELECTION_S)
        self.cluster.commit("x")

    def test_two_disks_lost_right_after_a_planned_replacement(self) -> None:
        """The successor had no vote yet: the two others that had the newest entry were gone."""
        for is_leader_replaced in (False, True):
            with self.subTest(is_leader_replaced=is_leader_replaced):
                self.setUp()
                self.cluster.add("f", "f0")
                self.cluster.run(CATCH_UP_S)
                leader = self.cluster.leader.name
                self.cluster.stop(leader if is_leader_replaced else self.follower())
                self.cluster.run(ELECTION_S)
                self.cluster.commit("x")
                self.cluster.lose(self.cluster.leader.name)
                self.cluster.lose(next(name for name in self.cluster.members if name != "f"))
                self.cluster.run(ELECTION_S)
                self.assertIn("x", self.cluster.leader.config.answers_by_command_id)
                self.cluster.commit("y")

    def test_stopping_voter_waits_until_a_new_leader_knows_the_learners(self) -> None:
        """A new leader knows no learner yet; the vote was kept as if there were none."""
        self.cluster.add("f", "f0")
        self.cluster.run(CATCH_UP_S)
        former = self.cluster.leader.name
        self.cluster.stopping.add("f")  # It has not found the new leader yet.
        self.cluster.lose(former)
        self.cluster.wait_for_leader()
        self.cluster.run(2 * STEP_S)
        leader = self.cluster.leader.node
        follower = self.follower()
        state = leader.hand_over_vote(follower, f"{follower}0", self.cluster.now)
        self.assertIs(state, VoteHandover.PENDING)
        self.cluster.stopping.clear()
        self.assertIs(self.cluster.stop(follower), VoteHandover.COMPLETE)

    def test_stopping_voter_waits_for_a_successor_that_is_silent_for_a_moment(self) -> None:
        """One lost answer of the learner ended the stop at once, and the vote stayed behind."""
        self.cluster.add("f", "f0")
        self.cluster.run(CATCH_UP_S)
        self.cluster.partitioned.add("f")
        self.cluster.run(REPLY_TIMEOUT_S + STEP_S)
        leader, follower = self.cluster.leader.node, self.follower()
        state = leader.hand_over_vote(follower, f"{follower}0", self.cluster.now)
        self.assertIs(state, VoteHandover.PENDING)
        self.cluster.partitioned.clear()
        self.assertIs(self.cluster.stop(follower), VoteHandover.COMPLETE)

    def test_voters_that_missed_a_change_elect_the_only_one_that_has_it(self) -> None:
        """They refused a candidate that their own logs did not list yet: no leader for good."""
        leader = self.cluster.leader.name
        stopped, informed, *lagging = (name for name in "abcde" if name != leader)
        self.cluster.add("f", "f0")
        self.cluster.run(CATCH_UP_S)
        self.cluster.partitioned.update(lagging)
        self.cluster.stop(stopped)
        self.cluster.lose(leader)
        self.cluster.lose(informed)
        self.cluster.partitioned.clear()
        self.cluster.run(ELECTION_S)
        self.assertEqual(self.cluster.leader.name, "f")
        self.cluster.commit("x")

    def test_stopping_voter_keeps_its_vote_without_a_successor(self) -> None:
        """A restart changes no voters, unless a learner can take over."""
        follower = self.follower()
        self.assertIs(self.cluster.stop(follower), VoteHandover.IMPOSSIBLE)
        self.assertIn(follower, self.voters())

    def test_voter_without_a_successor_keeps_its_vote_when_a_learner_joins_later(self) -> None:
        """The learner was added beside a voter that had ended: a sixth voter for good."""
        for waited_s in (STEP_S, CATCH_UP_S):
            with self.subTest(waited_s=waited_s):
                self.setUp()
                leader, follower = self.cluster.leader.node, self.follower()
                identity = f"{follower}0"
                state = leader.hand_over_vote(follower, identity, self.cluster.now)
                self.assertIs(state, VoteHandover.IMPOSSIBLE)
                self.cluster.run(waited_s)
                self.assertEqual(self.voters(), set("abcde"))
                self.cluster.lose(follower)
                self.cluster.add("f", "f0")
                self.cluster.run(VOTER_TIMEOUT_S + CATCH_UP_S)
                self.assertEqual(self.voters(), set("abcdef") - {follower})

    def test_stopping_instances_do_not_succeed_each_other(self) -> None:
        """An instance that has handed over its vote answers until it ends, but is no successor."""
        self.cluster.add("f", "f0")
        self.cluster.run(CATCH_UP_S)
        leader = self.cluster.leader.node
        first, second = [name for name in "abcde" if name != leader.instance_id][:2]
        self.cluster.stopping.add(first)
        for _ in range(20):
            leader.hand_over_vote(first, f"{first}0", self.cluster.now)
            self.cluster.run(STEP_S)
        state = leader.hand_over_vote(second, f"{second}0", self.cluster.now)
        self.cluster.run(1.0)
        self.assertIs(state, VoteHandover.IMPOSSIBLE)
        self.assertEqual(self.voters(), set("abcdef") - {first})

    def test_wiped_voter_returns_under_its_new_identity(self) -> None:
        wiped = next(name for name in "abcde" if name != self.cluster.leader.name)
        self.cluster.add(wiped, "fresh")
        self.assertFalse(self.cluster.members[wiped].node.is_voter)
        self.cluster.run(5.0)
        self.assertEqual(self.cluster.leader.node.voters_by_id[wiped], "fresh")
        self.assertEqual(len(self.voters()), 5)

    def test_new_leader_changes_no_voters_before_it_has_committed_in_its_term(self) -> None:
        """The reply of a wiped voter made it do so; an earlier change may still be committed."""
        name, wiped = [name for name in "abcde" if name != self.cluster.leader.name][:2]
        node = self.cluster.members[name].node
        node.save_vote(node.term + 1, name)
        node.become_leader(self.cluster.now)
        request_round = node.progress_of(wiped).round
        reply = AppendReply(node.term, wiped, True, node.commit_index, request_round, "fresh")
        node.on_reply(reply, self.cluster.now)
        self.assertFalse(node.is_member_change_pending)

    def test_instance_that_only_its_own_log_lists_is_found_again(self) -> None:
        """It took itself for a voter and asked nobody, while the leader did not know it."""
        self.cluster.add("f", "f0")
        self.cluster.run(CATCH_UP_S)
        leader, stopping = self.cluster.leader, self.follower()
        self.cluster.partitioned.update(set("abcde") - {leader.name})
        leader.node.hand_over_vote(stopping, f"{stopping}0", self.cluster.now)
        self.cluster.run(2 * STEP_S)
        self.assertTrue(self.cluster.members["f"].node.is_voter)
        self.cluster.lose(leader.name)
        self.cluster.partitioned.clear()
        self.cluster.run(ELECTION_S)
        self.cluster.commit("x")
        self.cluster.run(ELECTION_S)
        self.assertIn("x", self.cluster.members["f"].config.answers_by_command_id)

    def test_wiped_learner_becomes_a_voter_only_once_it_has_caught_up_again(self) -> None:
        """What its lost disk had still counted, for its promotion and for commits."""
        node = self.cluster.leader.node
        node.add_learner("f", self.cluster.now)
        node.tick(self.cluster.now)
        request_round = node.progress_of("f").round
        for identity, is_matched in (("f0", True), ("fresh", False)):
            index = node.log.last_index if is_matched else 0
            reply = AppendReply(node.term, "f", is_matched, index, request_round, identity)
            node.on_reply(reply, self.cluster.now)
        node.tick(self.cluster.now + STEP_S)
        self.assertNotIn("f", node.voters_by_id)

    def test_read_is_confirmed_by_a_quorum_after_its_request(self) -> None:
        leader = self.cluster.leader
        requested_at = self.cluster.now + STEP_S / 2
        self.assertFalse(leader.node.is_read_confirmed(requested_at, self.cluster.now))
        self.cluster.run(0.5)
        self.assertTrue(leader.node.is_read_confirmed(requested_at, self.cluster.now))

    def test_the_request_of_a_voter_for_the_log_confirms_no_read(self) -> None:
        """It counted as an answer, though the voter may have elected another leader meanwhile."""
        leader = self.cluster.leader
        others = self.voters() - {leader.name}
        self.cluster.partitioned.update(others)
        self.cluster.run(STEP_S)
        requested_at = self.cluster.now
        for name in others:
            leader.node.add_learner(name, requested_at + STEP_S)
        self.assertFalse(leader.node.is_read_confirmed(requested_at, requested_at + STEP_S))

    def test_suspended_leader_confirms_no_read(self) -> None:
        """The others may have elected a leader while the former one was suspended."""
        leader = self.cluster.leader
        self.cluster.partitioned.add(leader.name)
        requested_at = self.cluster.now + STEP_S / 2
        for name, member in self.cluster.members.items():
            if name != leader.name:
                member.node.tick(self.cluster.now + 5.0)
        self.cluster.now += 5.0
        self.assertFalse(leader.node.is_read_confirmed(requested_at, self.cluster.now))

    def test_follower_catches_up_once_its_disk_works_again(self) -> None:
        follower = next(m for m in self.cluster.members.values() if not m.node.is_leader)
        follower.disk.is_broken = True
        self.cluster.leader.node.propose(DefineDataCentre(name="x", region="home"), "x")
        self.cluster.run(2.0)
        self.assertTrue(follower.node.has_storage_failed)
        self.assertNotIn("x", follower.config.answers_by_command_id)
        follower.disk.is_broken = False
        self.cluster.run(2 * STORAGE_RETRY_S + 2.0)
        self.assertFalse(follower.node.has_storage_failed)
        self.assertIn("x", follower.config.answers_by_command_id)

    def test_leader_whose_disk_fails_is_replaced(self) -> None:
        leader = self.cluster.leader
        leader.disk.is_broken = True
        leader.node.propose(DefineDataCentre(name="x", region="home"), "x")
        self.cluster.run(3.0)
        self.assertNotEqual(self.cluster.leader.name, leader.name)
        self.cluster.leader.node.propose(DefineDataCentre(name="y", region="home"), "y")
        self.cluster.run(1.0)
        self.assertIn("y", self.cluster.leader.config.answers_by_command_id)


if __name__ == "__main__":
    unittest.main()
