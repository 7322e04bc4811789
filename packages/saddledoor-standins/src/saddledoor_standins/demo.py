# SPDX-License-Identifier: MIT

"""
The demo: runs a whole deployment as separate processes, injects failures and checks
what callers and back ends observed.
"""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import threading
import time
from pathlib import Path

import yaml

from .demo_outcome import (
    CONFIG_LIMIT,
    FIRST_VERSION,
    Measurements,
    Site,
    is_clean,
    judge,
    read_status,
    runs_by_reference,
    watch_weights,
)
from .fleet import Fleet, Vm, daemon_settings, read_json, wait_listening


__all__ = ["run_demo"]

#: Downtime of the killed engine, in seconds.
_ENGINE_DOWNTIME = 3.0
#: File for the log's streams that the burn report reads.
_DUMP_PATH = Path("build/demo-log.json")
#: Time for daemons to write their last totals, in seconds.
_BURN_REPORT_DELAY = 2.5


def run_demo(path: Path) -> int:
    """
    Run the demo of a deployment file.

    :returns: The exit status: 0 if no promise was broken.
    """
    began = time.monotonic()
    site = Site.load(path)
    try:
        with Fleet.open() as fleet:
            result = _run(fleet, site)
    except KeyboardInterrupt:
        _print_progress("interrupted; every process was ended")
        return 130
    result["seconds"] = round(time.monotonic() - began, 1)
    print(json.dumps(result))
    return 0 if is_clean(result) else 1


def _run(fleet: Fleet, site: Site) -> dict:
    _start_platform(fleet, site)
    _start_daemons(fleet, site)
    measurements = Measurements()
    first = _publish(fleet, site, site.path, base=None)
    measurements.configs.append(_wait_until_in_force(site, first, measurements))
    _print_progress(f"configuration {first} is in force on {len(site.vms)} VMs")
    _wait_for_reports(site)

    trainers = [_start_trainer(fleet, site, t) for t in site.deployment["trainers"]]
    guests = _start_guests(fleet, site)
    watch_thread = threading.Thread(
        target=watch_weights, args=(site, measurements), daemon=True
    )
    watch_thread.start()
    _print_progress("guests and trainers are at work")

    time.sleep(2.0)
    victim = list(site.engines)[1]
    _kill_engine(fleet, site, victim, measurements)
    second = _publish_change(fleet, site, first)
    measurements.configs.append(_wait_until_in_force(site, second, measurements))
    _print_progress(
        f"configuration {second} is in force after {measurements.configs[-1]:.2f} s"
    )
    time.sleep(1.0)
    stopped = _choose_vm_to_stop(site)
    stopped_at = _stop_vm(fleet, stopped, measurements)

    trainer_results = [_read_result(process) for process in trainers]
    _print_progress("trainers have their steps")
    guest_result = _read_result(guests)
    status = fleet.processes[stopped.name].wait()
    _print_progress(f"{stopped.name} ended with status {status}")
    measurements.done.set()
    watch_thread.join(10.0)
    _dump_log(site)
    runs = runs_by_reference(site)
    return judge(
        measurements, trainer_results, guest_result, runs, stopped, stopped_at, status
    )


def _print_progress(text: str) -> None:
    print(f"demo: {text}", flush=True)


def _start_platform(fleet: Fleet, site: Site) -> None:
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
        read_json(url, {"version": FIRST_VERSION})
    listed = [vm.listed for vm in site.vms]
    read_json(f"http://{platform['vm_list']}/fake", {"vms": listed})
    _print_progress(f"the platform runs: {len(addresses)} stand-ins")


def _start_engine(fleet: Fleet, site: Site, engine: dict) -> None:
    options = {
        "name": engine["name"],
        "models": site.models,
        "slots": engine["slots"],
        "fenced": engine["fenced"],
        "weight_store": f"http://{site.platform['weights']}",
        "version": FIRST_VERSION,
    }
    arguments = ["--listen", engine["address"], "--options", json.dumps(options)]
    fleet.stand_in(engine["name"], "engine", *arguments)


