# SPDX-License-Identifier: MIT

"""
Injects the faults of a plan into the processes of a run.
"""

from __future__ import annotations

import signal
import subprocess
import threading
import time
from collections import Counter
from dataclasses import dataclass, field

from links import Link, garble_mark

from platform_bed import PlatformBed, until
from platform_documents import MODEL, make_config

from .keys import make_workspaces
from .load import Load
from .observed import ConfigChange, Observations, PlannedStop
from .plan import (
    DESKS,
    EDGES,
    HOLDER,
    JOINER,
    OPERATOR,
    POOL,
    STORE,
    Fault,
    Kind,
    SoakPlan,
)


__all__ = ["Injector"]

#: Time between events of the engines' texts, in seconds; long enough for faults to
#: interrupt a text.
EVENT_INTERVAL = 0.12
#: Time limit for an edge to be ready after its start, in seconds; the platform's rules
#: allow 12 for recovery.
READY_LIMIT = 12.0
#: Pause of a lease holder, in seconds; longer than the lease term, so that another
#: edge takes over the lease.
_HOLDER_PAUSE = 1.2
#: Time before each version that is announced after a holder resumed, in seconds.
_VERSION_INTERVAL = 0.6
#: Time limit for a planned stop, in seconds; the settings allow 8.
_STOP_LIMIT = 12.0

#: Faults of an edge that begin with a process pause.
_PAUSE_KINDS = (Kind.FREEZE, Kind.FREEZE_KILL, Kind.FREEZE_STOP, Kind.THAW_STOP)
#: Time from the resumption of an edge to its stop signal, as a share of its pause.
_STOP_DELAY_SHARE = 0.1
#: Settings of the engine and store stand-ins at the start and at the end of a fault.
_ENGINE_SETTINGS = {
    Kind.HANG: ({"hang_after": 2}, {"hang_after": 0}),
    Kind.CUT: ({"cut_after": 2}, {"cut_after": 0}),
    Kind.LATE_ORDER: ({"late_orders": 1}, {}),
    Kind.WRONG_ID: ({"wrong_id": True}, {"wrong_id": False}),
    Kind.UNSIGNED: ({"unsigned": True}, {"unsigned": False}),
    Kind.REFUSE: ({"fail": 503}, {"fail": 0}),
    Kind.SLOW: ({"delay": 3.0}, {"delay": 0.0}),
}
#: Faults of a link to an engine.
_LINK_KINDS = (Kind.HOLD_ORDERS, Kind.GARBLE_MARK, Kind.POUR)
_INTERIM_RESPONSES = b"HTTP/1.1 100 Continue\r\n\r\n" * 500
#: More appends than can happen during a fault.
_UNLIMITED = 100_000
_STORE_SETTINGS = {
    Kind.BUSY: ({"mode": "busy"}, {"mode": "ok"}),
    Kind.SILENT: ({"mode": "silent"}, {"mode": "ok"}),
    Kind.RESET: ({"mode": "reset"}, {"mode": "ok"}),
    # Limited to jobs and results: a lost answer to the earlier append of a text would
    # prevent the append of the result.
    Kind.LOSE_DONE: (
        {"lose_done": _UNLIMITED, "lose_in": "jobs"},
        {"lose_done": 0, "lose_in": ""},
    ),
    Kind.LOSE_UNDONE: ({"lose_undone": _UNLIMITED, "late_by": 0.0}, {"lose_undone": 0}),
    Kind.LOSE_LATE: ({"lose_undone": _UNLIMITED, "late_by": 1.5}, {"lose_undone": 0}),
}


