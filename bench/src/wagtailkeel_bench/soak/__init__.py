"""Randomized soak: the real processes under a random schedule of overlapping faults."""

from __future__ import annotations

from wagtailkeel_bench.soak.runner import run_soak
from wagtailkeel_bench.soak.runner import shrink
from wagtailkeel_bench.soak.schedule import Schedule
from wagtailkeel_bench.soak.schedule import draw_schedule

__all__ = ["Schedule", "draw_schedule", "run_soak", "shrink"]
