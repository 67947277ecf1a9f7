"""Control instances in virtual time, under random histories of faults and replacements."""

from __future__ import annotations

from wagtailkeel_bench.simulation.history import History
from wagtailkeel_bench.simulation.history import draw_history
from wagtailkeel_bench.simulation.invariants import InvariantError
from wagtailkeel_bench.simulation.partition_history import draw_partition_history
from wagtailkeel_bench.simulation.runner import play
from wagtailkeel_bench.simulation.runner import shrink

__all__ = ["InvariantError", "History", "draw_history", "draw_partition_history", "play", "shrink"]
