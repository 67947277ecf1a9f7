"""Click parameter type for timestamps with a UTC offset."""

from __future__ import annotations

from datetime import datetime

import click


class TimestampType(click.ParamType[datetime]):
    """Parses ISO 8601 with a UTC offset, such as 2027-01-10T01:00+05:30."""

    name = "moment"

    def convert(
        self, value: object, param: click.Parameter | None, ctx: click.Context | None
    ) -> datetime:
        """Parse a timestamp; one without an offset is rejected, since sites differ in time zone."""
        if isinstance(value, datetime):
            return value
        try:
            timestamp = datetime.fromisoformat(str(value).replace("Z", "+00:00"))
        except ValueError:
            self.fail(f"{value!r} is not a time such as 2027-01-10T01:00+05:30", param, ctx)
        if timestamp.tzinfo is None:
            self.fail(f"{value!r} has no UTC offset; add one such as +05:30 or Z", param, ctx)
        return timestamp


TIMESTAMP = TimestampType()
