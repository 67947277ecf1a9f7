"""Guards the estimated waits of queued openings, and the order in which these are delivered."""

from __future__ import annotations

import math
import unittest

from wagtailkeel_coordination.handshake.opening_queue import QueuedOpening
from wagtailkeel_coordination.handshake.serving_order import ServingOrder
from wagtailkeel_coordination.handshake.serving_order import count_ahead
from wagtailkeel_coordination.handshake.serving_order import sort_by_turn
from wagtailkeel_coordination.handshake.waiting_estimate import CapacityMeter
from wagtailkeel_coordination.handshake.waiting_estimate import Demand
from wagtailkeel_coordination.handshake.waiting_estimate import ServerRoom
from wagtailkeel_protocol.relay import RelayFrame
from wagtailkeel_protocol.relay import RelayKind

NOW = 10.0


def build_opening(
    name: str,
    priority: int = 0,
    *,
    is_late: bool = False,
    data_centre: str = "",
    age_s: float = 0.0,
) -> QueuedOpening:
    frame = RelayFrame(RelayKind.QUEUE, 0, 1, 1, b"")
    late_from = NOW + (-1.0 if is_late else 1.0)
    expires_at = NOW + 1.3 - age_s
    key = name.encode()
    return QueuedOpening(
        frame, key, ("", 0), priority, late_from, expires_at, 0.4, 2.0, data_centre
    )


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


class CapacityTest(unittest.TestCase):
    def test_measured_capacity(self) -> None:
        """Only the time in which all slots are busy shows what a server can do."""
        table = [
            ("never saturated", False, 1, 0.05, 40.0),
            ("saturated", True, 1, 0.05, 50.0),
            ("answers nothing", True, 0, 0.05, 0.0),
            ("unknown", False, 1, 0.0, None),
        ]
        for name, is_saturated, answers, service_s, expected in table:
            with self.subTest(name):
                meter = CapacityMeter(NOW)
                for step in range(100):
                    now = NOW + 0.02 * step
                    meter.observe(now, is_saturated=is_saturated, answers=answers)
                found = meter.per_s(2, service_s, now)
                if expected is None or found is None:
                    self.assertEqual(found, expected)
                else:
                    self.assertAlmostEqual(found, expected, delta=1.0)

    def test_an_old_measurement_does_not_count(self) -> None:
        meter = CapacityMeter(NOW)
        for step in range(50):
            meter.observe(NOW + 0.02 * step, is_saturated=True)
        self.assertEqual(meter.per_s(2, 0.05, NOW + 1.0), 0.0)
        self.assertEqual(meter.per_s(2, 0.05, NOW + 10.0), 40.0)

    def test_rate_of_openings_that_are_served_first(self) -> None:
        demand = Demand(NOW)
        for step in range(500):
            now = NOW + 0.01 * step
            demand.record(step % 2, now)
        rates = [
            demand.before_per_s(priority, now, is_late=is_late)
            for priority, is_late in ((0, False), (0, True), (1, False), (1, True))
        ]
        for found, expected in zip(rates, (0.0, 50.0, 50.0, 100.0), strict=True):
            self.assertAlmostEqual(found, expected, delta=2.0)


class ServingOrderTest(unittest.TestCase):
    def test_sequence(self) -> None:
        """No class and no data centre may take the room of all others."""
        table = [
            ("oldest first", [("b", 0, False, "", 0.1), ("a", 0, False, "", 0.2)], "ab"),
            ("priority", [("b", 1, False, "", 0.2), ("a", 0, True, "", 0.0)], "ab"),
            ("in time before late", [("b", 0, True, "", 0.2), ("a", 0, False, "", 0.0)], "ab"),
            (
                "data centres take turns",
                [("a", 0, False, "x", 0.5), ("c", 0, False, "x", 0.4), ("b", 0, False, "y", 0.0)],
                "abc",
            ),
        ]
        for name, rows, expected in table:
            with self.subTest(name):
                openings = [
                    build_opening(key, priority, is_late=late, data_centre=centre, age_s=age_s)
                    for key, priority, late, centre, age_s in rows
                ]
                planned = [opening.key.decode() for opening in sort_by_turn(openings, NOW)]
                self.assertEqual("".join(planned), expected)
                self.assertEqual("".join(_deliver(openings)), expected)

    def test_lower_priorities_have_a_reserved_share(self) -> None:
        openings = [build_opening(f"high-{n}", 0) for n in range(40)]
        openings += [build_opening(f"low-{n}", 1) for n in range(40)]
        first = _deliver(openings)[:32]
        self.assertEqual(sum(name.startswith("low") for name in first), 4)

    def test_openings_delivered_before_a_newcomer(self) -> None:
        openings = [build_opening(f"x-{n}", 1, data_centre="x") for n in range(10)]
        openings += [build_opening("late", 1, is_late=True), build_opening("high", 0)]
        table = [("x", False, 11), ("y", False, 2), ("y", True, 12)]
        for data_centre, is_late, expected in table:
            with self.subTest(data_centre=data_centre, is_late=is_late):
                newcomer = build_opening("new", 1, data_centre=data_centre)
                found = count_ahead(openings, newcomer, NOW, is_late=is_late)
                self.assertEqual(found, expected)


def _deliver(openings: list[QueuedOpening]) -> list[str]:
    """Return the keys of openings in the order in which they are delivered."""
    order = ServingOrder()
    waiting = list(openings)
    delivered = []
    while (opening := order.find_next(waiting, NOW)) is not None:
        waiting.remove(opening)
        order.record_delivery(opening, waiting)
        delivered.append(opening.key.decode())
    return delivered


if __name__ == "__main__":
    unittest.main()
