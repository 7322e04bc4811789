# SPDX-License-Identifier: MIT

"""
Measures how many engine slots the jobs of a service use.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass


__all__ = ["Demand", "DemandMeter"]

#: Shortest and longest period over which the use is averaged, in seconds; a trainer
#: that has submitted no job for the longest period is forgotten.
_MIN_PERIOD, _MAX_PERIOD = 20.0, 600.0
#: Intervals between the jobs of one trainer over which the use is averaged.
_INTERVALS = 2
#: Longest time between two samples, in seconds; after a longer one the history starts
#: again, since the use in between is unknown.
_MAX_SAMPLE_GAP = 5.0


@dataclass(frozen=True)
class Demand:
    """
    The use of a service's slots by jobs.

    :param used: Mean number of slots in use; none before two intervals of any trainer's
        jobs have been seen.
    :param is_settled: Whether two intervals of each trainer's jobs have been seen.
    :param in_use: Number of slots in use now.
    """

    used: float | None = None
    is_settled: bool = False
    in_use: int = 0


class DemandMeter:
    """
    Averages the use of slots over the last intervals of the trainers' jobs.

    The use is the number of open items, limited to the number of slots: by Little's law
    its mean is the rate at which items start times the time until their results are
    listed. Items that wait for a slot are not counted, since they would count again
    while they run.
    """

    def __init__(self) -> None:
        self._samples: deque[tuple[float, float]] = deque()
        self._started_at: float | None = None
        self._known_jobs: set[str] = set()
        self._arrivals: dict[str, deque[float]] = {}

    def observe(
        self,
        now: float,
        open_items: float,
        slots: int,
        jobs: Iterable[tuple[str, str]],
    ) -> None:
        """
        Add a sample.

        :param now: Monotonic, in seconds.
        :param open_items: Number of items without a result.
        :param slots: Number of slots of the service's engines.
        :param jobs: Series and id of each open job.
        """
        if not self._samples or now - self._samples[-1][0] > _MAX_SAMPLE_GAP:
            self._samples.clear()
            self._arrivals.clear()
            self._started_at = None
        opened = {job_id: series for series, job_id in jobs}
        if self._started_at is None:
            # The jobs that are open now arrived at unknown times.
            self._started_at = now
        else:
            for job_id in opened.keys() - self._known_jobs:
                times = self._arrivals.setdefault(
                    opened[job_id], deque(maxlen=_INTERVALS + 1)
                )
                times.append(now)
        self._known_jobs = set(opened)
        self._samples.append((now, min(open_items, slots)))
        while self._samples[0][0] < now - _MAX_PERIOD:
            self._samples.popleft()
        for series, times in list(self._arrivals.items()):
            if now - times[-1] > _MAX_PERIOD:
                del self._arrivals[series]

    def demand(self) -> Demand:
        """
        Return the demand at the newest sample.
        """
        if not self._samples:
            return Demand()
        now, in_use = self._samples[-1]
        in_use = round(in_use)
        intervals = [
            (times[-1] - times[0]) / _INTERVALS
            for times in self._arrivals.values()
            if len(times) > _INTERVALS
        ]
        if not intervals:
            return Demand(None, False, in_use)
        period = max(_MIN_PERIOD, _INTERVALS * max(intervals))
        # A rise shows first in the newer half.
        used = max(self._mean_since(now - period), self._mean_since(now - period / 2))
        is_settled = (
            len(intervals) == len(self._arrivals)
            and now - self._started_at >= period
            and period <= _MAX_PERIOD
        )
        return Demand(used, is_settled, in_use)

    def _mean_since(self, start: float) -> float:
        values = [value for at, value in self._samples if at >= start]
        return sum(values) / len(values)
