"""The answers to one round of vote requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_coordination.raft.quorum import majority_of

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping

    from wagtailkeel_protocol.raft_messages import VoteReply


class VoteCount:
    """Which voters have granted or refused their vote in one round.

    ``lost`` are the voters at whose address an instance with another data folder has answered:
    they have lost their disk, so neither can they vote any more nor can what they stored be read.
    A voter is left out only if an earlier round has shown that its identity is among
    ``lost_identities``: otherwise all candidates would go on at the moment when the lost voter
    answers, and split the votes.
    """

    __slots__ = ("_identities_by_id", "_lost_identities", "_round", "granted", "lost", "refused")

    def __init__(
        self,
        round_number: int,
        identities_by_id: Mapping[str, str],
        candidate_id: str,
        lost_identities: Collection[str] = (),
    ) -> None:
        self.granted = {candidate_id}
        self.refused: set[str] = set()
        self.lost: set[str] = set()
        self._round = round_number
        self._identities_by_id = dict(identities_by_id)
        self._lost_identities = set(lost_identities)

    def record(self, reply: VoteReply) -> None:
        """Record the reply of an instance that was sent a request; other instances don't count.

        A reply to an earlier round may be older than the identity that is a voter now, so it does
        not show that this one is lost.
        """
        identity = self._identities_by_id.get(reply.voter_id)
        if identity is None:
            return
        if reply.voter_identity != identity:
            if reply.round == self._round:
                self.lost.add(reply.voter_id)
        elif reply.is_granted:
            self.granted.add(reply.voter_id)
        else:
            self.refused.add(reply.voter_id)

    @property
    def quorum(self) -> int:
        """Number of voters that form a majority."""
        return majority_of(len(self._identities_by_id))

    @property
    def has_quorum(self) -> bool:
        """Return whether a majority has granted its vote."""
        return len(self.granted) >= self.quorum

    @property
    def has_quorum_without_one(self) -> bool:
        """Return whether the votes are a majority of the voters without one that is lost."""
        return len(self.granted) >= majority_of(len(self._identities_by_id) - 1)

    @property
    def known_lost(self) -> set[str]:
        """Voters that were known to be lost before this round."""
        return {
            voter
            for voter, identity in self._identities_by_id.items()
            if identity in self._lost_identities
        }

    @property
    def all_lost_identities(self) -> set[str]:
        """Identities that are known to be lost after this round."""
        return self._lost_identities | {self._identities_by_id[voter] for voter in self.lost}

    @property
    def silent(self) -> set[str]:
        """Voters that have not answered."""
        return set(self._identities_by_id) - self.granted - self.refused - self.lost
