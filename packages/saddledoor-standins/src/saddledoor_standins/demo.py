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
from pathlib import Path

import yaml

from .demo_outcome import (
    CONFIG_LIMIT,
    FIRST_VERSION,
    Site,
    Watch,
    is_clean,
    judge,
    runs_by_reference,
    status_of,
    watch_weights,
)
from .fleet import Fleet, Vm, daemon_settings, read_json, wait_listening


__all__ = ["run_demo"]

#: How long the killed engine stays away, in seconds.
_ENGINE_AWAY = 3.0
#: Where the log's streams for the burn report are kept.
_DUMP = Path("build/demo-log.json")
#: How long daemons may take to write their last totals, in seconds.
_BURN_SETTLES = 2.5


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
        _say("interrupted; every process was ended")
        return 130
    result["seconds"] = round(time.monotonic() - began, 1)
    print(json.dumps(result))
    return 0 if is_clean(result) else 1


def _run(fleet: Fleet, site: Site) -> dict:
    _start_platform(fleet, site)
    _start_daemons(fleet, site)
    watch = Watch()
    first = _publish(fleet, site, site.path, base=None)
    watch.configs.append(_until_in_force(site, first, watch))
    _say(f"configuration {first} is in force on {len(site.vms)} VMs")
    _until_slots_known(site)

    trainers = [_start_trainer(fleet, site, t) for t in site.deployment["trainers"]]
    guests = _start_guests(fleet, site)
    watcher = threading.Thread(target=watch_weights, args=(site, watch), daemon=True)
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
    runs = runs_by_reference(site)
    return judge(
        watch, trainer_results, guest_result, runs, stopped, stopped_at, status
    )


def _say(text: str) -> None:
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
    _say(f"the platform runs: {len(addresses)} stand-ins")


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
    _say(f"{len(site.vms)} daemons run, one per entry VM")


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


def _until_in_force(site: Site, offset: int, watch: Watch) -> float:
    began = time.monotonic()
    while time.monotonic() - began < 2 * CONFIG_LIMIT:
        views = [status_of(vm) for vm in site.vms if vm.name not in watch.gone]
        if all(view and view["config_offset"] >= offset for view in views):
            break
        time.sleep(0.05)
    return time.monotonic() - began


def _until_slots_known(site: Site) -> None:
    # The demo's steps should begin when every VM has heard of the engines.
    give_up = time.monotonic() + 10.0
    data_centres = len(site.deployment["data_centres"])
    while time.monotonic() < give_up:
        views = [status_of(vm) for vm in site.vms]
        heard = [
            v and len(v["sites"]) == data_centres - 1 and v["backends"] for v in views
        ]
        if sum(map(bool, heard)) >= data_centres:
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


def _result_of(process) -> dict:
    output, _ = process.popen.communicate(timeout=90)
    if process.popen.returncode != 0:
        raise RuntimeError(f"{process.name} failed:\n{process.log()}")
    return json.loads(output)


def _kill_engine(fleet: Fleet, site: Site, name: str, watch: Watch) -> None:
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


def _vm_with_steps(site: Site) -> Vm:
    # Stopping a collector is the harder case.
    for vm in site.vms:
        view = status_of(vm)
        if view and view["steps"]:
            return vm
    return site.vms[-1]


def _stop_vm(fleet: Fleet, vm: Vm, watch: Watch) -> float:
    watch.gone.add(vm.name)
    fleet.processes[vm.name].signal(signal.SIGTERM)
    _say(f"stopping {vm.name} as planned")
    return time.time()


def _dump_log(site: Site) -> None:
    """
    Keep what the burn report is worked out from: the log ends with the demo.
    """
    time.sleep(_BURN_SETTLES)
    url = f"http://{site.platform['log']}/v1/streams"
    pages = {name: read_json(f"{url}/{name}?from=0") for name in ("config", "burn")}
    _DUMP.parent.mkdir(exist_ok=True)
    _DUMP.write_text(json.dumps(pages))
    _say(f"for the burn report: saddledoorctl report burn --dump {_DUMP}")
