"""Click parameter type for targets."""

from __future__ import annotations

import click

from wagtailkeel_state.target import Target


class TargetType(click.ParamType[Target]):
    """Parses targets such as 'p99<200ms' and 'held<2000'."""

    name = "target"

    def convert(
        self, value: object, param: click.Parameter | None, ctx: click.Context | None
    ) -> Target:
        """Parse a target; fail with the expected formats if the text has neither."""
        if isinstance(value, Target):
            return value
        try:
            return Target.parse(str(value))
        except ValueError as error:
            self.fail(str(error), param, ctx)


TARGET = TargetType()
