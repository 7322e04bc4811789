# SPDX-License-Identifier: MIT

"""
Guards of what nodes agree on: the log, leases, shares, planned stops.
"""

from __future__ import annotations

from .guard import (
    DAEMON,
    DUTY_LEASE,
    FOLLOW,
    LEASE_STREAM,
    LIBRARY,
    REQUESTS,
    STORE_WATCH,
    WEIGHTS,
    WORK_SHARES,
    Guard,
)


__all__ = ["GUARDS"]

GUARDS = (
    Guard(
        "a stopping node takes no share again",
        f"{DAEMON}/cluster/work_shares.py",
        "        self._stopped = True\n",
        "",
        (WORK_SHARES, "no_share_again"),
    ),
    Guard(
        "another node waits for the lease's term",
        f"{DAEMON}/cluster/leases.py",
        "if node == self._node:",
        "if True:",
        (WEIGHTS, "rising_fences"),
    ),
    Guard(
        "a node knows the engines before it is ready",
        f"{DAEMON}/gateway.py",
        "engines_known = self._entries.is_loaded",
        "engines_known = True",
        (REQUESTS, "only_once_it_knows"),
    ),
    Guard(
        "a node without the store reports itself not ready",
        f"{DAEMON}/gateway.py",
        "return boot_time() - self._store.answered_at > _MAX_STORE_SILENCE",
        "return False",
        (REQUESTS, "without_an_answer_of_the_store"),
    ),
    Guard(
        "an outage of the store moves no share",
        f"{DAEMON}/cluster/work_shares.py",
        "boot_time() - regained_at < _TERM",
        "False",
        (WORK_SHARES, "while_the_store_is_away"),
    ),
    Guard(
        "nobody claims a share while the store is away",
        f"{DAEMON}/cluster/work_shares.py",
        "not self._leases.is_store_reachable or ",
        "",
        (WORK_SHARES, "nobody_claims"),
    ),
    Guard(
        "a lease is renewed while its holder reads the jobs",
        f"{DAEMON}/cluster/work_shares.py",
        "        if names:\n            self._renewed_at = now",
        "        if self._held:\n            self._renewed_at = now",
        (WORK_SHARES, "reads_on"),
    ),
    Guard(
        "a node with more cores takes a share",
        f"{DAEMON}/cluster/work_shares.py",
        "delay = self._delay + ",
        "delay = ",
        (WORK_SHARES, "stronger"),
    ),
    Guard(
        "a silent connection to the store is given up",
        f"{DAEMON}/cluster/store_watch.py",
        "call.task.cancel()",
        "pass",
        (STORE_WATCH, "silent_connection"),
    ),
    Guard(
        "a large page gets a longer timeout",
        f"{DAEMON}/cluster/store_watch.py",
        "wait_allowed = wait + max(0.0, answer_timeout - DEFAULT_ANSWER_TIMEOUT)",
        "wait_allowed = wait",
        (STORE_WATCH, "large_page"),
    ),
    Guard(
        "the page size shrinks after a failed read",
        f"{DAEMON}/cluster/follow.py",
        "self._page_size.failed()",
        "pass",
        ("tests/test_page_size.py", "asks_for_less"),
    ),
    Guard(
        "job changes are batched",
        f"{DAEMON}/cluster/follow.py",
        "await asyncio.sleep(self._batch_delay())",
        "pass",
        (FOLLOW, "as_it_gathers"),
    ),
    Guard(
        "engine changes are batched",
        f"{DAEMON}/cluster/follow.py",
        "await asyncio.sleep(_REGISTRY_BATCH_DELAY)",
        "pass",
        (FOLLOW, "entries_that_change"),
    ),
    Guard(
        "a planned stop waits for the store",
        f"{DAEMON}/gateway.py",
        "not await self.jobs.sync() and boot_time() < started_at + store_timeout:",
        "False:",
        (WEIGHTS, "loses_no_text"),
    ),
    Guard(
        "a share is held only with the records of its last holder",
        f"{DAEMON}/cluster/work_shares.py",
        "        await self._on_acquired()\n",
        "",
        (WORK_SHARES, "keeps_it"),
    ),
    Guard(
        "a record that cannot be read hides nothing behind it",
        f"{DAEMON}/cluster/follow.py",
        "except UndecodableRecordError as error:",
        "except ZeroDivisionError as error:",
        ("tests/test_unreadable_records.py", "hides_nothing"),
    ),
    Guard(
        "a record of a job is checked field by field",
        f"{LIBRARY}/_job_records.py",
        "if not isinstance(value, int) or isinstance(value, bool) or value < 0:",
        "if False:",
        ("tests/test_unreadable_records.py", "hides_nothing"),
    ),
    Guard(
        "a lease is released after the calls in flight",
        f"{DAEMON}/duties/lease.py",
        "if not await self._actions.wait_until_idle(_ACTION_TIMEOUT):",
        "if False:",
        (DUTY_LEASE, "last_action_has_ended"),
    ),
    Guard(
        "a lease with an action that does not end expires",
        f"{DAEMON}/duties/lease.py",
        """                    in_flight=self._actions.count,
                )
                return
""",
        """                    in_flight=self._actions.count,
                )
""",
        (DUTY_LEASE, "does_not_end_expires"),
    ),
    Guard(
        "an order of weights is an action under the lease",
        f"{DAEMON}/orders/weights.py",
        "with self._lease.acting(_ORDER_MARGIN) as held:",
        "for held in [self._lease.current(_ORDER_MARGIN)]:",
        (WEIGHTS, "stopped_holder"),
    ),
    Guard(
        "the ordering of engines releases its lease before it is cancelled",
        f"{DAEMON}/scaling/duty.py",
        """            if lease is not None:
                await lease.release()
""",
        """            _cancel_all(tasks)
            if lease is not None:
                await lease.release()
""",
        ("tests/test_scaling_duty.py", "in_flight"),
    ),
    Guard(
        "own deployment: a lease is released after the orders in flight",
        f"{DAEMON}/log/leases.py",
        "if not await self._actions[name].wait_until_idle(timeout):",
        "if False:",
        (LEASE_STREAM, "order"),
    ),
)