def _start_daemons(fleet: Fleet, site: Site) -> None:
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
    _print_progress(f"{len(site.vms)} daemons run, one per entry VM")


def _publish(fleet: Fleet, site: Site, path: Path, base: int | None) -> int:
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


def _publish_change(fleet: Fleet, site: Site, base: int) -> int:
    changed = json.loads(json.dumps(site.deployment))
    changed["limits"]["max_queue"] = 512
    path = fleet.folder / "changed.yaml"
    path.write_text(yaml.safe_dump(changed))
    return _publish(fleet, site, path, base)


def _wait_until_in_force(site: Site, offset: int, measurements: Measurements) -> float:
    began = time.monotonic()
    while time.monotonic() - began < 2 * CONFIG_LIMIT:
        views = [
            read_status(vm)
            for vm in site.vms
            if vm.name not in measurements.unavailable
        ]
        if all(view and view["config_offset"] >= offset for view in views):
            break
        time.sleep(0.05)
    return time.monotonic() - began


def _wait_for_reports(site: Site) -> None:
    # The trainers' steps should start after the VMs received the engines' reports.
    deadline = time.monotonic() + 10.0
    data_centres = len(site.deployment["data_centres"])
    while time.monotonic() < deadline:
        views = [read_status(vm) for vm in site.vms]
        complete = [
            v and len(v["sites"]) == data_centres - 1 and v["backends"] for v in views
        ]
        if sum(map(bool, complete)) >= data_centres:
            return
        time.sleep(0.1)


def _start_trainer(fleet: Fleet, site: Site, trainer: dict):
    plan = {
        "vms": [vm.http for vm in site.vms],
        "trainer": trainer["name"],
        "token": f"demo-{trainer['name']}",
        "model": trainer["model"],
        "staleness_bound": trainer["staleness_bound"],
        "version": FIRST_VERSION,
        "weight_store": f"http://{site.platform['weights']}",
    }
    return _start_with_result(fleet, f"trainer-{trainer['name']}", "trainer", plan)


def _start_guests(fleet: Fleet, site: Site):
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


def _read_result(process) -> dict:
    output, _ = process.popen.communicate(timeout=90)
    if process.popen.returncode != 0:
        raise RuntimeError(f"{process.name} failed:\n{process.log()}")
    return json.loads(output)


def _kill_engine(
    fleet: Fleet, site: Site, name: str, measurements: Measurements
) -> None:
    fleet.processes[name].signal(signal.SIGKILL)
    measurements.unavailable.add(name)
    _print_progress(f"killed engine {name}")

    def restart() -> None:
        time.sleep(_ENGINE_DOWNTIME)
        _start_engine(fleet, site, site.engines[name])
        wait_listening([site.engines[name]["address"]])
        measurements.restarted_at[name] = time.time()
        measurements.unavailable.discard(name)
        _print_progress(f"engine {name} is back, with its old weights")

    threading.Thread(target=restart, daemon=True).start()


def _choose_vm_to_stop(site: Site) -> Vm:
    # A VM that collects a step is preferred: stopping it must not lose samples.
    for vm in site.vms:
        view = read_status(vm)
        if view and view["steps"]:
            return vm
    return site.vms[-1]


def _stop_vm(fleet: Fleet, vm: Vm, measurements: Measurements) -> float:
    measurements.unavailable.add(vm.name)
    fleet.processes[vm.name].signal(signal.SIGTERM)
    _print_progress(f"stopping {vm.name} as planned")
    return time.time()


def _dump_log(site: Site) -> None:
    """
    Save the streams that the burn report reads, as the log is lost with the demo.
    """
    time.sleep(_BURN_REPORT_DELAY)
    url = f"http://{site.platform['log']}/v1/streams"
    pages = {name: read_json(f"{url}/{name}?from=0") for name in ("config", "burn")}
    _DUMP_PATH.parent.mkdir(exist_ok=True)
    _DUMP_PATH.write_text(json.dumps(pages))
    _print_progress(
        f"for the burn report: saddledoorctl report burn --dump {_DUMP_PATH}"
    )
