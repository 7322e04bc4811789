# SPDX-License-Identifier: MIT

"""
Claim: run an unrepeatable call with a key at most once, whichever VM receives it.
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

#: Most outcomes of this process's own claims in memory.
_MAX_OUTCOMES = 5_000
#: Most claims for one call; a further one is made if an earlier owner releases the key.
_MAX_CLAIMS = 2
#: Timeout of a claim at a peer, in seconds.
_CLAIM_TIMEOUT = 4.0


class KeyLedger:
    """
    Outcomes of the claims that this process owns.
    """

    def __init__(self) -> None:
        self._outcomes: OrderedDict[str, asyncio.Future] = OrderedDict()

    def open(self, claim_id: str) -> asyncio.Future:
        """
        Register a claim, and return the future of its outcome.
        """
        future = asyncio.get_running_loop().create_future()
        self._outcomes[claim_id] = future
        while len(self._outcomes) > _MAX_OUTCOMES:
            self._outcomes.popitem(last=False)
        return future

    async def outcome(self, claim_id: str, wait: float) -> Result | None:
        """
        Return the outcome of a claim; None if this process does not know the claim.

        :param wait: Longest wait for the outcome, in seconds.
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
    Run the call if its key is new; otherwise return the outcome of the first call.
    """
    digest = key_digest(job.partner, job.service, job.key)
    partition = partition_of(digest, state.deployment.limits.claim_partitions)
    result: Result = _claim_failed()
    for _ in range(_MAX_CLAIMS):
        claim = KeyClaim(digest, uuid.uuid4().hex, state.owner)
        future = ledger.open(claim.claim_id)
        # The outcome for waiting calls if this task is cancelled during the call.
        result = OutcomeUnknown(ResultCode.OUTCOME_UNKNOWN, "the request was cut off")
        try:
            owner = await _claim(partition, claim, state, claims, peers)
            if owner is None:
                result = _claim_failed()
            elif owner.claim_id == claim.claim_id:
                result = await run(job)
            else:
                result = await _outcome_of_owner(owner, job, state, peers, ledger)
        finally:
            future.set_result(result)
        if owner is not None and owner.claim_id != claim.claim_id:
            if isinstance(result, NotRun):
                continue
            return result
        if isinstance(result, NotRun):
            # This process owns the claim and has not run the call: release the key.
            await claims.release(partition, ClaimRelease(digest, claim.claim_id))
        return result
    return result


def _claim_failed() -> NotRun:
    return NotRun(ResultCode.LOG_AWAY, "the key could not be claimed in the log", 1.0)


async def _claim(
    partition: int,
    claim: KeyClaim,
    state: NodeState,
    claims: ClaimLog,
    peers: PeerClient,
) -> KeyClaim | None:
    # One writer per partition in a data centre batches claims into few appends. If
    # VMs choose different writers there are more appends; the log's order still
    # decides.
    writer = rendezvous(f"claims/{partition}", state.live_vms())
    member = state.members.entry(writer) if writer else None
    if member is None or writer == state.settings.vm:
        return await claims.claim(partition, claim)
    try:
        return await peers.claim(member.grpc, partition, claim, _CLAIM_TIMEOUT)
    except PeerUnavailableError:
        return await claims.claim(partition, claim)


async def _outcome_of_owner(
    owner: KeyClaim,
    job: ServiceJob,
    state: NodeState,
    peers: PeerClient,
    ledger: KeyLedger,
) -> Result:
    wait = max(0.0, job.deadline - boot_time())
    key_spent = OutcomeUnknown(
        ResultCode.KEY_SPENT, "the key was used and its VM is not there any more"
    )
    owner_incarnation, _, address = owner.owner.partition("@")
    if owner_incarnation == state.incarnation:
        return await ledger.outcome(owner.claim_id, wait) or key_spent
    try:
        return await peers.outcome(address, owner.claim_id, wait) or key_spent
    except PeerUnavailableError:
        return key_spent
