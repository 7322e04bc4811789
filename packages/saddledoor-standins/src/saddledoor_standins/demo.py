# SPDX-License-Identifier: MIT

"""
The demo: a whole deployment as separate processes, with failures, judged by what its
callers and back ends saw.
"""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

import yaml

from .fleet import Fleet, Vm, daemon_settings, read_json, wait_listening


__all__ = ["run_demo"]

#: Weight version of all engines at the start.
_FIRST_VERSION = 1
#: How long the killed engine stays away, in seconds.
_ENGINE_AWAY = 3.0
#: Where the log's streams for the burn report are kept.
_DUMP = Path("build/demo-log.json")
#: How long daemons may take to write their last totals, in seconds.
_BURN_SETTLES = 2.5
#: A configuration must be in force everywhere within this time, in seconds.
_CONFIG_LIMIT = 10.0
#: New weights must be on all engines within this time, in seconds.
_WEIGHTS_LIMIT = 8.0


@dataclass(frozen=True)
class _Site:
    """
    The two files that describe a demo: the deployment and its platform.
    """

    path: Path
    deployment: dict
    platform: dict

    @classmethod
    def load(cls, path: Path) -> _Site:
        platform_path = path.with_suffix(".platform.yaml")
        return cls(
            path,
            yaml.safe_load(path.read_text()),
            yaml.safe_load(platform_path.read_text()),
        )

    @property
    def vms(self) -> list[Vm]:
        """
        The entry VMs, one loopback address each.
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
class _Watch:
    """
    Measures how long weights and configurations take to be everywhere.
    """

    weights: list[float] = field(default_factory=list)
    configs: list[float] = field(default_factory=list)
    gone: set[str] = field(default_factory=set)
    back_at: dict[str, float] = field(default_factory=dict)
    done: threading.Event = field(default_factory=threading.Event)


def run_demo(path: Path) -> int:
    """
    Run the demo of a deployment file.

    :returns: The exit status: 0 if no promise was broken.
    """
    began = time.monotonic()
    site = _Site.load(path)
    try:
        with Fleet.open() as fleet:
            result = _run(fleet, site)
    except KeyboardInterrupt:
        _say("interrupted; every process was ended")
        return 130
    result["seconds"] = round(time.monotonic() - began, 1)
    print(json.dumps(result))
    return 0 if _is_clean(result) else 1


def _run(fleet: Fleet, site: _Site) -> dict:
    _start_platform(fleet, site)
    _start_daemons(fleet, site)
    watch = _Watch()
    first = _publish(fleet, site, site.path, base=None)
    watch.configs.append(_until_in_force(site, first, watch))
    _say(f"configuration {first} is in force on {len(site.vms)} VMs")
    _until_slots_known(site)

    trainers = [_start_trainer(fleet, site, t) for t in site.deployment["trainers"]]
    guests = _start_guests(fleet, site)
    watcher = threading.Thread(target=_watch_weights, args=(site, watch), daemon=True)
    watcher.start()
    _say("guests and trainers are at work")

    time.sleep(2.0)
    victim = list(site.engines)[1]
    _kill_engine(fleet, site, victim, watch)
    second = _publish_change(fleet, site, first)
    watch.configs.append(_until_in_force(site, second, watch))
    _say(f"configuration {second} is in force after {watch.configs[-1]:.2f} s")
    time.sleep(1.0)
    stopped = _vm_with_steps(site)
    stopped_at = _stop_vm(fleet, stopped, watch)

    trainer_results = [_result_of(process) for process in trainers]
    _say("trainers have their steps")
    guest_result = _result_of(guests)
    status = fleet.processes[stopped.name].wait()
    _say(f"{stopped.name} ended with status {status}")
    watch.done.set()
    watcher.join(10.0)
    _dump_log(site)
    runs = _runs_by_reference(site)
    return _judge(
        watch, trainer_results, guest_result, runs, stopped, stopped_at, status
    )


def _say(text: str) -> None:
    print(f"demo: {text}", flush=True)


def _start_platform(fleet: Fleet, site: _Site) -> None:
    platform = site.platform
    fleet.stand_in("log", "log", "--listen", platform["log"])
    fleet.stand_in("weights", "weights", "--listen", platform["weights"])
    fleet.stand_in("vm-list", "vms", "--listen", platform["vm_list"])
    for engine in site.engines.values():
        _start_engine(fleet, site, engine)
    services = [
        (service, instance)
        for service in site.deployment["services"]
        for instance in service["instances"]
    ]
    for service, instance in services:
        kind = "scorer" if service["name"] == platform["scorer"] else "service"
        arguments = ["--listen", instance["address"], "--name", instance["name"]]
        fleet.stand_in(instance["name"], kind, *arguments)
    addresses = [platform["log"], platform["weights"], platform["vm_list"]]
    addresses += [engine["address"] for engine in site.engines.values()]
    addresses += [instance["address"] for _, instance in services]
    wait_listening(addresses)
    for model in site.models:
        url = f"http://{platform['weights']}/v1/weights/{model}"
        read_json(url, {"version": _FIRST_VERSION})
    listed = [vm.listed for vm in site.vms]
    read_json(f"http://{platform['vm_list']}/fake", {"vms": listed})
    _say(f"the platform runs: {len(addresses)} stand-ins")


def _start_engine(fleet: Fleet, site: _Site, engine: dict) -> None:
    options = {
        "name": engine["name"],
        "models": site.models,
        "slots": engine["slots"],
        "fenced": engine["fenced"],
        "weight_store": f"http://{site.platform['weights']}",
        "version": _FIRST_VERSION,
    }
    arguments = ["--listen", engine["address"], "--options", json.dumps(options)]
    fleet.stand_in(engine["name"], "engine", *arguments)


def _start_daemons(fleet: Fleet, site: _Site) -> None:
    platform = site.platform
    for vm in site.vms:
        settings = daemon_settings(
            vm,
            site.deployment["name"],
            log_service=platform["log"],
            vm_list=platform["vm_list"],
            weight_store=platform["weights"],
            burn=2.0,
        )
        fleet.daemon(vm.name, settings)
    wait_listening([vm.http for vm in site.vms])
    _say(f"{len(site.vms)} daemons run, one per entry VM")


def _publish(fleet: Fleet, site: _Site, path: Path, base: int | None) -> int:
    command = [
        str(Path(sys.executable).parent / "saddledoorctl"),
        *("config", "publish", str(path), "--json"),
        *("--log", f"http://{site.platform['log']}"),
    ]
    if base is not None:
        command += ["--base", str(base)]
    done = subprocess.run(command, capture_output=True, text=True, timeout=30)
    if done.returncode != 0:
        raise RuntimeError(f"publishing failed: {done.stdout}{done.stderr}")
    return json.loads(done.stdout)["offset"]


def _publish_change(fleet: Fleet, site: _Site, base: int) -> int:
    changed = json.loads(json.dumps(site.deployment))
    changed["limits"]["max_queue"] = 512
    path = fleet.folder / "changed.yaml"
    path.write_text(yaml.safe_dump(changed))
    return _publish(fleet, site, path, base)


def _until_in_force(site: _Site, offset: int, watch: _Watch) -> float:
    began = time.monotonic()
    while time.monotonic() - began < 2 * _CONFIG_LIMIT:
        views = [_status(vm) for vm in site.vms if vm.name not in watch.gone]
        if all(view and view["config_offset"] >= offset for view in views):
            break
        time.sleep(0.05)
    return time.monotonic() - began


def _until_slots_known(site: _Site) -> None:
    # The demo's steps should begin when every VM has heard of the engines.
    give_up = time.monotonic() + 10.0
    data_centres = len(site.deployment["data_centres"])
    while time.monotonic() < give_up:
        views = [_status(vm) for vm in site.vms]
        heard = [
            v and len(v["sites"]) == data_centres - 1 and v["backends"] for v in views
        ]
        if sum(map(bool, heard)) >= data_centres:
            return
        time.sleep(0.1)


def _status(vm: Vm) -> dict | None:
    try:
        return read_json(f"http://{vm.http}/v1/status", timeout=2.0)
    except OSError:
        return None


def _start_trainer(fleet: Fleet, site: _Site, trainer: dict):
    plan = {
        "vms": [vm.http for vm in site.vms],
        "trainer": trainer["name"],
        "token": f"demo-{trainer['name']}",
        "model": trainer["model"],
        "staleness_bound": trainer["staleness_bound"],
        "version": _FIRST_VERSION,
        "weight_store": f"http://{site.platform['weights']}",
    }
    return _start_with_result(fleet, f"trainer-{trainer['name']}", "trainer", plan)


def _start_guests(fleet: Fleet, site: _Site):
    guests = site.platform["guests"]
    plan = {
        "vms": [vm.http for vm in site.vms],
        "tokens": [f"demo-{p['name']}" for p in site.deployment["partners"]],
        "model": guests["model"],
        "lookup": guests["lookup"],
        "booking": guests["booking"],
    }
    return _start_with_result(fleet, "guests", "guests", plan)


def _start_with_result(fleet: Fleet, name: str, kind: str, plan: dict):
    command = [sys.executable, "-m", "saddledoor_standins", kind]
    command += ["--plan", json.dumps(plan)]
    return fleet.start(name, command, stdout=subprocess.PIPE)


def _result_of(process) -> dict:
    output, _ = process.popen.communicate(timeout=90)
    if process.popen.returncode != 0:
        raise RuntimeError(f"{process.name} failed:\n{process.log()}")
    return json.loads(output)


def _kill_engine(fleet: Fleet, site: _Site, name: str, watch: _Watch) -> None:
    fleet.processes[name].signal(signal.SIGKILL)
    watch.gone.add(name)
    _say(f"killed engine {name}")

    def come_back() -> None:
        time.sleep(_ENGINE_AWAY)
        _start_engine(fleet, site, site.engines[name])
        wait_listening([site.engines[name]["address"]])
        watch.back_at[name] = time.time()
        watch.gone.discard(name)
        _say(f"engine {name} is back, with its old weights")

    threading.Thread(target=come_back, daemon=True).start()


def _vm_with_steps(site: _Site) -> Vm:
    # Stopping a collector is the harder case.
    for vm in site.vms:
        view = _status(vm)
        if view and view["steps"]:
            return vm
    return site.vms[-1]


def _stop_vm(fleet: Fleet, vm: Vm, watch: _Watch) -> float:
    watch.gone.add(vm.name)
    fleet.processes[vm.name].signal(signal.SIGTERM)
    _say(f"stopping {vm.name} as planned")
    return time.time()


def _watch_weights(site: _Site, watch: _Watch) -> None:
    """
    Note, per engine, how long it took from a publication to the new version.
    """
    reached: dict[tuple[str, str, int], float] = {}
    published: dict[tuple[str, int], float] = {}
    while not watch.done.is_set():
        answer = read_json(f"http://{site.platform['weights']}/v1/weights")
        for model, version in answer["models"].items():
            published.setdefault((model, version), answer["published_at"][model])
        for name, engine in site.engines.items():
            versions = _versions(engine["address"]) if name not in watch.gone else {}
            for model, version in versions.items():
                if version > _FIRST_VERSION:
                    reached.setdefault((name, model, version), time.time())
        watch.weights = _swap_times(site, watch, published, reached)
        time.sleep(0.05)


def _swap_times(
    site: _Site,
    watch: _Watch,
    published: dict[tuple[str, int], float],
    reached: dict[tuple[str, str, int], float],
) -> list[float]:
    times = []
    for (model, version), at in published.items():
        if version == _FIRST_VERSION:
            continue
        for name in site.engines:
            start = max(at, watch.back_at.get(name, 0.0))
            seen = reached.get((name, model, version), time.time())
            times.append(max(0.0, seen - start))
    return times


def _versions(address: str) -> dict[str, int]:
    try:
        return read_json(f"http://{address}/v1/load", timeout=1.0)["versions"]
    except OSError:
        return {}


def _dump_log(site: _Site) -> None:
    """
    Keep what the burn report is worked out from: the log ends with the demo.
    """
    time.sleep(_BURN_SETTLES)
    url = f"http://{site.platform['log']}/v1/streams"
    pages = {name: read_json(f"{url}/{name}?from=0") for name in ("config", "burn")}
    _DUMP.parent.mkdir(exist_ok=True)
    _DUMP.write_text(json.dumps(pages))
    _say(f"for the burn report: saddledoorctl report burn --dump {_DUMP}")


def _runs_by_reference(site: _Site) -> dict[str, int]:
    """
    Return how often each reference ran on the unrepeatable routes, over all instances.
    """
    runs: dict[str, int] = {}
    for service in site.deployment["services"]:
        paths = [r["path"] for r in service["routes"] if r.get("unrepeatable")]
        if not paths:
            continue
        for instance in service["instances"]:
            ledger = read_json(f"http://{instance['address']}/fake", {})["runs"]
            for name, count in ledger.items():
                path, _, reference = name.partition(" ")
                if path in paths:
                    runs[reference] = runs.get(reference, 0) + count
    return runs


def _judge(
    watch: _Watch,
    trainers: Sequence[dict],
    guests: dict,
    runs: dict[str, int],
    stopped: Vm,
    stopped_at: float,
    status: int,
) -> dict:
    def total(name: str) -> int:
        return sum(result[name] for result in trainers)

    cut = guests["cut_by"].get(stopped.http, [])
    said_not_run = [ref for ref in guests["not_run_refs"] if ref in runs]
    return {
        "requests": guests["requests"],
        "answered": guests["answered"],
        "not_run": guests["not_run"],
        "not_run_but_ran": len(said_not_run),
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
        "config_in_force_s_max": round(max(watch.configs), 2),
        "engines_on_new_weights_s_max": round(max(watch.weights, default=0.0), 2),
        "trainer_seconds_max": max(result["seconds"] for result in trainers),
    }


def _is_clean(result: dict) -> bool:
    harm = (
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
        all(result[name] == 0 for name in harm)
        and result["samples_delivered"] == result["samples_expected"]
        and result["config_in_force_s_max"] <= _CONFIG_LIMIT
        and 0 < result["engines_on_new_weights_s_max"] <= _WEIGHTS_LIMIT
    )
