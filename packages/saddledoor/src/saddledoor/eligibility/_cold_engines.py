# SPDX-License-Identifier: MIT

"""
How many requests a cold engine may get, and when an engine has to be presumed cold.
"""

from __future__ import annotations

from dataclasses import dataclass, field


__all__ = ["ColdLimit", "ColdState", "SendWindow", "TrackedSend"]

#: Length of the window in which requests are counted, in seconds.
_WINDOW = 1.0
#: Longest time from the permit to the first byte, in seconds; a request is dropped
#: after that (`saddledoord.backends.send_deadline`).
_MAX_SEND_DELAY = 0.8
#: Longest time from the first byte to the arrival at the engine, in seconds; a lost
#: segment is sent again after about 0.2 s.
_MAX_TRANSIT = 0.2
#: Number of VMs that may send to a cold engine at the same time: the holder of the
#: work share, and its successor while requests of the holder are still under way.
_SENDERS = 2


@dataclass(frozen=True)
class ColdLimit:
    """
    The limit of requests that an engine of a service gets in any second.

    :param total: Requests of all VMs together.
    """

    total: int

    @classmethod
    def of(cls, rate: float, excess: float, slack: float) -> ColdLimit:
        """
        Return the limit of a service.

        :param rate: Requests that a cold engine bears, per second.
        :param excess: Factor that is allowed on top.
        :param slack: Number of requests that is allowed on top.
        """
        return cls(int(rate * excess + slack))

    def per_vm(self, holders: int = 1) -> int:
        """
        Return the limit of one VM.

        :param holders: Number of work shares among which the service's jobs are
            divided; 1 for an engine that is not known to be cold.
        """
        return max(1, self.total // _SENDERS // max(1, holders))


@dataclass
class TrackedSend:
    """
    A request that an engine gets at an unknown time up to a latest one.

    :param latest: Latest time of its arrival, monotonic, in seconds.
    """

    latest: float

    def record_written(self, now: float) -> None:
        """
        Record that its first byte was written.

        :param now: Monotonic, in seconds; may be later than that.
        """
        self.latest = min(self.latest, now + _MAX_TRANSIT)


@dataclass
class SendWindow:
    """
    The requests of this VM that may have arrived at an engine within the last second,
    or may still arrive there.

    They are counted by their latest arrival, and not by the time of the permit: a burst
    that is delayed would otherwise arrive together with the next one.
    """

    _sends: list[TrackedSend] = field(default_factory=list)

    def count(self, now: float) -> int:
        """
        Return the number of requests that a request sent now may arrive together with.

        :param now: Monotonic, in seconds.
        """
        self._sends = [send for send in self._sends if send.latest >= now - _WINDOW]
        return len(self._sends)

    def add(self, now: float) -> TrackedSend:
        """
        Add a request that was permitted now.

        :param now: Monotonic, in seconds.
        """
        send = TrackedSend(now + _MAX_SEND_DELAY + _MAX_TRANSIT)
        self._sends.append(send)
        return send

    def free_at(self, now: float, limit: int) -> float:
        """
        Return the earliest time at which fewer requests than the limit count,
        monotonic, in seconds.
        """
        count = self.count(now)
        if count < limit:
            return now
        latest = sorted(send.latest for send in self._sends)
        return latest[count - limit] + _WINDOW


@dataclass
class ColdState:
    """
    What this VM knows of the coldness of an incarnation; times are monotonic, in
    seconds.

    :param arrived_at: When this VM learnt of the incarnation, or of its entry's return;
        minus infinity if the entry was there before this VM.
    :param reported_until: Until when its newest entry says that it is cold.
    """

    arrived_at: float = float("-inf")
    reported_until: float = float("-inf")

    def until(self, cold_start: float, evacuation_ended_at: float | None) -> float:
        """
        Return until when the engine is known or presumed to be cold.

        It is presumed cold for the time of a cold start after it appeared or its entry
        came back, and after the evacuation of its data centre, in which it got no use.

        :param cold_start: How long an engine is cold after its start, in seconds.
        :param evacuation_ended_at: When this VM learnt that the last evacuation of its
            data centre had ended; none if there was none.
        """
        presumed_since = self.arrived_at
        if evacuation_ended_at is not None:
            presumed_since = max(presumed_since, evacuation_ended_at)
        return max(self.reported_until, presumed_since + cold_start)
