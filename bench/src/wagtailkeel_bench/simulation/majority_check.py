"""Which side of a partition may acknowledge a command, and who must know of it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wagtailkeel_bench.simulation.invariants import InvariantError

if TYPE_CHECKING:
    from collections.abc import Collection

    from wagtailkeel_bench.simulation.control_process import ControlProcess

APPLY_TIMEOUT_S = 3.0
"""Nodes that reach most instances obey a command that was acknowledged longer ago."""


class MajorityCheck:
    """Compares acknowledgements with the instances that run and reach each other.

    A side is a set of instances that have run and reached each other for long enough to count. The
    nodes that reach a side with more than half of all instances obey what that side has applied, so
    nobody else may acknowledge, and that side must apply what was acknowledged.
    """

    def __init__(self) -> None:
        self._acknowledged_at_by_id: dict[str, float] = {}

    def on_acknowledged(
        self, name: str, command_id: str, now: float, other_majority: Collection[ControlProcess]
    ) -> None:
        """A majority that an instance is cut off from has stored what the instance acknowledges."""
        self._acknowledged_at_by_id.setdefault(command_id, now)
        if other_majority and not any(process.has_stored(command_id) for process in other_majority):
            names = sorted(process.instance.name for process in other_majority)
            raise InvariantError(
                f"{name} acknowledges {command_id}, but {', '.join(names)}, which are most of the"
                " instances, reach each other without it"
            )

    def check_majority(self, side: Collection[ControlProcess], now: float) -> None:
        """Each instance of the majority has applied what was acknowledged some time ago."""
        expected = {
            command_id
            for command_id, acknowledged_at in self._acknowledged_at_by_id.items()
            if acknowledged_at < now - APPLY_TIMEOUT_S
        }
        for process in side:
            missing = expected - set(process.config.answers_by_command_id)
            if missing:
                raise InvariantError(
                    f"{process.instance.name} is with the majority and lacks {sorted(missing)[:3]}"
                )
