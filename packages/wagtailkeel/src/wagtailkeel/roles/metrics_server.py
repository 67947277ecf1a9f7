"""Serves a process's counters and response times to Prometheus over HTTP."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from wagtailkeel_transport.errors import BindError
from wagtailkeel_transport.http_server import HttpServer
from wagtailkeel_transport.http_server import Response
from wagtailkeel_transport.log import logger

if TYPE_CHECKING:
    from collections.abc import Iterator

    from anyio.abc import TaskStatus
    from prometheus_client.core import Metric

    from wagtailkeel.roles.metrics import Metrics
    from wagtailkeel.settings import InstanceSettings
    from wagtailkeel.settings import MetricsSettings

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
EVENTS_METRIC = "wagtailkeel_events"
RESPONSE_TIME_METRIC = "wagtailkeel_response_seconds"
QUANTILES = (0.5, 0.9, 0.99, 0.999)


class MetricsServer:
    """Serves GET on the configured path; the process keeps running if the port can't be bound."""

    def __init__(self, host: str, section: MetricsSettings, metrics: Metrics) -> None:
        self._path = section.path
        self._metrics = metrics
        self._server = HttpServer((host, section.port), self._handle_request, metrics.counters)

    @classmethod
    def from_settings(
        cls, instance: InstanceSettings, section: MetricsSettings, metrics: Metrics
    ) -> MetricsServer:
        """Build the role; ``run`` binds its socket."""
        return cls(instance.listen_host, section, metrics)

    async def run(self, *, task_status: TaskStatus[None]) -> None:
        """Serve until cancelled."""
        try:
            await self._server.run(task_status=task_status)
        except BindError as error:
            logger.warning("metrics are not served: {}", error)
            task_status.started()

    async def stop(self) -> None:
        """Do nothing: metrics are served until the process ends."""

    async def drain(self) -> None:
        """Wait for the answers to the requests in progress."""
        await self._server.drain()

    async def _handle_request(self, method: str, path: str, body: bytes) -> Response:
        if (method, path) != ("GET", self._path):
            return Response.error(HTTPStatus.NOT_FOUND, f"no such endpoint: {method} {path}")
        return Response(HTTPStatus.OK, render_metrics(self._metrics), content_type=CONTENT_TYPE)


def render_metrics(metrics: Metrics) -> bytes:
    """Return the metrics in the Prometheus text format."""
    # Imported on the first request: most processes start often and are scraped rarely.
    from prometheus_client.core import CounterMetricFamily
    from prometheus_client.core import SummaryMetricFamily
    from prometheus_client.exposition import generate_latest
    from prometheus_client.registry import CollectorRegistry

    class Collector:
        def collect(self) -> Iterator[Metric]:
            counter = CounterMetricFamily(EVENTS_METRIC, "Events by name", labels=["name"])
            for name, value in sorted(metrics.counters.items()):
                counter.add_metric([name], value)
            yield counter
            summary = SummaryMetricFamily(
                RESPONSE_TIME_METRIC, "Time to the first byte of an answer"
            )
            count = metrics.response_count
            summary.add_metric([], count_value=count, sum_value=metrics.response_sum_s)
            for quantile in QUANTILES:
                quantile_s = metrics.response_percentile_s(quantile * 100)
                summary.add_sample(RESPONSE_TIME_METRIC, {"quantile": str(quantile)}, quantile_s)
            yield summary

    registry = CollectorRegistry(auto_describe=False)
    registry.register(Collector())
    return bytes(generate_latest(registry))
