"""An opening that a directory owner is placing."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from wagtailkeel_protocol.relay import RelayFrame

Address = tuple[str, int]


class PendingOpening(msgspec.Struct):
    """An opening that is being placed; ``tag`` identifies ``service`` in frames.

    All its transmissions have the same ``initial_sequence``; ``attempt`` is the number of this one,
    from 0 on. ``sampled`` are the agents whose load
    was requested or known, ``pending`` those of them that have not answered. ``tried`` are the
    agents that have rejected it, ``queue_tried`` those of them that do not queue it either.
    ``former_target`` is the agent that got an earlier transmission, until its load is known.
    ``is_declined`` is set once an agent has declined the opening. ``target_s`` is its route's
    target response time in seconds.
    """

    frame: RelayFrame
    key: bytes
    initial_sequence: int
    attempt: int
    service: str
    tag: int
    tried: set[Address]
    queue_tried: set[Address]
    target_s: float
    former_target: Address | None = None
    sampled: list[Address] = msgspec.field(default_factory=list)
    pending: set[Address] = msgspec.field(default_factory=set)
    requested_at: float = 0.0
    is_declined: bool = False
