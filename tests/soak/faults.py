# SPDX-License-Identifier: MIT

"""
Does to the processes of a run what its plan says.
"""

from __future__ import annotations

import signal
import subprocess
import threading
import time
from collections import Counter
from dataclasses import dataclass, field

from platform_bed import PlatformBed, until
from platform_documents import MODEL, make_config

from .keys import tenants_of
from .load import Load
from .observed import Configured, Observed, Stopped
from .plan import DESKS, EDGES, HOLDER, OPERATOR, POOL, STORE, Fault, Kind, SoakPlan


__all__ = ["Injector"]

#: Pace of the engines' texts, so that faults meet them half made, in seconds.
PACE = 0.12
#: How soon an edge has to be ready after its start, in seconds: the platform's rules
#: allow 12 for everything to be served again.
READY_WITHIN = 12.0
#: Longer than the term of the lease for orders, in seconds, so that it passes on.
_OUTLAST = 1.2
#: Between two versions that are named after a holder was continued, in seconds.
_AWAKE = 0.6
#: How long a planned stop is waited for, in seconds; the settings allow 8.
_STOP_WAIT = 12.0

#: Faults of an edge that begin with a standstill.
_FREEZING = (Kind.FREEZE, Kind.FREEZE_KILL, Kind.FREEZE_STOP, Kind.THAW_STOP)
#: How soon after an edge goes on it is told to stop, as a share of its standstill, so
#: that the plan draws it: 20 to 50 ms.
_STOP_AFTER = 0.1
#: What engines and the store are told when a fault begins, and when it ends.
_AT_ENGINES = {
    Kind.HANG: ({"hang_after": 2}, {"hang_after": 0}),
    Kind.CUT: ({"cut_after": 2}, {"cut_after": 0}),
    Kind.LATE_ORDER: ({"late_orders": 1}, {}),
    Kind.WRONG_ID: ({"wrong_id": True}, {"wrong_id": False}),
    Kind.UNSIGNED: ({"unsigned": True}, {"unsigned": False}),
    Kind.REFUSE: ({"fail": 503}, {"fail": 0}),
    Kind.SLOW: ({"delay": 3.0}, {"delay": 0.0}),
}
#: More appends than come while a fault lasts, a count.
_ALL = 100_000
_AT_STORE = {
    Kind.BUSY: ({"mode": "busy"}, {"mode": "ok"}),
    Kind.SILENT: ({"mode": "silent"}, {"mode": "ok"}),
    Kind.RESET: ({"mode": "reset"}, {"mode": "ok"}),
    # Only of jobs and results: a lost answer about their texts would come before.
    Kind.LOSE_DONE: (
        {"lose_done": _ALL, "lose_in": "jobs"},
        {"lose_done": 0, "lose_in": ""},
    ),
    Kind.LOSE_UNDONE: ({"lose_undone": _ALL, "late_by": 0.0}, {"lose_undone": 0}),
    Kind.LOSE_LATE: ({"lose_undone": _ALL, "late_by": 1.5}, {"lose_undone": 0}),
}


