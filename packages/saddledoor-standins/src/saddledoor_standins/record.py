# SPDX-License-Identifier: MIT

"""
Records traces of real processes under failure, and variants that break a promise.
"""

from __future__ import annotations

import asyncio
import json
import signal
import threading
import time
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from pathlib import Path

from saddledoor.tracing import (
    AnswerStreamed,
    CallEnded,
    CallRan,
    ConfigActivated,
    Event,
    FetchAnswered,
    LeavingSeen,
    RequestIn,
    SampleKept,
    SlotGranted,
    StageChanged,
    TracedEvent,
    encode_traced,
)

from .testbed import MODEL, SHORT_TIMINGS, TRAINER, Shape, Testbed, until
from .trainer import TrainerPlan, run_trainer


__all__ = ["SCENARIOS", "TRACE_ALTERATIONS", "record", "write_altered_trace"]


def record(name: str, folder: Path) -> Path:
    """
    Run a scenario and write its trace and its expected outcomes.

    :returns: The trace's path.
    """
    scenario, promises, counted = SCENARIOS[name]
    with Testbed.open(Shape(timings=SHORT_TIMINGS, traced=True)) as bed:
        scenario(bed)
        events = bed.read_traces()
    path = folder / f"{name}.jsonl"
    counts = Counter(traced.event.kind for traced in events)
    _write(path, events, promises, {kind: counts[kind] for kind in counted})
    return path


def write_altered_trace(source: Path, events: list[TracedEvent], promise: str) -> Path:
    """
    Write an altered copy of a trace, in which one event breaks a promise.
    """
    folder = source.parent / "broken"
    folder.mkdir(exist_ok=True)
    path = folder / f"{promise}.jsonl"
    _write(path, TRACE_ALTERATIONS[promise][1](events), (promise,), {})
    return path


def _write(
    path: Path,
    events: list[TracedEvent],
    promises: tuple[str, ...],
    counts: dict[str, int],
) -> None:
    path.write_text("".join(encode_traced(traced) + "\n" for traced in events))
    expected = {"promises": list(promises), "counts": counts}
    path.with_suffix(".outcomes.json").write_text(json.dumps(expected, indent=2) + "\n")


def _make_plan(bed: Testbed, **changes: object) -> TrainerPlan:
    """
    Return a trainer's plan for a recorded scenario.
    """
    fields = {
        "vms": tuple(vm.http for vm in bed.vms.values()),
        "trainer": TRAINER,
        "token": TRAINER,
        "model": MODEL,
        "staleness_bound": 1,
        "groups": 6,
        "group_size": 4,
        "tokens": 80,
        "long_share": 0.08,
        "long_factor": 6,
        "publish_at": 0.15,
        "weight_store": f"http://{bed.weights}",
        "deadline": 40.0,
        "trace": bed.trace_path("trainer"),
    }
    return TrainerPlan(**(fields | changes))


def _start_trainer(bed: Testbed, **changes: object) -> threading.Thread:
    plan = _make_plan(bed, **changes)
    thread = threading.Thread(target=lambda: asyncio.run(run_trainer(plan)))
    thread.start()
    return thread


def _find_collector(bed: Testbed) -> str | None:
    running = [name for name in bed.vms if bed.process(name).running]
    return next((name for name in running if bed.status(name)["steps"]), None)


def _swap_and_killed_collector(bed: Testbed) -> None:
    """
    Swap weights during a step, kill the collector, and restart an engine.
    """
    bed.fake("engine-1", pretend_activate=1)
    trainer = _start_trainer(bed)
    until(lambda: bed.engine_versions().get("engine-2") == 2)
    bed.process("engine-2").signal(signal.SIGKILL)
    victim = until(lambda: _find_collector(bed))
    bed.process(victim).signal(signal.SIGKILL)
    time.sleep(0.3)
    bed.start_engine("engine-2", version=1)
    trainer.join()


