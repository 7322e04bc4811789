# SPDX-License-Identifier: MIT

"""
Grants slots of backend servers to requests on this VM and queues the others.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from saddledoor import (
    BackendReport,
    BackendRequirement,
    Candidate,
    Engine,
    FairQueue,
    Instance,
    NotRun,
    ResultCode,
    RoutingPolicy,
    WorkClass,
    is_eligible,
    least_outstanding,
    round_robin,
    two_choices,
    uniform,
)
from saddledoor.tracing import SlotGranted

from .._clock import boot_time
from .._state import NodeState
from ..observability.tracing import Emit


__all__ = ["Dispatcher", "Grant", "SlotRequest"]

#: Interval of trying to grant slots to waiting requests, in seconds.
_RECHECK_INTERVAL = 0.05

_NO_REQUIREMENT = BackendRequirement()


@dataclass(frozen=True)
class SlotRequest:
    """
    A request for a slot of a backend server.

    :param target: Name of a pool or service.
    :param cost: Expected work, in tokens.
    :param deadline: End of the wait for a slot, in seconds of `boot_time`.
    :param avoid: Backend servers that already failed this request.
    :param local_only: Whether only this data centre's backend servers may be used.
    """

    target: str
    work: WorkClass
    partner: str
    weight: float
    cost: float
    deadline: float
    requirement: BackendRequirement = _NO_REQUIREMENT
    avoid: frozenset[str] = frozenset()
    local_only: bool = False


@dataclass(frozen=True)
class Grant:
    """
    A granted slot of a backend server.

    :param release: Releases the slot; later calls have no effect.
    """

    name: str
    address: str
    release: Callable[[], None]


@dataclass
class _Waiter:
    slot_request: SlotRequest
    future: asyncio.Future = field(repr=False)


class Dispatcher:
    """
    Grants slots of all pools and services.
    """

    def __init__(self, state: NodeState) -> None:
        self._state = state
        self._policies: dict[str, RoutingPolicy] = {
            "least_outstanding": least_outstanding(random.random),
            "two_choices": two_choices(random.random),
            "round_robin": round_robin(),
            "uniform": uniform(random.random),
        }
        self._in_flight: dict[str, int] = {}
        self._failed_at: dict[str, float] = {}
        self._queues: dict[str, FairQueue[_Waiter]] = {}
        self._has_waiters = asyncio.Event()

    @property
    def trace(self) -> Emit:
        """
        Function that records a trace event, for attempts that use a granted slot.
        """
        return self._state.trace

    def in_flight(self, name: str) -> int:
        """
        Return the number of this VM's requests in flight at a backend server.
        """
        return self._in_flight.get(name, 0)

    def waiting(self) -> int:
        """
        Return the number of waiting requests.
        """
        return sum(len(queue) for queue in self._queues.values())

    def record_failure(self, name: str) -> None:
        """
        Record a failure of a backend server, which gets no new work during its backoff.
        """
        self._failed_at[name] = boot_time()

    async def acquire(self, slot_request: SlotRequest) -> Grant | NotRun:
        """
        Wait for a slot until the request's deadline.
        """
        usable = self._usable_candidates(slot_request)
        if not usable:
            return NotRun(
                ResultCode.NO_BACKEND, f"no back end for {slot_request.target}"
            )
        queue = self._queue(slot_request.target)
        if not len(queue):
            grant = self._try_grant(slot_request)
            if grant is not None:
                return grant
        waiter = _Waiter(slot_request, asyncio.get_running_loop().create_future())
        pushed = queue.push(
            slot_request.work,
            slot_request.partner,
            slot_request.cost,
            slot_request.weight,
            waiter,
        )
        if pushed.displaced is not None and not pushed.displaced.future.done():
            pushed.displaced.future.set_result(_overloaded())
        if not pushed.queued:
            return _overloaded()
        self._has_waiters.set()
        return await self._wait(waiter)

    async def grant_free_slots(self) -> None:
        """
        Grant free slots to waiting requests periodically until cancelled.

        A slot may become free without a release, for example by a new report.
        """
        while True:
            # Avoids wake-ups on an idle VM.
            await self._has_waiters.wait()
            await asyncio.sleep(_RECHECK_INTERVAL)
            for target in list(self._queues):
                self._grant_to_waiters(target)
            if not self.waiting():
                self._has_waiters.clear()

    async def _wait(self, waiter: _Waiter) -> Grant | NotRun:
        limit = max(0.0, waiter.slot_request.deadline - boot_time())
        try:
            return await asyncio.wait_for(waiter.future, limit)
        except TimeoutError:
            return NotRun(ResultCode.TIMED_OUT_IN_QUEUE, "no slot came free", 1.0)
        except asyncio.CancelledError:
            # Cancelled after the slot was granted: release it.
            if waiter.future.done() and not waiter.future.cancelled():
                outcome = waiter.future.result()
                if isinstance(outcome, Grant):
                    outcome.release()
            raise

    def _queue(self, target: str) -> FairQueue[_Waiter]:
        if target not in self._queues:
            deployment = self._state.deployment
            capacity = deployment.limits.max_queue if deployment else 1
            self._queues[target] = FairQueue(capacity)
        return self._queues[target]

    def _grant_to_waiters(self, target: str) -> None:
        queue = self._queues[target]
        blocked: dict[WorkClass, _Waiter] = {}
        while (waiter := queue.pop(frozenset(blocked))) is not None:
            if waiter.future.done():
                continue
            grant = self._try_grant(waiter.slot_request)
            if grant is None:
                blocked[waiter.slot_request.work] = waiter
            else:
                waiter.future.set_result(grant)
        for work, waiter in blocked.items():
            # A blocked request was charged its cost when it was queued, so it returns
            # to the front.
            queue.push_front(work, waiter)

    def _try_grant(self, slot_request: SlotRequest) -> Grant | None:
        candidates = [
            (backend, candidate)
            for backend, candidate in self._usable_candidates(slot_request)
            if self._has_free_slot(candidate)
        ]
        if not candidates:
            return None
        choose = self._policies[self._state.deployment.limits.choice]
        chosen = choose([candidate for _, candidate in candidates])
        backend = next(b for b, c in candidates if c is chosen)
        return self._grant(backend, slot_request.target)

    def _grant(self, backend: Engine | Instance, target: str) -> Grant:
        self._in_flight[backend.name] = self.in_flight(backend.name) + 1
        self._state.trace(SlotGranted(backend.name))
        released = False

        def release() -> None:
            nonlocal released
            if released:
                return
            released = True
            self._in_flight[backend.name] -= 1
            if target in self._queues:
                self._grant_to_waiters(target)

        return Grant(backend.name, backend.address, release)

    def _usable_candidates(
        self, slot_request: SlotRequest
    ) -> list[tuple[Engine | Instance, Candidate]]:
        backends = self._backends_of(slot_request.target)
        reports = self._state.members.reports()
        now = boot_time()
        local = self._state.data_centre
        local_backends = [b for b in backends if b.data_centre == local]
        remote_backends = (
            []
            if slot_request.local_only
            else self._usable_remote_backends(backends, now)
        )
        for group in (local_backends, remote_backends):
            usable = [
                (b, self._candidate(b, reports.get(b.name), now))
                for b in group
                if self._is_usable(b, slot_request, reports.get(b.name), now)
            ]
            if usable:
                return usable
        return []

    def _usable_remote_backends(
        self, backends: tuple[Engine | Instance, ...], now: float
    ) -> list[Engine | Instance]:
        sites = self._state.members.sites(now)
        unusable = {name for site in sites for name in site.unusable}
        local = self._state.data_centre
        return [
            b for b in backends if b.data_centre != local and b.name not in unusable
        ]

    def _backends_of(self, target: str) -> tuple[Engine | Instance, ...]:
        deployment = self._state.deployment
        if deployment is None:
            return ()
        pool = deployment.pool(target)
        if pool is not None:
            return pool.engines
        service = deployment.service(target)
        return service.instances if service else ()

    def _is_usable(
        self,
        backend: Engine | Instance,
        slot_request: SlotRequest,
        report: BackendReport | None,
        now: float,
    ) -> bool:
        if backend.name in slot_request.avoid:
            return False
        failed_at = self._failed_at.get(backend.name, -math.inf)
        return is_eligible(
            backend.state, report, slot_request.requirement, now, failed_at
        )

    def _candidate(
        self, backend: Engine | Instance, report: BackendReport | None, now: float
    ) -> Candidate:
        own = self.in_flight(backend.name)
        if report is None:
            return Candidate(backend.name, backend.slots, own)
        return Candidate(backend.name, backend.slots, own, report.load, now - report.at)

    def _has_free_slot(self, candidate: Candidate) -> bool:
        # An even share of the slots is reserved for this VM. Beyond it, the reported
        # load of other VMs counts, halved for each second of the report's age.
        vms = max(1, len(self._state.live_vms()))
        share = max(1, candidate.slots // vms)
        if candidate.own < share:
            return True
        others = max(0.0, candidate.reported - candidate.own) * 0.5**candidate.age
        return candidate.own + others < candidate.slots


def _overloaded() -> NotRun:
    return NotRun(ResultCode.OVERLOADED, "the queue is full", 1.0)
