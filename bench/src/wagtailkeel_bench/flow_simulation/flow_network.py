"""The links of the simulation: datagrams arrive after a delay, and not at isolated instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from wagtailkeel_bench.event_scheduler import EventScheduler

Address = tuple[str, int]

MIN_DELAY_S = 0.0005
MAX_DELAY_S = 0.003
LATE_SHARE = 0.01
MAX_LATE_S = 0.3
LOST_SHARE = 0.002


class FlowNetwork:
    """Delivers datagrams by address; ``isolated_until_by_address`` ends in seconds."""

    def __init__(self, scheduler: EventScheduler, random: Random) -> None:
        self.isolated_until_by_address: dict[Address, float] = {}
        self._scheduler = scheduler
        self._random = random
        self._receivers_by_address: dict[Address, Callable[[bytes, Address], None]] = {}

    def attach(self, address: Address, receive: Callable[[bytes, Address], None]) -> None:
        """Deliver the datagrams to an address from now on."""
        self._receivers_by_address[address] = receive

    def detach(self, address: Address) -> None:
        """Drop the datagrams to an address."""
        self._receivers_by_address.pop(address, None)

    def is_isolated(self, address: Address) -> bool:
        """Return whether an instance reaches no other one."""
        return self._scheduler.now < self.isolated_until_by_address.get(address, float("-inf"))

    def draw_delay_s(self) -> float:
        """Return the delay of a datagram."""
        is_late = self._random.random() < LATE_SHARE
        return self._random.uniform(MIN_DELAY_S, MAX_LATE_S if is_late else MAX_DELAY_S)

    def send(self, datagram: bytes, destination: Address, source: Address) -> None:
        """Send a datagram from one instance to another."""
        self.pass_on(source, lambda: self._deliver(datagram, destination, source))

    def pass_on(self, source: Address, deliver: Callable[[], None]) -> None:
        """Deliver after a delay what an instance sends to a caller or another instance."""
        if self.is_isolated(source) or self._random.random() < LOST_SHARE:
            return
        self._scheduler.call_later(self.draw_delay_s(), deliver)

    def _deliver(self, datagram: bytes, destination: Address, source: Address) -> None:
        receive = self._receivers_by_address.get(destination)
        if receive is not None and not self.is_isolated(destination):
            receive(datagram, source)
