# SPDX-License-Identifier: MIT

"""
A deployment in virtual time: crash watches of several nodes on one log, engines that
crash and come back, and requests that are sent to them.
"""

from __future__ import annotations

import asyncio
import contextlib
import selectors
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from builders import make_engine_entry
from saddledoor import (
    EngineAttempts,
    EngineEntry,
    Incarnation,
    PoisonStatus,
    SendNeeds,
    decode_record,
)
from saddledoord.cluster.view import ClusterView
from saddledoord.ports import Appended
from saddledoord.serving import (
    engine_choice,
    engine_crash_watch,
    isolation,
    start_claims,
)
from saddledoord.serving.engine_choice import EngineChoice
from saddledoord.serving.engine_crash_watch import EngineCrashWatch


__all__ = ["PATIENT", "CrashModel", "Request"]

#: Time until an append is acknowledged, in seconds.
_APPEND = 0.003
#: Times until the nodes have read a record, in seconds.
_READ = (0.006, 0.03, 0.06)
#: Time for which a crashed engine is away, in seconds.
_AWAY = 0.7
#: Interval at which a waiting request looks for an engine, in seconds.
_POLL = 0.05
#: Number of events after the first one, and the time between two, in seconds.
_EVENTS, _EVENT_GAP = 6, 0.1
#: Time for which an item waits, in seconds. It is sent as by the runner of jobs, which
#: holds it responsible for no crash.
_NEVER = 1e9
#: Time for which a request that is no item waits if it is not given up, in seconds.
PATIENT = 1e6
_CLOCKED = (engine_choice, engine_crash_watch, isolation, start_claims)


class _VirtualSelector(selectors.SelectSelector):
    """
    Advances the time of a loop in place of waiting.
    """

    now = 0.0

    def select(self, timeout: float | None = None):
        if timeout is not None and timeout > 0:
            self.now += timeout
        return super().select(0)


class _VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self.selector = _VirtualSelector()
        super().__init__(self.selector)

    def time(self) -> float:
        return self.selector.now


@dataclass(eq=False)
class Request:
    """
    A request that is sent until an engine has run it.

    :param crash_delay: Time from its start at an engine to the crash that it causes, in
        seconds; None if it causes none.
    :param first_event: Time from its start at an engine to its first event, in seconds.
    :ivar starts: Times of its starts at engines, in seconds.
    :ivar crashes: Times of the crashes that it has caused, in seconds.
    :ivar crashed_after: Times from its starts to crashes of its engines, in seconds.
    :ivar at: Engines that it is at.
    :ivar left_at: When it was last at an engine, in seconds.
    :ivar is_done: Whether an engine has answered it.
    """

    key: str
    crash_delay: float | None = None
    first_event: float = 0.05
    starts: list[float] = field(default_factory=list)
    crashes: list[float] = field(default_factory=list)
    crashed_after: list[float] = field(default_factory=list)
    at: list[EngineEntry] = field(default_factory=list)
    left_at: float = 0.0
    is_done: bool = False


@dataclass(eq=False)
class _Node:
    """
    A node with its own view of the log; the fake of `LeaseLog` and `SharedLog`.
    """

    model: CrashModel
    read_delay: float
    last_read_at: float = float("inf")
    is_store_reachable: bool = True
    read: int = 0
    tasks: set[asyncio.Task] = field(default_factory=set)
    has_ended: bool = False
    observers: list[Callable[[object], None]] = field(default_factory=list)

    def __post_init__(self) -> None:
        view = ClusterView()
        self.watch = EngineCrashWatch(self.model, view.engine_tables, self, self)
        self.choice = EngineChoice(self.model, self.watch)
        self.spawn(self.watch.run())
        self.deliver()

    def spawn(self, work) -> None:
        task = self.model.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def on_record(self, apply: Callable[[object], None]) -> None:
        self.observers.append(apply)

    async def sync(self) -> bool:
        await asyncio.sleep(self.read_delay)
        self.deliver()
        return True

    async def append(
        self, stream, records, answer_timeout=1.0, expected_end=None
    ) -> Appended:
        await asyncio.sleep(_APPEND)
        self.model.append(records)
        return Appended(0)

    def deliver(self) -> None:
        """
        Read the records of the log that are new.
        """
        while self.read < len(self.model.log) and not self.has_ended:
            record = decode_record(self.model.log[self.read])
            self.read += 1
            for observer in self.observers:
                observer(record)

    def end(self) -> None:
        self.has_ended = True
        for task in self.tasks:
            task.cancel()


