# SPDX-License-Identifier: MIT

"""
The collector of a trainer: the VM that gathers a step's samples and hands them out.
"""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass

import structlog

from saddledoor import (
    Batch,
    FetchRequest,
    HeldLease,
    NotRun,
    ResultCode,
    Resync,
    Sample,
    Slot,
    StepDelivery,
    Trainer,
    VersionRun,
)
from saddledoor.tracing import FetchAnswered, StepOpened

from .._clock import boot_time
from .._state import NodeState
from ..filters.decode import FetchBody, StepBody, decode_fetch, decode_step
from ..log.leases import LeaseKeeper
from ..observability.burn_feed import BurnFeed
from ..observability.daemon_metrics import Metrics
from ..peers.client import PeerClient, PeerUnavailableError
from ..peers.wire_types import outcome_from_code
from ..wire import peer_pb2 as pb
from .runner import SampleRunner, StepRun


__all__ = ["OperationAnswer", "Collectors", "collector_lease"]

_log = structlog.get_logger()

#: Most steps of a trainer in memory; the oldest is dropped first.
_MAX_STEPS = 2
#: Timeout of a call to the collector, beyond the wait of a fetch, in seconds.
_FORWARD_TIMEOUT = 10.0
#: Longest time for which a successor tries to claim a lease that is being released, in
#: seconds.
_CLAIM_TIMEOUT = 5.0


@dataclass(frozen=True)
class OperationAnswer:
    """
    The answer to a trainer's operation, as JSON.
    """

    payload: bytes


def collector_lease(trainer: str) -> str:
    """
    Return the name of a trainer's collector lease.
    """
    return f"collector/{trainer}"


