"""Ids of the incarnations of a node."""

from __future__ import annotations

from random import SystemRandom

BOOT_ID_BITS = 53


def generate_boot_id() -> int:
    """Return a random number that identifies one incarnation of a node."""
    return SystemRandom().getrandbits(BOOT_ID_BITS)
