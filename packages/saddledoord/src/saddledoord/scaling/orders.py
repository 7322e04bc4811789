# SPDX-License-Identifier: MIT

"""
Sends orders for engines, repeats them until the engines agree, and checks the fence.
"""

from __future__ import annotations

from dataclasses import dataclass

import structlog

from saddledoor.scaling import EngineGroup, OrderRefusals

from .._clock import boot_time
from ..duties.lease import DutyLease
from ..ports import DutyCalls, DutyOutcome, EngineOrder


__all__ = ["OrderSender"]

_log = structlog.get_logger()

#: Shortest remaining validity of the lease when a call is sent, in seconds; covers the
#: timeout of the call.
_CALL_MARGIN = 0.6
#: Age of a decision from which its orders are not sent, in seconds: the engines may
#: have changed since, and a send must begin within 0.8 s of its decision.
_MAX_DECISION_AGE = 0.3
#: Time until an accepted order is repeated, beyond the engines' boot time, in seconds:
#: an entry is written every 1.2 s and may be 0.8 s late.
_ENTRY_DELAY = 2.0
#: Pause after a call that failed, in seconds; doubles up to the longest.
_FIRST_PAUSE, _LAST_PAUSE = 1.0, 8.0
#: Number of accepted orders without an effect after which a group counts as refusing.
_MAX_FRUITLESS = 3
#: Time without an answer to any call after which the lease is left to another node, in
#: seconds; that node may reach the platform.
_BACK_OFF_AFTER = 2.5


@dataclass
class _Pending:
    """
    An order that the engines do not agree with yet.

    :param due_at: When it is sent again, monotonic, in seconds.
    :param accepted: Number of times that the platform accepted it.
    :param pause: Pause after the last failure, in seconds; 0 for none.
    """

    desired: int
    due_at: float
    accepted: int = 0
    pause: float = 0.0


class OrderSender:
    """
    Sends the orders of one service while the lease is held.

    :param holder: Name of this node.
    :param refusals: Refusals of this service, also those before this node held the
        lease.
    """

    def __init__(
        self,
        service: str,
        calls: DutyCalls,
        lease: DutyLease,
        holder: str,
        refusals: OrderRefusals,
    ) -> None:
        self._service = service
        self._calls = calls
        self._lease = lease
        self._holder = holder
        self._pending: dict[EngineGroup, _Pending] = {}
        self._failing_since: float | None = None
        self._unchecked_refusal: tuple[EngineGroup, int] | None = None
        self._refusals = refusals

    async def send(
        self,
        due: list[tuple[EngineGroup, int]],
        engine_boot_time: float,
        decided_at: float,
    ) -> None:
        """
        Send the orders that are due now.

        :param engine_boot_time: See `ScalingLimits`, in seconds.
        :param decided_at: When they were decided, monotonic, in seconds; orders that
            cannot be sent soon after are left to the next decision.
        """
        for group in self._pending.keys() - {group for group, _ in due}:
            del self._pending[group]
            self._refusals.record_fulfilled(group)
        for group, desired in due:
            pending = self._pending.get(group)
            if pending is None or pending.desired != desired:
                pending = self._pending[group] = _Pending(desired, boot_time())
            if boot_time() < pending.due_at:
                continue
            if not await self._check_refusal():
                return
            if boot_time() - decided_at > _MAX_DECISION_AGE:
                return
            if pending.accepted >= _MAX_FRUITLESS:
                self._refuse(group, "no engine has come")
                continue
            if not await self._call(group, pending, engine_boot_time, decided_at):
                return

    async def _call(
        self,
        group: EngineGroup,
        pending: _Pending,
        engine_boot_time: float,
        decided_at: float,
    ) -> bool:
        """
        Send an order; return whether further calls may follow.
        """
        with self._lease.acting(_CALL_MARGIN) as held:
            if held is None:
                return False
            order = EngineOrder(
                self._service,
                group.data_centre,
                pending.desired,
                group.is_spot,
                self._holder,
                held.fence,
            )
            outcome = await self._calls.order_engines(order, decided_at)
        _log.info(
            "engines_ordered",
            service=self._service,
            data_centre=group.data_centre,
            spot=group.is_spot,
            desired=pending.desired,
            fence=held.fence,
            outcome=outcome,
        )
        now = boot_time()
        if outcome == DutyOutcome.DONE:
            self._failing_since = None
            pending.accepted += 1
            pending.pause = 0.0
            pending.due_at = now + engine_boot_time + _ENTRY_DELAY
            return True
        if outcome == DutyOutcome.FENCED:
            self._failing_since = None
            self._unchecked_refusal = (group, held.fence)
            return await self._check_refusal()
        pending.pause = min(2 * pending.pause or _FIRST_PAUSE, _LAST_PAUSE)
        pending.due_at = now + pending.pause
        await self._record_failure(now)
        return False

    async def _check_refusal(self) -> bool:
        """
        Find out from the log whether the last refusal was for the fence.

        No call is made before this is known.
        """
        if self._unchecked_refusal is None:
            return True
        group, fence = self._unchecked_refusal
        is_held = await self._lease.confirm(fence)
        if is_held is None:
            return False
        self._unchecked_refusal = None
        if not is_held:
            self._lease.record_fenced(fence)
            return False
        self._refuse(group, "no engine available")
        return True

    def _refuse(self, group: EngineGroup, reason: str) -> None:
        self._pending.pop(group, None)
        pause = self._refusals.record_refused(group, boot_time())
        _log.info(
            "engines_refused",
            service=self._service,
            data_centre=group.data_centre,
            spot=group.is_spot,
            reason=reason,
            pause=pause,
        )

    async def _record_failure(self, now: float) -> None:
        if self._failing_since is None:
            self._failing_since = now
        if now - self._failing_since > _BACK_OFF_AFTER:
            self._failing_since = None
            await self._lease.back_off()
