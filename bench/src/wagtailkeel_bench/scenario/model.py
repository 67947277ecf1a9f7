"""Structures of a parsed scenario."""

from __future__ import annotations

import operator
from collections.abc import Callable

import msgspec

COMPARISONS: dict[str, Callable[[float, float], bool]] = {
    "<=": operator.le,
    ">=": operator.ge,
    "==": operator.eq,
    "<": operator.lt,
    ">": operator.gt,
}


class FeedTraffic(msgspec.Struct):
    """Long flows, opened over a span of ``over_s``, with a keep-alive request per interval.

    ``class_path`` is SERVICE/CLASS.
    """

    count: int
    class_path: str
    interval_s: float
    over_s: float


class RequestTraffic(msgspec.Struct):
    """Short requests at a mean rate per second.

    ``work_ms`` is the service time at speed 1, ``parts`` the number of packets of an answer.
    """

    rate: float
    class_path: str
    work_ms: float
    parts: int = 1


class Step(msgspec.Struct):
    """An action, ``at_s`` seconds after the traffic has started."""

    at_s: float
    verb: str
    arguments: list[str]
    line: int


class Expectation(msgspec.Struct):
    """A bound on one value of the result, which ``path`` identifies by dotted keys."""

    path: str
    comparison: str
    bound: float

    def is_met(self, value: float) -> bool:
        """Return whether a value is within the bound."""
        return COMPARISONS[self.comparison](value, self.bound)

    def __str__(self) -> str:
        return f"{self.path} {self.comparison} {self.bound:g}"


class Scenario(msgspec.Struct):
    """The statements of one scenario file."""

    deployment: str = "marshals"
    balancers: int | None = None
    controls: int | None = None
    absent: list[str] = []
    warmup_s: float = 0.0
    duration_s: float = 10.0
    feeds: list[FeedTraffic] = []
    requests: list[RequestTraffic] = []
    fabric_rule: dict[str, float] = {}
    network_rule: dict[str, float] = {}
    steps: list[Step] = []
    expectations: list[Expectation] = []
    has_baseline: bool = False
