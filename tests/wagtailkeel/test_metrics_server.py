from __future__ import annotations

import unittest
import urllib.request

import anyio
from anyio import to_thread

from wagtailkeel.roles.metrics import Metrics
from wagtailkeel.roles.metrics_server import MetricsServer
from wagtailkeel.roles.metrics_server import render_metrics
from wagtailkeel.settings import MetricsSettings


def free_port() -> int:
    import socket

    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class MetricsTextTest(unittest.TestCase):
    def test_counters_and_response_times(self) -> None:
        metrics = Metrics()
        metrics.counters["openings_refused"] += 3
        for _ in range(10):
            metrics.record_response(0.02)
        text = render_metrics(metrics).decode()
        self.assertIn('wagtailkeel_events_total{name="openings_refused"} 3.0', text)
        self.assertIn("wagtailkeel_response_seconds_count 10.0", text)
        self.assertIn('wagtailkeel_response_seconds{quantile="0.99"} 0.02', text)

    def test_no_response_times_recorded(self) -> None:
        self.assertIn("wagtailkeel_response_seconds_count 0.0", render_metrics(Metrics()).decode())


class MetricsServerTest(unittest.TestCase):
    def test_serves_metrics_and_survives_a_port_in_use(self) -> None:
        port = free_port()
        metrics = Metrics()
        metrics.counters["x"] += 1

        async def check() -> None:
            servers = [
                MetricsServer("127.0.0.1", MetricsSettings(port=port), metrics) for _ in range(2)
            ]
            async with anyio.create_task_group() as tasks:
                for server in servers:
                    await tasks.start(server.run)
                url = f"http://127.0.0.1:{port}/metrics"
                body = await to_thread.run_sync(lambda: urllib.request.urlopen(url).read())
                self.assertIn(b'name="x"', body)
                tasks.cancel_scope.cancel()

        anyio.run(check)


if __name__ == "__main__":
    unittest.main()
