"""Callers that send requests on flows and retry those that no server may have run."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import msgspec

from wagtailkeel_bench.load_model.model_server import FIRST_ROUTE_PORT
from wagtailkeel_bench.load_model.model_server import SHED_PAYLOAD
from wagtailkeel_protocol import packet as ip
from wagtailkeel_protocol.packet_builder import build_tcp

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from wagtailkeel_bench.event_scheduler import EventScheduler
    from wagtailkeel_bench.load_model.load import Load
    from wagtailkeel_bench.load_model.load import RequestClass
    from wagtailkeel_bench.load_model.results import Results

MAX_ATTEMPTS = 3
COPY_DELAYS_S = (0.2, 0.6)
"""When an opening is sent again, from its first transmission on."""
OPENING_TIMEOUT_S = 1.4
"""A caller gives up an opening that has had no answer for this long."""
MAX_RETRY_DELAY_S = 0.1
"""Callers with a flow for each request wait up to this long before the next attempt, at random."""
FIRST_PORT = 1_024
PORTS_PER_HOST = 60_000
REQUEST_PAYLOAD = b"q"


class ModelRequest(msgspec.Struct):
    """A request and the user whose flow carries it, if flows are kept open; times in seconds.

    ``key`` is the flow of the last attempt, ``is_open`` set once a server has answered its opening.
    """

    request_class: RequestClass
    class_index: int
    data_centre: int | None
    user: int | None
    started_at: float
    attempts: int = 0
    is_finished: bool = False
    key: bytes = b""
    is_open: bool = False


class ModelCallers:
    """Sends requests at random times, each class and data centre at its own rate.

    ``send`` gets a packet and the data centre of its caller. ``has_idle_server`` returns whether a
    server could have started a request that was refused.
    """

    def __init__(
        self,
        load: Load,
        address: bytes,
        scheduler: EventScheduler,
        random: Random,
        send: Callable[[bytes, int | None], None],
        has_idle_server: Callable[[], bool],
        results: Results,
    ) -> None:
        self._load = load
        self._address = address
        self._scheduler = scheduler
        self._random = random
        self._send = send
        self._has_idle_server = has_idle_server
        self._results = results
        self._idle_users = list(range(load.users))
        self._flow_by_user: dict[int, bytes] = {}
        self._request_by_key: dict[bytes, ModelRequest] = {}
        self._opened_flows = 0

    def start(self) -> None:
        """Schedule the first request of each class and data centre."""
        data_centres: list[int | None] = list(range(len(self._load.data_centre_shares)))
        data_centres = data_centres or [None]
        for index in range(len(self._load.request_classes)):
            for data_centre in data_centres:
                self._schedule_next(index, data_centre)

    def _schedule_next(self, index: int, data_centre: int | None) -> None:
        request_class = self._load.request_classes[index]
        rate = self._load.rate_at(self._scheduler.now, request_class, data_centre)
        delay_s = self._random.expovariate(rate)
        self._scheduler.call_later(delay_s, partial(self._start_request, index, data_centre))

    def _start_request(self, index: int, data_centre: int | None) -> None:
        self._schedule_next(index, data_centre)
        if not self._load.is_flow_per_request and not self._idle_users:
            self._results.record_no_idle_user()
            return
        user = None
        if not self._load.is_flow_per_request:
            user = self._idle_users.pop(self._random.randrange(len(self._idle_users)))
        request_class = self._load.request_classes[index]
        request = ModelRequest(request_class, index, data_centre, user, self._scheduler.now)
        self._scheduler.call_later(request_class.timeout_s, partial(self._on_deadline, request))
        self._attempt(request)

    def _attempt(self, request: ModelRequest) -> None:
        if request.is_finished:
            return
        request.attempts += 1
        key = None if request.user is None else self._flow_by_user.get(request.user)
        if key is not None:
            request.key = key
            request.is_open = True
            self._request_by_key[key] = request
            self._send_packet(request, ip.ACK, REQUEST_PAYLOAD)
            return
        request.key = self._generate_key(request)
        request.is_open = False
        self._request_by_key[request.key] = request
        self._send_packet(request, ip.SYN)
        if self._load.is_flow_per_request:
            self._schedule_copies(request)

    def _schedule_copies(self, request: ModelRequest) -> None:
        key = request.key
        for delay_s in COPY_DELAYS_S:
            self._scheduler.call_later(delay_s, lambda: self._repeat_opening(request, key))
        self._scheduler.call_later(OPENING_TIMEOUT_S, lambda: self._on_no_answer(request, key))

    def _repeat_opening(self, request: ModelRequest, key: bytes) -> None:
        if self._is_opening(request, key):
            self._send_packet(request, ip.SYN)

    def _on_no_answer(self, request: ModelRequest, key: bytes) -> None:
        if self._is_opening(request, key):
            self._on_failure(request)

    def _is_opening(self, request: ModelRequest, key: bytes) -> bool:
        return not request.is_finished and request.key == key and not request.is_open

    def _generate_key(self, request: ModelRequest) -> bytes:
        self._opened_flows += 1
        host, port = divmod(self._opened_flows, PORTS_PER_HOST)
        route_port = FIRST_ROUTE_PORT + request.class_index
        ports = (FIRST_PORT + port).to_bytes(2, "big") + route_port.to_bytes(2, "big")
        return bytes((100, 64, 0, host)) + self._address + ports + bytes((ip.TCP,))

    def _send_packet(self, request: ModelRequest, flags: int, payload: bytes = b"") -> None:
        number = 0 if flags & ip.SYN else 1
        self._send(build_tcp(request.key, number, number, flags, payload), request.data_centre)

    def on_packet(self, packet: bytes) -> None:
        """Process a packet that is returned to the callers."""
        reply_key = ip.parse_flow_key(packet)
        assert isinstance(reply_key, bytes), "the model must send only complete packets"
        key = ip.reverse_key(reply_key)
        request = self._request_by_key.get(key)
        if request is None:
            return
        flags = ip.tcp_flags(packet)
        payload = ip.payload_of(packet)
        if flags & ip.RST:
            self._on_reset(request)
        elif flags & ip.SYN:
            request.is_open = True
            if request.user is not None:
                self._flow_by_user[request.user] = key
            self._send_packet(request, ip.ACK, REQUEST_PAYLOAD)
        elif payload == SHED_PAYLOAD:
            self._results.shed += 1
            request.is_open = False
            self._on_failure(request)
        elif payload:
            del self._request_by_key[key]
            if self._load.is_flow_per_request:
                self._send_packet(request, ip.FIN | ip.ACK)
            self._finish(request, is_answered=True)

    def _on_reset(self, request: ModelRequest) -> None:
        if not request.is_open:
            self._results.record_refusal(
                request.request_class.name,
                request.data_centre,
                has_room=self._has_idle_server(),
            )
        self._on_failure(request)

    def _on_failure(self, request: ModelRequest) -> None:
        """Retry a request on a new flow, unless a server may have run it and it must not repeat."""
        self._request_by_key.pop(request.key, None)
        if request.user is not None:
            self._flow_by_user.pop(request.user, None)
        may_repeat = request.request_class.is_idempotent or not request.is_open
        if request.attempts >= MAX_ATTEMPTS or not may_repeat:
            self._finish(request, is_answered=False)
        elif self._load.is_flow_per_request:
            delay_s = self._random.uniform(0.0, MAX_RETRY_DELAY_S)
            self._scheduler.call_later(delay_s, lambda: self._attempt(request))
        else:
            self._attempt(request)

    def _on_deadline(self, request: ModelRequest) -> None:
        if request.is_finished:
            return
        self._request_by_key.pop(request.key, None)
        if request.user is not None:
            self._flow_by_user.pop(request.user, None)
        self._finish(request, is_answered=False)

    def _finish(self, request: ModelRequest, *, is_answered: bool) -> None:
        if request.is_finished:
            return
        request.is_finished = True
        if request.user is not None:
            self._idle_users.append(request.user)
        elapsed_s = self._scheduler.now - request.started_at
        self._results.record_request(
            request.started_at,
            elapsed_s,
            request.request_class,
            request.data_centre,
            request.attempts,
            is_answered=is_answered,
        )
