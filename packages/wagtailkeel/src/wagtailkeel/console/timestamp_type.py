"""Moments with their zone as a parameter type of click."""

from __future__ import annotations

from datetime import datetime

import click


class TimestampType(click.ParamType[datetime]):
    """Reads ISO 8601 with an offset, such as 2027-01-10T01:00+05:30."""

    name = "moment"

    def convert(
        self, value: object, param: click.Parameter | None, ctx: click.Context | None
    ) -> datetime:
        """Return the moment; one without a zone is refused, since zones differ among sites."""
        if isinstance(value, datetime):
            return value
        try:
            timestamp = datetime.fromisoformat(str(value).replace("Z", "+00:00"))
        except ValueError:
            self.fail(f"{value!r} is not like 2027-01-10T01:00+05:30", param, ctx)
        if timestamp.tzinfo is None:
            self.fail(f"{value!r} names no zone; add one such as +05:30 or Z", param, ctx)
        return timestamp


TIMESTAMP = TimestampType()
