"""The answers to one round of vote requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from wagtailkeel_protocol.raft_messages import VoteReply


class VoteCount:
    """Which voters have granted or refused their vote in one round.

    ``lost`` are the voters at whose address an instance with another data folder has answered:
    they have lost their disk, so neither can they vote any more nor can what they stored be read.
    """

    __slots__ = ("_identities_by_id", "_round", "granted", "lost", "quorum", "refused")

    def __init__(
        self, round_number: int, identities_by_id: Mapping[str, str], candidate_id: str, quorum: int
    ) -> None:
        self.quorum = quorum
        self.granted = {candidate_id}
        self.refused: set[str] = set()
        self.lost: set[str] = set()
        self._round = round_number
        self._identities_by_id = dict(identities_by_id)

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
    def silent(self) -> set[str]:
        """Voters that have not answered."""
        return set(self._identities_by_id) - self.granted - self.refused - self.lost
