# SPDX-License-Identifier: MIT

"""
The parts of a daemon and their construction.
"""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from functools import partial

from saddledoor import MemoryBudget, MemoryLimits

from ._pipeline import Pipeline
from ._settings import Settings
from ._state import NodeState
from .backends.budgets import RetryBudgets
from .backends.client import BackendClient
from .backends.control import WeightController
from .backends.dispatch import Dispatcher
from .backends.watcher import Watcher
from .cluster.lease_snapshots import LeaseSnapshotWriter
from .filters.claim import KeyLedger
from .http.app import build_app
from .http.in_flight import InFlight
from .http.status import status_reader
from .log.claims import ClaimLog
from .log.client import LogClient
from .log.follower import StreamFollower, follow_config
from .log.lease_stream import LeaseStream
from .log.leases import LeaseKeeper
from .observability.burn_feed import BurnFeed
from .observability.daemon_metrics import Metrics
from .peers.client import PeerClient
from .peers.exchange import Exchange
from .peers.server import PeerService
from .peers.vm_list import VmListReader
from .samples.collector import Collectors
from .samples.runner import SampleRunner
from .supervision import Loop


__all__ = ["Parts", "build_parts", "memory_limits"]

#: Memory that the process uses without any request, in bytes.
_PROCESS_MEMORY = 88 << 20


@dataclass(frozen=True)
class Parts:
    """
    The parts that a daemon runs and closes.
    """

    backends: BackendClient
    peers: PeerClient
    config_stream: StreamFollower
    lease_stream: LeaseStream
    lease_snapshots: LeaseSnapshotWriter
    keeper: LeaseKeeper
    dispatcher: Dispatcher
    watcher: Watcher
    exchange: Exchange
    vm_list: VmListReader
    claims: ClaimLog
    burn: BurnFeed
    collectors: Collectors
    control: WeightController
    in_flight: InFlight
    app: Callable
    peer_service: PeerService

    def loops(self) -> list[Loop]:
        """
        Return the loops that run until the VM stops.
        """
        return [
            self.config_stream.run,
            self.lease_stream.run,
            self.lease_snapshots.run,
            self.keeper.run,
            self.control.run,
            self.watcher.run,
            self.dispatcher.grant_free_slots,
            self.claims.run_releases,
            self.burn.run,
            partial(self.vm_list.run, self.backends.session),
            self.exchange.run_pulls,
            self.exchange.run_summaries,
        ]

    async def close(self) -> None:
        """
        Close the connections to peers and backend servers.
        """
        await self.peers.close()
        await self.backends.close()


def build_parts(
    settings: Settings, state: NodeState, spawn: Callable[[Coroutine], None]
) -> Parts:
    """
    Build the parts; needs a running event loop, but starts none of them.

    :param spawn: Runs a coroutine in the background.
    """
    metrics = Metrics()
    backends = BackendClient.open()
    peers = PeerClient(settings.peer_secret)
    in_flight = InFlight(state.trace)
    budgets = RetryBudgets(state)
    timeout = settings.timings.log_timeout
    log = LogClient(backends.session, settings.log_service, timeout, metrics)
    lease_stream = LeaseStream(log, state)
    keeper = LeaseKeeper(log, state, lease_stream)
    lease_snapshots = LeaseSnapshotWriter(
        lease_stream, settings.timings.log_retention, settings.timings.lease_term
    )
    dispatcher = Dispatcher(state)
    watcher = Watcher(state, backends)
    vm_list = VmListReader(state, peers)
    exchange = Exchange(
        state, peers, watcher, metrics, keeper.names, vm_list.request_refresh
    )
    claims = ClaimLog(log, state, metrics)
    ledger = KeyLedger()
    burn = BurnFeed(state, log)
    runner = SampleRunner(state, dispatcher, backends, peers, budgets, metrics)
    collectors = Collectors(state, keeper, peers, runner, metrics, burn)
    pipeline = Pipeline(
        state, dispatcher, backends, peers, claims, ledger, budgets, metrics
    )
    status = status_reader(state, collectors, dispatcher)
    memory = MemoryBudget(memory_limits(settings))
    _gauges(metrics, state, in_flight, dispatcher, memory)
    return Parts(
        backends=backends,
        peers=peers,
        config_stream=follow_config(log, state, spawn),
        lease_stream=lease_stream,
        lease_snapshots=lease_snapshots,
        keeper=keeper,
        dispatcher=dispatcher,
        watcher=watcher,
        exchange=exchange,
        vm_list=vm_list,
        claims=claims,
        burn=burn,
        collectors=collectors,
        control=WeightController(state, keeper, backends, log, metrics),
        in_flight=in_flight,
        app=build_app(
            state,
            pipeline,
            collectors,
            metrics,
            burn,
            in_flight,
            status,
            memory,
        ),
        peer_service=PeerService(
            state,
            exchange,
            claims,
            ledger,
            collectors,
            dispatcher,
            backends,
            budgets,
            in_flight,
            metrics,
            pipeline.run_issued,
        ),
    )


def memory_limits(settings: Settings) -> MemoryLimits:
    """
    Return the limits of the memory held for callers.
    """
    return MemoryLimits.from_machine(settings.memory_mb << 20, _PROCESS_MEMORY)


def _gauges(
    metrics: Metrics,
    state: NodeState,
    in_flight: InFlight,
    dispatcher: Dispatcher,
    memory: MemoryBudget,
) -> None:
    metrics.gauge(
        "saddledoor_config_offset",
        lambda: state.active_config.offset,
        "Offset of the configuration in force",
    )
    metrics.gauge("saddledoor_in_flight", lambda: in_flight.count, "Requests in flight")
    metrics.gauge(
        "saddledoor_client_memory_bytes", lambda: memory.held, "Memory held for callers"
    )
    metrics.gauge(
        "saddledoor_requests_without_memory",
        lambda: memory.refused,
        "Requests that got no memory",
    )
    metrics.gauge("saddledoor_waiting", dispatcher.waiting, "Requests that wait")
