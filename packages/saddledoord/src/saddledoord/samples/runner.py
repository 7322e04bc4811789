# SPDX-License-Identifier: MIT

"""
Runs the samples of a step at engines of all data centres.

In names, a site is a data centre.
"""

from __future__ import annotations

import asyncio
import random
import uuid
from dataclasses import dataclass

from saddledoor import (
    Answer,
    Sample,
    SampleSpec,
    Slot,
    StepDelivery,
    Trainer,
    WorkClass,
    longest_first,
    oldest_allowed,
)
from saddledoor.tracing import SampleAdded, StaleDropped

from .._clock import boot_time
from .._state import NodeState
from ..backends.budgets import RetryBudgets
from ..backends.client import BackendClient
from ..backends.dispatch import Dispatcher
from ..backends.watcher import local_backends
from ..filters.attempt import CompletionJob, attempt_completion
from ..filters.collect import collect_whole
from ..observability.daemon_metrics import Metrics
from ..peers.client import PeerClient


__all__ = ["SampleRunner", "StepRun"]

#: Samples in flight per engine slot; above 1, so that engines do not wait for the
#: collector.
_WINDOW_FACTOR = 1.25
#: Pause before a failed sample is attempted again, in seconds.
_RETRY_PAUSE = 0.1
#: Longest time that a sample may wait for an engine, in seconds.
_QUEUE_TIMEOUT = 30.0
#: Longest time between two checks for samples to start, in seconds.
_CHECK_INTERVAL = 0.2
#: Time for which changes of a step are gathered before the next check, in seconds.
_BATCH_DELAY = 0.01


@dataclass(frozen=True)
class _Site:
    """
    A data centre that can run samples.

    :param slots: Number of its engines' slots.
    :param peers: Addresses of VMs there; empty for this VM's data centre.
    """

    name: str
    slots: int
    peers: tuple[str, ...] = ()


class SampleRunner:
    """
    Runs samples at engines; shared by all steps.
    """

    def __init__(
        self,
        state: NodeState,
        dispatcher: Dispatcher,
        backends: BackendClient,
        peers: PeerClient,
        budgets: RetryBudgets,
        metrics: Metrics,
    ) -> None:
        self._budgets = budgets
        self.state = state
        self.metrics = metrics
        self._dispatcher = dispatcher
        self._backends = backends
        self._peers = peers

    def start(
        self, trainer: Trainer, step: int, delivery: StepDelivery, version: int
    ) -> StepRun:
        """
        Start to run the missing samples of a step.
        """
        return StepRun(self, trainer, step, delivery, version)

    def sites(self, pool: str) -> list[_Site]:
        """
        Return the data centres that have slots for a pool.
        """
        reports = self.state.members.reports()
        own_slots = sum(
            backend.slots
            for backend in local_backends(self.state)
            if backend.state == "serving" and self._is_in_pool(pool, backend.name)
            if (report := reports.get(backend.name)) and report.alive
        )
        sites = [_Site(self.state.data_centre, own_slots)] if own_slots else []
        for summary in self.state.members.sites(boot_time()):
            if summary.slots(pool) and summary.peers:
                slots = summary.slots(pool)
                sites.append(_Site(summary.data_centre, slots, summary.peers))
        return sites

    async def attempt(self, site: _Site, job: CompletionJob) -> Answer | None:
        """
        Run a sample once; return None if the answer is incomplete or a weight version
        is unknown.
        """
        if site.peers:
            peer = random.choice(site.peers)
            parts = self._peers.complete(peer, job, _QUEUE_TIMEOUT)
        else:
            budget = self._budgets.of(job.partner)
            parts = attempt_completion(
                job, self._dispatcher, self._backends, budget, self.metrics
            )
        answer = await collect_whole(
            parts, job.max_tokens, job.attempt_id, self.state.trace
        )
        if isinstance(answer, Answer) and answer.labelled:
            return answer
        outcome = "unlabelled" if isinstance(answer, Answer) else answer.code.name
        self.metrics.samples.add(1, {"what": f"failed_{outcome.lower()}"})
        return None

    def _is_in_pool(self, pool: str, engine: str) -> bool:
        found = self.state.deployment.pool(pool) if self.state.deployment else None
        return found is not None and any(e.name == engine for e in found.engines)


