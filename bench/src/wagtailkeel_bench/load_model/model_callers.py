"""Callers that keep a flow open for many requests and try again when they are refused."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from wagtailkeel_bench.load_model.model_server import SHED
from wagtailkeel_protocol import packet as ip
from wagtailkeel_protocol.packet_builder import build_tcp

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from wagtailkeel_bench.load_model.load import Load
    from wagtailkeel_bench.load_model.results import Results
    from wagtailkeel_bench.load_model.timeline import Timeline

TRIES = 3
FIRST_PORT = 1_024
PORTS = 60_000
REQUEST = b"q"


class ModelRequest(msgspec.Struct):
    """A request and the flow that it uses; times in seconds."""

    user: int
    started_at: float
    tries: int = 0
    is_over: bool = False


class ModelCallers:
    """Requests come at random; each takes a user that has none, and that user's flow."""

    def __init__(
        self,
        load: Load,
        endpoint: bytes,
        timeline: Timeline,
        random: Random,
        send: Callable[[bytes], None],
        results: Results,
    ) -> None:
        self._load = load
        self._endpoint = endpoint
        self._timeline = timeline
        self._random = random
        self._send = send
        self._results = results
        self._free_users = list(range(load.users))
        self._flow_by_user: dict[int, bytes] = {}
        self._request_by_key: dict[bytes, ModelRequest] = {}
        self._flows = 0

    def start(self) -> None:
        """Begin to send."""
        self._schedule_next()

    def _schedule_next(self) -> None:
        delay_s = self._random.expovariate(self._load.rate_at(self._timeline.now))
        self._timeline.after(delay_s, self._begin)

    def _begin(self) -> None:
        self._schedule_next()
        if not self._free_users:
            self._results.note_no_user()
            return
        position = self._random.randrange(len(self._free_users))
        request = ModelRequest(self._free_users.pop(position), self._timeline.now)
        self._timeline.after(self._load.deadline_s, lambda: self._give_up(request))
        self._try(request)

    def _try(self, request: ModelRequest) -> None:
        request.tries += 1
        key = self._flow_by_user.get(request.user)
        if key is not None:
            self._request_by_key[key] = request
            self._send_request(key)
            return
        key = self._draw_key()
        self._request_by_key[key] = request
        self._send(build_tcp(key, 0, 0, ip.SYN))

    def _draw_key(self) -> bytes:
        self._flows += 1
        host, port = divmod(self._flows, PORTS)
        ports = (FIRST_PORT + port).to_bytes(2, "big") + self._endpoint[4:6]
        return bytes((100, 64, 0, host)) + self._endpoint[:4] + ports + bytes((ip.TCP,))

    def _send_request(self, key: bytes) -> None:
        self._send(build_tcp(key, 1, 1, ip.ACK, REQUEST))

    def take(self, packet: bytes) -> None:
        """Take a packet that comes back."""
        reverse = ip.parse_flow_key(packet)
        assert isinstance(reverse, bytes), "the model sends only whole packets"
        key = ip.reverse_key(reverse)
        request = self._request_by_key.get(key)
        if request is None:
            return
        flags = ip.tcp_flags(packet)
        payload = ip.payload_of(packet)
        if flags & ip.RST:
            self._on_failure(key, request)
        elif flags & ip.SYN:
            self._flow_by_user[request.user] = key
            self._send_request(key)
        elif payload == SHED:
            self._results.shed += 1
            self._on_failure(key, request)
        else:
            del self._request_by_key[key]
            self._end(request, is_answered=True)

    def _on_failure(self, key: bytes, request: ModelRequest) -> None:
        """A refused opening, or a shed request, whose server closes the flow."""
        del self._request_by_key[key]
        self._flow_by_user.pop(request.user, None)
        if request.tries < TRIES:
            self._try(request)
        else:
            self._end(request, is_answered=False)

    def _give_up(self, request: ModelRequest) -> None:
        if request.is_over:
            return
        for key in [k for k, found in self._request_by_key.items() if found is request]:
            del self._request_by_key[key]
        self._flow_by_user.pop(request.user, None)
        self._end(request, is_answered=False)

    def _end(self, request: ModelRequest, *, is_answered: bool) -> None:
        if request.is_over:
            return
        request.is_over = True
        self._free_users.append(request.user)
        took_s = self._timeline.now - request.started_at
        self._results.note_end(request.started_at, took_s, is_answered=is_answered)
