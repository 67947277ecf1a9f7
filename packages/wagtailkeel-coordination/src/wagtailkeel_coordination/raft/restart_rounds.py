"""Early elections after a restart of all voters.

A voter that has just started may, before its restart, have acknowledged a leader that still
relies on its read lease, so the voter grants no vote for the shortest election timeout. If all
voters have restarted, that wait protects nothing: the process that held the lease has ended.

A candidate queries every voter in two rounds. It may request votes at once if, in both rounds,
the same process of each voter replied that it has neither led nor seen a leader. One round is not
enough: a voter could reply and then become leader, and another voter could receive its heartbeat,
restart and reply last. Every reply of the second round is later than the start of every process
that replied in the first, so a leader from before the start of a voter has either ended or would
have replied that it leads. The vote request contains the voter's process id, and a voter that has
seen a leader since refuses its vote.

Only the voter with the newest log campaigns, or the lowest id among equal logs: all voters see
the same replies, and two candidates would split the votes.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_protocol.raft_messages import RestartReply

if TYPE_CHECKING:
    from collections.abc import Collection
    from random import Random

ROUND_INTERVAL_S = 0.1
PROCESS_ID_BITS = 53


class RestartRounds:
    """The rounds in which one voter queries the others; times in seconds.

    ``process_id`` is a random number that changes when the instance restarts.
    """

    def __init__(self, instance_id: str, random: Random, now: float) -> None:
        # Never 0, which a vote request of an ordinary election contains as process id.
        self.process_id = random.getrandbits(PROCESS_ID_BITS) | 1
        self.has_seen_leader = False
        self.round_number = 0
        self._instance_id = instance_id
        self._next_round_at = now
        self._replies_by_voter: dict[str, RestartReply] = {}
        self._first_round_process_ids: dict[str, int] = {}
        self._known_process_ids: set[int] = set()

    def is_round_due(self, now: float) -> bool:
        """Return whether to query all other voters now."""
        return not self.has_seen_leader and now >= self._next_round_at

    def record_process(self, process_id: int, now: float) -> None:
        """Make new rounds due at once if another voter has started, as they may now succeed."""
        if process_id not in self._known_process_ids:
            self._known_process_ids.add(process_id)
            self._next_round_at = now

    def start_first_round(self, now: float) -> int:
        """Start the first round of a pair and return its number."""
        self._first_round_process_ids = {}
        self._next_round_at = now + ROUND_INTERVAL_S
        return self._start_round()

    def start_second_round(self) -> int:
        """Start the second round of a pair and return its number."""
        self._first_round_process_ids = self._process_ids
        return self._start_round()

    def _start_round(self) -> int:
        self._replies_by_voter = {}
        self.round_number += 1
        return self.round_number

    @property
    def _process_ids(self) -> dict[str, int]:
        return {voter: reply.process for voter, reply in self._replies_by_voter.items()}

    @property
    def is_second_round(self) -> bool:
        """Return whether the second round of a pair is in progress."""
        return bool(self._first_round_process_ids)

    @property
    def confirmed_process_ids(self) -> dict[str, int]:
        """Process ids of the other voters, or empty if the two rounds had different ones."""
        return self._process_ids if self._process_ids == self._first_round_process_ids else {}

    def has_newest_log(self, last_term: int, last_index: int) -> bool:
        """Return whether no other voter has a newer log, or an equal log and a lower id."""
        own_position = (-last_term, -last_index, self._instance_id)
        replies = self._replies_by_voter.values()
        return all(own_position < (-r.last_term, -r.last_index, r.voter_id) for r in replies)

    def record_reply(self, reply: RestartReply, voters: Collection[str]) -> bool:
        """Record a reply; return whether all other voters have now replied "no leader".

        A reply that lists voters outside ``voters`` makes the round fail.
        """
        if reply.round != self.round_number or self.has_seen_leader or not reply.is_leaderless:
            return False
        if not set(reply.voter_ids) <= set(voters):
            return False
        self._replies_by_voter[reply.voter_id] = reply
        return set(self._replies_by_voter) >= set(voters) - {self._instance_id}

    def is_early_vote_safe(self, voter_process: int) -> bool:
        """Return whether a vote can be granted without waiting for the election timeout.

        This is so if the candidate has queried this process and the process has seen no leader
        since: the rounds have shown that no read lease can rely on this voter.
        """
        return voter_process == self.process_id and not self.has_seen_leader
