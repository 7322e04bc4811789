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
    DemoSetup,
    Measurements,
    is_clean,
    read_status,
    runs_by_reference,
    summarize_outcome,
    watch_weights,
)
from .fleet import Fleet, Vm, daemon_settings, request_json, wait_listening


__all__ = ["run_demo"]

#: Downtime of the killed engine, in seconds.
_ENGINE_DOWNTIME = 3.0
#: File for the log's streams that the burn report reads.
_DUMP_PATH = Path("build/demo-log.json")
#: Time for daemons to write their last totals, in seconds.
_LAST_TOTALS_DELAY = 2.5


def run_demo(path: Path) -> int:
    """
    Run the demo of a deployment file.

    :returns: The exit status: 0 if no promise was broken.
    """
    began = time.monotonic()
    setup = DemoSetup.load(path)
    try:
        with Fleet.open() as fleet:
            result = _run(fleet, setup)
    except KeyboardInterrupt:
        _print_progress("interrupted; every process was ended")
        return 130
    result["seconds"] = round(time.monotonic() - began, 1)
    print(json.dumps(result))
    return 0 if is_clean(result) else 1


def _run(fleet: Fleet, setup: DemoSetup) -> dict:
    _start_platform(fleet, setup)
    _start_daemons(fleet, setup)
    measurements = Measurements()
    first = _publish(fleet, setup, setup.path, base=None)
    measurements.config_rollout_times.append(
        _wait_until_active(setup, first, measurements)
    )
    _print_progress(f"configuration {first} is in force on {len(setup.vms)} VMs")
    _wait_for_reports(setup)

    trainers = [_start_trainer(fleet, setup, t) for t in setup.deployment["trainers"]]
    guests = _start_guests(fleet, setup)
    watch_thread = threading.Thread(
        target=watch_weights, args=(setup, measurements), daemon=True
    )
    watch_thread.start()
    _print_progress("guests and trainers are at work")

    time.sleep(2.0)
    victim = list(setup.engines)[1]
    _kill_engine(fleet, setup, victim, measurements)
    second = _publish_change(fleet, setup, first)
    measurements.config_rollout_times.append(
        _wait_until_active(setup, second, measurements)
    )
    _print_progress(
        f"configuration {second} is in force after "
        f"{measurements.config_rollout_times[-1]:.2f} s"
    )
    time.sleep(1.0)
    stopped = _choose_vm_to_stop(setup)
    stopped_at = _stop_vm(fleet, stopped, measurements)

    trainer_results = [_read_result(process) for process in trainers]
    _print_progress("trainers have their steps")
    guest_result = _read_result(guests)
    status = fleet.processes[stopped.name].wait()
    _print_progress(f"{stopped.name} ended with status {status}")
    measurements.done.set()
    watch_thread.join(10.0)
    _dump_log(setup)
    runs = runs_by_reference(setup)
    return summarize_outcome(
        measurements, trainer_results, guest_result, runs, stopped, stopped_at, status
    )


def _print_progress(text: str) -> None:
    print(f"demo: {text}", flush=True)


def _start_platform(fleet: Fleet, setup: DemoSetup) -> None:
    platform = setup.platform
    fleet.start_stand_in("log", "log", "--listen", platform["log"])
    fleet.start_stand_in("weights", "weights", "--listen", platform["weights"])
    fleet.start_stand_in("vm-list", "vms", "--listen", platform["vm_list"])
    for engine in setup.engines.values():
        _start_engine(fleet, setup, engine)
    services = [
        (service, instance)
        for service in setup.deployment["services"]
        for instance in service["instances"]
    ]
    for service, instance in services:
        kind = "scorer" if service["name"] == platform["scorer"] else "service"
        arguments = ["--listen", instance["address"], "--name", instance["name"]]
        fleet.start_stand_in(instance["name"], kind, *arguments)
    addresses = [platform["log"], platform["weights"], platform["vm_list"]]
    addresses += [engine["address"] for engine in setup.engines.values()]
    addresses += [instance["address"] for _, instance in services]
    wait_listening(addresses)
    for model in setup.models:
        url = f"http://{platform['weights']}/v1/weights/{model}"
        request_json(url, {"version": FIRST_VERSION})
    listed = [vm.list_entry for vm in setup.vms]
    request_json(f"http://{platform['vm_list']}/fake", {"vms": listed})
    _print_progress(f"the platform runs: {len(addresses)} stand-ins")


def _start_engine(fleet: Fleet, setup: DemoSetup, engine: dict) -> None:
    options = {
        "name": engine["name"],
        "models": setup.models,
        "slots": engine["slots"],
        "fenced": engine["fenced"],
        "weight_store": f"http://{setup.platform['weights']}",
        "version": FIRST_VERSION,
    }
    arguments = ["--listen", engine["address"], "--options", json.dumps(options)]
    fleet.start_stand_in(engine["name"], "engine", *arguments)


