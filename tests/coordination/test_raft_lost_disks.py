"""An instance that has gone without notice, whose successor is a voter, and two lost disks."""

from __future__ import annotations

import itertools
import unittest
from collections.abc import Callable

from tests.coordination.raft_cluster import CATCH_UP_S
from tests.coordination.raft_cluster import STEP_S
from tests.coordination.raft_cluster import VOTER_LIMIT
from tests.coordination.raft_cluster import Cluster
from wagtailkeel_coordination.raft.quorum import find_excluded_voter
from wagtailkeel_coordination.raft.quorum import majority_of
from wagtailkeel_coordination.raft.voter_changes import VOTER_TIMEOUT_S
from wagtailkeel_protocol.raft_messages import AppendReply
from wagtailkeel_protocol.raft_messages import VoteReply
from wagtailkeel_state import LogEntry
from wagtailkeel_state.commands import SetControlMembers

PAUSES_S = (0.0, 0.1, 0.3, 0.5, 1.0, 1.4, 1.6, 3.0)
"""Shorter and longer than the time after which a silent voter loses its vote."""
DARK_S = 1.5
RECOVERY_S = 12.0


class Replacement:
    """Five voters, the successor of one of them, and the two others that lose their disks."""

    def __init__(self, removed: str, *, is_leader_wiped: bool) -> None:
        self.cluster = Cluster()
        self.cluster.run(3.0)
        for name in ("d", "e"):
            self.cluster.add(name, f"{name}0")
        self.cluster.run(3.0)
        self.cluster.add("f", "f0")
        self.cluster.run(CATCH_UP_S)
        leader = self.cluster.leader.name
        followers = [name for name in "abcde" if name != leader]
        self.removed = leader if removed == "leader" else followers.pop()
        if is_leader_wiped and self.removed != leader:
            self.wiped = [leader, followers[0]]
        else:
            self.wiped = followers[:2]

    def is_sound(self, name: str) -> bool:
        """Return whether an instance is neither removed nor loses its disk."""
        return name not in (self.removed, *self.wiped)

    def remove(self) -> None:
        """Remove an instance for good, without a planned stop."""
        self.cluster.lose(self.removed)

    def commit(self) -> None:
        """Commit a command, after an election if there is no leader."""
        self.cluster.wait_for_leader()
        self.cluster.commit("x")

    def wipe(self) -> None:
        """End two instances at once; their disks are lost."""
        for name in self.wiped:
            self.cluster.lose(name)

    def power_off_others(self) -> None:
        """Restart all others from their disks, which knew no commit since their last snapshot."""
        for member in list(self.cluster.members.values()):
            self.cluster.restart(member.name)

    def return_wiped(self) -> None:
        """Start the two again, with empty disks."""
        self.cluster.run(DARK_S)
        for name in self.wiped:
            self.cluster.add(name, f"{name}1")
        self.cluster.run(RECOVERY_S)


ORDERS: dict[str, tuple[Callable[[Replacement], None], ...]] = {
    "removed, acknowledged, lost": (Replacement.remove, Replacement.commit, Replacement.wipe),
    "acknowledged, removed, lost": (Replacement.commit, Replacement.remove, Replacement.wipe),
    "acknowledged, lost, removed": (Replacement.commit, Replacement.wipe, Replacement.remove),
    "removed, acknowledged, lost, power off": (
        Replacement.remove,
        Replacement.commit,
        Replacement.wipe,
        Replacement.power_off_others,
    ),
}


