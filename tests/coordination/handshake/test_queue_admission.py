"""Guards openings that wait for busy servers: their order, their wait, and their return."""

from __future__ import annotations

import math
import unittest
from typing import TYPE_CHECKING

from tests.coordination.handshake.fake_network import ARCHIVE
from tests.coordination.handshake.fake_network import DESK
from tests.coordination.handshake.fake_network import FakeNetwork
from tests.coordination.handshake.fake_network import FakeNode
from wagtailkeel_coordination.handshake import RouterOptions
from wagtailkeel_coordination.handshake.opening_queue import QueuedOpening
from wagtailkeel_coordination.handshake.serving_order import ServingOrder
from wagtailkeel_coordination.handshake.serving_order import sort_by_turn
from wagtailkeel_coordination.handshake.waiting_estimate import CapacityMeter
from wagtailkeel_coordination.handshake.waiting_estimate import ServerRoom
from wagtailkeel_protocol.relay import RelayFrame
from wagtailkeel_protocol.relay import RelayKind

if TYPE_CHECKING:
    from collections.abc import Callable

NOW = 10.0
MAX_WAIT_S = 1.3
TARGET_S = 0.4
TICK_S = 0.05
DELIVERED_AT_ONCE = 2
"""One for the only slot of a server, and one more while its caller completes the handshake."""
QUEUED = 3
"""An unknown service time counts as the target, so the fourth opening would wait too long."""


def build_network(server_count: int = 1) -> FakeNetwork:
    """Return a network in which the agent of another service owns all flows."""
    options = RouterOptions(max_opening_wait_s=MAX_WAIT_S, queue_when_busy=True)
    network = FakeNetwork([ARCHIVE] + [DESK] * server_count, options=options)
    network.balancer.owners.update(list(network.nodes)[:1])
    network.apply_routing(network.document(2, target_s=TARGET_S))
    return network


def fill(network: FakeNetwork, count: int) -> int:
    """Open flows under new names; return how many openings were refused."""
    refused = 0
    for _ in range(count):
        network.open(f"caller-{network.counters['opened']}")
        network.counters["opened"] += 1
        refused += network.resets
    return refused


def desk_nodes(network: FakeNetwork) -> list[FakeNode]:
    return list(network.nodes.values())[1:]


class BusyServerTest(unittest.TestCase):
    def test_owners_find_the_queue_of_a_busy_server(self) -> None:
        network = build_network()
        (node,) = desk_nodes(network)
        table = [(DELIVERED_AT_ONCE, 400.0), (1, 800.0), (1, 1_200.0), (1, 0.0)]
        for count, room_in_ms in table:
            fill(network, count)
            load = node.router.build_load(network.now)
            self.assertEqual((load.accepts, round(load.room_in_ms, 1)), (False, room_in_ms))
        self.assertEqual(fill(network, 1), 1, "an opening without hope is refused at once")
        self.assertEqual(len(node.server.openings), DELIVERED_AT_ONCE)
        network.advance(MAX_WAIT_S)
        self.assertEqual(len(node.server.openings), DELIVERED_AT_ONCE + QUEUED)


class ReturnedOpeningsTest(unittest.TestCase):
    """Callers must learn that their request was not run before they give up."""

    def test_openings_that_will_not_be_served(self) -> None:
        table: list[tuple[str, Callable[[FakeNode], object]]] = [
            ("unservable", lambda node: setattr(node.router.held, "service_s", 5.0)),
            ("not_admitted", lambda node: node.report(is_draining=True)),
        ]
        for reason, change in table:
            with self.subTest(reason):
                network = build_network()
                (node,) = desk_nodes(network)
                fill(network, DELIVERED_AT_ONCE + QUEUED)
                change(node)
                network.replies.clear()
                network.advance(TICK_S)
                self.assertEqual(node.counters[f"openings_returned_{reason}"], QUEUED)
                self.assertEqual(network.resets, QUEUED)

    def test_an_agent_that_stops_or_dies(self) -> None:
        """The caller's next copy finds that the agent died; one that stops returns its queue."""
        for is_stopped in (True, False):
            with self.subTest(is_stopped=is_stopped):
                network = build_network(server_count=2)
                fill(network, 2 * DELIVERED_AT_ONCE + 1)
                lost, other = sorted(desk_nodes(network), key=lambda n: -len(n.router.holder.queue))
                lost.router.gate.is_leaving = is_stopped
                lost.is_up = is_stopped
                if is_stopped:
                    lost.router.return_queue(network.now)
                    network.run()
                    self.assertEqual(lost.counters["openings_returned_stopping"], 1)
                network.advance(0.2)
                network.open(f"caller-{2 * DELIVERED_AT_ONCE}", attempt=1)
                network.advance(TICK_S)
                self.assertEqual(len(set(other.server.openings)), DELIVERED_AT_ONCE + 1)


