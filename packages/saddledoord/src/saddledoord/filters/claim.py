# SPDX-License-Identifier: MIT

"""
Claim: let an unrepeatable call with a key run at most once, wherever it arrives.
"""

from __future__ import annotations

import asyncio
import uuid
from collections import OrderedDict
from collections.abc import Awaitable, Callable

from saddledoor import (
    ClaimRelease,
    KeyClaim,
    NotRun,
    OutcomeUnknown,
    ResultCode,
    key_digest,
    partition_of,
    rendezvous,
)

from .._clock import boot_time
from .._state import NodeState
from ..backends.client import CallAnswer
from ..log.claims import ClaimLog
from ..peers.client import PeerClient, PeerUnavailableError
from .call import ServiceJob


__all__ = ["KeyLedger", "claimed_call"]

Result = CallAnswer | NotRun | OutcomeUnknown
Run = Callable[[ServiceJob], Awaitable[Result]]

#: Outcomes of this process's own claims that are kept, a count.
_LEDGER_SIZE = 5_000
#: Claims that a call makes while earlier owners give the key back, a count.
_MAX_CLAIMS = 2
#: Longest wait for a writer of claims, in seconds.
_CLAIM_TIMEOUT = 4.0


class KeyLedger:
    """
    What became of the claims that this process owns.
    """

    def __init__(self) -> None:
        self._outcomes: OrderedDict[str, asyncio.Future] = OrderedDict()

    def open(self, claim_id: str) -> asyncio.Future:
        """
        Begin a claim; its future gets the outcome.
        """
        future = asyncio.get_running_loop().create_future()
        self._outcomes[claim_id] = future
        while len(self._outcomes) > _LEDGER_SIZE:
            self._outcomes.popitem(last=False)
        return future

    async def outcome(self, claim_id: str, wait: float) -> Result | None:
        """
        Return what became of a claim, or none if this process does not know it.
        """
        future = self._outcomes.get(claim_id)
        if future is None:
            return None
        try:
            return await asyncio.wait_for(asyncio.shield(future), max(0.0, wait))
        except TimeoutError:
            detail = "the first request with this key is still running"
            return OutcomeUnknown(ResultCode.OUTCOME_UNKNOWN, detail)


async def claimed_call(
    job: ServiceJob,
    run: Run,
    state: NodeState,
    claims: ClaimLog,
    peers: PeerClient,
    ledger: KeyLedger,
) -> Result:
    """
    Run the call if its key is new; otherwise tell what the first one came to.
    """
    digest = key_digest(job.partner, job.service, job.key)
    partition = partition_of(digest, state.deployment.limits.claim_partitions)
    result: Result = _undecided()
    for _ in range(_MAX_CLAIMS):
        claim = KeyClaim(digest, uuid.uuid4().hex, state.owner)
        future = ledger.open(claim.claim_id)
        # What others hear if this task is cancelled while the call is out.
        result = OutcomeUnknown(ResultCode.OUTCOME_UNKNOWN, "the request was cut off")
        try:
            owner = await _ask(partition, claim, state, claims, peers)
            if owner is None:
                result = _undecided()
            elif owner.claim_id == claim.claim_id:
                result = await run(job)
            else:
                result = await _outcome_of(owner, job, state, peers, ledger)
        finally:
            future.set_result(result)
        if owner is not None and owner.claim_id != claim.claim_id:
            if isinstance(result, NotRun):
                continue
            return result
        if isinstance(result, NotRun):
            # This process decided not to act, so it alone may free the key.
            await claims.release(partition, ClaimRelease(digest, claim.claim_id))
        return result
    return result


def _undecided() -> NotRun:
    return NotRun(ResultCode.LOG_AWAY, "the key could not be claimed in the log", 1.0)


async def _ask(
    partition: int,
    claim: KeyClaim,
    state: NodeState,
    claims: ClaimLog,
    peers: PeerClient,
) -> KeyClaim | None:
    # One writer per partition in a data centre gathers claims into few appends. That
    # two nodes see two writers costs an append more, never a wrong verdict.
    writer = rendezvous(f"claims/{partition}", state.live_vms())
    member = state.members.entry(writer) if writer else None
    if member is None or writer == state.settings.vm:
        return await claims.claim(partition, claim)
    try:
        return await peers.claim(member.grpc, partition, claim, _CLAIM_TIMEOUT)
    except PeerUnavailableError:
        return await claims.claim(partition, claim)


async def _outcome_of(
    owner: KeyClaim,
    job: ServiceJob,
    state: NodeState,
    peers: PeerClient,
    ledger: KeyLedger,
) -> Result:
    wait = max(0.0, job.deadline - boot_time())
    spent = OutcomeUnknown(
        ResultCode.KEY_SPENT, "the key was used and its VM is not there any more"
    )
    incarnation, _, address = owner.owner.partition("@")
    if incarnation == state.incarnation:
        return await ledger.outcome(owner.claim_id, wait) or spent
    try:
        return await peers.outcome(address, owner.claim_id, wait) or spent
    except PeerUnavailableError:
        return spent
