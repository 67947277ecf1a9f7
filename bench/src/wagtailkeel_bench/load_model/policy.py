"""Policies that place and refuse flows: wagtailkeel's own, and earlier or simpler ones."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from msgspec.structs import replace

from wagtailkeel_coordination.handshake import RouterOptions
from wagtailkeel_coordination.handshake import SampleSize
from wagtailkeel_coordination.handshake.router_options import DEFAULT_OPTIONS
from wagtailkeel_coordination.handshake.server_choice import ServerChoice
from wagtailkeel_coordination.handshake.server_choice import choose_server

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable
    from random import Random

    from wagtailkeel_coordination.handshake.server_choice import PeerLoad

Address = tuple[str, int]


class Policy(msgspec.Struct, frozen=True):
    """How a server is chosen and whether openings are rejected while too many requests wait.

    ``sample_size`` are the agents whose load is requested for each opening; if it is None, every
    agent reports its load to all others ten times a second.
    """

    choose: ServerChoice
    has_queue_limit: bool
    sample_size: SampleSize | None = None
    options: RouterOptions = DEFAULT_OPTIONS


def choose_random_server(
    candidates: Iterable[PeerLoad], data_centre: str, tried: Collection[Address], random: Random
) -> PeerLoad | None:
    """Return a random candidate that was not tried, whatever its load, or None."""
    untried = [peer for peer in candidates if peer.address not in tried]
    return random.choice(untried) if untried else None


MAX_OPENING_WAIT_S = 1.3
"""Callers give up an opening after 1.4 s, so one that is delivered later is answered in vain."""


def _build_sampled(options: RouterOptions) -> Policy:
    """Return the policy of wagtailkeel with optional decisions."""
    return Policy(choose_server, has_queue_limit=True, sample_size=SampleSize(), options=options)


_QUEUE_WHEN_COLD = RouterOptions(max_opening_wait_s=MAX_OPENING_WAIT_S)

POLICIES_BY_NAME = {
    "random": Policy(choose_random_server, has_queue_limit=False),
    "least-wait": Policy(choose_server, has_queue_limit=False),
    "least-wait-limited": Policy(choose_server, has_queue_limit=True),
    "sampled-2": Policy(choose_server, has_queue_limit=True, sample_size=SampleSize(1, 1)),
    "sampled-unqueued": _build_sampled(DEFAULT_OPTIONS),
    "sampled": _build_sampled(_QUEUE_WHEN_COLD),
    "sampled-outliers": _build_sampled(replace(_QUEUE_WHEN_COLD, outlier_detection=True)),
    "aged-loads": _build_sampled(replace(_QUEUE_WHEN_COLD, placement="aged_loads")),
    "sampled-queued": _build_sampled(replace(_QUEUE_WHEN_COLD, queue_when_busy=True)),
    "sampled-admission": _build_sampled(replace(_QUEUE_WHEN_COLD, priority_admission=True)),
}
"""``sampled`` is the policy of wagtailkeel without optional decisions."""
