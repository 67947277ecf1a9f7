"""The target that operators set for a traffic class."""

from __future__ import annotations

from enum import Enum

import msgspec


class TargetKind(str, Enum):
    """The quantity that a target bounds."""

    RESPONSE_TIME = "response-time"
    HELD_FLOWS = "held-flows"


class Target(msgspec.Struct, frozen=True):
    """Upper limit of a response time percentile (milliseconds) or of held flows per server."""

    kind: TargetKind
    limit: float
    percentile: float = 99.0
    importance: int = 1

    @classmethod
    def parse(cls, text: str, importance: int = 1) -> Target:
        """Parse ``p99<200ms`` or ``held<2000``; raise ValueError that shows the expected forms."""
        metric, separator, bound = text.replace(" ", "").partition("<")
        try:
            if separator and metric == "held":
                return cls(TargetKind.HELD_FLOWS, _parse_positive(bound), importance=importance)
            if separator and metric.startswith("p") and bound.endswith("ms"):
                percentile = float(metric[1:])
                if not 0 < percentile < 100:
                    raise ValueError(text)
                limit_ms = _parse_positive(bound[:-2])
                return cls(TargetKind.RESPONSE_TIME, limit_ms, percentile, importance)
        except ValueError:
            pass
        raise ValueError(f"invalid target {text!r}; expected e.g. 'p99<200ms' or 'held<2000'")

    def __str__(self) -> str:
        if self.kind is TargetKind.HELD_FLOWS:
            return f"held<{self.limit:g}"
        return f"p{self.percentile:g}<{self.limit:g}ms"


def _parse_positive(text: str) -> float:
    value = float(text)
    if not 0 < value < float("inf"):
        raise ValueError(text)
    return value