@dataclass
class Injector:
    """
    Injects the faults of each process from a separate thread.

    :param links: Links to the engines, by name; empty for a run without links.
    :ivar counts: Faults that were injected, by kind.
    :ivar ends: Monotonic end time of each fault, and the fault.
    :ivar errors: Errors of the soak itself, which make its verdict invalid.
    """

    bed: PlatformBed
    load: Load
    observations: Observations
    links: dict[str, Link] = field(default_factory=dict)
    counts: Counter[str] = field(default_factory=Counter)
    ends: list[tuple[float, Fault]] = field(default_factory=list)
    errors: list[BaseException] = field(default_factory=list)
    began: float = field(default_factory=time.monotonic)
    version_lock: threading.Lock = field(default_factory=threading.Lock)
    edge_locks: dict[str, threading.Lock] = field(
        default_factory=lambda: {edge: threading.Lock() for edge in EDGES}
    )

    def start(self, plan: SoakPlan) -> list[threading.Thread]:
        """
        Start one thread for each series; it ends after the repair of its last fault.
        """
        threads = [
            threading.Thread(
                target=self._run_series, args=(plan.of(target),), name=target
            )
            for target in (*EDGES, *POOL, *DESKS, STORE, OPERATOR, HOLDER, JOINER)
        ]
        for thread in threads:
            thread.start()
        return threads

    def _run_series(self, faults: list[Fault]) -> None:
        try:
            for fault in faults:
                time.sleep(max(0.0, self.began + fault.at - time.monotonic()))
                self.counts[fault.kind] += 1
                self._inject(fault)
                self.ends.append((time.monotonic(), fault))
        # `run_seed` raises it after all threads have ended.
        except Exception as error:
            self.errors.append(error)

    def _inject(self, fault: Fault) -> None:
        if fault.kind is Kind.CONFIGURE:
            self.configure()
        elif fault.kind is Kind.NAME_VERSION:
            self._announce_version()
        elif fault.kind is Kind.CRASH:
            self._crash(fault)
        elif fault.kind is Kind.FREEZE_HOLDER:
            self._pause_holder(fault)
        elif fault.kind is Kind.JOIN:
            self._join(fault)
        elif fault.kind is Kind.LOSE_CONNECTIONS:
            self.bed.store_link.disturb("silent")
        elif fault.kind in _LINK_KINDS:
            self._disturb_link(fault)
        elif fault.target in EDGES:
            with self.edge_locks[fault.target]:
                self._inject_edge_fault(fault)
        elif fault.target == STORE:
            before, after = _STORE_SETTINGS[fault.kind]
            self.bed.fake_store(**before)
            time.sleep(fault.duration)
            self.bed.fake_store(**after)
        else:
            before, after = _ENGINE_SETTINGS[fault.kind]
            self.bed.fake_engine(fault.target, **before)
            time.sleep(fault.duration)
            self.bed.fake_engine(fault.target, **after)

    def configure(self) -> None:
        """
        Publish the next configuration, which adds a route to the previous one.
        """
        version = self.load.routes + 1
        self.bed.configure(config_with_routes(version))
        self.observations.configurations.append(ConfigChange(version, time.monotonic()))
        self.load.routes = version

    def _crash(self, fault: Fault) -> None:
        name = fault.target
        self.bed.signal(name, signal.SIGKILL)
        self.bed.wait_end(name)
        time.sleep(fault.duration / 2)
        port = self.bed.engine_ports[name]
        if name in POOL:
            self.bed.start_engine(name, "pool", MODEL, port)
            self.bed.fake_engine(name, pace=EVENT_INTERVAL)
        else:
            self.bed.start_engine(name, "desk", port=port)

    def _disturb_link(self, fault: Fault) -> None:
        link = self.links[fault.target]
        if fault.kind is Kind.HOLD_ORDERS:
            link.hold(b'"opcode"')
        elif fault.kind is Kind.GARBLE_MARK:
            link.damage = garble_mark
        else:
            link.pour = _INTERIM_RESPONSES
        time.sleep(fault.duration)
        link.hold()
        link.damage, link.pour = None, b""

    def _inject_edge_fault(self, fault: Fault) -> None:
        edge = fault.target
        if not self.bed.is_running(edge):
            self.observations.unrecovered.append(f"{edge} ended by itself")
        if fault.kind in _PAUSE_KINDS:
            self.bed.signal(edge, signal.SIGSTOP)
            time.sleep(fault.duration)
        if fault.kind is Kind.FREEZE:
            self._resume(edge)
            return
        if fault.kind in (Kind.KILL, Kind.FREEZE_KILL):
            self.bed.signal(edge, signal.SIGKILL)
            self.bed.wait_end(edge)
        else:
            if fault.kind is Kind.THAW_STOP:
                self._resume(edge)
                time.sleep(_STOP_DELAY_SHARE * fault.duration)
            self._stop(
                edge,
                paused=fault.kind is Kind.FREEZE_STOP,
                second_signal_after=fault.duration
                if fault.kind is Kind.STOP_TWICE
                else None,
            )
        time.sleep(fault.duration / 2)
        self.load.start_counts[edge] += 1
        self.bed.start_edge(edge)
        try:
            until(lambda: self.bed.ready(edge), READY_LIMIT)
        except AssertionError:
            self.observations.unrecovered.append(
                f"{edge} was not ready {READY_LIMIT:g} s after"
            )

    def _join(self, fault: Fault) -> None:
        """
        Add a VM, which reads a log whose oldest records were dropped, and kill it.
        """
        edge = f"{JOINER}-{self.counts[Kind.JOIN]}"
        self.bed.start_edge(edge)
        try:
            until(lambda: self.bed.ready(edge), READY_LIMIT)
        except AssertionError:
            self.observations.unrecovered.append(
                f"{edge} was not ready {READY_LIMIT:g} s after"
            )
        self._announce_version()
        time.sleep(fault.duration)
        self.bed.signal(edge, signal.SIGKILL)
        self.bed.wait_end(edge)

    def _pause_holder(self, fault: Fault) -> None:
        """
        Pause the edge that gave the last order for longer than its lease term.

        Versions are announced during the pause and after it, so that the new lease
        holder gives orders, and the old one would too if it ignored the lease's expiry.
        """
        orders = [
            line
            for line in list(self.observations.engine_lines)
            if line.what == "order" and line.holder in EDGES
        ]
        edge = max(orders, key=lambda line: line.at).holder if orders else EDGES[0]
        with self.edge_locks[edge]:
            self.bed.signal(edge, signal.SIGSTOP)
            time.sleep(_HOLDER_PAUSE)
            self._announce_version()
            time.sleep(fault.duration / 2)
            self._resume(edge)
        for _ in range(2):
            time.sleep(_VERSION_INTERVAL)
            self._announce_version()

    def _announce_version(self) -> None:
        with self.version_lock:
            self.bed.name_version(self.load.version + 1)
            self.load.version += 1

    def _resume(self, edge: str) -> None:
        self.observations.resumes.append((edge, time.monotonic()))
        self.bed.signal(edge, signal.SIGCONT)

    def _stop(self, edge: str, paused: bool, second_signal_after: float | None) -> None:
        """
        Stop an edge as planned; if it is paused, its grace period begins on resumption.

        :param second_signal_after: Time until a second SIGTERM, in seconds; None for
            none.
        """
        self.bed.signal(edge, signal.SIGTERM)
        if paused:
            self._resume(edge)
        began = time.monotonic()
        if second_signal_after is not None:
            time.sleep(second_signal_after)
            self.bed.signal(edge, signal.SIGTERM)
        try:
            status = self.bed.wait_end(edge, _STOP_LIMIT)
        except subprocess.TimeoutExpired:
            status = None
            self.bed.signal(edge, signal.SIGKILL)
            self.bed.wait_end(edge)
        now, start_number = time.monotonic(), self.load.start_counts[edge]
        self.observations.stops.append(
            PlannedStop(edge, start_number, now, status, now - began, paused)
        )


def config_with_routes(version: int) -> dict:
    """
    Return a configuration with the routes ``/r1/`` to ``/rN/``, N being its version.
    """
    config = make_config(version, tenants=make_workspaces(version))
    look_up = config["routes"][0]
    config["routes"] += [
        {**look_up, "name": f"r{number}", "path_prefix": f"/r{number}/"}
        for number in range(1, version + 1)
    ]
    return config
