"""Loads: the request rate of one service and the capacity of its servers."""

from __future__ import annotations

from typing import Literal

import msgspec


class RequestClass(msgspec.Struct, frozen=True, kw_only=True):
    """Requests with a route of their own; times in seconds.

    ``share`` is relative to the load's other classes, ``work_factor`` to its mean work. A request
    that is not ``is_idempotent`` is sent again only if no server has run it.
    """

    name: str
    target_s: float
    timeout_s: float
    share: float = 1.0
    priority: int = 0
    work_factor: float = 1.0
    is_idempotent: bool = True


class Surge(msgspec.Struct, frozen=True, kw_only=True):
    """From ``start_s`` to ``end_s``, ``factor`` times the usual rate.

    It concerns one class and one data centre, or all of them where none is named.
    """

    start_s: float
    end_s: float
    factor: float
    request_class: str | None = None
    data_centre: int | None = None


class ServerFault(msgspec.Struct, frozen=True, kw_only=True):
    """From ``start_s`` to ``end_s``, the first ``servers`` servers fail a ``share`` of requests.

    They reset the flow ("reset") or do not answer requests ("mute"), ignore openings too ("hang"),
    or alternate between resetting requests and normal operation ("flap"), each for half of
    ``period_s``. They report that they are healthy.
    """

    how: Literal["reset", "mute", "hang", "flap"]
    servers: int
    start_s: float
    end_s: float
    share: float = 1.0
    period_s: float = 2.0

    def is_active(self, now: float) -> bool:
        """Return whether requests fail at a time since the start."""
        is_up = self.how == "flap" and (now - self.start_s) % self.period_s >= self.period_s / 2
        return self.start_s <= now < self.end_s and not is_up


class Load(msgspec.Struct, frozen=True, kw_only=True):
    """The servers of one service and its request rate; times in seconds, rates per second.

    ``server_speeds`` has one entry per server; at speed 1.0 a request takes ``mean_work_s`` on
    average, with the coefficient of variation ``work_cv``. A server works on ``slots`` requests at
    once, queues up to ``queue_limit`` more and sheds the rest. From ``surge_start_s`` to
    ``surge_end_s`` requests arrive at ``surge_requests_per_s``. For the first ``cold_s`` servers
    are slower by ``cold_factor``. With ``cold_openings_per_s`` they take only so many openings a
    second meanwhile, and their agents know it. Servers and callers are spread over
    ``data_centres`` data centres, callers by ``data_centre_shares`` if there are any.

    Without ``classes``, there is one class with the load's target and deadline. With
    ``is_flow_per_request``, callers open a flow for each request, repeat the opening until it is
    answered, and close the flow; without, they keep flows open. For the first ``agents_start_s``
    no agent runs, as after a power failure; ``cold_s`` counts from the same start.
    """

    summary: str
    server_speeds: tuple[float, ...]
    slots: int = 1
    queue_limit: int = 8
    requests_per_s: float
    surge_requests_per_s: float = 0.0
    surge_start_s: float = 0.0
    surge_end_s: float = 0.0
    mean_work_s: float = 0.02
    work_cv: float = 0.5
    target_s: float = 0.1
    deadline_s: float = 1.0
    users: int = 150
    duration_s: float = 20.0
    cold_s: float = 0.0
    cold_factor: float = 1.0
    cold_openings_per_s: float = 0.0
    data_centres: int = 1
    data_centre_shares: tuple[float, ...] = ()
    classes: tuple[RequestClass, ...] = ()
    surges: tuple[Surge, ...] = ()
    server_fault: ServerFault | None = None
    is_flow_per_request: bool = False
    agents_start_s: float = 0.0

    @property
    def request_classes(self) -> tuple[RequestClass, ...]:
        """The classes of requests, at least one."""
        default = RequestClass(name="all", target_s=self.target_s, timeout_s=self.deadline_s)
        return self.classes or (default,)

    def rate_at(self, now: float, request_class: RequestClass, data_centre: int | None) -> float:
        """Return the request rate of a class at a time since the start.

        ``data_centre`` is that of the callers, or None for callers of all data centres.
        """
        is_surge = self.surge_start_s <= now < self.surge_end_s
        rate = self.surge_requests_per_s if is_surge else self.requests_per_s
        rate *= request_class.share / sum(entry.share for entry in self.request_classes)
        if data_centre is not None:
            rate *= self.data_centre_shares[data_centre] / sum(self.data_centre_shares)
        for surge in self.surges:
            is_concerned = surge.request_class in (None, request_class.name)
            is_concerned = is_concerned and surge.data_centre in (None, data_centre)
            if is_concerned and surge.start_s <= now < surge.end_s:
                rate *= surge.factor
        return rate


