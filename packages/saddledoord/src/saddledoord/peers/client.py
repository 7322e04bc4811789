# SPDX-License-Identifier: MIT

"""
gRPC client of other daemons, with persistent channels.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import grpc

from saddledoor import KeyClaim, NotRun, OutcomeUnknown, Part, ResultCode

from ..backends.client import CallAnswer
from ..filters.attempt import CompletionJob
from ..wire import peer_pb2 as pb
from ..wire.peer_pb2_grpc import PeerStub
from .wire_types import (
    answer_from_wire,
    outcome_from_code,
    part_from_wire,
    work_to_wire,
)


__all__ = ["MAX_MESSAGE_BYTES", "PeerUnavailableError", "PeerClient"]

#: Largest message between peers, in bytes.
MAX_MESSAGE_BYTES = 64_000_000
#: Key of the metadata that carries the deployment's peer secret.
SECRET_METADATA_KEY = "saddledoor-peer"

#: Longest time that calls on a closing channel may still take, in seconds.
_CLOSE_GRACE = 60.0

_OPTIONS = [
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.enable_retries", 0),
    ("grpc.initial_reconnect_backoff_ms", 200),
    ("grpc.max_reconnect_backoff_ms", 1000),
    ("grpc.use_local_subchannel_pool", 1),
]


class PeerUnavailableError(Exception):
    """
    A peer did not respond; it may still have processed the request.
    """


class PeerClient:
    """
    Client with one channel per peer address.

    :param secret: Secret that authenticates the daemons of a deployment to each other.
    """

    def __init__(self, secret: str) -> None:
        self._metadata = ((SECRET_METADATA_KEY, secret),)
        self._channels: dict[str, grpc.aio.Channel] = {}
        self._stubs: dict[str, PeerStub] = {}

    async def close(self) -> None:
        for channel in self._channels.values():
            await channel.close()

    async def close_channels_except(self, addresses: set[str]) -> None:
        """
        Close the channels to other addresses after their calls have ended.
        """
        stale = set(self._channels) - addresses
        channels = [self._channels.pop(address) for address in stale]
        for address in stale:
            del self._stubs[address]
        await asyncio.gather(*(channel.close(_CLOSE_GRACE) for channel in channels))

    async def exchange(
        self, address: str, request: pb.ExchangeRequest, timeout: float
    ) -> pb.ExchangeReply:
        return await self._unary(address, "Exchange", request, timeout)

    async def summary(
        self, address: str, request: pb.SummaryRequest, timeout: float
    ) -> pb.SummaryReply:
        return await self._unary(address, "Summary", request, timeout)

    async def claim(
        self, address: str, partition: int, claim: KeyClaim, timeout: float
    ) -> KeyClaim | None:
        """
        Ask a writer of claims for the owner of a key; None if the log is unavailable.

        :raises PeerUnavailableError: If the writer did not respond.
        """
        request = pb.ClaimRequest(
            partition=partition,
            key=claim.key,
            claim_id=claim.claim_id,
            owner=claim.owner,
        )
        reply = await self._unary(address, "Claim", request, timeout)
        if not reply.decided:
            return None
        return KeyClaim(claim.key, reply.claim_id, reply.owner)

    async def outcome(
        self, address: str, claim_id: str, wait: float
    ) -> CallAnswer | NotRun | OutcomeUnknown | None:
        """
        Ask the owner of a key for its outcome; None if the owner does not know it.

        :param wait: Longest wait for the outcome, in seconds.
        :raises PeerUnavailableError: If the owner did not respond.
        """
        request = pb.OutcomeRequest(claim_id=claim_id, wait_s=wait)
        reply = await self._unary(address, "Outcome", request, wait + 1.0)
        return answer_from_wire(reply)

    async def call(
        self, address: str, work: pb.ServiceWork, timeout: float
    ) -> CallAnswer | NotRun | OutcomeUnknown | None:
        """
        Run a call on the VM that issued its key.

        :raises PeerUnavailableError: If that VM did not respond; the call may have run.
        """
        return answer_from_wire(await self._unary(address, "Call", work, timeout))

    async def collect(
        self, address: str, request: pb.CollectRequest, timeout: float
    ) -> pb.CollectReply:
        """
        Forward a trainer's operation to its collector.
        """
        return await self._unary(address, "Collect", request, timeout)

    async def hand_over(
        self, address: str, request: pb.HandOverRequest, timeout: float
    ) -> bool:
        """
        Hand finished samples over to the next collector.

        :returns: Whether it accepted them.
        """
        reply = await self._unary(address, "HandOver", request, timeout)
        return reply.taken

    async def complete(
        self, address: str, job: CompletionJob, timeout: float
    ) -> AsyncIterator[Part | NotRun | OutcomeUnknown]:
        """
        Run a completion on an engine of the peer's data centre.

        :param timeout: Longest wait for a slot there, in seconds; the stream itself has
            no timeout.
        """
        work = work_to_wire(job, timeout)
        try:
            async for part in self._stub(address).Complete(
                work, metadata=self._metadata
            ):
                yield part_from_wire(part)
        except grpc.aio.AioRpcError as error:
            detail = f"peer {address}: {error.code().name}"
            yield outcome_from_code(ResultCode.ANSWER_CUT, detail, 0.0)

    def _stub(self, address: str) -> PeerStub:
        if address not in self._stubs:
            channel = grpc.aio.insecure_channel(address, options=_OPTIONS)
            self._channels[address] = channel
            self._stubs[address] = PeerStub(channel)
        return self._stubs[address]

    async def _unary(self, address: str, method: str, request, timeout: float):
        call = getattr(self._stub(address), method)
        try:
            return await call(request, timeout=timeout, metadata=self._metadata)
        except grpc.aio.AioRpcError as error:
            raise PeerUnavailableError(f"{address}: {error.code().name}") from None
