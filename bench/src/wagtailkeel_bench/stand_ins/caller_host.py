"""What a caller's feeds and requests need of the process that they share."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Callable

    from wagtailkeel_bench.stand_ins.payload import AnswerPayload
    from wagtailkeel_bench.stand_ins.request_result import RequestResult


class CallerHost(Protocol):
    """Gives out flow keys and request ids, sends packets, and counts what comes back."""

    counters: Counter[str]

    def new_key(self, endpoint: str, handler: Callable[[bytes], None]) -> bytes:
        """Return an unused flow key to an endpoint, whose packets go to the handler."""

    def remove_key(self, key: bytes) -> None:
        """Pass no more packets of a flow to its handler."""

    def new_request_id(self) -> int:
        """Return an unused request id."""

    def send(self, packet: bytes) -> None:
        """Send a packet through the fabric."""

    def check_service(self, key: bytes, answer: AnswerPayload) -> None:
        """Count an answer of a service to which the flow's endpoint does not belong."""

    def on_request_end(self, result: RequestResult, key: bytes) -> None:
        """Record a request that has been answered, refused or given up."""