def build_openings(text: str) -> list[QueuedOpening]:
    """Return openings, each given by name, priority, data centre, age, and "!" if it is late."""
    frame = RelayFrame(RelayKind.QUEUE, 0, 1, 1, b"")
    openings = []
    for word in text.split():
        late_from = NOW - 1.0 if word.endswith("!") else NOW + 1.0
        times = (late_from, NOW + 1.0 - int(word[3]) / 10, 0.4, 2.0)
        key = word[:1].encode()
        openings.append(QueuedOpening(frame, key, ("", 0), int(word[1]), *times, word[2]))
    return openings


class RoomTest(unittest.TestCase):
    def test_time_until_an_opening_is_delivered(self) -> None:
        """An unknown service time must not make the wait 0."""
        table = [
            ("server has room", 20.0, 0, 0, 0.0, 0.0, 0.0, 0.0),
            ("openings ahead", 20.0, 1, 3, 0.0, 0.0, 0.0, 0.2),
            ("others come before it", 20.0, 1, 3, 10.0, 0.0, 0.0, 0.4),
            ("only capacity that is left", 20.0, 1, 0, 20.0, 0.0, 0.0, math.inf),
            ("a reserved share", 20.0, 1, 0, 20.0, 0.125, 0.0, 0.4),
            ("unknown capacity", None, 1, 1, 10.0, 0.0, 0.0, 0.4),
            ("server answers nothing", 0.0, 1, 0, 0.0, 0.125, 0.0, math.inf),
            ("cold server", 20.0, 0, 3, 10.0, 0.0, 0.5, 0.3),
            ("warm server, later", 20.0, 0, 20, 0.0, 0.0, 0.5, 1.5),
        ]
        for name, capacity, busy_places, ahead, before_per_s, share, warm_in_s, expected in table:
            with self.subTest(name):
                room = ServerRoom(
                    2, capacity, busy_places, warm_in_s, lambda position: position / 10
                )
                found = room.find_room_in_s(ahead, before_per_s, share, 0.4)
                self.assertAlmostEqual(found, expected)


class RatesTest(unittest.TestCase):
    def test_measured_capacity(self) -> None:
        """Only the time in which all slots are busy shows what a server can do."""
        table = [
            ("never saturated", False, 1, 0.05, 40.0, 40.0),
            ("saturated", True, 1, 0.05, 50.0, 40.0),
            ("answers nothing", True, 0, 0.05, 0.0, 40.0),
            ("unknown", False, 1, 0.0, None, None),
        ]
        for name, is_saturated, answers, service_s, expected, later in table:
            with self.subTest(name):
                meter = CapacityMeter(NOW)
                for step in range(100):
                    meter.observe(NOW + 0.02 * step, is_saturated=is_saturated, answers=answers)
                found = [meter.per_s(2, service_s, NOW + delay_s) for delay_s in (2.0, 20.0)]
                rounded = [rate if rate is None else round(rate, -1) for rate in found]
                self.assertEqual(rounded, [expected, later])


class ServingOrderTest(unittest.TestCase):
    def test_sequence(self) -> None:
        """No class and no data centre may take the room of all others."""
        table = [
            ("oldest first", "b0x1 a0x2", "ab"),
            ("priority first", "b1x2 a0x0!", "ab"),
            ("in time before late", "b0x2! a0x0", "ab"),
            ("data centres take turns", "a0x5 c0x4 b0y0", "abc"),
        ]
        for name, text, expected in table:
            with self.subTest(name):
                openings = build_openings(text)
                planned = [opening.key.decode() for opening in sort_by_turn(openings, NOW)]
                self.assertEqual("".join(planned), expected)
                self.assertEqual(_deliver(openings), expected)

    def test_lower_priorities_have_a_reserved_share(self) -> None:
        openings = build_openings("h0x0 " * 40 + "l1x0 " * 40)
        self.assertEqual(_deliver(openings)[:32].count("l"), 4)


def _deliver(waiting: list[QueuedOpening]) -> str:
    """Return the names of openings in the order in which they are delivered."""
    order = ServingOrder()
    names = ""
    while (opening := order.find_next(waiting, NOW)) is not None:
        waiting.remove(opening)
        order.record_delivery(opening, waiting)
        names += opening.key.decode()
    return names


if __name__ == "__main__":
    unittest.main()