def _claims_under_outage(bed: Testbed) -> None:
    """
    Send a key to every VM, lose the log's answers, cut the log off, kill the owner.
    """
    names = list(bed.vms)
    with ThreadPoolExecutor(8) as pool:
        list(pool.map(lambda name: bed.book(name, "r1", "k1"), names * 2))
        bed.fake("log", lose_answers=4)
        list(pool.map(lambda name: bed.book(name, "r2", "k2"), names))
    for fault in ("not_started", "run_and_close", "read_and_close"):
        for name in bed.instances:
            bed.fake(name, **{fault: 3})
        bed.book(names[0], fault, fault)
        for name in bed.instances:
            bed.fake(name, **{fault: 0})
    bed.set_log_link()
    for name in names:
        bed.book(name, "r3", "k3")
    bed.set_log_link(mode="pass")
    time.sleep(2.0)
    bed.book(names[2], "r3", "k3")
    bed.process(names[0]).signal(signal.SIGKILL)
    bed.book(names[1], "r1", "k1")


def _operators_race(bed: Testbed) -> None:
    """
    Publish concurrently, restart a VM without the log, cut off a data centre's log.
    """
    files = [{**bed.deployment, "limits": {"max_queue": q}} for q in (300, 400)]
    with ThreadPoolExecutor(2) as pool:
        results = list(pool.map(lambda f: bed.publish(f, bed.offset), files))
    offset = next(r["offset"] for r in results if r["state"] == "accepted")
    until(lambda: bed.is_active_everywhere(offset))
    bed.process("dc-a-vm1").signal(signal.SIGKILL)
    bed.process("dc-a-vm1").wait()
    bed.set_log_link("dc-b")
    bed.set_log_link("dc-a")
    bed.start_vm("dc-a-vm1")
    until(lambda: bed.is_active_everywhere(offset))
    bed.set_log_link("dc-a", mode="pass")
    last = bed.publish(bed.deployment, offset)["offset"]
    until(lambda: bed.is_active_everywhere(last))
    bed.set_log_link("dc-b", mode="pass")
    time.sleep(1.0)


def _leaving_without_log(bed: Testbed) -> None:
    """
    Let an engine report that it is leaving while no VM can reach the log.
    """
    bed.set_log_link()
    for vm in list(bed.vms) * 3:
        bed.complete(vm, "before")
    bed.fake("engine-1", leaving=True)
    for vm in list(bed.vms) * 10:
        bed.complete(vm, "after")
        time.sleep(0.15)


def _planned_stop(bed: Testbed) -> None:
    """
    Stop a collector while long requests are in flight and new ones arrive.
    """
    trainer = _start_trainer(bed, publish_at=2.0)
    victim = until(lambda: _find_collector(bed))
    with ThreadPoolExecutor(12) as pool:
        for number in range(3):
            pool.submit(bed.complete, victim, f"p{number}", 300)
        time.sleep(0.3)
        bed.process(victim).signal(signal.SIGTERM)
        for _ in range(8):
            pool.submit(bed.look_up, victim)
            time.sleep(0.05)
    bed.process(victim).wait(60.0)
    trainer.join()


#: By name: scenario, promises that its trace must keep, kinds of events to count.
SCENARIOS: dict[str, tuple[Callable[[Testbed], None], tuple[str, ...], tuple]] = {
    "swap-and-killed-collector": (
        _swap_and_killed_collector,
        ("labels", "exactly_once", "staleness", "whole_answer"),
        ("kept", "step_opened", "streamed"),
    ),
    "claims-under-outage": (
        _claims_under_outage,
        ("at_most_once", "not_run"),
        ("ran", "ended", "claim_decided"),
    ),
    "operators-race": (
        _operators_race,
        ("configuration",),
        ("put_in_force", "heard_config"),
    ),
    "leaving-without-log": (
        _leaving_without_log,
        ("leaving", "whole_answer"),
        ("saw_leaving", "granted"),
    ),
    "planned-stop": (
        _planned_stop,
        ("planned_stop", "exactly_once", "labels"),
        ("request_in", "request_out", "kept"),
    ),
}


