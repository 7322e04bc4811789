# SPDX-License-Identifier: MIT

"""
Runs one seed: starts the processes, injects faults and checks the promises.
"""

from __future__ import annotations

import contextlib
import json
import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from links import Link

from platform_bed import PlatformBed
from platform_documents import MODEL

from .checks import Finding, judge
from .faults import EVENT_INTERVAL, Injector, config_with_routes
from .load import Load
from .observed import TRAINERS, EngineLine, Observations, UsageReport
from .plan import DESKS, EDGES, POOL, Fault, Series, SoakPlan, SoakSettings


__all__ = ["SoakBrokenError", "Verdict", "run_seed"]

_CALLERS, _TRAINERS = 4, 3
#: Time for which a link holds an order, in seconds; TCP sends a lost packet again after
#: some 0.2 s.
_ORDER_DELAY = 0.25
#: Time between two checks of the promises, in seconds.
_CHECK_INTERVAL = 1.0
#: Time limit for recovery after the last fault, in seconds, as in the platform's rules.
_RECOVERY_LIMIT = 12.0
#: Time for which the store keeps the records of leases, in seconds; shorter than a run,
#: so that edges start with a truncated history.
_LEASES_KEPT = 5


class SoakBrokenError(Exception):
    """
    The soak itself failed, which makes its verdict invalid.
    """


@dataclass(frozen=True)
class Verdict:
    """
    Result of a seed.

    :param faults: Number of injected faults by kind.
    :param requests: Number of callers' requests.
    :param samples: Number of completed results that were read.
    :param worst_recovery: Longest time from the end of a fault to the next successful
        request, in seconds.
    :param worst_after: The fault of ``worst_recovery``, and the number of callers'
        requests that ended during it, by edge and status.
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

    :param folder: New folder for the logs of all processes.
    :param progress: Called with a line of text after each check.
    :raises SoakBrokenError: If the soak itself failed.
    """
    began = time.monotonic()
    folder.mkdir(parents=True)
    plan = SoakPlan.from_seed(seed, settings)
    observations = Observations()
    has_links = settings.series is Series.LINKS
    with contextlib.ExitStack() as stack:
        bed = stack.enter_context(
            PlatformBed.open(
                folder,
                edges=len(EDGES),
                engines=len(POOL),
                duties=True,
                config=config_with_routes(1),
                keep_s=_LEASES_KEPT,
                store_link=Link.open if has_links else None,
            )
        )
        links = _open_links(bed, stack) if has_links else {}
        bed.fake_store(keep_s=_LEASES_KEPT)
        for engine in POOL:
            bed.fake_engine(engine, pace=EVENT_INTERVAL)
        load = Load(bed, observations)
        injector = Injector(bed, load, observations, links)
        journals = _JournalReader(bed, observations)
        callers = load.start(seed, _CALLERS, _TRAINERS)
        series = injector.start(plan)
        try:
            while any(thread.is_alive() for thread in series):
                time.sleep(_CHECK_INTERVAL)
                journals.follow()
                _collect_reports(bed, observations)
                finding_count = len(judge(observations))
                progress(
                    f"seed {seed}: {time.monotonic() - injector.began:.0f} s,"
                    f" {injector.counts.total()} faults,"
                    f" {len(observations.requests)} requests,"
                    f" {finding_count} broken"
                )
            load.closing.set()
            _wait_for_recovery(load, observations)
        finally:
            load.closing.set()
            load.over.set()
            for thread in (*series, *callers):
                thread.join()
        _read_all_jobs(load, observations)
        journals.follow()
        _collect_reports(bed, observations)
    if injector.errors:
        raise SoakBrokenError(f"seed {seed}: {injector.errors[0]!r}")
    findings = tuple(dict.fromkeys(judge(observations)))
    served = [a for a in observations.requests if a.status == 200]
    worst, worst_after = _worst_recovery(injector.ends, observations)
    samples = {
        (read.job, result["id"])
        for read in observations.reads
        for result in read.results
        if result["state"] == "completed"
    }
    return Verdict(
        seed=seed,
        faults=dict(sorted(injector.counts.items())),
        requests=len(observations.requests),
        served=len(served),
        jobs=sum(submitted.accepted for submitted in observations.submissions),
        samples=len(samples),
        worst_recovery=worst,
        worst_after=worst_after,
        seconds=round(time.monotonic() - began, 1),
        findings=findings,
    )


