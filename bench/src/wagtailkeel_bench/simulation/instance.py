"""A control instance of a history, which outlives its processes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_bench.simulation.simulated_disk import SimulatedDisk

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

MAX_DELAY_S = 0.002
"""The longest network delay of a message between instances that are not slow."""


class Instance:
    """The disk and the links of a control instance.

    An instance that ``drops_inbound`` gets no message, and one that ``drops_outbound`` sends none.
    While it ``is_frozen``, messages that arrive are held. One that ``has_left`` never starts again.
    ``restored_at`` is when its last start or the end of its last fault was.
    """

    def __init__(self, name: str, folder: Path) -> None:
        self.name = name
        self.disk = SimulatedDisk(folder / name)
        self.max_delay_s = MAX_DELAY_S
        self.is_frozen = False
        self.drops_inbound = False
        self.drops_outbound = False
        self.has_left = False
        self.restored_at = 0.0
        self.held_calls: list[Callable[[], None]] = []

    @property
    def has_fault(self) -> bool:
        """Return whether the instance is suspended, cut off, or without a disk that works."""
        return self.is_frozen or self.drops_inbound or self.drops_outbound or self.disk.is_failing
