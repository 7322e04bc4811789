# SPDX-License-Identifier: MIT

"""
The promises, checked over what was seen so far.

Each check is a pure function, so that it can run again and again while faults go on.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from .keys import is_always_there, workspace_of
from .observed import (
    NOT_RUN,
    TRAINERS,
    Asked,
    EngineLine,
    Observed,
    Read,
    Report,
    Stopped,
    job_of,
)


__all__ = ["CHECKS", "EVENTS", "Check", "Finding", "judge"]

#: Events of a text of the stand-in engines, a count.
EVENTS = 5
#: Times of the settings that the edges run with, in seconds.
_CANCEL_TIME = 3.0
_GRACE = 8.0
_LEASE_TERM = 1.0
#: Allowances of the platform's rules, in seconds: for a job that has just been accepted
#: and a position that has just been read; for a configuration; for orders of an edge
#: that was continued just now.
_SETTLE = 1.0
_ROLLBACK_SLACK = 0.25
_FREEZE_SLACK = 0.3
#: A connection that ends this soon after a request was sent, in seconds, may have ended
#: before the edge saw it.
_LOSS_SLACK = 0.2
#: Between the end of a process and the notice of it, in seconds.
_NOTICE = 0.3


@dataclass(frozen=True)
class Finding:
    """
    A promise that was broken.

    :param row: Of docs/PROMISES.md.
    """

    check: str
    row: str
    detail: str


@dataclass(frozen=True)
class Check:
    """
    A check and the row of docs/PROMISES.md that it watches.

    :param find: Yields a sentence for each time that the promise was broken.
    """

    name: str
    row: str
    find: Callable[[Observed], Iterator[str]]


def judge(seen: Observed) -> list[Finding]:
    """
    Return everything that was broken so far.
    """
    return [
        Finding(check.name, check.row, detail)
        for check in CHECKS
        for detail in check.find(seen)
    ]


def _runs(seen: Observed) -> list[EngineLine]:
    return [line for line in list(seen.engines) if line.what == "run"]


def _whole_answers(seen: Observed) -> Iterator[str]:
    for asked in list(seen.asked):
        if asked.status != 200:
            continue
        name = asked.request_id
        if (asked.body, asked.mark) != (f"answer to {name}", f"seal-{name}"):
            yield f"{name} at {asked.edge} got {asked.body!r}, mark {asked.mark!r}"


def _runs_once(seen: Observed) -> Iterator[str]:
    booked = [run.id for run in _runs(seen) if run.target.startswith("/book/")]
    for name, runs in Counter(booked).items():
        if runs > 1:
            yield f"{name} ran {runs} times"


def _never_runs(seen: Observed) -> Iterator[str]:
    refused = {
        asked.request_id: asked.status
        for asked in list(seen.asked)
        if asked.status in NOT_RUN
    }
    jobs = {
        submitted.job: submitted.statuses
        for submitted in list(seen.submitted)
        if NOT_RUN.issuperset(submitted.statuses)
    }
    told = refused | jobs
    for run in _runs(seen):
        if job_of(run.id) in told:
            yield f"{run.id} ran at {run.engine}, answered {told[job_of(run.id)]}"


def _accepted_stays(seen: Observed) -> Iterator[str]:
    accepted = {s.job: s.at for s in list(seen.submitted) if s.accepted}
    for read in list(seen.read):
        began = accepted.get(read.job, float("inf"))
        if read.status in (404, 410) and read.began > began + _SETTLE:
            yield f"{read.job}: {read.status} at {read.edge}"
    yield from list(seen.never)


def _positions(seen: Observed) -> Iterator[str]:
    items = {s.job: s.items for s in list(seen.submitted)}
    listed: dict[tuple[str, int], dict] = {}
    places: dict[tuple[str, str], int] = {}
    for read in _answered(seen):
        if read.total != items.get(read.job, read.total):
            yield f"{read.job}: total {read.total} at {read.edge}"
        for place, result in enumerate(read.results, read.since):
            before = listed.setdefault((read.job, place), result)
            if before != result:
                yield f"{read.job}: position {place} was {before}, then {result}"
            first = places.setdefault((read.job, result["id"]), place)
            if first != place:
                yield f"{read.job}: {result['id']} at positions {first} and {place}"
            if job_of(result["id"]) != read.job:
                yield f"{read.job}: lists {result['id']}"


def _positions_stay(seen: Observed) -> Iterator[str]:
    known: dict[str, list[tuple[float, int]]] = defaultdict(list)
    for read in _answered(seen):
        if read.results:
            known[read.job].append((read.at, read.since + len(read.results)))
    for read in _answered(seen):
        settled = [n for at, n in known[read.job] if at < read.began - _SETTLE]
        if not read.results and read.since < max(settled, default=0):
            yield f"{read.job}: nothing from {read.since} on at {read.edge}"


def _answered(seen: Observed) -> list[Read]:
    return [read for read in list(seen.read) if read.status == 200]


def _listed(seen: Observed) -> dict[tuple[str, str], dict]:
    return {
        (read.job, result["id"]): result
        for read in _answered(seen)
        for result in read.results
    }


def _texts(seen: Observed) -> Iterator[str]:
    ended = {end.job: end.began for end in list(seen.ended)}
    for (job, item), result in _listed(seen).items():
        whole = "\n".join(f"{item}-{number}" for number in range(1, EVENTS + 1))
        if result["state"] != "completed":
            if job not in ended:
                yield f"{item}: {result['state']} though its job had not ended"
        elif result["message"] != whole:
            yield f"{item}: the text is {result['message']!r}"


def _versions(seen: Observed) -> Iterator[str]:
    oldest = {s.job: s.min_version for s in list(seen.submitted)}
    made: dict[str, dict[int, set[int]]] = defaultdict(lambda: defaultdict(set))
    for line in list(seen.engines):
        if line.what == "event":
            made[line.id][line.number].add(line.version)
    for (job, item), result in _listed(seen).items():
        if result["state"] != "completed":
            continue
        told = set(result["versions"])
        if not told or min(told) < oldest.get(job, 0):
            yield f"{item}: versions {sorted(told)}, {oldest.get(job)} is the oldest"
        untrue = told - set().union(*made[item].values())
        unnamed = [n for n in range(1, EVENTS + 1) if not made[item][n] & told]
        if untrue or unnamed:
            yield f"{item}: versions {sorted(told)}, made were {dict(made[item])}"


def _scores(seen: Observed) -> Iterator[str]:
    whole_at: dict[str, float] = {}
    for line in list(seen.engines):
        if line.what == "event" and line.number == EVENTS:
            whole_at.setdefault(line.id, line.at)
    for (_, item), result in _listed(seen).items():
        score = item.replace(".i", ".s")
        if result["state"] == "completed" and result["score"] != f"seal-{score}":
            yield f"{item}: the score is {result['score']!r}"
    for run in _runs(seen):
        job, _, rest = run.id.partition(".s")
        if rest and run.at < whole_at.get(f"{job}.i{rest}", float("inf")):
            yield f"{run.id} came before the text's last event was made"


def _nothing_after_the_end(seen: Observed) -> Iterator[str]:
    ended = {end.job: end.at for end in list(seen.ended)}
    for run in _runs(seen):
        late = run.at - ended.get(job_of(run.id), float("inf"))
        if late > _CANCEL_TIME:
            yield f"{run.id} reached {run.engine} {late:.2f} s after its job's end"


def _fences(seen: Observed) -> Iterator[str]:
    highest: dict[tuple[str, int], int] = {}
    holders: dict[int, str] = {}
    successors: list[EngineLine] = []
    orders = [line for line in list(seen.engines) if line.what == "order"]
    for order in sorted(orders, key=lambda line: line.at):
        life = (order.engine, order.born)
        first = holders.setdefault(order.fence, order.holder)
        if first != order.holder:
            yield f"fence {order.fence} is that of {first} and of {order.holder}"
        if order.fence < highest.get(life, -1) and not _just_thawed(seen, order):
            seen_before = f"{order.engine} had seen {highest[life]}"
            yield f"fence {order.fence} of {order.holder}, {seen_before}"
        over = [
            later
            for later in successors
            if later.fence > order.fence and later.at < order.at - _LEASE_TERM
        ]
        if over and not _just_thawed(seen, order):
            yield f"{order.holder} orders long after {over[0].holder} has begun to"
        successors.append(order)
        highest[life] = max(highest.get(life, -1), order.fence)


def _just_thawed(seen: Observed, order: EngineLine) -> bool:
    return any(
        edge == order.holder and at <= order.at <= at + _FREEZE_SLACK
        for edge, at in list(seen.thaws)
    )


def _planned_stops(seen: Observed) -> Iterator[str]:
    for stop in list(seen.stopped):
        if stop.status != 0 or stop.took > _GRACE + _NOTICE:
            yield f"{stop.edge}: status {stop.status} after {stop.took:.1f} s"


def _stops_cut_nothing(seen: Observed) -> Iterator[str]:
    begun = {run.id for run in _runs(seen)}
    cut = [asked for asked in list(seen.asked) if not asked.status]
    for stop in list(seen.stopped):
        # What came shortly before the end of a slow planned stop may be given up.
        if stop.frozen or stop.took > _GRACE * 5 / 6:
            continue
        for asked in cut:
            mine = (asked.edge, asked.life) == (stop.edge, stop.life)
            taken = asked.request_id in begun or asked.at > asked.began + _LOSS_SLACK
            if mine and taken and asked.at > stop.at - stop.took:
                yield _cut(asked, stop, asked.request_id in begun)


def _cut(asked: Asked, stop: Stopped, begun: bool) -> str:
    """
    Say which request got no answer, and when it was there, by the end of the stop.
    """
    sent, gone = asked.began - stop.at, asked.at - stop.at
    return (
        f"{asked.request_id} got no answer from {asked.edge}: sent {sent:.3f} s and"
        f" gone {gone:.3f} s from the end of a stop of {stop.took:.3f} s,"
        f" {'begun' if begun else 'not begun'}"
    )


def _configuration(seen: Observed) -> Iterator[str]:
    served: dict[tuple[str, int, str], float] = {}
    routes = [a for a in list(seen.asked) if a.target.startswith("/r")]
    for asked in sorted(routes, key=lambda one: one.at):
        key = (asked.edge, asked.life, asked.target)
        if asked.status == 200:
            served.setdefault(key, asked.at)
        if asked.status == 404 and asked.began > served.get(key, float("inf")) + (
            _ROLLBACK_SLACK
        ):
            yield f"{asked.target} was served at {asked.edge}, and then 404"


def _workspaces(seen: Observed) -> Iterator[str]:
    expected = {a.request_id: workspace_of(a.key) for a in list(seen.asked)}
    jobs = {submitted.job for submitted in list(seen.submitted)}
    for run in _runs(seen):
        if run.key is not None:
            yield f"{run.id} at {run.engine} showed the key {run.key!r}"
        if job_of(run.id) in jobs:
            owner = TRAINERS if ".i" in run.id else None
        else:
            owner = expected.get(run.id, run.tenant)
        if run.tenant != owner:
            yield f"{run.id} ran at {run.engine} for {run.tenant!r}, not {owner!r}"


def _keys(seen: Observed) -> Iterator[str]:
    served: set[tuple[str, int, str]] = set()
    gone: dict[tuple[str, int, str], float] = {}
    for asked in sorted(list(seen.asked), key=lambda one: one.at):
        place = (asked.edge, asked.life, asked.key)
        told = f"{asked.request_id}, {asked.key!r} at {asked.edge}"
        if asked.status == 401 and is_always_there(asked.key):
            yield f"{told}: 401, and the key is always there"
        if asked.status == 200 and not workspace_of(asked.key):
            yield f"{told}: served, and the key never was there"
        if asked.status == 401 and place in served:
            gone.setdefault(place, asked.at)
        if asked.status == 200:
            served.add(place)
            if asked.began > gone.get(place, float("inf")) + _ROLLBACK_SLACK:
                yield f"{told}: served, and the key had been taken away there"


def _usage(seen: Observed) -> Iterator[str]:
    counts: dict[int, Report] = {}
    holders: dict[int, str] = {}
    for report in list(seen.reports):
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
