# SPDX-License-Identifier: MIT

"""
Guards of the state of nodes whose log has dropped records.
"""

from __future__ import annotations

from .guard import (
    DAEMON,
    FOLLOW,
    LEASE_HISTORY,
    LEASE_STREAM,
    LIBRARY,
    LOG_HISTORY,
    Guard,
)


__all__ = ["GUARDS"]

_EQUAL_OR_UNKNOWN = (LOG_HISTORY, "the_state_of_the_others")

GUARDS = (
    Guard(
        "a truncated history of leases is incomplete",
        f"{LIBRARY}/_leases.py",
        "is_complete=first == 0)",
        "is_complete=True)",
        _EQUAL_OR_UNKNOWN,
    ),
    Guard(
        "an incomplete fold takes no lease record",
        f"{LIBRARY}/_leases.py",
        "if not self.is_complete:",
        "if False:",
        _EQUAL_OR_UNKNOWN,
    ),
    Guard(
        "a snapshot counts only at the offset that it names",
        f"{LIBRARY}/_leases.py",
        "if offset != record.folded_to:",
        "if False:",
        _EQUAL_OR_UNKNOWN,
    ),
    Guard(
        "a repeated append of a claim acquires no lease",
        f"{LIBRARY}/_leases.py",
        "if lease is not None and lease.claim_id == record.record_id:",
        "if False:",
        _EQUAL_OR_UNKNOWN,
    ),
    Guard(
        "usage windows of a truncated history are unknown",
        f"{LIBRARY}/_usage.py",
        "return self._first_known is not None and window >= self._first_known",
        "return True",
        _EQUAL_OR_UNKNOWN,
    ),
    Guard(
        "late counts of usage make no earlier window known",
        f"{LIBRARY}/_usage.py",
        "first = max(first, record.written_in + _WRITE_WINDOWS)",
        "pass",
        _EQUAL_OR_UNKNOWN,
    ),
    Guard(
        "a node with unknown leases claims none",
        f"{DAEMON}/cluster/leases.py",
        "        if not self.is_complete:\n            return False\n",
        "",
        (LEASE_HISTORY, "acts_on_no_lease"),
    ),
    Guard(
        "a missed record restarts the fold of leases",
        f"{DAEMON}/cluster/leases.py",
        "self._fold = LeaseFold.starting_at(first)",
        "pass",
        (LEASE_HISTORY, "acts_on_no_lease"),
    ),
    Guard(
        "a renewal of an unknown lease has failed",
        f"{DAEMON}/cluster/leases.py",
        "            lease is not None\n            and ",
        "            ",
        (LEASE_HISTORY, "no_longer_known"),
    ),
    Guard(
        "a node with unknown leases asks for a snapshot",
        f"{DAEMON}/cluster/lease_snapshots.py",
        "await leases.request_snapshot()",
        "pass",
        (LEASE_HISTORY, "succeeds_it"),
    ),
    Guard(
        "leases are taken anew only after silence",
        f"{LIBRARY}/leases/_snapshot_schedule.py",
        "if now - self._quiet_since >= self._silence:",
        "if True:",
        (LEASE_HISTORY, "every_lease_has_expired"),
    ),
    Guard(
        "snapshots are written without a request",
        f"{LIBRARY}/leases/_snapshot_schedule.py",
        "if not self._is_requested and now < age_due:",
        "if not self._is_requested:",
        (LEASE_HISTORY, "written_regularly"),
    ),
    Guard(
        "a job that may have been dropped is unknown",
        f"{DAEMON}/jobs/service.py",
        "if state is None and self._may_lack_jobs():",
        "if False:",
        (FOLLOW, "may_have_been_dropped"),
    ),
    Guard(
        "a node that missed records of jobs forgets the jobs",
        f"{DAEMON}/jobs/service.py",
        "        self._fold.clear()\n",
        "",
        (FOLLOW, "missed_records_of_a_job"),
    ),
    Guard(
        "a follower reads on after repeated drops",
        f"{DAEMON}/cluster/follow.py",
        "                failures += 1\n",
        "                if failures:\n"
        "                    raise\n"
        "                failures += 1\n",
        (FOLLOW, "ends_no_follower"),
    ),
    Guard(
        "a read that was overtaken reports no gap",
        f"{DAEMON}/cluster/follow.py",
        "if first > self._next:",
        "if True:",
        (FOLLOW, "no_gap_is_reported"),
    ),
    Guard(
        "own deployment: a missed record restarts the fold of leases",
        f"{DAEMON}/log/lease_stream.py",
        "LeaseFold.starting_at(first)",
        "LeaseFold(first, self._state.lease_fold.leases)",
        (LEASE_STREAM, "learns_of_the_holder"),
    ),
    Guard(
        "own deployment: a VM with unknown leases claims none",
        f"{DAEMON}/log/leases.py",
        "        if not self._stream.is_complete:\n            return False\n",
        "",
        (LEASE_STREAM, "claims_nothing"),
    ),
    Guard(
        "own deployment: leases that are unknown are not renewed",
        f"{DAEMON}/log/leases.py",
        "        if not self._stream.is_complete:\n            return\n",
        "",
        (LEASE_STREAM, "claims_it_again"),
    ),
    Guard(
        "own deployment: a lease that the log lacks is not held",
        f"{DAEMON}/log/leases.py",
        "if lease is None or lease.fence != held.fence:",
        "if lease is not None and lease.fence > held.fence:",
        (LEASE_STREAM, "claims_it_again"),
    ),
    Guard(
        "own deployment: a snapshot without leases follows no unread records",
        f"{DAEMON}/log/lease_stream.py",
        "        if self.is_complete:\n"
        "            # The follower lags by its pause.\n"
        "            if not await self.sync():\n"
        '                return NotAppended("the log is unavailable")\n'
        "            if not self.is_complete:\n"
        '                return NotAppended("the log dropped records meanwhile")\n',
        "        await self.sync()\n",
        (LEASE_STREAM, "without_leases"),
    ),
)
