"""Plays histories of faults in virtual time and prints those that fail."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol
from typing import TypeVar

import click

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Sequence


class FaultHistory(Protocol):
    """A history that was drawn from a seed."""

    @property
    def seed(self) -> int:
        """The seed of the history."""

    @property
    def faults(self) -> Sequence[object]:
        """The faults in the order of their begin."""


History = TypeVar("History", bound=FaultHistory)


def report_broken_histories(
    histories: Iterable[History],
    play: Callable[[History], object],
    shrink: Callable[[History], History],
    error_type: type[Exception],
) -> int:
    """Play histories, print the faults of those that raise the error, and return their number.

    ``shrink`` leaves out faults of a broken history that it does not need to break.
    """
    played = broken = 0
    for history in histories:
        played += 1
        try:
            play(history)
        except error_type as error:
            broken += 1
            click.echo(f"seed {history.seed}: {error}")
            for fault in shrink(history).faults:
                click.echo(f"  {fault}")
    click.echo(f"{played} histories, {broken} broken")
    return broken