class LostDisksTest(unittest.TestCase):
    def test_acknowledged_command_outlives_a_removal_and_two_lost_disks(self) -> None:
        """Two of five votes were left, and the successor had none: no quorum for good."""
        targets = (("follower", True), ("follower", False), ("leader", False))
        for order, target, pause_s in itertools.product(ORDERS, targets, PAUSES_S):
            removed, is_leader_wiped = target
            with self.subTest(order=order, removed=removed, wiped=is_leader_wiped, pause_s=pause_s):
                replacement = Replacement(removed, is_leader_wiped=is_leader_wiped)
                self._play(replacement, ORDERS[order], pause_s)

    def _play(
        self,
        replacement: Replacement,
        steps: tuple[Callable[[Replacement], None], ...],
        pause_s: float,
    ) -> None:
        for step in steps:
            step(replacement)
            replacement.cluster.run(pause_s)
        replacement.return_wiped()
        cluster = replacement.cluster
        cluster.wait_for_leader()
        self.assertIn("x", cluster.leader.config.answers_by_command_id)
        cluster.commit("y")
        self.assertEqual(len(cluster.leader.node.voters_by_id), VOTER_LIMIT)
        self.assertNotIn(replacement.removed, cluster.leader.node.voters_by_id)

    def test_leader_needs_no_further_answer_of_a_wiped_instance(self) -> None:
        """It stepped down unless the wiped instance, slow after its start, answered it in time."""
        cluster = Replacement("follower", is_leader_wiped=True).cluster
        node = next(m.node for m in cluster.members.values() if not m.node.is_leader)
        lost, *supporters = [name for name in node.voters_by_id if name != node.instance_id][:3]
        cluster.now += 5.0
        node.tick(cluster.now)
        node.on_reply(VoteReply(node.term, lost, False, True, "fresh", 1), cluster.now)
        cluster.now += 5.0
        node.tick(cluster.now)
        for is_pre_vote in (True, False):
            for name in supporters:
                identity = node.voters_by_id[name]
                reply = VoteReply(node.term, name, True, is_pre_vote, identity)
                node.on_reply(reply, cluster.now)
        self.assertTrue(node.is_leader)
        self.assertNotIn(lost, node.voters_by_id)
        cluster.now += 0.5
        node.tick(cluster.now)
        for name in supporters:
            identity, request_round = node.voters_by_id[name], node.progress_of(name).round
            index = node.log.last_index
            stored = AppendReply(node.term, name, True, index, request_round, identity)
            node.on_reply(stored, cluster.now)
        self.assertTrue(node.has_committed_in_term)

    def test_two_removals_within_the_voter_timeout_and_two_lost_disks(self) -> None:
        """Of seven voters three are left, less than a majority of any six of them."""
        for between_s, pause_s in itertools.product((0.0, 0.5, 1.0), PAUSES_S):
            with self.subTest(between_s=between_s, pause_s=pause_s):
                replacement = Replacement("follower", is_leader_wiped=True)
                cluster = replacement.cluster
                cluster.add("g", "g0")
                cluster.run(CATCH_UP_S)
                second = next(name for name in "abcde" if replacement.is_sound(name))
                replacement.remove()
                cluster.run(between_s)
                cluster.lose(second)
                cluster.run(pause_s)
                replacement.commit()
                replacement.wipe()
                replacement.return_wiped()
                cluster.wait_for_leader()
                self.assertIn("x", cluster.leader.config.answers_by_command_id)

    def test_three_instances_removed_at_once_whose_successors_are_voters(self) -> None:
        """The successors had no votes: two of five were left, and no disk was lost."""
        for pause_s in (0.0, 0.3, 1.0):
            with self.subTest(pause_s=pause_s):
                cluster = Cluster()
                cluster.run(3.0)
                for name in "defgh":
                    cluster.add(name, f"{name}0")
                cluster.run(CATCH_UP_S)
                cluster.commit("x")
                for name in "abc":
                    cluster.lose(name)
                    cluster.run(pause_s)
                cluster.run(RECOVERY_S)
                cluster.commit("y")
                self.assertEqual(set(cluster.leader.node.voters_by_id), set("defgh"))

    def test_half_of_the_voters_elect_nobody_while_the_others_may_run(self) -> None:
        """Without a sign of a lost disk, the other half may have a leader."""
        cluster = Replacement("follower", is_leader_wiped=True).cluster
        half = set(sorted(set("abcdef") - {cluster.leader.name})[:3])
        cluster.partitioned.update(set("abcdef") - half)
        cluster.run(RECOVERY_S)
        self.assertFalse(any(cluster.members[name].node.is_leader for name in half))

    def test_removal_needs_a_quorum_of_the_voters_before_it(self) -> None:
        """Three of the five others committed it; the other half, less a lost voter, had not."""
        cluster = Replacement("follower", is_leader_wiped=True).cluster
        leader = cluster.leader.node
        silent, *others = sorted(set("abcdef") - {leader.instance_id})
        cluster.partitioned.add(silent)
        while silent in leader.voters_by_id:
            if (
                cluster.now - leader.progress_of(silent).acknowledged_sent_at
                > VOTER_TIMEOUT_S - 0.2
            ):
                cluster.partitioned.update(others[:2])
            cluster.run(STEP_S)
        self.assertTrue(leader.is_leader)
        while leader.is_leader:
            self.assertTrue(leader.is_member_change_pending)
            cluster.run(STEP_S)

    def test_half_of_the_voters_need_a_committed_change(self) -> None:
        """Voters that only the candidate's log lists may differ by two from those of a leader."""
        cluster = Replacement("follower", is_leader_wiped=True).cluster
        node = next(m.node for m in cluster.members.values() if not m.node.is_leader)
        command = SetControlMembers(identities_by_id={**node.voters_by_id, "g": "g0", "h": "h0"})
        node.append([LogEntry(node.log.last_index + 1, node.term, command)])
        self.assertEqual(len(node.voters_by_id) % 2, 0)
        cluster.now += 5.0
        node.tick(cluster.now)
        voters = [name for name in node.voters_by_id if name != node.instance_id]
        lost = VoteReply(node.term, voters[3], False, True, "fresh", 1)
        node.on_reply(lost, cluster.now)
        cluster.now += 5.0
        node.tick(cluster.now)
        for name in voters[:3]:
            reply = VoteReply(node.term, name, True, True, node.voters_by_id[name], 2)
            node.on_reply(reply, cluster.now)
        self.assertEqual(node.term, cluster.leader.node.term)


class QuorumTest(unittest.TestCase):
    def test_excluded_voter(self) -> None:
        cases = [
            ("abcdef", "", None),
            ("abcdef", "cb", "b"),
            ("abcdef", "x", None),
            ("abcde", "bc", None),
            ("ab", "b", "b"),
        ]
        for voters, lost, expected in cases:
            with self.subTest(voters=voters, lost=lost):
                self.assertEqual(find_excluded_voter(voters, lost), expected)

    def test_majorities_with_and_without_one_voter_have_a_voter_in_common(self) -> None:
        for count in range(2, 10):
            self.assertGreater(majority_of(count) + majority_of(count - 1), count)


if __name__ == "__main__":
    unittest.main()
