# SPDX-License-Identifier: MIT

"""
The gateway's counters and latency histograms.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import Observation
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import REGISTRY, generate_latest

from saddledoor import Denial, MemoryBudget, MemoryLimits, ResultCode
from saddledoor.scaling import EngineGroup

from ..scaling.duty import ScalingDuty


__all__ = ["GatewayMetrics"]


class GatewayMetrics:
    """
    The gateway's metric instruments.

    :param settings: Returns the version of the settings in force.
    :param skipped: Returns the numbers of skipped store records, by kind of record.
    :param pause_count: Returns the number of process pauses.
    :param denials: Returns the number of sends that were denied, by reason.
    :param scaling: Returns the ordering of engines; None if none are ordered.
    :param closed: Returns the numbers of connections that the server closed before
        their clients, by reason.
    :param memory: The memory held for callers.
    """

    def __init__(
        self,
        settings: Callable[[], str],
        skipped: Callable[[], dict[str, int]],
        pause_count: Callable[[], int],
        denials: Callable[[], Mapping[Denial, int]],
        scaling: Callable[[], ScalingDuty | None] = lambda: None,
        closed: Callable[[], Mapping[str, int]] = dict,
        memory: MemoryBudget | None = None,
    ) -> None:
        meter = MeterProvider(metric_readers=[PrometheusMetricReader()]).get_meter(
            "saddledoord"
        )
        self._requests = meter.create_counter(
            "saddledoor_gateway_requests",
            description="Requests ended, by route and result code",
        )
        meter.create_observable_gauge(
            "saddledoor_settings",
            [lambda _: [Observation(1, {"version": settings()})]],
            description="The settings in force, as the label",
        )
        meter.create_observable_counter(
            "saddledoor_records_skipped",
            [lambda _: [Observation(n, {"of": of}) for of, n in skipped().items()]],
            description="Records of the store that could not be used",
        )
        meter.create_observable_counter(
            "saddledoor_standstills",
            [lambda _: [Observation(pause_count())]],
            description="Times that the process did not run for 0.8 s or longer",
        )
        meter.create_observable_counter(
            "saddledoor_sends_denied",
            [
                lambda _: [
                    Observation(n, {"number": str(int(reason))})
                    for reason, n in denials().items()
                ]
            ],
            description="Engines that a request was not sent to, by number of reason",
        )
        meter.create_observable_gauge(
            "saddledoor_engines",
            [lambda _: _engine_counts(scaling())],
            description="Engines wanted, seen, booting and leaving",
        )
        meter.create_observable_counter(
            "saddledoor_engine_seconds",
            [lambda _: _engine_seconds(scaling())],
            unit="s",
            description="Time for which engines were seen by this VM",
        )
        budget = memory or MemoryBudget(MemoryLimits())
        meter.create_observable_counter(
            "saddledoor_clients_closed",
            [
                lambda _: [
                    Observation(n, {"reason": reason}) for reason, n in closed().items()
                ]
            ],
            description="Connections closed by the server, by reason",
        )
        meter.create_observable_gauge(
            "saddledoor_client_memory",
            [lambda _: [Observation(budget.held)]],
            unit="By",
            description="Memory held for callers' requests and their answers",
        )
        meter.create_observable_counter(
            "saddledoor_requests_without_memory",
            [
                lambda _: [
                    Observation(budget.refused, {"outcome": "refused"}),
                    Observation(budget.evicted, {"outcome": "evicted"}),
                ]
            ],
            description="Requests that got no memory, or lost it while stalled",
        )
        self._connections = meter.create_counter(
            "saddledoor_engine_connections",
            description="New connections to engines, by service and cause",
        )
        self._seconds = meter.create_histogram(
            "saddledoor_gateway_seconds",
            unit="s",
            description="Time from a request's arrival to its outcome",
        )

    def count(self, route: str, code: ResultCode, seconds: float) -> None:
        """
        Count a completed request and record its duration, in seconds.
        """
        self._requests.add(1, {"route": route, "code": str(int(code))})
        self._seconds.record(seconds, {"route": route})

    def count_connection(self, service: str, cause: str) -> None:
        """
        Count a new connection to an engine of a service.
        """
        self._connections.add(1, {"service": service, "cause": cause})

    def render(self) -> bytes:
        """
        Return the metrics in the Prometheus text format.
        """
        return generate_latest(REGISTRY)


def _engine_counts(scaling: ScalingDuty | None) -> list[Observation]:
    counts = scaling.counts() if scaling is not None else {}
    return [
        Observation(n, {"service": service, "state": state, **_labels(group)})
        for (service, state, group), n in counts.items()
    ]


def _engine_seconds(scaling: ScalingDuty | None) -> list[Observation]:
    seconds = scaling.engine_seconds() if scaling is not None else {}
    return [
        Observation(value, {"service": service, **_labels(group)})
        for (service, group), value in seconds.items()
    ]


def _labels(group: EngineGroup) -> dict[str, str]:
    kind = "spot" if group.is_spot else "on-demand"
    return {"data_centre": group.data_centre, "kind": kind}