class Collectors:
    """
    Serves trainers' operations on this VM, or forwards them to the collector.
    """

    def __init__(
        self,
        state: NodeState,
        keeper: LeaseKeeper,
        peers: PeerClient,
        runner: SampleRunner,
        metrics: Metrics,
        burn: BurnFeed,
    ) -> None:
        self._burn = burn
        self._state = state
        self._keeper = keeper
        self._peers = peers
        self._runner = runner
        self._metrics = metrics
        self._step_runs: dict[tuple[str, int], StepRun] = {}
        self._inherited: dict[tuple[str, int], list[Sample]] = {}

    async def serve(
        self, trainer: Trainer, operation: str, step: int, payload: bytes
    ) -> OperationAnswer | NotRun:
        """
        Serve an operation that a trainer sent to this VM.

        :param operation: ``submit`` or ``fetch``.
        """
        lease = collector_lease(trainer.name)
        if self._keeper.held(lease) is not None:
            return await self.serve_here(trainer.name, operation, step, payload)
        address = self._keeper.holder_address(lease)
        if address is not None and not self._keeper.may_claim(lease):
            return await self._forward(address, trainer, operation, step, payload)
        if operation != "submit":
            return NotRun(ResultCode.RESYNC, "the trainer has no collector now", 0.0)
        if self._state.stage != "serving":
            return NotRun(ResultCode.STOPPING, "this VM takes no new steps", 0.0)
        if await self._keeper.try_claim(lease) is None:
            return NotRun(ResultCode.NO_COLLECTOR, "the lease is not to be had", 0.5)
        return await self.serve_here(trainer.name, operation, step, payload)

    async def serve_here(
        self, trainer_name: str, operation: str, step: int, payload: bytes
    ) -> OperationAnswer | NotRun:
        """
        Serve an operation as the collector.
        """
        held = self._keeper.held(collector_lease(trainer_name))
        deployment = self._state.deployment
        trainer = deployment.trainer(trainer_name) if deployment else None
        if held is None or trainer is None:
            return NotRun(ResultCode.NO_COLLECTOR, "this VM is not the collector", 0.2)
        if operation == "submit":
            body = decode_step(payload)
            if isinstance(body, NotRun):
                return body
            return self._submit(held, trainer, step, body)
        fetch = decode_fetch(payload)
        if isinstance(fetch, NotRun):
            return fetch
        return await self._fetch(trainer, step, fetch)

    async def inherit(self, trainer: str, step: int, samples: bytes) -> None:
        """
        Accept the finished samples of a stopping collector, and claim its lease.
        """
        key = (trainer, step)
        self._inherited[key] = [_sample_from_json(item) for item in json.loads(samples)]
        while len(self._inherited) > _MAX_STEPS * 8:
            self._inherited.pop(next(iter(self._inherited)))
        deadline = asyncio.get_running_loop().time() + _CLAIM_TIMEOUT
        while asyncio.get_running_loop().time() < deadline:
            await self._keeper.refresh()
            if await self._keeper.try_claim(collector_lease(trainer)) is not None:
                return
            await asyncio.sleep(0.1)

    async def hand_over(self, address: str | None) -> list[str]:
        """
        Cancel all steps and send their finished samples to a peer; called once when
        this VM stops.

        :param address: The peer's address; None if there is no peer.
        :returns: Names of the leases that the peer is about to claim.
        """
        leases: list[str] = []
        for (trainer, step), step_run in self._step_runs.items():
            await step_run.stop()
            samples = json.dumps(
                [_sample_to_json(s) for s in step_run.delivery.ready.values()]
            )
            if address is None or step_run.delivery.complete:
                continue
            request = pb.HandOverRequest(
                trainer=trainer, step=step, samples=samples.encode()
            )
            try:
                if await self._peers.hand_over(address, request, _FORWARD_TIMEOUT):
                    leases.append(collector_lease(trainer))
                _log.info("step_handed_over", trainer=trainer, step=step, to=address)
            except PeerUnavailableError:
                _log.warning("step_not_handed_over", trainer=trainer, step=step)
        return leases

    async def finish_running(self) -> None:
        """
        Start no more samples, and wait for those in flight.
        """
        await asyncio.gather(
            *(step_run.drain() for step_run in self._step_runs.values())
        )

    def steps(self) -> list[dict[str, object]]:
        """
        Return the steps collected on this VM, as `status` shows them.
        """
        return [
            {
                "trainer": trainer,
                "step": step,
                "samples": len(step_run.delivery.specs),
                "received": len(step_run.delivery.received),
                "ready": len(step_run.delivery.ready),
            }
            for (trainer, step), step_run in self._step_runs.items()
        ]

    async def _forward(
        self, address: str, trainer: Trainer, operation: str, step: int, payload: bytes
    ) -> OperationAnswer | NotRun:
        request = pb.CollectRequest(
            trainer=trainer.name, operation=operation, step=step, payload=payload
        )
        try:
            reply = await self._peers.collect(
                address, request, _FORWARD_TIMEOUT + _longest_wait(operation)
            )
        except PeerUnavailableError as error:
            # Both operations are idempotent, so an unknown outcome is answered as not
            # run and the caller repeats the operation.
            return NotRun(ResultCode.NO_COLLECTOR, str(error), 0.3)
        if reply.code == ResultCode.DONE:
            return OperationAnswer(reply.payload)
        outcome = outcome_from_code(reply.code, reply.detail, reply.retry_after)
        if isinstance(outcome, NotRun):
            return outcome
        return NotRun(ResultCode.NO_COLLECTOR, outcome.detail, 0.3)

    def _submit(
        self, held: HeldLease, trainer: Trainer, step: int, body: StepBody
    ) -> OperationAnswer | NotRun:
        key = (trainer.name, step)
        known_run = self._step_runs.get(key)
        earlier_delivery = (
            known_run.delivery
            if known_run and known_run.delivery.fence == held.fence
            else None
        )
        delivery = StepDelivery.open(
            held.fence,
            trainer.staleness_bound,
            [sample.spec for sample in body.samples],
            [Slot(group, index) for group, index in body.received],
            before=earlier_delivery,
        )
        if len(delivery.specs) != len(body.samples):
            return NotRun(ResultCode.BAD_REQUEST, "samples: a slot stands twice", 0.0)
        self._trace_opened(
            trainer, step, delivery, reopened=earlier_delivery is not None
        )
        if known_run is None:
            self._step_runs[key] = self._runner.start(
                trainer, step, delivery, body.version
            )
            self._drop_old_steps(trainer.name)
        else:
            known_run.reopen(delivery, body.version)
        for sample in self._inherited.pop(key, []):
            self._step_runs[key].add(sample)
        return _operation_answer(
            {
                "fence": held.fence,
                "cursor": delivery.cursor,
                "missing": len(delivery.missing),
            }
        )

    def _trace_opened(
        self, trainer: Trainer, step: int, delivery: StepDelivery, *, reopened: bool
    ) -> None:
        self._state.trace(
            StepOpened(
                trainer.name,
                step,
                delivery.fence,
                delivery.bound,
                slots=tuple((s.group, s.index) for s in delivery.specs),
                received=tuple((s.group, s.index) for s in delivery.received),
                reopened=reopened,
            )
        )

    def _trace_fetched(
        self, trainer: Trainer, step: int, request: FetchRequest, answer: Batch | Resync
    ) -> None:
        batch = answer if isinstance(answer, Batch) else None
        slots = [(s.slot.group, s.slot.index) for s in batch.samples] if batch else []
        self._state.trace(
            FetchAnswered(
                trainer.name,
                step,
                request.fence,
                request.cursor,
                request.version,
                request.limit,
                number=batch.number if batch else -1,
                slots=tuple(slots),
            )
        )

    def _drop_old_steps(self, trainer: str) -> None:
        steps = sorted(step for name, step in self._step_runs if name == trainer)
        for step in steps[:-_MAX_STEPS]:
            self._step_runs.pop((trainer, step)).cancel()

    async def _fetch(
        self, trainer: Trainer, step: int, body: FetchBody
    ) -> OperationAnswer | NotRun:
        step_run = self._step_runs.get((trainer.name, step))
        if step_run is None:
            return NotRun(ResultCode.RESYNC, "the step is not known here", 0.0)
        step_run.note_version(body.version)
        began = boot_time()
        if body.fence == step_run.delivery.fence:
            await step_run.wait_ready(body.wait_s)
        request = FetchRequest(body.fence, body.cursor, body.version, body.limit)
        answer = step_run.delivery.fetch(request)
        self._trace_fetched(trainer, step, request, answer)
        if isinstance(answer, Resync):
            return NotRun(ResultCode.RESYNC, f"the fence is {answer.fence} now", 0.0)
        step_run.wake()
        self._burn.record_fetch(trainer.name, boot_time() - began)
        for sample in answer.samples:
            oldest = min(r.version for r in sample.runs)
            self._burn.record_sample(trainer.name, body.version - oldest)
        self._metrics.samples.add(len(answer.samples), {"what": "handed_out"})
        return _operation_answer(
            {
                "fence": answer.fence,
                "number": answer.number,
                "remaining": answer.remaining,
                "samples": [_sample_to_json(sample) for sample in answer.samples],
            }
        )


def _longest_wait(operation: str) -> float:
    return 20.0 if operation == "fetch" else 0.0


def _operation_answer(data: dict[str, object]) -> OperationAnswer:
    return OperationAnswer(json.dumps(data).encode())


def _sample_to_json(sample: Sample) -> dict[str, object]:
    return {
        "group": sample.slot.group,
        "index": sample.slot.index,
        "text": sample.text,
        "tokens": sample.tokens,
        "runs": [[run.version, run.first, run.last] for run in sample.runs],
        "finish_reason": sample.finish_reason,
    }


def _sample_from_json(data: dict) -> Sample:
    return Sample(
        Slot(int(data["group"]), int(data["index"])),
        str(data["text"]),
        int(data["tokens"]),
        tuple(VersionRun(*map(int, run)) for run in data["runs"]),
        str(data["finish_reason"]),
    )
