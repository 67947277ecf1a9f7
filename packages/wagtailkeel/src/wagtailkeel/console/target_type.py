"""Targets as a parameter type of click."""

from __future__ import annotations

import click

from wagtailkeel_state.target import Target


class TargetType(click.ParamType[Target]):
    """Reads 'p99<200ms' and 'held<2000'."""

    name = "target"

    def convert(
        self, value: object, param: click.Parameter | None, ctx: click.Context | None
    ) -> Target:
        """Return the target, or fail with the expected forms."""
        if isinstance(value, Target):
            return value
        try:
            return Target.parse(str(value))
        except ValueError as error:
            self.fail(str(error), param, ctx)


TARGET = TargetType()