_LOOKUP = RequestClass(name="lookup", share=7.0, priority=2, target_s=0.24, timeout_s=1.8)
_PAYMENT = RequestClass(
    name="payment",
    share=2.0,
    priority=1,
    target_s=0.24,
    timeout_s=1.8,
    work_factor=1.3,
    is_idempotent=False,
)
_SHORT_REQUESTS = Load(
    summary="short requests on flows of their own to 42 servers in three data centres, 12% busy",
    server_speeds=(1.0,) * 42,
    slots=2,
    requests_per_s=740.0,
    mean_work_s=0.0133,
    work_cv=1.3,
    data_centres=3,
    data_centre_shares=(1.0, 1.0, 1.1),
    classes=(_LOOKUP, _PAYMENT),
    is_flow_per_request=True,
    duration_s=12.0,
)
_LONG_REQUESTS = Load(
    summary="long requests on flows of their own to 36 unlike servers, 46% busy",
    server_speeds=(0.55, 1.2, 1.2, 1.2) * 9,
    slots=3,
    queue_limit=20,
    requests_per_s=730.0,
    mean_work_s=0.066,
    data_centres=4,
    data_centre_shares=(1.2, 0.9, 1.0, 1.1),
    classes=(
        msgspec.structs.replace(_LOOKUP, target_s=0.437, timeout_s=5.2),
        msgspec.structs.replace(_PAYMENT, target_s=0.545, timeout_s=6.1),
    ),
    is_flow_per_request=True,
    duration_s=12.0,
)
_FEW_SERVERS = msgspec.structs.replace(
    _SHORT_REQUESTS, server_speeds=(1.0,) * 9, requests_per_s=580.0
)

LOADS_BY_NAME = {
    "short-requests": _SHORT_REQUESTS,
    "long-requests": _LONG_REQUESTS,
    "burst": msgspec.structs.replace(
        _LONG_REQUESTS,
        summary="2.5 times the usual load of long requests for six seconds, more than servers bear",
        surges=(Surge(start_s=3.0, end_s=9.0, factor=2.5),),
    ),
    "class-surge": msgspec.structs.replace(
        _FEW_SERVERS,
        summary="lookups come ten times as often for four seconds, more than the servers bear",
        surges=(Surge(start_s=3.0, end_s=7.0, factor=10.0, request_class="lookup"),),
    ),
    "data-centre-surge": msgspec.structs.replace(
        _FEW_SERVERS,
        summary="one data centre's callers send ten times as much for four seconds",
        surges=(Surge(start_s=3.0, end_s=7.0, factor=10.0, data_centre=0),),
    ),
    "power-return": msgspec.structs.replace(
        _LONG_REQUESTS,
        summary="callers go on while all instances restart and their servers are cold for 2 s",
        agents_start_s=1.2,
        cold_s=3.2,
        cold_factor=1.6,
        cold_openings_per_s=5.0,
    ),
    "resetting-servers": msgspec.structs.replace(
        _LONG_REQUESTS,
        summary="a tenth of the servers resets all requests for five seconds",
        server_fault=ServerFault(how="reset", servers=4, start_s=3.0, end_s=8.0),
    ),
    "mute-servers": msgspec.structs.replace(
        _LONG_REQUESTS,
        summary="a tenth of the servers leaves half of the requests unanswered for six seconds",
        server_fault=ServerFault(how="mute", servers=4, start_s=3.0, end_s=9.0, share=0.5),
    ),
    "hanging-servers": msgspec.structs.replace(
        _LONG_REQUESTS,
        summary="a tenth of the servers answers neither openings nor requests for five seconds",
        server_fault=ServerFault(how="hang", servers=4, start_s=3.0, end_s=8.0),
    ),
    "flapping-servers": msgspec.structs.replace(
        _LONG_REQUESTS,
        summary="a tenth of the servers resets all requests in every other second",
        server_fault=ServerFault(how="flap", servers=4, start_s=3.0, end_s=9.0),
    ),
    "half-resetting": msgspec.structs.replace(
        _LONG_REQUESTS,
        summary="half of the servers resets a third of the requests for five seconds",
        server_fault=ServerFault(how="reset", servers=18, start_s=3.0, end_s=8.0, share=0.33),
    ),
    "unlike-servers": Load(
        summary="servers of different speeds with one slot each, 45% busy",
        server_speeds=(0.6, 1.0, 1.6, 0.6, 1.0, 1.6, 1.0),
        requests_per_s=160.0,
    ),
    "small-service": Load(
        summary="a route has moved to two servers with slightly too little capacity for it",
        server_speeds=(1.0, 1.0),
        slots=2,
        requests_per_s=215.0,
    ),
    "surge": Load(
        summary="1.7 times the usual load for three seconds, more than the servers can handle",
        server_speeds=(1.0, 1.0, 1.0),
        slots=2,
        requests_per_s=200.0,
        surge_requests_per_s=340.0,
        surge_start_s=6.0,
        surge_end_s=9.0,
    ),
    "all-return": Load(
        summary="all callers return at once to servers that are slow for the first two seconds",
        server_speeds=(1.0, 1.0, 1.0),
        slots=2,
        requests_per_s=210.0,
        cold_s=2.0,
        cold_factor=1.6,
    ),
    "all-cold": Load(
        summary="all callers return at once to servers that take five openings a second until warm",
        server_speeds=(0.6, 1.0, 1.6, 0.6, 1.0, 1.6, 1.0),
        slots=5,
        queue_limit=36,
        requests_per_s=200.0,
        mean_work_s=0.066,
        target_s=0.27,
        deadline_s=4.0,
        users=300,
        cold_s=1.3,
        cold_factor=1.6,
        cold_openings_per_s=5.0,
    ),
    "many-servers": Load(
        summary="109 unlike servers with one slot each in five data centres, half busy",
        server_speeds=tuple((0.6, 1.0, 1.6)[number % 3] for number in range(109)),
        requests_per_s=2_600.0,
        mean_work_s=0.022,
        target_s=0.12,
        deadline_s=2.4,
        users=2_000,
        data_centres=5,
    ),
}