def _open_links(bed: PlatformBed, stack: contextlib.ExitStack) -> dict[str, Link]:
    """
    Open a link to each engine, which tells its address from now on.
    """
    links = {}
    for name in (*POOL, *DESKS):
        link = stack.enter_context(Link.open(bed.engine_ports[name], _ORDER_DELAY))
        links[name] = link
        bed.fake_engine(name, address=f"127.0.0.1:{link.port}")
        service, model = ("pool", MODEL) if name in POOL else ("desk", "")
        bed.put_entry(name, service, link.port, model)
    return links


class _JournalReader:
    """
    Reads new lines of the engines' journals.
    """

    def __init__(self, bed: PlatformBed, observations: Observations) -> None:
        self._paths = {name: bed.journal(name) for name in (*POOL, *DESKS)}
        self._read_to = dict.fromkeys(self._paths, 0)
        self._seen = observations

    def follow(self) -> None:
        for name, path in self._paths.items():
            if not path.exists():
                continue
            with path.open("rb") as stream:
                stream.seek(self._read_to[name])
                data = stream.read()
            # The last line may be incomplete.
            whole = data[: data.rfind(b"\n") + 1]
            self._read_to[name] += len(whole)
            for line in whole.splitlines():
                self._seen.engine_lines.append(EngineLine(**json.loads(line)))


def _collect_reports(bed: PlatformBed, observations: Observations) -> None:
    """
    Add the usage reports that the platform received since the last call.
    """
    for call in bed.fake_duties()["calls"][len(observations.reports) :]:
        observations.reports.append(
            UsageReport(
                call["window_no"],
                tuple(sorted(call["counts"].items())),
                call["holder"],
                call["fence"],
                call["at"],
            )
        )


def _wait_for_recovery(load: Load, observations: Observations) -> None:
    """
    Wait until each edge serves the newest configuration and open jobs are complete.
    """
    deadline, began = time.monotonic() + _RECOVERY_LIMIT, time.time()
    left: set[str] = set()
    while time.monotonic() < deadline:
        left = _find_unrecovered(load, began)
        if not left:
            return
        time.sleep(0.2)
    observations.unrecovered.extend(
        f"{what} after {_RECOVERY_LIMIT:g} s" for what in sorted(left)
    )


def _find_unrecovered(load: Load, since: float) -> set[str]:
    """
    Return descriptions of what has not recovered.

    :param since: Wall-clock time after which usage must be reported, in seconds.
    """
    left = set()
    for edge in EDGES:
        key = {"Saddledoor_Key": f"{TRAINERS}-{load.routes}"}
        answer = load.bed.ask("POST", f"/r{load.routes}/", b"x", "last", edge, **key)
        if answer.status != 200:
            left.add(f"{edge} answers {answer.status} on the newest route")
    _collect_reports(load.bed, load.observations)
    if not any(report.at > since for report in load.observations.reports):
        left.add("no usage is reported")
    draw = random.Random(0)
    for job, items in list(load.open_jobs.items()):
        read = load.read(job, 0, draw)
        if len(read.results) < items:
            left.add(f"{job}: {len(read.results)} of {items} results")
    return left


def _read_all_jobs(load: Load, observations: Observations) -> None:
    draw = random.Random(0)
    for submitted in list(observations.submissions):
        for edge in EDGES:
            if submitted.accepted:
                load.read(submitted.job, 0, draw, edge)


def _worst_recovery(
    ends: list[tuple[float, Fault]], observations: Observations
) -> tuple[float, str]:
    """
    Return the longest time from a fault's end to the next success, and a description.
    """
    served = sorted(a.at for a in observations.requests if a.status == 200)
    waits = [
        (next(at for at in served if at >= end) - end, end, fault)
        for end, fault in ends
        if served and served[-1] >= end
    ]
    if not waits:
        return 0.0, ""
    wait, end, fault = max(waits, key=lambda one: one[0])
    statuses = Counter(
        f"{request.edge} {request.status}"
        for request in observations.requests
        if end <= request.at < end + wait
    )
    answers = ", ".join(f"{count} x {what}" for what, count in sorted(statuses.items()))
    return round(wait, 2), f"{fault.kind} of {fault.target}: {answers or 'nothing'}"