def _start_daemons(fleet: Fleet, setup: DemoSetup) -> None:
    platform = setup.platform
    for vm in setup.vms:
        settings = daemon_settings(
            vm,
            setup.deployment["name"],
            log_service=platform["log"],
            vm_list=platform["vm_list"],
            weight_store=platform["weights"],
            burn=2.0,
        )
        fleet.start_daemon(vm.name, settings)
    wait_listening([vm.http for vm in setup.vms])
    _print_progress(f"{len(setup.vms)} daemons run, one per entry VM")


def _publish(fleet: Fleet, setup: DemoSetup, path: Path, base: int | None) -> int:
    command = [
        str(Path(sys.executable).parent / "saddledoorctl"),
        *("config", "publish", str(path), "--json"),
        *("--log", f"http://{setup.platform['log']}"),
    ]
    if base is not None:
        command += ["--base", str(base)]
    done = subprocess.run(command, capture_output=True, text=True, timeout=30)
    if done.returncode != 0:
        raise RuntimeError(f"publishing failed: {done.stdout}{done.stderr}")
    return json.loads(done.stdout)["offset"]


def _publish_change(fleet: Fleet, setup: DemoSetup, base: int) -> int:
    changed = json.loads(json.dumps(setup.deployment))
    changed["limits"]["max_queue"] = 512
    path = fleet.folder / "changed.yaml"
    path.write_text(yaml.safe_dump(changed))
    return _publish(fleet, setup, path, base)


def _wait_until_active(
    setup: DemoSetup, offset: int, measurements: Measurements
) -> float:
    """
    Wait until a configuration is active on all available VMs.

    :returns: The duration in seconds, at most about twice `CONFIG_LIMIT`.
    """
    began = time.monotonic()
    while time.monotonic() - began < 2 * CONFIG_LIMIT:
        views = [
            read_status(vm)
            for vm in setup.vms
            if vm.name not in measurements.unavailable
        ]
        if all(view and view["config_offset"] >= offset for view in views):
            break
        time.sleep(0.05)
    return time.monotonic() - began


def _wait_for_reports(setup: DemoSetup) -> None:
    # The trainers' steps should start after the VMs received the engines' reports.
    deadline = time.monotonic() + 10.0
    data_centres = len(setup.deployment["data_centres"])
    while time.monotonic() < deadline:
        views = [read_status(vm) for vm in setup.vms]
        complete = [
            v and len(v["sites"]) == data_centres - 1 and v["backends"] for v in views
        ]
        if sum(map(bool, complete)) >= data_centres:
            return
        time.sleep(0.1)


def _start_trainer(fleet: Fleet, setup: DemoSetup, trainer: dict):
    plan = {
        "vms": [vm.http for vm in setup.vms],
        "trainer": trainer["name"],
        "token": f"demo-{trainer['name']}",
        "model": trainer["model"],
        "staleness_bound": trainer["staleness_bound"],
        "version": FIRST_VERSION,
        "weight_store": f"http://{setup.platform['weights']}",
    }
    return _start_with_result(fleet, f"trainer-{trainer['name']}", "trainer", plan)


def _start_guests(fleet: Fleet, setup: DemoSetup):
    guests = setup.platform["guests"]
    plan = {
        "vms": [vm.http for vm in setup.vms],
        "tokens": [f"demo-{p['name']}" for p in setup.deployment["partners"]],
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
    fleet: Fleet, setup: DemoSetup, name: str, measurements: Measurements
) -> None:
    fleet.processes[name].signal(signal.SIGKILL)
    measurements.unavailable.add(name)
    _print_progress(f"killed engine {name}")

    def restart() -> None:
        time.sleep(_ENGINE_DOWNTIME)
        _start_engine(fleet, setup, setup.engines[name])
        wait_listening([setup.engines[name]["address"]])
        measurements.restarted_at[name] = time.time()
        measurements.unavailable.discard(name)
        _print_progress(f"engine {name} is back, with its old weights")

    threading.Thread(target=restart, daemon=True).start()


def _choose_vm_to_stop(setup: DemoSetup) -> Vm:
    # A VM that collects a step is preferred: stopping it must not lose samples.
    for vm in setup.vms:
        view = read_status(vm)
        if view and view["steps"]:
            return vm
    return setup.vms[-1]


def _stop_vm(fleet: Fleet, vm: Vm, measurements: Measurements) -> float:
    measurements.unavailable.add(vm.name)
    fleet.processes[vm.name].signal(signal.SIGTERM)
    _print_progress(f"stopping {vm.name} as planned")
    return time.time()


def _dump_log(setup: DemoSetup) -> None:
    """
    Save the streams that the burn report reads, as the log is lost with the demo.
    """
    time.sleep(_LAST_TOTALS_DELAY)
    url = f"http://{setup.platform['log']}/v1/streams"
    pages = {name: request_json(f"{url}/{name}?from=0") for name in ("config", "burn")}
    _DUMP_PATH.parent.mkdir(exist_ok=True)
    _DUMP_PATH.write_text(json.dumps(pages))
    _print_progress(
        f"for the burn report: saddledoorctl report burn --dump {_DUMP_PATH}"
    )
