"""Generations of a bucket's token."""

from __future__ import annotations

import msgspec


class Generation(msgspec.Struct, array_like=True, frozen=True, order=True):
    """Age of a token: a takeover starts at (epoch, 0), each grant adds 1 to the counter."""

    epoch: int
    counter: int

    @property
    def successor(self) -> Generation:
        """The generation of the next grant."""
        return Generation(self.epoch, self.counter + 1)
