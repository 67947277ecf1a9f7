"""The one-time formation of a cluster.

An instance with an empty data folder votes only after every control instance in the settings has
replied that it belongs to no cluster, or when a member of a cluster lists the identity of this
data folder as a voter. A wiped instance therefore never votes as its predecessor: it has no vote
until a log entry adds its new identity to the voters.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_protocol.raft_messages import FormationReply

if TYPE_CHECKING:
    from collections.abc import Iterable


def find_initial_voters(
    own_id: str, own_identity: str, founder_ids: Iterable[str], replies: list[FormationReply]
) -> dict[str, str] | None:
    """Return the identities of the initial voters by instance id, or None.

    None means that a founder has not replied, or that a cluster exists in which this instance's
    identity is no voter.
    """
    for reply in replies:
        if reply.voters_by_id:
            is_voter = reply.voters_by_id.get(own_id) == own_identity
            return reply.voters_by_id if is_voter else None
    identities = {reply.instance_id: reply.identity for reply in replies}
    identities[own_id] = own_identity
    return identities if set(identities) == set(founder_ids) else None
