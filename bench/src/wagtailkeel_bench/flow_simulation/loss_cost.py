"""What callers get on flows that are truly lost: resets, and how long they wait."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_bench.flow_simulation.flow_history import FlowFault
from wagtailkeel_bench.flow_simulation.flow_history import FlowFaultKind
from wagtailkeel_bench.flow_simulation.flow_history import FlowHistory
from wagtailkeel_bench.flow_simulation.flow_outcomes import LostFlowOutcome
from wagtailkeel_bench.flow_simulation.player import play_flow_history

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wagtailkeel_bench.flow_simulation.flow_outcomes import LostFlow

RECOVERY_S = 20.0
"""Callers that pause for long have given up by then too."""
_GONE = FlowFault(8.0, FlowFaultKind.LOSE_BOTH, 1)
LOSSES_BY_NAME: dict[str, tuple[FlowFault, ...]] = {
    "agent and server gone for good": (_GONE,),
    "server back after 0.05 s": (FlowFault(8.0, FlowFaultKind.CRASH_SERVER, 2, 0.05),),
    "server back after 2.5 s": (FlowFault(8.0, FlowFaultKind.CRASH_SERVER, 2, 2.5),),
    "server away for 15 s": (FlowFault(8.0, FlowFaultKind.CRASH_SERVER, 2, 15.0),),
    "agent gone, another server back after 2.5 s": (
        _GONE,
        FlowFault(12.0, FlowFaultKind.CRASH_SERVER, 2, 2.5),
    ),
    "all power lost for 3 s": (FlowFault(8.0, FlowFaultKind.POWER_LOSS, 0, 3.0),),
    "all power lost for 3 s, one agent gone": (
        _GONE,
        FlowFault(8.0, FlowFaultKind.POWER_LOSS, 0, 3.0),
    ),
}


def measure_loss(name: str, seeds: Iterable[int], deadline_s: float) -> str:
    """Play one kind of loss with many seeds; return a line of what callers of lost flows got."""
    lost: list[LostFlow] = []
    wrong_resets = 0
    for seed in seeds:
        history = FlowHistory(
            seed, LOSSES_BY_NAME[name], deadline_s=deadline_s, recovery_s=RECOVERY_S
        )
        outcomes = play_flow_history(history, stops=False)
        lost += outcomes.lost
        wrong_resets += outcomes.wrong_resets
    resets = sorted(flow.waited_s for flow in lost if flow.outcome is LostFlowOutcome.RESET)
    given_up = sum(flow.outcome is LostFlowOutcome.UNANSWERED for flow in lost)
    return (
        f"{name}: {len(lost)} flows lost, {len(resets)} reset after"
        f" {_quantile(resets, 0.5):.2f} s (median), {_quantile(resets, 0.95):.2f} s (95%),"
        f" {given_up} given up after {deadline_s:g} s; {wrong_resets} resets of held flows"
    )


def _quantile(ordered: list[float], share: float) -> float:
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else float("nan")