class CrashModel:
    """
    Nodes, engines and a log; also the fakes of `Engines` and `EnginePool`.

    :ivar disturbed_at: Time of the newest crash of an engine or end of a node, in
        seconds.
    """

    def __init__(self, nodes: int, engines: int) -> None:
        self.loop = _VirtualLoop()
        self._restore = [(module, module.boot_time) for module in _CLOCKED]
        for module in _CLOCKED:
            module.boot_time = self.loop.time
        self.log: list[bytes] = []
        self.disturbed_at = 0.0
        self._choices = 0
        self.engines = [
            make_engine_entry(f"engine-{n}", started_at=0) for n in range(engines)
        ]
        self.is_alive = dict.fromkeys((e.incarnation for e in self.engines), True)
        self._on_crash: dict[Incarnation, list[asyncio.Event]] = {}
        self.nodes: list[_Node] = []
        self.loop.run_until_complete(self._start(nodes))

    @property
    def now(self) -> float:
        return self.loop.time()

    def close(self) -> None:
        for module, original in self._restore:
            module.boot_time = original
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.loop.run_until_complete(asyncio.sleep(0.01))
        self.loop.close()

    def pass_time(self, seconds: float) -> None:
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def send(self, request: Request, node: int, seconds: float = _NEVER) -> None:
        """
        Send a request to a node, which gives it up after some time.
        """
        self.nodes[node].spawn(self._send(request, self.nodes[node], seconds))

    def crash(self, engine: EngineEntry) -> None:
        """
        Crash an engine; it is back after some time as another incarnation.
        """
        if not self.is_alive[engine.incarnation]:
            return
        self.is_alive[engine.incarnation] = False
        self.disturbed_at = self.now
        for event in self._on_crash.pop(engine.incarnation, []):
            event.set()
        self.loop.call_later(_AWAY, self._restart, engine)

    def restart(self, node: int) -> None:
        """
        Kill a node and start it again, without its requests.
        """
        self.nodes[node].end()
        self.disturbed_at = self.now
        self.loop.run_until_complete(self._replace(node))

    def append(self, records: Iterable[bytes]) -> None:
        self.log += records
        for node in self.nodes:
            self.loop.call_later(node.read_delay, node.deliver)

    # ------------------------------------------- fakes of `Engines` and `EnginePool`

    async def has_exited(self, engine: EngineEntry) -> bool:
        await asyncio.sleep(0.001)
        return not self.is_alive[engine.incarnation]

    def choose(
        self, service: str, exclude: Iterable[Incarnation] = (), needs=None
    ) -> EngineEntry | None:
        excluded = set(exclude)
        usable = [
            engine
            for engine in self.engines
            if self.is_alive[engine.incarnation] and engine.incarnation not in excluded
        ]
        self._choices += 1
        return usable[self._choices % len(usable)] if usable else None

    # ------------------------------------------------------------------- internals

    async def _start(self, nodes: int) -> None:
        self.nodes = [_Node(self, delay) for delay in _READ[:nodes]]

    async def _replace(self, node: int) -> None:
        self.nodes[node] = _Node(self, _READ[node])

    def _restart(self, engine: EngineEntry) -> None:
        started_at = round(self.now * 1000)
        entry = make_engine_entry(engine.engine_id, started_at=started_at)
        self.is_alive[entry.incarnation] = True
        self.engines[self.engines.index(engine)] = entry

    async def _send(self, request: Request, node: _Node, seconds: float) -> None:
        ends_at = self.now + seconds
        key = None if seconds == _NEVER else request.key
        attempts = EngineAttempts(10**6, repeatable=True)
        while self.now < ends_at:
            needs = SendNeeds()
            engine = node.choice.choose_new("pool", key, attempts, needs)
            if engine is not None:
                await asyncio.sleep(0.001)
                if await self._run(request, node, engine, key):
                    return
            elif (
                node.watch.poison_status(key) is PoisonStatus.QUARANTINED
                and seconds < 100
            ):
                return
            await asyncio.sleep(_POLL)

    async def _run(
        self, request: Request, node: _Node, engine: EngineEntry, key: str | None
    ) -> bool:
        """
        Run a request at an engine; return whether it was answered.
        """
        if not node.watch.may_start(engine.incarnation, key):
            return False
        with node.watch.track_run(engine.incarnation, key) as run:
            if not self.is_alive[engine.incarnation]:
                run.record_not_started()
                return False
            request.starts.append(self.now)
            request.at.append(engine)
            crashed = asyncio.Event()
            self._on_crash.setdefault(engine.incarnation, []).append(crashed)
            try:
                return await self._generate(request, engine, run, crashed)
            finally:
                request.at.remove(engine)
                request.left_at = self.now

    async def _generate(self, request, engine, run, crashed: asyncio.Event) -> bool:
        if request.crash_delay is not None:
            # The crash comes although the node may end meanwhile.
            self.loop.call_later(request.crash_delay, self._poison, request, engine)
        started_at = self.now
        gaps = [request.first_event, *[_EVENT_GAP] * _EVENTS]
        for gap in gaps:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(gap):
                    await crashed.wait()
            if crashed.is_set():
                request.crashed_after.append(self.now - started_at)
                run.record_interrupted(engine)
                return False
            if request.crash_delay is None:
                run.record_event()
        if request.crash_delay is not None:
            await crashed.wait()
            run.record_interrupted(engine)
            return False
        run.record_completed()
        request.is_done = True
        return True

    def _poison(self, request: Request, engine: EngineEntry) -> None:
        if self.is_alive[engine.incarnation]:
            request.crashes.append(self.now)
            self.crash(engine)
