"""A control instance of a history, which outlives its processes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_bench.simulation.simulated_disk import SimulatedDisk

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

MAX_DELAY_S = 0.002


class Instance:
    """The disk and the links of a control instance.

    No message reaches an instance that ``is_deaf``, and none leaves one that ``is_mute``. While it
    ``is_frozen``, messages that arrive are held. One that ``has_left`` never starts again.
    """

    def __init__(self, name: str, folder: Path) -> None:
        self.name = name
        self.disk = SimulatedDisk(folder / name)
        self.max_delay_s = MAX_DELAY_S
        self.is_frozen = False
        self.is_deaf = False
        self.is_mute = False
        self.has_left = False
        self.held_calls: list[Callable[[], None]] = []
