# SPDX-License-Identifier: MIT

"""
Service-level burn: counting good and bad events, and how fast budgets are spent.

VMs keep nothing, so each process writes its running totals to the log now and then. A
later total covers an earlier one that was lost; what a process counted after its last
record and before it died is a hole, and never counts as good.
Source: multi-window burn rates of the site reliability literature.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from ._deployment import Objective
from ._records import BurnTotals


__all__ = [
    "BurnMeter",
    "BurnRow",
    "CountingGap",
    "Observation",
    "burn_rows",
    "find_counting_gaps",
]

#: Records of a process that may be missing before a hole is told, a count.
_PATIENCE = 2.5


@dataclass(frozen=True)
class Observation:
    """
    One event that objectives may count.

    :param kind: ``latency``, ``refusals``, ``idle`` or ``freshness``.
    :param subject: The partner, ``trainer:`` and a trainer, or ``pool:`` and a pool.
    :param value: Seconds, versions, or 1 for a refusal and 0 for none.
    """

    kind: str
    subject: str
    value: float


@dataclass
class BurnMeter:
    """
    Running totals of one process, by objective and subject.
    """

    totals: dict[str, tuple[int, int]] = field(default_factory=dict)

    def observe(self, objectives: Iterable[Objective], event: Observation) -> None:
        """
        Count an event under every objective that it falls under.
        """
        for objective in objectives:
            if objective.kind != event.kind or not objective.covers(event.subject):
                continue
            key = f"{objective.name}|{event.subject}"
            good, total = self.totals.get(key, (0, 0))
            met = event.value <= objective.threshold
            self.totals[key] = (good + met, total + 1)


@dataclass(frozen=True)
class CountingGap:
    """
    A time in which a process counted what nobody will learn.

    :param since: Time of its last record, in seconds since 1970.
    """

    data_centre: str
    incarnation: str
    since: float


@dataclass(frozen=True)
class BurnRow:
    """
    One objective of one subject over one window.

    :param rate: Budget spent in the window, as a multiple of what may be spent; none
        if nothing was counted.
    :param left: Share of the window's budget that is left; below zero if overspent.
    :param by_data_centre: Bad events, by data centre.
    """

    objective: str
    subject: str
    target: float
    window_s: float
    good: int
    total: int
    rate: float | None
    left: float | None
    by_data_centre: dict[str, int]


def burn_rows(
    objectives: Iterable[Objective],
    records: Iterable[tuple[float, BurnTotals]],
    window: float,
    now: float,
) -> list[BurnRow]:
    """
    Work out every objective over the window that ends now.

    :param records: Log time in seconds since 1970 and record, oldest first.
    :param window: In seconds.
    """
    spent = _within(records, now - window)
    rows = []
    for objective in objectives:
        subjects = sorted({s for name, s, _ in spent if name == objective.name})
        for subject in subjects:
            counts = {
                data_centre: count
                for (name, who, data_centre), count in spent.items()
                if (name, who) == (objective.name, subject)
            }
            rows.append(_row(objective, subject, window, counts))
    return rows


def find_counting_gaps(
    records: Iterable[tuple[float, BurnTotals]], now: float
) -> list[CountingGap]:
    """
    Return processes that ended, or fell silent, without a last record.
    """
    newest: dict[str, tuple[float, BurnTotals]] = {}
    for at, record in records:
        newest[record.incarnation] = (at, record)
    return [
        CountingGap(record.data_centre, record.incarnation, at)
        for at, record in newest.values()
        if not record.final and now - at > _PATIENCE * record.every
    ]


def _within(
    records: Iterable[tuple[float, BurnTotals]], start: float
) -> dict[tuple[str, str, str], tuple[int, int]]:
    """
    Return good and total counts that were added after ``start``, by objective,
    subject and data centre.
    """
    before: dict[tuple[str, str], tuple[int, int]] = {}
    after: dict[tuple[str, str], tuple[int, int]] = {}
    data_centres: dict[str, str] = {}
    for at, record in records:
        data_centres[record.incarnation] = record.data_centre
        for key, counts in record.totals.items():
            target = before if at < start else after
            target[(record.incarnation, key)] = counts
    spent: dict[tuple[str, str, str], tuple[int, int]] = defaultdict(lambda: (0, 0))
    for (incarnation, key), (good, total) in after.items():
        good_before, total_before = before.get((incarnation, key), (0, 0))
        name, _, subject = key.partition("|")
        place = (name, subject, data_centres[incarnation])
        known = spent[place]
        spent[place] = (known[0] + good - good_before, known[1] + total - total_before)
    return dict(spent)


def _row(
    objective: Objective,
    subject: str,
    window: float,
    counts: dict[str, tuple[int, int]],
) -> BurnRow:
    good = sum(g for g, _ in counts.values())
    total = sum(t for _, t in counts.values())
    rate = None
    if total:
        rate = (total - good) / total / (1 - objective.target)
    return BurnRow(
        objective=objective.name,
        subject=subject,
        target=objective.target,
        window_s=window,
        good=good,
        total=total,
        rate=rate,
        left=None if rate is None else 1 - rate,
        by_data_centre={dc: t - g for dc, (g, t) in sorted(counts.items()) if t > g},
    )
