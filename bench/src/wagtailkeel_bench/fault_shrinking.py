"""Leaves out of a failing history what its failure does not need."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol
from typing import Self
from typing import TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable


class FaultHistory(Protocol):
    """A history of faults."""

    @property
    def faults(self) -> tuple[Any, ...]:
        """The faults in the order of their begin."""

    def without(self, fault: Any) -> Self:
        """Return the history without one fault."""


_History = TypeVar("_History", bound=FaultHistory)


def shrink_faults(history: _History, is_broken: Callable[[_History], bool]) -> _History:
    """Leave out faults one by one, until the history fails its check with all that are left."""
    known = history
    for fault in reversed(history.faults):
        smaller = history.without(fault)
        if is_broken(smaller):
            history = smaller
    return history if history is known else shrink_faults(history, is_broken)
