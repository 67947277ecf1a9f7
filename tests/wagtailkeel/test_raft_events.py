"""Events on changes of the consensus state are written once for each change."""

from __future__ import annotations

import unittest
from types import SimpleNamespace
from typing import cast

from tests.wagtailkeel.recorded_events import RecordedEvents
from wagtailkeel.roles.control.raft_events import RaftEvents
from wagtailkeel_coordination import events
from wagtailkeel_coordination.raft import RaftNode
from wagtailkeel_coordination.raft.vote_count import VoteCount
from wagtailkeel_protocol.raft_messages import VoteReply

IDENTITIES_BY_ID = {"a": "a0", "b": "b0", "c": "c0", "d": "d0"}
ROUND = 7


def count_replies(replies: list[VoteReply]) -> VoteCount:
    """Return the count of replies to a round of requests of voter ``a``."""
    count = VoteCount(ROUND, IDENTITIES_BY_ID, "a")
    for reply in replies:
        count.record(reply)
    return count


class RaftEventsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.raft = SimpleNamespace(
            leader_id="", term=1, voters_by_id={}, learner_ids=[], failed_vote_count=None
        )
        self.sink = RecordedEvents()
        self.events = RaftEvents(cast("RaftNode", self.raft), self.sink)

    def test_leader_and_voters(self) -> None:
        self.raft.leader_id = "b"
        self.raft.voters_by_id = {"c": "c0", "b": "b0"}
        self.raft.learner_ids = ["d"]
        self.assertTrue(self.events.emit_changes())
        self.assertFalse(self.events.emit_changes())
        expected = [events.LeaderChanged("b", 1), events.VotersChanged(["b", "c"], ["d"])]
        self.assertEqual(self.sink.events, expected)

    def test_failed_election_is_written_again_only_if_the_answers_differ(self) -> None:
        refusal = VoteReply(1, "b", False, True, "b0", ROUND)
        lost = VoteReply(1, "c", True, True, "c1", ROUND)
        for replies in ([refusal, lost], [refusal, lost], [refusal]):
            self.raft.failed_vote_count = count_replies(replies)
            self.events.emit_changes()
            self.events.emit_changes()
        expected = [
            events.ElectionFailed(["a"], ["b"], ["d"], ["c"], 3),
            events.ElectionFailed(["a"], ["b"], ["c", "d"], [], 3),
        ]
        self.assertEqual(self.sink.events, expected)


class VoteCountTest(unittest.TestCase):
    def test_replies(self) -> None:
        """Replies to earlier rounds count as votes, but don't show that an identity is lost."""
        cases = [
            (VoteReply(1, "b", True, False, "b0", ROUND), ({"a", "b"}, set(), set())),
            (VoteReply(1, "b", True, False, "b0", ROUND - 1), ({"a", "b"}, set(), set())),
            (VoteReply(1, "b", False, False, "b0", ROUND), ({"a"}, {"b"}, set())),
            (VoteReply(1, "b", True, False, "b1", ROUND), ({"a"}, set(), {"b"})),
            (VoteReply(1, "b", True, False, "b1", ROUND - 1), ({"a"}, set(), set())),
            (VoteReply(1, "x", True, False, "x0", ROUND), ({"a"}, set(), set())),
        ]
        for reply, expected in cases:
            with self.subTest(reply=reply):
                count = count_replies([reply])
                self.assertEqual((count.granted, count.refused, count.lost), expected)

    def test_lost_voter_is_left_out_from_the_next_round_on(self) -> None:
        """All candidates went on when the lost voter answered, and split the votes."""
        first = count_replies([VoteReply(1, "b", True, True, "b1", ROUND)])
        self.assertEqual(first.known_lost, set())
        second = VoteCount(ROUND + 1, IDENTITIES_BY_ID, "a", first.all_lost_identities)
        self.assertEqual(second.known_lost, {"b"})
        self.assertFalse(second.has_quorum_without_one)
        second.record(VoteReply(1, "c", True, True, "c0", ROUND + 1))
        self.assertTrue(second.has_quorum_without_one)
        self.assertFalse(second.has_quorum)


if __name__ == "__main__":
    unittest.main()