class StepRun:
    """
    A step in progress: its delivery and the samples in flight.

    A `Slot` is a sample's place in the step, not a slot of an engine.
    """

    def __init__(
        self,
        runner: SampleRunner,
        trainer: Trainer,
        step: int,
        delivery: StepDelivery,
        version: int,
    ) -> None:
        self.delivery = delivery
        self._runner = runner
        self._trainer = trainer
        self._step = step
        self._version = version
        self._in_flight: dict[Slot, str] = {}
        self._tasks: set[asyncio.Task] = set()
        self._draining = False
        self._changed = asyncio.Event()
        self._task = asyncio.create_task(self._run())

    def reopen(self, delivery: StepDelivery, version: int) -> None:
        """
        Continue with a new delivery after the trainer has submitted the step again.
        """
        self.delivery = delivery
        self.note_version(version)
        self.wake()

    def note_version(self, version: int) -> None:
        """
        Record the trainer's current weight version.
        """
        self._version = max(self._version, version)

    def wake(self) -> None:
        """
        Check for samples to start without delay.
        """
        self._changed.set()

    def add(self, sample: Sample) -> bool:
        """
        Add a finished sample to the delivery; return False if it was not accepted.
        """
        slot = (sample.slot.group, sample.slot.index)
        runs = tuple((run.version, run.first, run.last) for run in sample.runs)
        self._runner.state.trace(
            SampleAdded(self._trainer.name, self._step, slot, sample.tokens, runs)
        )
        return self.delivery.add(sample)

    def _trace_stale(self) -> None:
        self._runner.state.trace(
            StaleDropped(self._trainer.name, self._step, self._version)
        )

    async def wait_ready(self, wait: float) -> None:
        """
        Wait until a sample that is not stale is ready, the step is complete, or the
        wait in seconds has passed.
        """
        try:
            async with asyncio.timeout(wait):
                while not self.delivery.complete:
                    if self.delivery.drop_stale(self._version):
                        self._trace_stale()
                    if self.delivery.ready:
                        return
                    self._changed.clear()
                    await self._changed.wait()
        except TimeoutError:
            return

    async def drain(self) -> None:
        """
        Start no more samples, and wait for those in flight.
        """
        self._draining = True
        while self._tasks:
            await asyncio.wait(set(self._tasks))

    async def stop(self) -> None:
        """
        Cancel the step, and wait until its tasks have ended.
        """
        self.cancel()
        await asyncio.gather(self._task, *self._tasks, return_exceptions=True)

    def cancel(self) -> None:
        """
        Cancel the step without waiting for its tasks.
        """
        self._task.cancel()
        for task in self._tasks:
            task.cancel()

    async def _run(self) -> None:
        while True:
            if not self._draining:
                self._start_samples()
            try:
                async with asyncio.timeout(_CHECK_INTERVAL):
                    await self._changed.wait()
            except TimeoutError:
                pass
            self._changed.clear()
            # Many samples end close together; check once for all of them.
            await asyncio.sleep(_BATCH_DELAY)

    def _start_samples(self) -> None:
        waiting = [s for s in self.delivery.missing if s.slot not in self._in_flight]
        if not waiting:
            return
        sites = self._runner.sites(self._trainer.pool)
        for spec in longest_first(waiting):
            site = self._least_loaded(sites)
            if site is None:
                return
            self._in_flight[spec.slot] = site.name
            task = asyncio.create_task(self._run_sample(spec, site))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _least_loaded(self, sites: list[_Site]) -> _Site | None:
        used: dict[str, int] = {}
        for name in self._in_flight.values():
            used[name] = used.get(name, 0) + 1
        with_free_slots = [
            site
            for site in sites
            if used.get(site.name, 0) < max(1, int(site.slots * _WINDOW_FACTOR))
        ]
        return min(
            with_free_slots,
            key=lambda site: used.get(site.name, 0) / site.slots,
            default=None,
        )

    async def _run_sample(self, spec: SampleSpec, site: _Site) -> None:
        try:
            answer = await self._runner.attempt(site, self._job(spec))
            if answer is None:
                await asyncio.sleep(_RETRY_PAUSE)
                return
            sample = Sample(
                spec.slot, answer.text, answer.tokens, answer.runs, answer.finish_reason
            )
            accepted = self.add(sample)
            what = "won" if accepted else "not_needed"
            self._runner.metrics.samples.add(1, {"what": what})
        finally:
            del self._in_flight[spec.slot]
            self.wake()

    def _job(self, spec: SampleSpec) -> CompletionJob:
        slot = spec.slot
        attempt = f"{self._trainer.name}-{self._step}-{slot.group}-{slot.index}"
        trainer = self._trainer
        oldest = oldest_allowed(
            self._version, trainer.staleness_bound, trainer.preference
        )
        return CompletionJob(
            attempt_id=f"{attempt}-{uuid.uuid4().hex[:8]}",
            partner=f"trainer:{self._trainer.name}",
            weight=1.0,
            pool=self._trainer.pool,
            model=self._trainer.model,
            prompt=spec.prompt,
            max_tokens=spec.max_tokens,
            work=WorkClass.TRAINING,
            deadline=boot_time() + _QUEUE_TIMEOUT,
            min_version=oldest,
            local_only=True,
        )
