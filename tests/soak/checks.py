# SPDX-License-Identifier: MIT

"""
Checks of the promises over the observations of a run.

Each check is a pure function, so that it can run repeatedly during the run.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from .keys import is_permanent_key, workspace_of
from .observed import (
    NOT_RUN,
    TRAINERS,
    CallerRequest,
    EngineLine,
    JobRead,
    Observations,
    PlannedStop,
    UsageReport,
    job_of,
)


__all__ = ["CHECKS", "EVENTS", "Check", "Finding", "judge"]

#: Events in each text of the stand-in engines.
EVENTS = 5
#: Values of the edges' settings, in seconds.
_CANCEL_LIMIT = 3.0
_GRACE = 8.0
_LEASE_TERM = 1.0
#: Longest time until an accepted job or a position that was read is visible at every
#: edge, in seconds.
_VISIBILITY_SLACK = 1.0
#: Longest time until a configuration change applies, in seconds.
_ROLLBACK_SLACK = 0.25
#: Tolerance for orders that an edge gives right after a process pause, in seconds.
_PAUSE_SLACK = 0.3
#: A connection that closes within this time of sending a request, in seconds, may have
#: closed before the edge received the request.
_LOSS_SLACK = 0.2
#: Longest delay between the exit of a process and its detection, in seconds.
_EXIT_DELAY = 0.3


@dataclass(frozen=True)
class Finding:
    """
    A promise that was broken.

    :param row: Start of the promise's row in docs/PROMISES.md.
    """

    check: str
    row: str
    detail: str


@dataclass(frozen=True)
class Check:
    """
    A check and the row of docs/PROMISES.md that it watches.

    :param find: Yields a description of each violation.
    """

    name: str
    row: str
    find: Callable[[Observations], Iterator[str]]


def judge(observations: Observations) -> list[Finding]:
    """
    Run all checks and return their findings.
    """
    return [
        Finding(check.name, check.row, detail)
        for check in CHECKS
        for detail in check.find(observations)
    ]


def _runs(observations: Observations) -> list[EngineLine]:
    return [line for line in list(observations.engine_lines) if line.what == "run"]


def _whole_answers(observations: Observations) -> Iterator[str]:
    for request in list(observations.requests):
        if request.status != 200:
            continue
        name = request.request_id
        if (request.body, request.signature) != (f"answer to {name}", f"seal-{name}"):
            yield (
                f"{name} at {request.edge} got {request.body!r},"
                f" signature {request.signature!r}"
            )


def _runs_once(observations: Observations) -> Iterator[str]:
    booked = [run.id for run in _runs(observations) if run.target.startswith("/book/")]
    for name, runs in Counter(booked).items():
        if runs > 1:
            yield f"{name} ran {runs} times"


def _never_runs(observations: Observations) -> Iterator[str]:
    refused = {
        request.request_id: request.status
        for request in list(observations.requests)
        if request.status in NOT_RUN
    }
    jobs = {
        submitted.job: submitted.statuses
        for submitted in list(observations.submissions)
        if NOT_RUN.issuperset(submitted.statuses)
    }
    refusals = refused | jobs
    for run in _runs(observations):
        if job_of(run.id) in refusals:
            yield f"{run.id} ran at {run.engine}, answered {refusals[job_of(run.id)]}"


def _accepted_stays(observations: Observations) -> Iterator[str]:
    accepted = {s.job: s.at for s in list(observations.submissions) if s.accepted}
    for read in list(observations.reads):
        began = accepted.get(read.job, float("inf"))
        if read.status in (404, 410) and read.began > began + _VISIBILITY_SLACK:
            yield f"{read.job}: {read.status} at {read.edge}"
    yield from list(observations.unrecovered)


def _positions(observations: Observations) -> Iterator[str]:
    items = {s.job: s.items for s in list(observations.submissions)}
    listed: dict[tuple[str, int], dict] = {}
    positions: dict[tuple[str, str], int] = {}
    for read in _answered(observations):
        if read.total != items.get(read.job, read.total):
            yield f"{read.job}: total {read.total} at {read.edge}"
        for position, result in enumerate(read.results, read.since):
            before = listed.setdefault((read.job, position), result)
            if before != result:
                yield f"{read.job}: position {position} was {before}, then {result}"
            first = positions.setdefault((read.job, result["id"]), position)
            if first != position:
                yield f"{read.job}: {result['id']} at positions {first} and {position}"
            if job_of(result["id"]) != read.job:
                yield f"{read.job}: lists {result['id']}"


def _positions_stay(observations: Observations) -> Iterator[str]:
    known: dict[str, list[tuple[float, int]]] = defaultdict(list)
    for read in _answered(observations):
        if read.results:
            known[read.job].append((read.at, read.since + len(read.results)))
    for read in _answered(observations):
        settled = [
            n for at, n in known[read.job] if at < read.began - _VISIBILITY_SLACK
        ]
        if not read.results and read.since < max(settled, default=0):
            yield f"{read.job}: nothing from {read.since} on at {read.edge}"


def _answered(observations: Observations) -> list[JobRead]:
    return [read for read in list(observations.reads) if read.status == 200]


def _listed(observations: Observations) -> dict[tuple[str, str], dict]:
    return {
        (read.job, result["id"]): result
        for read in _answered(observations)
        for result in read.results
    }


def _texts(observations: Observations) -> Iterator[str]:
    ended = {end.job: end.began for end in list(observations.ended)}
    for (job, item), result in _listed(observations).items():
        whole = "\n".join(f"{item}-{number}" for number in range(1, EVENTS + 1))
        if result["state"] != "completed":
            if job not in ended:
                yield f"{item}: {result['state']} though its job had not ended"
        elif result["message"] != whole:
            yield f"{item}: the text is {result['message']!r}"


def _versions(observations: Observations) -> Iterator[str]:
    oldest = {s.job: s.min_version for s in list(observations.submissions)}
    generated: dict[str, dict[int, set[int]]] = defaultdict(lambda: defaultdict(set))
    for line in list(observations.engine_lines):
        if line.what == "event":
            generated[line.id][line.number].add(line.version)
    for (job, item), result in _listed(observations).items():
        if result["state"] != "completed":
            continue
        named = set(result["versions"])
        if not named or min(named) < oldest.get(job, 0):
            yield f"{item}: versions {sorted(named)}, {oldest.get(job)} is the oldest"
        incorrect = named - set().union(*generated[item].values())
        unreported = [n for n in range(1, EVENTS + 1) if not generated[item][n] & named]
        if incorrect or unreported:
            yield f"{item}: versions {sorted(named)}, made were {dict(generated[item])}"


def _scores(observations: Observations) -> Iterator[str]:
    whole_at: dict[str, float] = {}
    for line in list(observations.engine_lines):
        if line.what == "event" and line.number == EVENTS:
            whole_at.setdefault(line.id, line.at)
    for (_, item), result in _listed(observations).items():
        score = item.replace(".i", ".s")
        if result["state"] == "completed" and result["score"] != f"seal-{score}":
            yield f"{item}: the score is {result['score']!r}"
    for run in _runs(observations):
        job, _, rest = run.id.partition(".s")
        if rest and run.at < whole_at.get(f"{job}.i{rest}", float("inf")):
            yield f"{run.id} came before the text's last event was made"


def _nothing_after_the_end(observations: Observations) -> Iterator[str]:
    ended = {end.job: end.at for end in list(observations.ended)}
    for run in _runs(observations):
        late = run.at - ended.get(job_of(run.id), float("inf"))
        if late > _CANCEL_LIMIT:
            yield f"{run.id} reached {run.engine} {late:.2f} s after its job's end"


def _fences(observations: Observations) -> Iterator[str]:
    highest: dict[tuple[str, int], int] = {}
    holders: dict[int, str] = {}
    successors: list[EngineLine] = []
    orders = [line for line in list(observations.engine_lines) if line.what == "order"]
    for order in sorted(orders, key=lambda line: line.at):
        process = (order.engine, order.born)
        first = holders.setdefault(order.fence, order.holder)
        if first != order.holder:
            yield f"fence {order.fence} is that of {first} and of {order.holder}"
        if order.fence < highest.get(process, -1) and not _just_resumed(
            observations, order
        ):
            highest_seen = f"{order.engine} had seen {highest[process]}"
            yield f"fence {order.fence} of {order.holder}, {highest_seen}"
        newer = [
            later
            for later in successors
            if later.fence > order.fence and later.at < order.at - _LEASE_TERM
        ]
        if newer and not _just_resumed(observations, order):
            yield f"{order.holder} orders long after {newer[0].holder} has begun to"
        successors.append(order)
        highest[process] = max(highest.get(process, -1), order.fence)


def _just_resumed(observations: Observations, order: EngineLine) -> bool:
    return any(
        edge == order.holder and at <= order.at <= at + _PAUSE_SLACK
        for edge, at in list(observations.resumes)
    )


def _planned_stops(observations: Observations) -> Iterator[str]:
    for stop in list(observations.stops):
        if stop.status != 0 or stop.elapsed > _GRACE + _EXIT_DELAY:
            yield f"{stop.edge}: status {stop.status} after {stop.elapsed:.1f} s"


def _stops_cut_nothing(observations: Observations) -> Iterator[str]:
    begun = {run.id for run in _runs(observations)}
    cut = [request for request in list(observations.requests) if not request.status]
    for stop in list(observations.stops):
        # A slow planned stop may drop requests that arrived shortly before its end.
        if stop.paused or stop.elapsed > _GRACE * 5 / 6:
            continue
        for request in cut:
            same_process = (request.edge, request.start_number) == (
                stop.edge,
                stop.start_number,
            )
            received = (
                request.request_id in begun or request.at > request.began + _LOSS_SLACK
            )
            if same_process and received and request.at > stop.at - stop.elapsed:
                yield _describe_cut(request, stop, request.request_id in begun)


def _describe_cut(request: CallerRequest, stop: PlannedStop, begun: bool) -> str:
    """
    Describe a request without an answer, with its times relative to the stop's end.
    """
    sent, closed = request.began - stop.at, request.at - stop.at
    return (
        f"{request.request_id} got no answer from {request.edge}: sent {sent:.3f} s and"
        f" gone {closed:.3f} s from the end of a stop of {stop.elapsed:.3f} s,"
        f" {'begun' if begun else 'not begun'}"
    )


def _configuration(observations: Observations) -> Iterator[str]:
    served: dict[tuple[str, int, str], float] = {}
    routes = [a for a in list(observations.requests) if a.target.startswith("/r")]
    for request in sorted(routes, key=lambda one: one.at):
        key = (request.edge, request.start_number, request.target)
        if request.status == 200:
            served.setdefault(key, request.at)
        if request.status == 404 and request.began > served.get(key, float("inf")) + (
            _ROLLBACK_SLACK
        ):
            yield f"{request.target} was served at {request.edge}, and then 404"


def _workspaces(observations: Observations) -> Iterator[str]:
    expected = {a.request_id: workspace_of(a.key) for a in list(observations.requests)}
    jobs = {submitted.job for submitted in list(observations.submissions)}
    for run in _runs(observations):
        if run.key is not None:
            yield f"{run.id} at {run.engine} showed the key {run.key!r}"
        if job_of(run.id) in jobs:
            owner = TRAINERS if ".i" in run.id else None
        else:
            owner = expected.get(run.id, run.tenant)
        if run.tenant != owner:
            yield f"{run.id} ran at {run.engine} for {run.tenant!r}, not {owner!r}"


def _keys(observations: Observations) -> Iterator[str]:
    served: set[tuple[str, int, str]] = set()
    removed: dict[tuple[str, int, str], float] = {}
    for request in sorted(list(observations.requests), key=lambda one: one.at):
        edge_key = (request.edge, request.start_number, request.key)
        description = f"{request.request_id}, {request.key!r} at {request.edge}"
        if request.status == 401 and is_permanent_key(request.key):
            yield f"{description}: 401, and the key is always there"
        if request.status == 200 and not workspace_of(request.key):
            yield f"{description}: served, and the key never was there"
        if request.status == 401 and edge_key in served:
            removed.setdefault(edge_key, request.at)
        if request.status == 200:
            served.add(edge_key)
            if request.began > removed.get(edge_key, float("inf")) + _ROLLBACK_SLACK:
                yield f"{description}: served, and the key had been taken away there"


def _usage(observations: Observations) -> Iterator[str]:
    counts: dict[int, UsageReport] = {}
    holders: dict[int, str] = {}
    for report in list(observations.reports):
        first = counts.setdefault(report.window, report)
        if first.counts != report.counts:
            yield f"window {report.window}: {first.counts}, then {report.counts}"
        holder = holders.setdefault(report.fence, report.holder)
        if holder != report.holder:
            yield f"fence {report.fence} is that of {holder} and of {report.holder}"


CHECKS = (
    Check("whole_answers", "MIXED, ORDER: the whole answer", _whole_answers),
    Check("runs_once", "TWICE (requests)", _runs_once),
    Check("never_runs", "REFUSED", _never_runs),
    Check("accepted_stays", "TWICE, LOST (jobs)", _accepted_stays),
    Check("positions", "TWICE, LOST (jobs)", _positions),
    Check("positions_stay", "LOST (reading)", _positions_stay),
    Check("texts", "MIXED, ORDER: the whole answer", _texts),
    Check("versions", "VERSION, MIXED (scores)", _versions),
    Check("scores", "VERSION, MIXED (scores)", _scores),
    Check("nothing_after_the_end", "UNASKED (after an end)", _nothing_after_the_end),
    Check("fences", "ONE", _fences),
    Check("planned_stops", "LOST, DRAIN (planned stop)", _planned_stops),
    Check("stops_cut_nothing", "LOST, DRAIN (planned stop)", _stops_cut_nothing),
    Check("configuration", "CONFIG", _configuration),
    Check("workspaces", "UNASKED, ROUTE (keys)", _workspaces),
    Check("keys", "UNASKED, ROUTE (keys)", _keys),
    Check("usage", "ONE (usage)", _usage),
)
