"""Agents, their servers, balancers and callers in virtual time, judged by resets of open flows."""

from __future__ import annotations

from wagtailkeel_bench.flow_simulation.flow_checks import FlowCheckError
from wagtailkeel_bench.flow_simulation.flow_history import FlowHistory
from wagtailkeel_bench.flow_simulation.flow_history import draw_flow_history
from wagtailkeel_bench.flow_simulation.player import play_flow_history
from wagtailkeel_bench.flow_simulation.player import shrink_flow_history

__all__ = [
    "FlowCheckError",
    "FlowHistory",
    "draw_flow_history",
    "play_flow_history",
    "shrink_flow_history",
]
