"""Guards the HTTP server: a planned stop must answer the requests that it has accepted."""

from __future__ import annotations

import unittest
import warnings
from collections import Counter
from http import HTTPStatus

import anyio

from tests.transport.test_rpc import HOST
from tests.transport.test_rpc import free_port
from wagtailkeel_transport.http_server import DRAIN_TIMEOUT_S
from wagtailkeel_transport.http_server import HttpServer
from wagtailkeel_transport.http_server import Response

REQUEST = b"GET /slow HTTP/1.1\r\nHost: node\r\n\r\n"


class DrainTest(unittest.TestCase):
    """Requests are in progress when the stop begins."""

    def setUp(self) -> None:
        self.counters: Counter[str] = Counter()
        self.port = free_port()

    async def stop_during_request(self, handler_s: float, *, must_drain: bool) -> bytes:
        """Return what a caller gets whose request takes ``handler_s`` seconds."""

        async def handle(method: str, path: str, body: bytes) -> Response:
            await anyio.sleep(handler_s)
            return Response(HTTPStatus.OK)

        server = HttpServer((HOST, self.port), handle, self.counters)
        received = b""
        async with anyio.create_task_group() as tasks:
            await tasks.start(server.run)
            async with await anyio.connect_tcp(HOST, self.port) as stream:
                await stream.send(REQUEST)
                await anyio.sleep(0.02)
                if must_drain:
                    await server.drain()
                    with self.assertRaises(OSError):
                        await anyio.connect_tcp(HOST, self.port)
                tasks.cancel_scope.cancel()
                with anyio.CancelScope(shield=True), anyio.move_on_after(1.0):
                    try:
                        received = await stream.receive()
                    except (anyio.EndOfStream, anyio.BrokenResourceError):
                        received = b""
        return received

    def test_a_request_in_progress_is_answered(self) -> None:
        received = anyio.run(lambda: self.stop_during_request(0.2, must_drain=True))
        self.assertTrue(received.startswith(b"HTTP/1.1 200"))
        self.assertIn(b"Connection: close", received)
        self.assertEqual(self.counters["http_unanswered"], 0)

    def test_a_stop_does_not_wait_for_ever(self) -> None:
        duration_s = 3 * DRAIN_TIMEOUT_S
        received = anyio.run(lambda: self.stop_during_request(duration_s, must_drain=True))
        self.assertEqual((received, self.counters["http_unanswered"]), (b"", 1))

    def test_the_listener_is_closed_on_cancellation(self) -> None:
        with warnings.catch_warnings(record=True) as caught:
            warnings.simplefilter("always", ResourceWarning)
            anyio.run(lambda: self.stop_during_request(0.1, must_drain=False))
        self.assertEqual([w for w in caught if w.category is ResourceWarning], [])


if __name__ == "__main__":
    unittest.main()
