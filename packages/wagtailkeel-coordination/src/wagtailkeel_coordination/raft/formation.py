"""Forming a cluster, once.

An instance with an empty data folder votes only after it has heard from every control instance in
the settings that none belongs to a cluster, or when a formed instance names this very folder as a
voter. A wiped instance therefore never votes as its predecessor: it stays without a vote until
the log admits its new identity.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_protocol.raft_messages import FormationReply

if TYPE_CHECKING:
    from collections.abc import Iterable


def find_initial_voters(
    own_id: str, own_identity: str, founder_ids: Iterable[str], replies: list[FormationReply]
) -> dict[str, str] | None:
    """Return the identities of the initial voters by id, or None while they are not known."""
    for reply in replies:
        if reply.voters_by_id:
            is_voter = reply.voters_by_id.get(own_id) == own_identity
            return reply.voters_by_id if is_voter else None
    identities = {reply.instance_id: reply.identity for reply in replies}
    identities[own_id] = own_identity
    return identities if set(identities) == set(founder_ids) else None
