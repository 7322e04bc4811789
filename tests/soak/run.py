# SPDX-License-Identifier: MIT

"""
Runs one seed: starts the processes, injects, checks all the while, and judges.
"""

from __future__ import annotations

import json
import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from platform_bed import PlatformBed

from .checks import Finding, judge
from .faults import PACE, Injector, config_with_routes
from .load import Load
from .observed import TRAINERS, EngineLine, Observed, Report
from .plan import DESKS, EDGES, POOL, Fault, SoakPlan, SoakSettings


__all__ = ["SoakBrokenError", "Verdict", "run_seed"]

_CALLERS, _TRAINERS = 4, 3
#: How often the promises are checked, in seconds.
_EVERY = 1.0
#: How long everything may take to be served again after the last fault, in seconds;
#: the platform's rules allow 12.
_RECOVERY = 12.0


class SoakBrokenError(Exception):
    """
    The soak itself failed, so that the run says nothing.
    """


@dataclass(frozen=True)
class Verdict:
    """
    What came out of a seed.

    :param faults: Injected, by kind.
    :param requests: Of callers, a count.
    :param samples: Results read whole, a count.
    :param worst_recovery: Longest time from the end of a fault to the next request that
        was answered, in seconds.
    :param worst_after: The fault that had ended, and what callers got until then: the
        statuses of requests that ended meanwhile, counted by edge.
    """

    seed: int
    faults: dict[str, int]
    requests: int
    served: int
    jobs: int
    samples: int
    worst_recovery: float
    worst_after: str
    seconds: float
    findings: tuple[Finding, ...]


def run_seed(
    seed: int,
    settings: SoakSettings,
    folder: Path,
    progress: Callable[[str], None] = lambda text: None,
) -> Verdict:
    """
    Run a seed.

    :param folder: Keeps the logs of all processes.
    :param progress: Told a line now and then.
    :raises SoakBrokenError: If the soak itself failed.
    """
    began = time.monotonic()
    folder.mkdir(parents=True)
    plan = SoakPlan.from_seed(seed, settings)
    seen = Observed()
    with PlatformBed.open(
        folder,
        edges=len(EDGES),
        engines=len(POOL),
        duties=True,
        config=config_with_routes(1),
    ) as bed:
        for engine in POOL:
            bed.fake_engine(engine, pace=PACE)
        load = Load(bed, seen)
        injector = Injector(bed, load, seen)
        journals = _Journals(bed, seen)
        callers = load.start(seed, _CALLERS, _TRAINERS)
        series = injector.start(plan)
        try:
            while any(thread.is_alive() for thread in series):
                time.sleep(_EVERY)
                journals.follow()
                _follow_reports(bed, seen)
                broken = len(judge(seen))
                progress(
                    f"seed {seed}: {time.monotonic() - injector.began:.0f} s,"
                    f" {injector.counts.total()} faults, {len(seen.asked)} requests,"
                    f" {broken} broken"
                )
            load.closing.set()
            _await_recovery(load, seen)
        finally:
            load.closing.set()
            load.over.set()
            for thread in (*series, *callers):
                thread.join()
        _read_everything(load, seen)
        journals.follow()
        _follow_reports(bed, seen)
    if injector.broken:
        raise SoakBrokenError(f"seed {seed}: {injector.broken[0]!r}")
    findings = tuple(dict.fromkeys(judge(seen)))
    served = [a for a in seen.asked if a.status == 200]
    worst, worst_after = _worst_recovery(injector.ends, seen)
    samples = {
        (read.job, result["id"])
        for read in seen.read
        for result in read.results
        if result["state"] == "completed"
    }
    return Verdict(
        seed=seed,
        faults=dict(sorted(injector.counts.items())),
        requests=len(seen.asked),
        served=len(served),
        jobs=sum(submitted.accepted for submitted in seen.submitted),
        samples=len(samples),
        worst_recovery=worst,
        worst_after=worst_after,
        seconds=round(time.monotonic() - began, 1),
        findings=findings,
    )


class _Journals:
    """
    Reads what the engines wrote down since the last time.
    """

    def __init__(self, bed: PlatformBed, seen: Observed) -> None:
        self._paths = {name: bed.journal(name) for name in (*POOL, *DESKS)}
        self._read_to = dict.fromkeys(self._paths, 0)
        self._seen = seen

    def follow(self) -> None:
        for name, path in self._paths.items():
            if not path.exists():
                continue
            with path.open("rb") as stream:
                stream.seek(self._read_to[name])
                data = stream.read()
            # An engine may be writing its last line.
            whole = data[: data.rfind(b"\n") + 1]
            self._read_to[name] += len(whole)
            for line in whole.splitlines():
                self._seen.engines.append(EngineLine(**json.loads(line)))


def _follow_reports(bed: PlatformBed, seen: Observed) -> None:
    """
    Take over the calls that the platform got since the last time.
    """
    for call in bed.fake_duties()["calls"][len(seen.reports) :]:
        seen.reports.append(
            Report(
                call["window_no"],
                tuple(sorted(call["counts"].items())),
                call["holder"],
                call["fence"],
                call["at"],
            )
        )


def _await_recovery(load: Load, seen: Observed) -> None:
    """
    Wait until each edge serves the newest configuration and open jobs are whole.
    """
    deadline, began = time.monotonic() + _RECOVERY, time.time()
    left: set[str] = set()
    while time.monotonic() < deadline:
        left = _not_recovered(load, began)
        if not left:
            return
        time.sleep(0.2)
    seen.never.extend(f"{what} after {_RECOVERY:g} s" for what in sorted(left))


def _not_recovered(load: Load, since: float) -> set[str]:
    """
    Return what does not work yet, in words.

    :param since: Time of day after which usage has to be reported, in seconds.
    """
    left = set()
    for edge in EDGES:
        key = {"Saddledoor_Key": f"{TRAINERS}-{load.routes}"}
        answer = load.bed.ask("POST", f"/r{load.routes}/", b"x", "last", edge, **key)
        if answer.status != 200:
            left.add(f"{edge} answers {answer.status} on the newest route")
    _follow_reports(load.bed, load.seen)
    if not any(report.at > since for report in load.seen.reports):
        left.add("no usage is reported")
    draw = random.Random(0)
    for job, items in list(load.open_jobs.items()):
        read = load.read(job, 0, draw)
        if len(read.results) < items:
            left.add(f"{job}: {len(read.results)} of {items} results")
    return left


def _read_everything(load: Load, seen: Observed) -> None:
    draw = random.Random(0)
    for submitted in list(seen.submitted):
        for edge in EDGES:
            if submitted.accepted:
                load.read(submitted.job, 0, draw, edge)


def _worst_recovery(
    ends: list[tuple[float, Fault]], seen: Observed
) -> tuple[float, str]:
    """
    Return the longest time without an answer from a fault's end on, and what it was.
    """
    served = sorted(a.at for a in seen.asked if a.status == 200)
    waits = [
        (next(at for at in served if at >= end) - end, end, fault)
        for end, fault in ends
        if served and served[-1] >= end
    ]
    if not waits:
        return 0.0, ""
    wait, end, fault = max(waits, key=lambda one: one[0])
    got = Counter(
        f"{asked.edge} {asked.status}"
        for asked in seen.asked
        if end <= asked.at < end + wait
    )
    told = ", ".join(f"{count} x {what}" for what, count in sorted(got.items()))
    return round(wait, 2), f"{fault.kind} of {fault.target}: {told or 'nothing'}"
