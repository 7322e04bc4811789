# SPDX-License-Identifier: MIT

"""
The demo's setup, measurements and result.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

import yaml

from .fleet import Vm, request_json


__all__ = [
    "CONFIG_LIMIT",
    "FIRST_VERSION",
    "Measurements",
    "DemoSetup",
    "is_clean",
    "summarize_outcome",
    "read_status",
    "runs_by_reference",
    "watch_weights",
]

#: Weight version of all engines at the start.
FIRST_VERSION = 1
#: Time limit for a configuration to be active on all VMs, in seconds.
CONFIG_LIMIT = 10.0
#: Time limit for new weights to be active on all engines, in seconds.
_WEIGHTS_LIMIT = 8.0


@dataclass(frozen=True)
class DemoSetup:
    """
    The deployment file of a demo and the file that describes its platform.
    """

    path: Path
    deployment: dict
    platform: dict

    @classmethod
    def load(cls, path: Path) -> DemoSetup:
        platform_path = path.with_suffix(".platform.yaml")
        return cls(
            path,
            yaml.safe_load(path.read_text()),
            yaml.safe_load(platform_path.read_text()),
        )

    @property
    def vms(self) -> list[Vm]:
        """
        The entry VMs, each with its own loopback address.
        """
        network = self.platform["vm_network"]
        vms = []
        for data_centre, count in self.platform["vms"].items():
            for number in range(1, count + 1):
                ip = f"{network}.{len(vms) + 1}"
                vms.append(Vm(f"{data_centre}-vm{number}", data_centre, ip))
        return vms

    @property
    def engines(self) -> dict[str, dict]:
        """
        Engines by name.
        """
        pools = self.deployment["pools"]
        return {engine["name"]: engine for pool in pools for engine in pool["engines"]}

    @property
    def models(self) -> list[str]:
        return [m["name"] for pool in self.deployment["pools"] for m in pool["models"]]


@dataclass
class Measurements:
    """
    Measurements of the rollout of weights and configurations, and their shared state.

    :ivar weight_rollout_times: Rollout time of each version on each engine, in seconds.
    :ivar config_rollout_times: Rollout time of each configuration, in seconds.
    :ivar unavailable: Names of engines and VMs that are stopped.
    :ivar restarted_at: Wall-clock time at which each killed engine was started again.
    :ivar done: Set when the measurement ends.
    """

    weight_rollout_times: list[float] = field(default_factory=list)
    config_rollout_times: list[float] = field(default_factory=list)
    unavailable: set[str] = field(default_factory=set)
    restarted_at: dict[str, float] = field(default_factory=dict)
    done: threading.Event = field(default_factory=threading.Event)


def read_status(vm: Vm) -> dict | None:
    """
    Return a VM's status, or None if it does not answer.
    """
    try:
        return request_json(f"http://{vm.http}/v1/status", timeout=2.0)
    except OSError:
        return None


def watch_weights(setup: DemoSetup, measurements: Measurements) -> None:
    """
    Measure the time from each publication of weights to its activation on each engine.
    """
    reached: dict[tuple[str, str, int], float] = {}
    published: dict[tuple[str, int], float] = {}
    while not measurements.done.is_set():
        try:
            answer = request_json(f"http://{setup.platform['weights']}/v1/weights")
        except OSError:
            # The demo was interrupted and the weight store has stopped.
            return
        for model, version in answer["models"].items():
            published.setdefault((model, version), answer["published_at"][model])
        for name, engine in setup.engines.items():
            versions = (
                _versions(engine["address"])
                if name not in measurements.unavailable
                else {}
            )
            for model, version in versions.items():
                if version > FIRST_VERSION:
                    reached.setdefault((name, model, version), time.time())
        measurements.weight_rollout_times = _rollout_times(
            setup, measurements, published, reached
        )
        time.sleep(0.05)


def _rollout_times(
    setup: DemoSetup,
    measurements: Measurements,
    published: dict[tuple[str, int], float],
    reached: dict[tuple[str, str, int], float],
) -> list[float]:
    times = []
    for (model, version), at in published.items():
        if version == FIRST_VERSION:
            continue
        for name in setup.engines:
            start = max(at, measurements.restarted_at.get(name, 0.0))
            seen = reached.get((name, model, version), time.time())
            times.append(max(0.0, seen - start))
    return times


def _versions(address: str) -> dict[str, int]:
    try:
        return request_json(f"http://{address}/v1/load", timeout=1.0)["versions"]
    except OSError:
        return {}


def runs_by_reference(setup: DemoSetup) -> dict[str, int]:
    """
    Return the number of runs of each reference on unrepeatable routes.
    """
    runs: dict[str, int] = {}
    for service in setup.deployment["services"]:
        paths = [r["path"] for r in service["routes"] if r.get("unrepeatable")]
        if not paths:
            continue
        for instance in service["instances"]:
            ledger = request_json(f"http://{instance['address']}/fake", {})["runs"]
            for name, count in ledger.items():
                path, _, reference = name.partition(" ")
                if path in paths:
                    runs[reference] = runs.get(reference, 0) + count
    return runs


def summarize_outcome(
    measurements: Measurements,
    trainers: Sequence[dict],
    guests: dict,
    runs: dict[str, int],
    stopped: Vm,
    stopped_at: float,
    status: int,
) -> dict:
    """
    Return the counts and times that the demo prints.

    :param stopped: The VM that was stopped as planned.
    :param stopped_at: Wall-clock time of its SIGTERM.
    :param status: Exit status of its daemon.
    """

    def total(name: str) -> int:
        return sum(result[name] for result in trainers)

    cut = guests["cut_by"].get(stopped.http, [])
    reported_not_run = [ref for ref in guests["not_run_refs"] if ref in runs]
    return {
        "requests": guests["requests"],
        "answered": guests["answered"],
        "not_run": guests["not_run"],
        "not_run_but_ran": len(reported_not_run),
        "unknown": guests["unknown"],
        "wrong_or_partial": guests["wrong_or_partial"] + total("samples_wrong"),
        "unrepeatable_runs": sum(runs.values()),
        "unrepeatable_run_twice": sum(1 for count in runs.values() if count > 1),
        "samples_expected": total("samples_expected"),
        "samples_delivered": total("samples_delivered"),
        "samples_duplicated": total("samples_duplicated"),
        "samples_mislabelled": total("samples_mislabelled"),
        "samples_stale": total("samples_stale"),
        "samples_of_mixed_versions": total("samples_of_mixed_versions"),
        "inflight_cut_by_planned_stop": sum(1 for at in cut if at >= stopped_at),
        "planned_stop_status": status,
        "config_in_force_s_max": round(max(measurements.config_rollout_times), 2),
        "engines_on_new_weights_s_max": round(
            max(measurements.weight_rollout_times, default=0.0), 2
        ),
        "trainer_seconds_max": max(result["seconds"] for result in trainers),
    }


def is_clean(result: dict) -> bool:
    """
    Return whether no promise was broken and no time limit exceeded.
    """
    violations = (
        "not_run_but_ran",
        "unknown",
        "wrong_or_partial",
        "unrepeatable_run_twice",
        "samples_duplicated",
        "samples_mislabelled",
        "samples_stale",
        "inflight_cut_by_planned_stop",
        "planned_stop_status",
    )
    return (
        all(result[name] == 0 for name in violations)
        and result["samples_delivered"] == result["samples_expected"]
        and result["config_in_force_s_max"] <= CONFIG_LIMIT
        and 0 < result["engines_on_new_weights_s_max"] <= _WEIGHTS_LIMIT
    )