def _change_first(
    matches: Callable[[Event], bool], change: Callable[[Event], Event]
) -> Callable[[list[TracedEvent]], list[TracedEvent]]:
    def mutate(events: list[TracedEvent]) -> list[TracedEvent]:
        index = next(i for i, traced in enumerate(events) if matches(traced.event))
        changed = replace(events[index], event=change(events[index].event))
        return [*events[:index], changed, *events[index + 1 :]]

    return mutate


def _insert_after(
    matches: Callable[[Event], bool], make: Callable[[TracedEvent], TracedEvent]
) -> Callable[[list[TracedEvent]], list[TracedEvent]]:
    def mutate(events: list[TracedEvent]) -> list[TracedEvent]:
        index = next(i for i, traced in enumerate(events) if matches(traced.event))
        return [*events[: index + 1], make(events[index]), *events[index + 1 :]]

    return mutate


def _relabel(event: SampleKept) -> SampleKept:
    version, first, last = event.runs[0]
    return replace(event, runs=((version + 1, first, last), *event.runs[1:]))


def _exceed_staleness(event: SampleKept) -> SampleKept:
    return replace(event, version=event.version + event.bound + 1)


def _shorten_answer(event: AnswerStreamed) -> AnswerStreamed:
    return replace(event, asked=event.asked + 1)


def _report_not_run(traced: TracedEvent) -> TracedEvent:
    request = traced.event.request_id.rpartition(".")[0]
    return replace(traced, event=CallEnded(request, 201))


def _activate_again(traced: TracedEvent) -> TracedEvent:
    return replace(traced, event=ConfigActivated(traced.event.offset))


def _grant_slot(traced: TracedEvent) -> TracedEvent:
    return replace(traced, event=SlotGranted(traced.event.backend))


def _change_number(event: FetchAnswered) -> FetchAnswered:
    return replace(event, number=event.number + 1)


def _insert_unanswered_request(events: list[TracedEvent]) -> list[TracedEvent]:
    stop = next(
        i
        for i, traced in enumerate(events)
        if isinstance(traced.event, StageChanged) and traced.event.stage == "stopped"
    )
    late = replace(events[stop], event=RequestIn(1_000_000))
    return [*events[:stop], late, *events[stop:]]


#: By promise: the scenario whose trace is changed, and the change that breaks it.
TRACE_ALTERATIONS: dict[
    str, tuple[str, Callable[[list[TracedEvent]], list[TracedEvent]]]
] = {
    "labels": (
        "swap-and-killed-collector",
        _change_first(lambda e: isinstance(e, SampleKept), _relabel),
    ),
    "at_most_once": (
        "claims-under-outage",
        _insert_after(lambda e: isinstance(e, CallRan), lambda traced: traced),
    ),
    "not_run": (
        "claims-under-outage",
        _insert_after(lambda e: isinstance(e, CallRan), _report_not_run),
    ),
    "exactly_once": (
        "swap-and-killed-collector",
        _change_first(
            lambda e: isinstance(e, FetchAnswered) and e.number > 0, _change_number
        ),
    ),
    "staleness": (
        "swap-and-killed-collector",
        _change_first(lambda e: isinstance(e, SampleKept), _exceed_staleness),
    ),
    "configuration": (
        "operators-race",
        _insert_after(lambda e: isinstance(e, ConfigActivated), _activate_again),
    ),
    "whole_answer": (
        "swap-and-killed-collector",
        _change_first(
            lambda e: isinstance(e, AnswerStreamed) and bool(e.runs), _shorten_answer
        ),
    ),
    "leaving": (
        "leaving-without-log",
        _insert_after(lambda e: isinstance(e, LeavingSeen), _grant_slot),
    ),
    "planned_stop": ("planned-stop", _insert_unanswered_request),
}
