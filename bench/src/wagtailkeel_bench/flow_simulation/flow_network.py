"""The links of the simulation: datagrams arrive after a delay, and not at isolated instances."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from wagtailkeel_bench.event_scheduler import EventScheduler

Address = tuple[str, int]

MIN_DELAY_S = 0.0005
MAX_DELAY_S = 0.003
LATE_SHARE = 0.01
MAX_LATE_S = 0.3
LOST_SHARE = 0.002
CONTROL = ("control", 0)
CALLERS = ("callers", 0)


class FlowNetwork:
    """Delivers datagrams by address; ``isolated_until_by_address`` ends in seconds.

    Each link has its own delays by the seed: routers send to a set of agents in any order.
    """

    def __init__(self, scheduler: EventScheduler, seed: int) -> None:
        self.isolated_until_by_address: dict[Address, float] = {}
        self._scheduler = scheduler
        self._seed = seed
        self._randoms_by_link: dict[tuple[Address, Address], Random] = {}
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

    def draw_delay_s(self, source: Address, destination: Address) -> float:
        """Return the delay of a datagram."""
        random = self._random_of(source, destination)
        is_late = random.random() < LATE_SHARE
        return random.uniform(MIN_DELAY_S, MAX_LATE_S if is_late else MAX_DELAY_S)

    def _random_of(self, source: Address, destination: Address) -> Random:
        link = (source, destination)
        if link not in self._randoms_by_link:
            self._randoms_by_link[link] = Random(f"{self._seed}/{link}")
        return self._randoms_by_link[link]

    def send(self, datagram: bytes, destination: Address, source: Address) -> None:
        """Send a datagram from one instance to another."""
        self._pass_on(source, destination, lambda: self._deliver(datagram, destination, source))

    def send_to_caller(self, source: Address, deliver: Callable[[], None]) -> None:
        """Deliver what an instance sends to a caller."""
        self._pass_on(source, CALLERS, deliver)

    def _pass_on(self, source: Address, destination: Address, deliver: Callable[[], None]) -> None:
        is_lost = self._random_of(source, destination).random() < LOST_SHARE
        if not is_lost and not self.is_isolated(source):
            self._scheduler.call_later(self.draw_delay_s(source, destination), deliver)

    def _deliver(self, datagram: bytes, destination: Address, source: Address) -> None:
        receive = self._receivers_by_address.get(destination)
        if receive is not None and not self.is_isolated(destination):
            receive(datagram, source)
