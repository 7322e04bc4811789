# SPDX-License-Identifier: MIT

"""
Service-level objectives: counts of good and bad events, and burn rates.

VMs have no persistent storage, so each process writes its running totals to the log
periodically. Totals only grow, so a later record makes up for a lost one. Events that a
process counted between its last record and a crash are a gap, and never count as good.
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

#: Number of missed records after which a process is reported as a gap.
_MAX_MISSED_RECORDS = 2.5


@dataclass(frozen=True)
class Observation:
    """
    An event that objectives may count.

    :param kind: ``latency``, ``refusals``, ``idle`` or ``freshness``.
    :param subject: Name of a partner, ``trainer:NAME`` or ``pool:NAME``.
    :param value: Seconds, versions, or 1 for a refused request and 0 for another.
    """

    kind: str
    subject: str
    value: float


@dataclass
class BurnMeter:
    """
    Running totals of one process.

    :param totals: Good events and all events by ``objective|subject``.
    """

    totals: dict[str, tuple[int, int]] = field(default_factory=dict)

    def observe(self, objectives: Iterable[Objective], event: Observation) -> None:
        """
        Count an event for every objective that covers it.
        """
        for objective in objectives:
            if objective.kind != event.kind or not objective.covers(event.subject):
                continue
            key = f"{objective.name}|{event.subject}"
            good, total = self.totals.get(key, (0, 0))
            is_good = event.value <= objective.threshold
            self.totals[key] = (good + is_good, total + 1)


@dataclass(frozen=True)
class CountingGap:
    """
    A period in which the events of a process were not recorded.

    :param since: Time of the process's last record, in Unix seconds.
    """

    data_centre: str
    incarnation: str
    since: float


@dataclass(frozen=True)
class BurnRow:
    """
    One objective of one subject over one time window.

    :param window_s: Length of the window, in seconds.
    :param rate: Burn rate: spent error budget as a multiple of the window's budget;
        None without events.
    :param left: Share of the window's budget that is left, negative if overspent; None
        without events.
    :param by_data_centre: Number of bad events by data centre.
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
    Evaluate every objective over the window that ends now.

    :param records: Log time in Unix seconds and record, oldest first.
    :param window: Length of the window, in seconds.
    :param now: Time in Unix seconds.
    """
    counts_by_key = _sum_events_after(records, now - window)
    rows = []
    for objective in objectives:
        subjects = sorted({s for name, s, _ in counts_by_key if name == objective.name})
        for subject in subjects:
            counts = {
                data_centre: count
                for (name, subject_name, data_centre), count in counts_by_key.items()
                if (name, subject_name) == (objective.name, subject)
            }
            rows.append(_make_row(objective, subject, window, counts))
    return rows


def find_counting_gaps(
    records: Iterable[tuple[float, BurnTotals]], now: float
) -> list[CountingGap]:
    """
    Return the processes that stopped writing records without a final one.
    """
    newest: dict[str, tuple[float, BurnTotals]] = {}
    for at, record in records:
        newest[record.incarnation] = (at, record)
    return [
        CountingGap(record.data_centre, record.incarnation, at)
        for at, record in newest.values()
        if not record.final and now - at > _MAX_MISSED_RECORDS * record.every
    ]


def _sum_events_after(
    records: Iterable[tuple[float, BurnTotals]], start: float
) -> dict[tuple[str, str, str], tuple[int, int]]:
    """
    Return the good events and all events counted after ``start``, by objective, subject
    and data centre.
    """
    before: dict[tuple[str, str], tuple[int, int]] = {}
    after: dict[tuple[str, str], tuple[int, int]] = {}
    data_centres: dict[str, str] = {}
    for at, record in records:
        data_centres[record.incarnation] = record.data_centre
        for key, counts in record.totals.items():
            target = before if at < start else after
            target[(record.incarnation, key)] = counts
    counts_by_key: dict[tuple[str, str, str], tuple[int, int]] = defaultdict(
        lambda: (0, 0)
    )
    for (incarnation, key), (good, total) in after.items():
        good_before, total_before = before.get((incarnation, key), (0, 0))
        name, _, subject = key.partition("|")
        row_key = (name, subject, data_centres[incarnation])
        key_counts = counts_by_key[row_key]
        counts_by_key[row_key] = (
            key_counts[0] + good - good_before,
            key_counts[1] + total - total_before,
        )
    return dict(counts_by_key)


def _make_row(
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