@dataclass
class Injector:
    """
    Runs the series of each process in a thread of its own.

    :ivar counts: Faults that were injected, by kind.
    :ivar ends: When each fault ended, monotonic, and which.
    :ivar broken: Errors of the soak itself, which make a run worthless.
    """

    bed: PlatformBed
    load: Load
    seen: Observed
    counts: Counter[str] = field(default_factory=Counter)
    ends: list[tuple[float, Fault]] = field(default_factory=list)
    broken: list[BaseException] = field(default_factory=list)
    began: float = field(default_factory=time.monotonic)
    naming: threading.Lock = field(default_factory=threading.Lock)
    locks: dict[str, threading.Lock] = field(
        default_factory=lambda: {edge: threading.Lock() for edge in EDGES}
    )

    def start(self, plan: SoakPlan) -> list[threading.Thread]:
        """
        Start all series; they end by themselves, with everything whole again.
        """
        threads = [
            threading.Thread(target=self._play, args=(plan.of(target),), name=target)
            for target in (*EDGES, *POOL, *DESKS, STORE, OPERATOR, HOLDER)
        ]
        for thread in threads:
            thread.start()
        return threads

    def _play(self, faults: list[Fault]) -> None:
        try:
            for fault in faults:
                time.sleep(max(0.0, self.began + fault.at - time.monotonic()))
                self.counts[fault.kind] += 1
                self._inject(fault)
                self.ends.append((time.monotonic(), fault))
        # Handed over: the run ends with it.
        except Exception as error:
            self.broken.append(error)

    def _inject(self, fault: Fault) -> None:
        if fault.kind is Kind.CONFIGURE:
            self.configure()
        elif fault.kind is Kind.NAME_VERSION:
            self._name_version()
        elif fault.kind is Kind.CRASH:
            self._crash(fault)
        elif fault.kind is Kind.FREEZE_HOLDER:
            self._freeze_holder(fault)
        elif fault.target in EDGES:
            with self.locks[fault.target]:
                self._harm_edge(fault)
        elif fault.target == STORE:
            before, after = _AT_STORE[fault.kind]
            self.bed.fake_store(**before)
            time.sleep(fault.lasts)
            self.bed.fake_store(**after)
        else:
            before, after = _AT_ENGINES[fault.kind]
            self.bed.fake_engine(fault.target, **before)
            time.sleep(fault.lasts)
            self.bed.fake_engine(fault.target, **after)

    def configure(self) -> None:
        """
        Put the next configuration, which has a route more than the one before.
        """
        version = self.load.routes + 1
        self.bed.configure(config_with_routes(version))
        self.seen.configured.append(Configured(version, time.monotonic()))
        self.load.routes = version

    def _crash(self, fault: Fault) -> None:
        name = fault.target
        self.bed.signal(name, signal.SIGKILL)
        self.bed.wait_end(name)
        time.sleep(fault.lasts / 2)
        port = self.bed.engine_ports[name]
        if name in POOL:
            self.bed.start_engine(name, "pool", MODEL, port)
            self.bed.fake_engine(name, pace=PACE)
        else:
            self.bed.start_engine(name, "desk", port=port)

    def _harm_edge(self, fault: Fault) -> None:
        edge = fault.target
        if not self.bed.is_running(edge):
            self.seen.never.append(f"{edge} ended by itself")
        if fault.kind in _FREEZING:
            self.bed.signal(edge, signal.SIGSTOP)
            time.sleep(fault.lasts)
        if fault.kind is Kind.FREEZE:
            self._thaw(edge)
            return
        if fault.kind in (Kind.KILL, Kind.FREEZE_KILL):
            self.bed.signal(edge, signal.SIGKILL)
            self.bed.wait_end(edge)
        else:
            if fault.kind is Kind.THAW_STOP:
                self._thaw(edge)
                time.sleep(_STOP_AFTER * fault.lasts)
            self._stop(
                edge,
                frozen=fault.kind is Kind.FREEZE_STOP,
                again_after=fault.lasts if fault.kind is Kind.STOP_TWICE else None,
            )
        time.sleep(fault.lasts / 2)
        self.load.lives[edge] += 1
        self.bed.start_edge(edge)
        try:
            until(lambda: self.bed.ready(edge), READY_WITHIN)
        except AssertionError:
            self.seen.never.append(f"{edge} was not ready {READY_WITHIN:g} s after")

    def _freeze_holder(self, fault: Fault) -> None:
        """
        Freeze the edge that gave the last order for longer than its lease lasts.

        Versions are named meanwhile and afterwards, so that its successor gives orders,
        and the frozen one would go on if it still believed to hold the lease.
        """
        orders = [line for line in list(self.seen.engines) if line.what == "order"]
        edge = max(orders, key=lambda line: line.at).holder if orders else EDGES[0]
        with self.locks[edge]:
            self.bed.signal(edge, signal.SIGSTOP)
            time.sleep(_OUTLAST)
            self._name_version()
            time.sleep(fault.lasts / 2)
            self._thaw(edge)
        for _ in range(2):
            time.sleep(_AWAKE)
            self._name_version()

    def _name_version(self) -> None:
        with self.naming:
            self.bed.name_version(self.load.version + 1)
            self.load.version += 1

    def _thaw(self, edge: str) -> None:
        self.seen.thaws.append((edge, time.monotonic()))
        self.bed.signal(edge, signal.SIGCONT)

    def _stop(self, edge: str, frozen: bool, again_after: float | None) -> None:
        """
        Stop an edge as planned; if it was frozen, its grace begins when it goes on.

        :param again_after: When it is told a second time, in seconds.
        """
        self.bed.signal(edge, signal.SIGTERM)
        if frozen:
            self._thaw(edge)
        began = time.monotonic()
        if again_after is not None:
            time.sleep(again_after)
            self.bed.signal(edge, signal.SIGTERM)
        try:
            status = self.bed.wait_end(edge, _STOP_WAIT)
        except subprocess.TimeoutExpired:
            status = None
            self.bed.signal(edge, signal.SIGKILL)
            self.bed.wait_end(edge)
        now, life = time.monotonic(), self.load.lives[edge]
        self.seen.stopped.append(Stopped(edge, life, now, status, now - began, frozen))


def config_with_routes(version: int) -> dict:
    """
    Return a configuration with the routes ``/r1/`` up to that of its version.
    """
    config = make_config(version, tenants=tenants_of(version))
    look_up = config["routes"][0]
    config["routes"] += [
        {**look_up, "name": f"r{number}", "path_prefix": f"/r{number}/"}
        for number in range(1, version + 1)
    ]
    return config
