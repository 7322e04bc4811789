# SPDX-License-Identifier: MIT

"""
A client-side stand-in of the platform's load balancer: picks a random ready VM.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence
from dataclasses import dataclass

import aiohttp


__all__ = ["Balancer", "Reply"]


@dataclass(frozen=True)
class Reply:
    """
    Result of one attempt.

    :param status: HTTP status, or 0 without a whole answer.
    :param connected: Whether a connection was established, so that the request may
        have run.
    """

    vm: str
    status: int
    body: bytes = b""
    retry_after: float = 0.0
    connected: bool = True


class Balancer:
    """
    Sends each request to a random VM that passed the last readiness check.
    """

    def __init__(
        self, session: aiohttp.ClientSession, vms: Sequence[str], seed: int
    ) -> None:
        self._session = session
        self._vms = list(vms)
        self._ready = list(vms)
        self._random = random.Random(seed)

    async def run_checks(self, every: float = 0.5) -> None:
        """
        Check the readiness of every VM periodically.

        :param every: Interval between checks, in seconds.
        """
        while True:
            answers = await asyncio.gather(*(self._is_ready(vm) for vm in self._vms))
            ready = [v for v, ok in zip(self._vms, answers, strict=True) if ok]
            self._ready = ready or self._vms
            await asyncio.sleep(every)

    async def send(
        self,
        method: str,
        path: str,
        *,
        token: str,
        body: bytes = b"",
        key: str = "",
        timeout: float = 30.0,
        vm: str | None = None,
    ) -> Reply:
        """
        Send a request once, to one VM.

        :param timeout: Time limit, in seconds.
        :param vm: HTTP address of the VM; None for a random ready one.
        """
        vm = vm or self._random.choice(self._ready)
        headers = {
            "Authorization": f"Bearer {token}",
            "Content-Type": "application/json",
        }
        if key:
            headers["Idempotency-Key"] = key
        limit = aiohttp.ClientTimeout(total=timeout, sock_connect=1.0)
        try:
            async with self._session.request(
                method, f"http://{vm}{path}", data=body, headers=headers, timeout=limit
            ) as response:
                data = await response.read()
                retry_after = float(response.headers.get("Retry-After", 0))
                return Reply(vm, response.status, data, retry_after)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return Reply(vm, 0, connected=False)
        except (TimeoutError, aiohttp.ClientError):
            return Reply(vm, 0)

    async def _is_ready(self, vm: str) -> bool:
        limit = aiohttp.ClientTimeout(total=1.0)
        try:
            async with self._session.get(
                f"http://{vm}/readyz", timeout=limit
            ) as response:
                return response.status == 200
        except (TimeoutError, aiohttp.ClientError):
            return False
