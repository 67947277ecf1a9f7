from __future__ import annotations

import json
import unittest
from typing import Any

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from wagtailkeel_platform.errors import InvalidBodyError
from wagtailkeel_platform.routing_body import decode_routing
from wagtailkeel_platform.routing_body import encode_routing
from wagtailkeel_state.routing import RoutingDocument
from wagtailkeel_state.routing import find_document_error

BODY: dict[str, Any] = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "198.18.0.1",
            "path-prefix": "/8443/",
            "type": "idempotent",
            "timeout-ms": 500,
            "target-latency-ms": 100,
            "priority": 2,
            "traffic-split": [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}],
            "attempts": 2,
        },
        {
            "name": "r-2",
            "host": "198.18.0.2",
            "path-prefix": "/8443/",
            "type": "download",
            "timeout-ms": 3000,
            "service": "b",
            "attempts": 2,
        },
    ],
    "services": [
        {"name": "a", "health-path": "/healthz", "warmup-s": 2.0, "warmup-per-s": 4.5},
        {"name": "b", "health-path": "/healthz"},
    ],
    "limits": {"max-body-bytes": 262144, "idle-timeout-ms": 15000},
}


def replace_value(*path: Any, value: Any) -> dict[str, Any]:
    """Return BODY with the value at ``path`` replaced, or removed if ``value`` is None."""
    body = json.loads(json.dumps(BODY))
    target = body
    for step in path[:-1]:
        target = target[step]
    if value is None:
        del target[path[-1]]
    else:
        target[path[-1]] = value
    return dict(body)


INVALID: dict[str, dict[str, Any] | bytes] = {
    "cut_short": json.dumps(BODY)[:-9].encode(),
    "empty": b"",
    "a list": b"[]",
    "unknown_service": replace_value("routes", 1, "service", value="c"),
    "unknown service in a split": replace_value(
        "routes", 0, "traffic-split", 0, "service", value="c"
    ),
    "same_place": replace_value("routes", 1, "host", value="198.18.0.1"),
    "no_weight": replace_value("routes", 0, "traffic-split", 0, "weight", value=None),
    "weights of 0": replace_value(
        "routes", 0, "traffic-split", value=[{"service": "a", "weight": 0}]
    ),
    "no_timeout": replace_value("routes", 0, "timeout-ms", value=0),
    "timeout missing": replace_value("routes", 0, "timeout-ms", value=None),
    "timeout as text": replace_value("routes", 0, "timeout-ms", value="500"),
    "no service": replace_value("routes", 1, "service", value=None),
    "no version": replace_value("version", value=None),
    "version 0": replace_value("version", value=0),
    "version as text": replace_value("version", value="7"),
    "no routes": replace_value("routes", value=None),
    "port": replace_value("routes", 0, "path-prefix", value="/x/"),
    "address": replace_value("routes", 0, "host", value="example"),
}


def read(body: dict[str, Any] | bytes) -> RoutingDocument:
    return decode_routing(body if isinstance(body, bytes) else json.dumps(body).encode())


class RoutingBodyTest(unittest.TestCase):
    def test_fields_that_routing_needs_are_decoded(self) -> None:
        document = read(BODY)
        self.assertEqual(document.version, 7)
        self.assertEqual(list(document.routes_by_place), ["198.18.0.1:8443", "198.18.0.2:8443"])
        split = document.routes_by_place["198.18.0.1:8443"].destinations
        self.assertEqual([(d.service, d.weight) for d in split], [("a", 90), ("b", 10)])
        self.assertEqual(document.policies_by_service["a"].cold_starts_per_s, 4.5)
        self.assertIsNone(find_document_error(document))

    def test_only_types_that_may_run_twice_are_idempotent(self) -> None:
        """A request that is taken for idempotent by mistake would run twice."""
        table = [
            ("idempotent", True),
            ("download", True),
            ("non_idempotent", False),
            ("unheard-of", False),
            (None, False),
        ]
        for route_type, expected in table:
            with self.subTest(route_type):
                route = read(replace_value("routes", 0, "type", value=route_type)).routes_by_place[
                    "198.18.0.1:8443"
                ]
                self.assertEqual((route.is_idempotent, route.timeout_s), (expected, 0.5))

    def test_encoding_returns_the_body_as_sent(self) -> None:
        body = replace_value("later", value={"x": [1, 2]})
        self.assertEqual(json.loads(encode_routing(read(body))), body)

    def test_invalid_bodies_are_rejected(self) -> None:
        for name, body in INVALID.items():
            with self.subTest(name):
                try:
                    reason = find_document_error(read(body))
                except InvalidBodyError as error:
                    reason = str(error)
                self.assertTrue(reason)

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(st.data())
    def test_mutated_bodies(self, data: st.DataObject) -> None:
        text = bytearray(json.dumps(BODY).encode())
        for _ in range(data.draw(st.integers(1, 4))):
            text[data.draw(st.integers(0, len(text) - 1))] = data.draw(st.integers(0, 255))
        try:
            find_document_error(read(bytes(text)))
        except InvalidBodyError as error:
            self.assertTrue(str(error))


if __name__ == "__main__":
    unittest.main()
