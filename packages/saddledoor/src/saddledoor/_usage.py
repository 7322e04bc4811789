# SPDX-License-Identifier: MIT

"""
Usage by workspace and time window: counted by every VM, decided once for all of them.

The first decision on a window in the log is the one that is reported. Reports that are
late, repeated or sent by two lease holders therefore never differ.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from ._records import Record, UsageCounted, UsageDecided


__all__ = ["StableClock", "UsageFold", "UsageMeter", "UsageWindows"]

#: How long a jump of the wall clock must last before it is accepted, in seconds.
_JUMP_ACCEPTED_AFTER = 30.0
#: Largest change of the wall clock that counts as a correction, not a jump, in seconds.
_MAX_CORRECTION = 0.2
#: Number of windows whose counts a VM keeps; older windows are no longer reported.
_MAX_WINDOWS = 24
#: When a VM closes a window to new counts, and until when it awaits the counts of other
#: VMs, as shares of the time from the window's end to the due time of its report. The
#: rest is left for the report, also during short outages.
_CLOSE_SHARE, _WAIT_SHARE = 0.2, 0.6
#: Number of preceding windows whose sources are expected to report on a window; longer
#: than most cuts of a VM last.
_ACTIVE_SOURCE_WINDOWS = 3
#: Number of windows in which an append may be carried out, from the one in which its
#: record was made.
_WRITE_WINDOWS = 2


@dataclass(frozen=True)
class UsageWindows:
    """
    Windows of equal length, numbered from the Unix epoch.

    :param length: Length of a window, in seconds.
    :param due_after: When a window's report is due, in seconds after the window's end.
    """

    length: float
    due_after: float

    @property
    def late_windows(self) -> int:
        """
        Number of windows that begin before the report of a window is due, with itself.
        """
        return 1 + math.ceil(self.due_after / self.length)

    @property
    def report_period(self) -> float:
        """
        Time from the start of a window until its report is no longer sent again, in
        seconds.
        """
        return self.length + 2 * self.due_after

    def of(self, unix_time: float) -> int:
        """
        Return the number of the window that contains a point in time.
        """
        return int(unix_time // self.length)

    def last_closed(self, unix_time: float) -> int:
        """
        Return the newest window that is closed to new counts.
        """
        return self.of(unix_time - _CLOSE_SHARE * self.due_after) - 1

    def last_wait_expired(self, unix_time: float) -> int:
        """
        Return the newest window whose missing counts are no longer awaited.
        """
        return self.of(unix_time - _WAIT_SHARE * self.due_after) - 1

    def windows_to_decide(
        self, unix_time: float, first_undecided: int | None
    ) -> list[int]:
        """
        Return the windows that may be decided now, oldest first.

        :param first_undecided: Oldest undecided window in the log; none if the log has
            no usage records.
        """
        newest = self.last_closed(unix_time)
        first = first_undecided
        if first is None:
            first = self.first_not_due(unix_time)
        return list(range(max(first, newest - _MAX_WINDOWS + 1), newest + 1))

    def first_not_due(self, unix_time: float) -> int:
        """
        Return the first window whose report is not yet due.
        """
        return self.of(unix_time - self.due_after)

    def windows_to_resend(
        self, unix_time: float, last_decided: int | None
    ) -> list[int]:
        """
        Return the decided windows whose reports a new lease holder sends again, oldest
        first, since the previous holder may have got no answer.

        A report is sent again until twice the time until it was due has passed.

        :param last_decided: Newest decided window; none if there is none.
        """
        if last_decided is None:
            return []
        # A decision on a later window is damaged, as it would be of the future.
        newest = min(last_decided, self.of(unix_time))
        return list(range(self.first_to_resend(unix_time), newest + 1))

    def first_to_resend(self, unix_time: float) -> int:
        """
        Return the oldest window whose report is still sent again.
        """
        return self.of(unix_time - 2 * self.due_after)


@dataclass
class UsageFold:
    """
    Counts and decisions folded from the log.

    :param late_windows: None if the history is complete. Otherwise the log has dropped
        the oldest records, and this is the number of windows after which the counts of
        a window are no longer written.
    """

    late_windows: int | None = None

    _counts: dict[int, dict[tuple[str, str], int]] = field(default_factory=dict)
    _closed_by: dict[int, set[str]] = field(default_factory=dict)
    _decided: dict[int, dict[str, int]] = field(default_factory=dict)
    _first_known: int | None = None

    @classmethod
    def truncated(cls, windows: UsageWindows) -> UsageFold:
        """
        Return the fold of a reader that starts after the oldest records were dropped.
        """
        return cls(windows.late_windows)

    @property
    def last_decided(self) -> int | None:
        """
        The newest decided window, or none.
        """
        return max(self._decided, default=None)

    @property
    def first_undecided(self) -> int | None:
        """
        The window after the newest decided one; without decisions, the oldest window
        with counts; none without either.
        """
        if self._decided:
            return max(self._decided) + 1
        return min(self._counts, default=None)

    def apply(self, record: Record) -> None:
        """
        Fold one record; a repeated record has no effect.
        """
        match record:
            case UsageCounted(source=source, window=window, counts=counts):
                self._record_first_count(record)
                if record.whole:
                    self._closed_by.setdefault(window, set()).add(source)
                known = self._counts.setdefault(window, {})
                for workspace, count in counts.items():
                    key = (source, workspace)
                    known[key] = max(known.get(key, 0), count)
            case UsageDecided(window=window, counts=counts):
                self._decided.setdefault(window, dict(counts))
        self._drop_old()

    def knows(self, window: int) -> bool:
        """
        Return whether all records are known on which the report of a window is based.
        """
        if self.late_windows is None:
            return True
        return self._first_known is not None and window >= self._first_known

    def counted(self, window: int) -> dict[str, int]:
        """
        Return the counts of a window by workspace, summed over all VMs.
        """
        total: dict[str, int] = {}
        for (_, workspace), count in self._counts.get(window, {}).items():
            total[workspace] = total.get(workspace, 0) + count
        return total

    def is_complete(self, window: int) -> bool:
        """
        Return whether every source that closed one of the preceding windows has closed
        this window too; false if there are no such sources.
        """
        before = range(window - _ACTIVE_SOURCE_WINDOWS, window)
        expected = set().union(*(self._closed_by.get(w, set()) for w in before))
        return bool(expected) and expected <= self._closed_by.get(window, set())

    def decided(self, window: int) -> dict[str, int] | None:
        """
        Return the decision on a window, or none.
        """
        return self._decided.get(window)

    def _record_first_count(self, record: UsageCounted) -> None:
        """
        Note from which window on all records are known: those of the windows that began
        after the oldest count in the log was written, and of the windows before that
        tell which sources are awaited.
        """
        if self._first_known is not None or self.late_windows is None:
            return
        first = record.window + self.late_windows
        if record.written_in is not None:
            # A count may be later than its report if the store was unavailable.
            first = max(first, record.written_in + _WRITE_WINDOWS)
        self._first_known = first + _ACTIVE_SOURCE_WINDOWS

    def _drop_old(self) -> None:
        for table in (self._counts, self._decided, self._closed_by):
            while len(table) > 2 * _MAX_WINDOWS:
                del table[min(table)]


class UsageMeter:
    """
    The counts of one process, and the changes that are not yet in the log.

    :param source: Id of the process.
    :param window: Window in which the process starts.
    """

    def __init__(self, source: str, window: int) -> None:
        self._source = source
        self._counts: dict[int, dict[str, int]] = {}
        self._changed: dict[int, set[str]] = {}
        self._last_closed = window - 1
        self._newly_closed: set[int] = set()

    def count(self, workspace: str, window: int) -> None:
        """
        Count a request that an engine began to run in a window.
        """
        counts = self._counts.setdefault(window, {})
        counts[workspace] = counts.get(workspace, 0) + 1
        self._changed.setdefault(window, set()).add(workspace)
        while len(self._counts) > _MAX_WINDOWS:
            oldest = min(self._counts)
            del self._counts[oldest]
            self._changed.pop(oldest, None)

    def close(self, last: int) -> None:
        """
        Close all windows up to and including ``last`` to new counts.
        """
        first = max(self._last_closed + 1, last - _MAX_WINDOWS + 1)
        self._newly_closed.update(range(first, last + 1))
        self._last_closed = max(self._last_closed, last)

    def take(self, written_in: int | None = None) -> list[UsageCounted]:
        """
        Return records of the changes since the last call; each count is the total of
        its window.

        :param written_in: Current window.
        """
        changed, self._changed = self._changed, {}
        closed, self._newly_closed = self._newly_closed, set()
        return [
            UsageCounted(
                self._source,
                window,
                {name: self._counts[window][name] for name in sorted(changed[window])}
                if window in changed
                else {},
                window in closed,
                written_in,
            )
            for window in sorted(changed.keys() | closed)
        ]

    def requeue(self, records: list[UsageCounted]) -> None:
        """
        Return records that may not have reached the log again from the next `take`.
        """
        for record in records:
            if record.whole:
                self._newly_closed.add(record.window)
            if record.counts and record.window in self._counts:
                names = self._changed.setdefault(record.window, set())
                names.update(record.counts)


class StableClock:
    """
    Wall-clock time derived from a monotonic clock, which ignores short jumps of the
    VM's wall clock.

    :param unix_time: Current wall-clock time, in Unix seconds.
    :param now: The same moment, monotonic, in seconds.
    """

    def __init__(self, unix_time: float, now: float) -> None:
        self._offset = unix_time - now
        self._jump_offset: float | None = None
        self._jump_since = now

    def observe(self, unix_time: float, now: float) -> None:
        """
        Compare with the wall clock: accept a correction at once, a jump only after it
        has lasted.
        """
        offset = unix_time - now
        if abs(offset - self._offset) <= _MAX_CORRECTION:
            self._offset, self._jump_offset = offset, None
        elif (
            self._jump_offset is None
            or abs(offset - self._jump_offset) > _MAX_CORRECTION
        ):
            self._jump_offset, self._jump_since = offset, now
        elif now - self._jump_since >= _JUMP_ACCEPTED_AFTER:
            self._offset, self._jump_offset = offset, None

    def at(self, moment: float) -> float:
        """
        Return the Unix time of a monotonic time, in seconds.
        """
        return moment + self._offset
