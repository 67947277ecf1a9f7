"""Ways to place and to turn away flows: that of the product, and earlier or simpler ones."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from wagtailkeel_coordination.handshake.server_choice import ServerChoice
from wagtailkeel_coordination.handshake.server_choice import choose_server

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable
    from random import Random

    from wagtailkeel_coordination.handshake.server_choice import PeerLoad

Address = tuple[str, int]


class Policy(msgspec.Struct, frozen=True):
    """How a server is chosen, and whether openings are turned away where requests wait."""

    choose: ServerChoice
    limits_queue: bool


def choose_at_random(
    candidates: Iterable[PeerLoad], data_centre: str, tried: Collection[Address], random: Random
) -> PeerLoad | None:
    """Return any candidate that was not tried, whatever its load."""
    left = [peer for peer in candidates if peer.address not in tried]
    return random.choice(left) if left else None


POLICIES_BY_NAME = {
    "random": Policy(choose_at_random, limits_queue=False),
    "least-wait": Policy(choose_server, limits_queue=False),
    "least-wait-limited": Policy(choose_server, limits_queue=True),
}
"""The last one is the product's."""
