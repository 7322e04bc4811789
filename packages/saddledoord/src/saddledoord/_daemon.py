# SPDX-License-Identifier: MIT

"""
Builds and runs a daemon, and drains it at a stop.
"""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Coroutine

import structlog

from saddledoor.tracing import NodeStarted, StageChanged

from ._clock import boot_time
from ._parts import Parts, build_parts, memory_limits
from ._settings import Settings
from ._state import NodeState
from .http.limits import ConnectionLimits
from .http.listener import listen
from .http.server import HttpServer, server_config
from .peers.server import start_peer_server
from .samples.collector import collector_lease
from .supervision import keep_running


__all__ = ["Daemon"]

_log = structlog.get_logger()

#: Idle time after which a caller's connection is closed, in seconds.
_KEEP_ALIVE = 30
#: How often a draining VM checks whether it may proceed, in seconds.
_DRAIN_POLL_INTERVAL = 0.02
#: Longest wait for a successor to claim the leases of collectors, in seconds.
_TAKEOVER_WAIT = 3.0
#: Longest wait for calls of peers at a stop, in seconds.
_PEER_GRACE = 1.0


class Daemon:
    """
    One ``saddledoord`` process.
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._state = NodeState.from_settings(settings)
        self._tasks: set[asyncio.Task] = set()
        self._stop_requested = asyncio.Event()
        self._second_stop_requested = asyncio.Event()

    async def run(self) -> None:
        """
        Serve until a signal stops it.

        :raises OSError: If an address cannot be bound.
        """
        self._handle_signals()
        self._state.trace(NodeStarted())
        settings = self._settings
        parts = build_parts(settings, self._state, self._spawn)
        peer_server = await start_peer_server(
            parts.peer_service, settings.grpc, settings.peer_secret
        )
        spare_memory = memory_limits(settings).alone
        http = HttpServer(
            server_config(parts.app, _KEEP_ALIVE),
            ConnectionLimits.from_machine(spare_memory=spare_memory),
        )
        listener = listen(settings.http)
        serving = asyncio.create_task(http.serve(sockets=[listener]))
        _log.info("started", vm=settings.vm, http=settings.http, grpc=settings.grpc)
        for loop in parts.loops():
            self._spawn(keep_running(loop))
        await self._stop_requested.wait()
        is_drained = await self._drain_unless_interrupted(parts, http)
        http.end(force=not is_drained)
        await parts.burn.write(final=True)
        await serving
        await peer_server.stop(_PEER_GRACE if is_drained else 0)
        await self._cancel_loops()
        await parts.close()
        _log.info("stopped")

    async def _drain_unless_interrupted(self, parts: Parts, http: HttpServer) -> bool:
        """
        Drain; return false if a second signal interrupted it.
        """
        drained = asyncio.create_task(self._drain(parts, http))
        second = asyncio.create_task(self._second_stop_requested.wait())
        await asyncio.wait({drained, second}, return_when=asyncio.FIRST_COMPLETED)
        second.cancel()
        is_drained = drained.done()
        if not is_drained:
            drained.cancel()
            in_flight = parts.in_flight.count
            _log.warning("stopped_by_second_signal", in_flight=in_flight)
        self._state.drain.stopped = True
        self._state.trace(StageChanged(self._state.stage))
        return is_drained

    async def _cancel_loops(self) -> None:
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _spawn(self, work: Coroutine) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        _log.error("task_failed", exc_info=task.exception())

    def _handle_signals(self) -> None:
        def on_signal() -> None:
            self._state.drain.request_stop(boot_time())
            if self._state.drain.stop_requested_twice:
                self._second_stop_requested.set()
            self._stop_requested.set()

        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, on_signal)

    async def _drain(self, parts: Parts, http: HttpServer) -> None:
        """
        Hand over samples and leases, stop accepting, and finish the requests in flight.
        """
        drain = self._state.drain
        self._state.trace(StageChanged(self._state.stage))
        keeper, collectors, in_flight = parts.keeper, parts.collectors, parts.in_flight
        parts.exchange.refresh_own()
        _log.info("draining", in_flight=in_flight.count)
        for name in keeper.names():
            if not name.startswith(collector_lease("")):
                await keeper.release(name)
        try:
            # Fetches are still served, so trainers can fetch finished samples.
            async with asyncio.timeout(drain.limit):
                await collectors.finish_running()
        except TimeoutError:
            _log.warning("samples_given_up")
        while not drain.may_hand_over(boot_time(), in_flight.count):
            http.abort_stalled()
            await asyncio.sleep(_DRAIN_POLL_INTERVAL)
        handed_over = await collectors.hand_over(self._successor())
        for name in keeper.names():
            await keeper.release(name)
        # Submissions must be sent to the successor, which has the samples.
        await keeper.until_taken(handed_over, _TAKEOVER_WAIT)
        drain.handed_over = True
        http.end(force=False)
        while not drain.may_stop(boot_time(), in_flight.count + http.open_connections):
            http.abort_stalled()
            await asyncio.sleep(_DRAIN_POLL_INTERVAL)

    def _successor(self) -> str | None:
        own = self._settings.vm
        serving = [
            m.grpc
            for m in self._state.live_members()
            if m.vm != own and m.state == "serving"
        ]
        for site in self._state.members.sites(boot_time()):
            serving += [] if serving else list(site.peers)
        return random.choice(serving) if serving else None
