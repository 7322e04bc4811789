# SPDX-License-Identifier: MIT

"""
The class of a guard, and the paths that rows use.
"""

from __future__ import annotations

from dataclasses import dataclass


__all__ = [
    "RETRIES",
    "ENGINE_RETRIES",
    "CLOCK",
    "COLD_ENGINES",
    "DAEMON",
    "CRASHING",
    "DECISIONS",
    "DUTY",
    "DUTY_LEASE",
    "CRASH_FOLD",
    "CRASH_WATCH",
    "EDGE_READERS",
    "EDGE_CROWDS",
    "EVENT_STREAM",
    "MEMORY_BUDGET",
    "EDGE_RESIDENCY",
    "EVACUATIONS",
    "FOLLOW",
    "LEASE_HISTORY",
    "LEASE_STREAM",
    "LOG_HISTORY",
    "Guard",
    "GARBLED_ANSWERS",
    "GARBLED_BYTES",
    "HTTP_SERVER",
    "ITEMS",
    "JOBS",
    "JOB_READERS",
    "JOB_RUNNER",
    "KEYS",
    "LATE_ANSWERS",
    "LOG_FRESHNESS",
    "LOST_CONNECTIONS",
    "LIBRARY",
    "INCARNATIONS",
    "PASS_THROUGH",
    "PLACEMENT",
    "POOL",
    "PROOFS",
    "REGISTRY",
    "REQUESTS",
    "RESIDENCY",
    "RESIDENCY_OF_ITEMS",
    "WORK_SHARES",
    "PROCESS_PAUSES",
    "PLANNED_STOPS",
    "SCALING",
    "SCALING_CONTROLLER",
    "SEND_AFTER_PAUSE",
    "SEND_DEADLINE",
    "SEND_GATE",
    "UNREADABLE",
    "USAGE",
    "STORE_WATCH",
    "SUPERVISION",
    "OWN_WITHOUT_END",
    "WEIGHTS",
    "WITHOUT_END",
    "WORKSPACES",
]

#: Source folders.
LIBRARY = "packages/saddledoor/src/saddledoor"
DAEMON = "packages/saddledoord/src/saddledoord"
#: Test files.
JOBS = "tests/adapter/test_edge_jobs.py"
ITEMS = "tests/adapter/test_edge_items.py"
OWN_WITHOUT_END = "tests/test_bytes_without_end.py"
WITHOUT_END = "tests/adapter/test_edge_bytes_without_end.py"
WEIGHTS = "tests/adapter/test_edge_weights.py"
EDGE_CROWDS = "tests/adapter/test_edge_crowds.py"
MEMORY_BUDGET = "tests/test_memory_budget.py"
REQUESTS = "tests/adapter/test_edge_requests.py"
GARBLED_BYTES = "tests/adapter/test_edge_garbled_bytes.py"
GARBLED_ANSWERS = "tests/adapter/test_garbled_answers.py"
SUPERVISION = "tests/test_supervision.py"
LATE_ANSWERS = "tests/adapter/test_late_answers.py"
EVENT_STREAM = "tests/adapter/test_event_stream.py"
PROOFS = "tests/test_proofs.py"
DECISIONS = "tests/test_gateway_decisions.py"
PASS_THROUGH = "tests/test_pass_through.py"
RETRIES = "tests/adapter/test_edge_asks_again.py"
SEND_DEADLINE = "tests/test_send_deadline.py"
SEND_AFTER_PAUSE = "tests/adapter/test_send_after_pause.py"
PROCESS_PAUSES = "tests/adapter/test_edge_process_pauses.py"
UNREADABLE = "tests/test_unreadable_records.py"
EDGE_READERS = "tests/adapter/test_edge_readers.py"
JOB_READERS = "tests/test_job_readers.py"
JOB_RUNNER = "tests/test_job_runner.py"
LOST_CONNECTIONS = "tests/adapter/test_edge_lost_connections.py"
LOG_FRESHNESS = "tests/test_log_freshness.py"
ENGINE_RETRIES = "tests/test_asking_again.py"
POOL = "tests/test_pool.py"
WORK_SHARES = "tests/test_work_shares.py"
STORE_WATCH = "tests/test_store_watch.py"
PLACEMENT = "tests/test_item_placement.py"
REGISTRY = "tests/adapter/test_registry.py"
FOLLOW = "tests/test_follow.py"
LEASE_HISTORY = "tests/test_lease_history.py"
LEASE_STREAM = "tests/test_lease_stream.py"
LOG_HISTORY = "tests/test_log_history.py"
INCARNATIONS = "tests/test_engine_lives.py"
CRASH_FOLD = "tests/test_engine_crash_fold.py"
CRASH_WATCH = "tests/test_engine_crash_watch.py"
CRASHING = "tests/adapter/test_edge_crashing_requests.py"
KEYS = "tests/adapter/test_edge_keys.py"
USAGE = "tests/adapter/test_edge_usage.py"
DUTY = "tests/test_usage_duty.py"
DUTY_LEASE = "tests/test_duty_lease.py"
WORKSPACES = "tests/test_workspaces.py"
SEND_GATE = "tests/test_send_gate.py"
EVACUATIONS = "tests/test_evacuations.py"
RESIDENCY = "tests/test_residency.py"
RESIDENCY_OF_ITEMS = "tests/test_residency_of_items.py"
EDGE_RESIDENCY = "tests/adapter/test_edge_residency.py"
COLD_ENGINES = "tests/test_cold_engines.py"
CLOCK = "tests/test_clock.py"
HTTP_SERVER = "tests/test_http_server.py"
SCALING = "tests/test_scaling_policy.py"
SCALING_CONTROLLER = "tests/test_scaling_controller.py"
PLANNED_STOPS = "tests/adapter/test_edge_stops.py"


@dataclass(frozen=True)
class Guard:
    """
    A guard in the source, and the test that must fail when it is removed.

    :param name: What the guard ensures; `tests/guards.py` selects rows by its words.
    :param path: File of the guard.
    :param before: Text with the guard; occurs exactly once in the file.
    :param after: Text that replaces it, without the guard.
    :param test: Test file, and a `-k` expression that selects tests in it.
    """

    name: str
    path: str
    before: str
    after: str
    test: tuple[str, str]
