# SPDX-License-Identifier: MIT

"""
Usage by workspace and window of time: counted by every VM, decided once for all.

The first decision on a window in the log is the one that is reported, by whoever holds
the duty then, however often. So a report that is late, repeated, or made by two holders
never differs.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from ._records import Record, UsageCounted, UsageDecided


__all__ = ["StableClock", "UsageFold", "UsageMeter", "UsageWindows"]

#: How long a jump of the time of day must last to be believed, in seconds.
_BELIEVED_AFTER = 30.0
#: Change of the time of day that is a correction of the clock and no jump, in seconds.
_CORRECTION = 0.2
#: Windows whose counts a VM keeps, a count: a report that is this late is given up.
_WINDOWS_KEPT = 24
#: Of the time until a report is due: after which share a VM has counted all that began
#: in the window, and until which share VMs are waited for that may be cut off. The rest
#: is for the report, beside outages.
_COUNTED_AFTER, _WAIT_UNTIL = 0.2, 0.6
#: Windows for which a silent VM is waited for, a count: longer than most cuts last.
_WAITED_FOR = 3


@dataclass(frozen=True)
class UsageWindows:
    """
    Windows of equal length, from the start of 1970 on.

    :param length: In seconds.
    :param due_after: When a window's report is due, in seconds after its end.
    """

    length: float
    due_after: float

    def of(self, unix_time: float) -> int:
        """
        Return the number of the window that a moment lies in.
        """
        return int(unix_time // self.length)

    def last_closed(self, unix_time: float) -> int:
        """
        Return the newest window in which nothing more is to be counted.
        """
        return self.of(unix_time - _COUNTED_AFTER * self.due_after) - 1

    def last_wait_expired(self, unix_time: float) -> int:
        """
        Return the newest window that is decided on whoever has not spoken.
        """
        return self.of(unix_time - _WAIT_UNTIL * self.due_after) - 1

    def windows_to_decide(
        self, unix_time: float, first_undecided: int | None
    ) -> list[int]:
        """
        Return the windows that may be decided on now, oldest first.

        :param first_undecided: Oldest window that the log tells of and that is not
            decided; none if it tells of none.
        """
        newest = self.last_closed(unix_time)
        first = first_undecided
        if first is None:
            first = self.first_in_time(unix_time)
        return list(range(max(first, newest - _WINDOWS_KEPT + 1), newest + 1))

    def first_in_time(self, unix_time: float) -> int:
        """
        Return the first window whose report is not yet due.
        """
        return self.of(unix_time - self.due_after)

    def windows_to_resend(
        self, unix_time: float, last_decided: int | None
    ) -> list[int]:
        """
        Return the windows whose reports a new holder sends again, oldest first: the one
        before may have got no answer. Late reports too, for as long again as they had.

        :param last_decided: Newest window that is decided, if any is known.
        """
        if last_decided is None:
            return []
        return list(range(self.first_to_resend(unix_time), last_decided + 1))

    def first_to_resend(self, unix_time: float) -> int:
        """
        Return the first window whose report is worth sending again.
        """
        return self.of(unix_time - 2 * self.due_after)


@dataclass
class UsageFold:
    """
    Counts and decisions, folded from the log.
    """

    _counts: dict[int, dict[tuple[str, str], int]] = field(default_factory=dict)
    _whole: dict[int, set[str]] = field(default_factory=dict)
    _decided: dict[int, dict[str, int]] = field(default_factory=dict)

    @property
    def last_decided(self) -> int | None:
        """
        The newest window that is decided, or none.
        """
        return max(self._decided, default=None)

    @property
    def first_undecided(self) -> int | None:
        """
        The window after the newest decision, or the oldest one with counts before any;
        none if the log tells of neither.
        """
        if self._decided:
            return max(self._decided) + 1
        return min(self._counts, default=None)

    def apply(self, record: Record) -> None:
        """
        Fold one record; one that comes again changes nothing.
        """
        match record:
            case UsageCounted(source=source, window=window, counts=counts):
                if record.whole:
                    self._whole.setdefault(window, set()).add(source)
                known = self._counts.setdefault(window, {})
                for workspace, count in counts.items():
                    place = (source, workspace)
                    known[place] = max(known.get(place, 0), count)
            case UsageDecided(window=window, counts=counts):
                self._decided.setdefault(window, dict(counts))
        self._forget()

    def counted(self, window: int) -> dict[str, int]:
        """
        Return what all VMs have counted in a window, by workspace.
        """
        total: dict[str, int] = {}
        for (_, workspace), count in self._counts.get(window, {}).items():
            total[workspace] = total.get(workspace, 0) + count
        return total

    def is_complete(self, window: int) -> bool:
        """
        Return whether every process has counted a window that had counted one of the
        few before; not if nothing is known of those.
        """
        before = range(window - _WAITED_FOR, window)
        expected = set().union(*(self._whole.get(w, set()) for w in before))
        return bool(expected) and expected <= self._whole.get(window, set())

    def decided(self, window: int) -> dict[str, int] | None:
        """
        Return the decision on a window, or none.
        """
        return self._decided.get(window)

    def _forget(self) -> None:
        for table in (self._counts, self._decided, self._whole):
            while len(table) > 2 * _WINDOWS_KEPT:
                del table[min(table)]


class UsageMeter:
    """
    What one process has counted, and what of it the log has not been given.

    :param source: Names the process.
    :param window: The one that it begins in.
    """

    def __init__(self, source: str, window: int) -> None:
        self._source = source
        self._counts: dict[int, dict[str, int]] = {}
        self._changed: dict[int, set[str]] = {}
        self._last_whole = window - 1
        self._whole: set[int] = set()

    def count(self, workspace: str, window: int) -> None:
        """
        Count a request that began in a window.
        """
        counts = self._counts.setdefault(window, {})
        counts[workspace] = counts.get(workspace, 0) + 1
        self._changed.setdefault(window, set()).add(workspace)
        while len(self._counts) > _WINDOWS_KEPT:
            oldest = min(self._counts)
            del self._counts[oldest]
            self._changed.pop(oldest, None)

    def close(self, last: int) -> None:
        """
        Note that nothing more is to be counted in windows up to one.
        """
        first = max(self._last_whole + 1, last - _WINDOWS_KEPT + 1)
        self._whole.update(range(first, last + 1))
        self._last_whole = max(self._last_whole, last)

    def take(self) -> list[UsageCounted]:
        """
        Return records of what has changed since; each count is the whole of its window.
        """
        changed, self._changed = self._changed, {}
        whole, self._whole = self._whole, set()
        return [
            UsageCounted(
                self._source,
                window,
                {name: self._counts[window][name] for name in sorted(changed[window])}
                if window in changed
                else {},
                window in whole,
            )
            for window in sorted(changed.keys() | whole)
        ]

    def requeue(self, records: list[UsageCounted]) -> None:
        """
        Have records taken again that may not have reached the log.
        """
        for record in records:
            if record.whole:
                self._whole.add(record.window)
            if record.counts and record.window in self._counts:
                names = self._changed.setdefault(record.window, set())
                names.update(record.counts)


class StableClock:
    """
    The time of day from a monotonic clock, so that a jump of the VM's clock which is
    taken back moves nothing.

    :param unix_time: Now, in seconds since the start of 1970.
    :param now: Monotonic, in seconds.
    """

    def __init__(self, unix_time: float, now: float) -> None:
        self._offset = unix_time - now
        self._other: float | None = None
        self._other_since = now

    def observe(self, unix_time: float, now: float) -> None:
        """
        Take a correction of the clock at once, a jump only when it has lasted.
        """
        offset = unix_time - now
        if abs(offset - self._offset) <= _CORRECTION:
            self._offset, self._other = offset, None
        elif self._other is None or abs(offset - self._other) > _CORRECTION:
            self._other, self._other_since = offset, now
        elif now - self._other_since >= _BELIEVED_AFTER:
            self._offset, self._other = offset, None

    def at(self, moment: float) -> float:
        """
        Return a monotonic moment in seconds since the start of 1970.
        """
        return moment + self._offset
