# SPDX-License-Identifier: MIT

"""
OpenTelemetry counters and gauges of the daemon, exported for Prometheus.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import REGISTRY, generate_latest


__all__ = ["Metrics"]


class Metrics:
    """
    The daemon's metric instruments.
    """

    def __init__(self) -> None:
        provider = MeterProvider(metric_readers=[PrometheusMetricReader()])
        self._meter = provider.get_meter("saddledoord")
        counter = self._meter.create_counter
        self.requests = counter(
            "saddledoor_requests", description="Requests ended, by kind and code"
        )
        self.attempts = counter(
            "saddledoor_attempts", description="Attempts at back ends, by outcome"
        )
        self.claims = counter(
            "saddledoor_claims", description="Keys claimed, by verdict"
        )
        self.log_appends = counter(
            "saddledoor_log_appends", description="Appends sent to the log, by stream"
        )
        self.log_undecodable = counter(
            "saddledoor_log_undecodable", description="Records skipped as undecodable"
        )
        self.exchanges = counter(
            "saddledoor_exchanges", description="Pulls from peers, by outcome"
        )
        self.exchange_bytes = counter(
            "saddledoor_exchange_bytes", description="Bytes of control messages"
        )
        self.orders = counter(
            "saddledoor_orders", description="Orders given to engines, by outcome"
        )
        self.samples = counter(
            "saddledoor_samples", description="Samples, by what became of them"
        )

    def gauge(self, name: str, read: Callable[[], float], description: str) -> None:
        """
        Add a gauge whose value is read on each export.
        """

        def observe(_: CallbackOptions) -> Iterable[Observation]:
            return [Observation(read())]

        self._meter.create_observable_gauge(
            name, callbacks=[observe], description=description
        )

    def render(self) -> bytes:
        """
        Return the metrics in the Prometheus text format.
        """
        return generate_latest(REGISTRY)
