# SPDX-License-Identifier: MIT

"""
Puts a daemon together, runs it, and stops it as planned.
"""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Coroutine

import structlog

from saddledoor.tracing import NodeStarted, StageChanged

from ._clock import boot_time
from ._parts import Parts, build_parts
from ._settings import Settings
from ._state import NodeState
from .http.server import HttpServer, listen, server_config
from .peers.server import start_peer_server
from .process_pauses import ShutdownPoll
from .samples.collector import collector_lease


__all__ = ["Daemon"]

_log = structlog.get_logger()

#: An idle caller's connection is closed after so long, in seconds.
_KEEP_ALIVE = 30
#: How often a stopping VM looks whether it may go on, in seconds.
_DRAIN_STEP = 0.02
#: How long a successor may take to take a collector's lease, in seconds.
_TAKEOVER_WAIT = 3.0
#: How long peers' calls may take when this VM ends, in seconds.
_PEER_GRACE = 1.0


class Daemon:
    """
    One ``saddledoord`` process.
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._state = NodeState.from_settings(settings)
        self._tasks: set[asyncio.Task] = set()
        self._told = asyncio.Event()
        self._told_again = asyncio.Event()

    async def run(self) -> None:
        """
        Serve until a signal stops it.

        :raises OSError: If an address cannot be had.
        """
        self._handle_signals()
        self._state.trace(NodeStarted())
        settings = self._settings
        parts = build_parts(settings, self._state, self._spawn)
        peer_server = await start_peer_server(
            parts.peer_service, settings.grpc, settings.peer_secret
        )
        http = HttpServer(server_config(parts.app, _KEEP_ALIVE))
        listener = listen(settings.http)
        serving = asyncio.create_task(http.serve(sockets=[listener]))
        _log.info("started", vm=settings.vm, http=settings.http, grpc=settings.grpc)
        for loop in parts.loops():
            self._spawn(loop)
        await self._told.wait()
        in_order = await self._drain_unless_told_again(parts)
        http.end(force=not in_order)
        await parts.burn.write(final=True)
        await serving
        await peer_server.stop(_PEER_GRACE if in_order else 0)
        await self._end_loops()
        await parts.close()
        _log.info("stopped")

    async def _drain_unless_told_again(self, parts: Parts) -> bool:
        """
        Drain; false if a second signal ended the VM before.
        """
        drained = asyncio.create_task(self._drain(parts))
        second = asyncio.create_task(self._told_again.wait())
        await asyncio.wait({drained, second}, return_when=asyncio.FIRST_COMPLETED)
        second.cancel()
        in_order = drained.done()
        if not in_order:
            drained.cancel()
            in_flight = parts.in_flight.count
            _log.warning("stopped_by_second_signal", in_flight=in_flight)
        self._state.drain.stopped = True
        self._state.trace(StageChanged(self._state.stage))
        return in_order

    async def _end_loops(self) -> None:
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _spawn(self, work: Coroutine) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._finished)

    def _finished(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        # A loop that died would leave the VM half alive: end it, its peers go on.
        _log.error("task_failed", exc_info=task.exception())
        self._state.drain.request_stop(boot_time())
        self._told.set()

    def _handle_signals(self) -> None:
        def signalled() -> None:
            self._state.drain.request_stop(boot_time())
            if self._state.drain.stop_requested_twice:
                self._told_again.set()
            self._told.set()

        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, signalled)

    async def _drain(self, parts: Parts) -> None:
        """
        The planned stop: unready at once, then finish or hand over everything.
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
            # Fetches are still served meanwhile, so trainers take what is finished.
            async with asyncio.timeout(drain.limit):
                await collectors.finish_running()
        except TimeoutError:
            _log.warning("samples_given_up")
        while not drain.may_hand_over(boot_time(), in_flight.count):
            await asyncio.sleep(_DRAIN_STEP)
        handed_over = await collectors.hand_over(self._successor())
        for name in keeper.names():
            await keeper.release(name)
        # Whoever submits meanwhile must find the successor, which has the samples.
        await keeper.until_taken(handed_over, _TAKEOVER_WAIT)
        drain.handed_over = True
        # Whoever came meanwhile gets its answer too.
        looks = ShutdownPoll()
        await asyncio.sleep(_DRAIN_STEP)
        while not (
            looks.polled_recently() and drain.may_stop(boot_time(), in_flight.count)
        ):
            await asyncio.sleep(_DRAIN_STEP)

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
