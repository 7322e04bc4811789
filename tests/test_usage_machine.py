# SPDX-License-Identifier: MIT

"""
Random runs of three nodes that hold the usage lease in turn, over an unreliable log.

Each node claims, reads, decides and sends in single steps, which interleave at random
from fixed seeds. Two faulty variants show that the runs reach the states in question.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import pytest

from saddledoor import (
    HeldLease,
    LeaseClaim,
    LeaseFold,
    LeaseRenewal,
    LeaseWatch,
    UsageCounted,
    UsageDecided,
    UsageFold,
    UsageMeter,
)


_NODES = 3
#: Term of the lease, in seconds.
_TERM = 3.0
_LEASE = "usage"
#: The window that is reported.
_WINDOW = 0
_RUNS, _STEPS = 400, 80


class _LastDecisionFold(UsageFold):
    """
    A faulty variant in which the last decision on a window counts.
    """

    def apply(self, record: object) -> None:
        if isinstance(record, UsageDecided):
            self._decided.pop(record.window, None)
        super().apply(record)


@dataclass
class _Node:
    """
    State of one process.

    :ivar read_to: Number of log records that it has folded.
    :ivar claim_at: When its last claim was appended, in seconds.
    """

    name: str
    fold: UsageFold
    meter: UsageMeter = field(init=False)
    leases: LeaseFold = field(default_factory=LeaseFold)
    watch: LeaseWatch = field(default_factory=lambda: LeaseWatch(_TERM))
    read_to: int = 0
    claims: int = 0
    claim_at: float = 0.0
    held: HeldLease | None = None

    def __post_init__(self) -> None:
        self.meter = UsageMeter(self.name, _WINDOW)


class _Run:
    """
    One run; ``sent`` lists the reports that reached the platform, each as holder, fence
    and counts.
    """

    def __init__(self, seed: int, make_fold: Callable[[], UsageFold]) -> None:
        self._random = random.Random(seed)
        self._now = 0.0
        self._log: list[object] = []
        self._late: list[object] = []
        self._nodes = [_Node(f"vm-{n}", make_fold()) for n in range(_NODES)]
        self.sent: list[tuple[str, int, dict[str, int]]] = []

    @property
    def acting(self) -> list[_Node]:
        """
        The nodes whose lease permits them to call the platform now.
        """
        return [n for n in self._nodes if n.held and n.held.may_act(self._now)]

    def step(self) -> None:
        """
        Do one step, chosen at random.
        """
        steps = (
            self._time_passes,
            self._count,
            self._late_append,
            lambda: self._read(self._any_node()),
            lambda: self._claim(paused=self._random.random() < 0.5),
            self._take_over,
            self._renew,
            self._decide,
            self._send,
        )
        self._random.choice(steps)()

    def _any_node(self) -> _Node:
        return self._random.choice(self._nodes)

    def _time_passes(self) -> None:
        self._now += self._random.choice((0.1, 1.0))

    def _count(self) -> None:
        node = self._any_node()
        node.meter.count("red", _WINDOW)
        records = node.meter.take()
        outcome = self._random.choice(("done", "done", "unanswered", "late"))
        self._append(records, outcome)
        if outcome != "done":
            node.meter.requeue(records)

    def _late_append(self) -> None:
        if self._late:
            self._log.append(self._late.pop(0))

    def _claim(self, paused: bool) -> None:
        """
        Claim the lease, and read the claim's outcome at once or after a pause.
        """
        node = self._any_node()
        self._read(node)
        lease = node.leases.get(_LEASE)
        if lease is not None and lease.holder == node.name:
            self._take(node)
            return
        if not node.watch.may_claim(lease, self._now):
            return
        node.claims += 1
        node.claim_at = self._now
        name = f"{node.name} {node.claims}"
        seen = lease.last_offset if lease else -1
        self._log.append(LeaseClaim(name, _LEASE, node.name, seen))
        if not paused:
            self._take(node)

    def _take(self, node: _Node) -> None:
        self._read(node)
        lease = node.leases.get(_LEASE)
        if lease is not None and lease.claim_id == f"{node.name} {node.claims}":
            node.held = HeldLease(_LEASE, lease.fence, node.claim_at + _TERM)

    def _take_over(self) -> None:
        """
        Let the lease expire and have a node claim it.
        """
        for node in self._nodes:
            self._read(node)
        self._now += _TERM * 1.2
        self._claim(paused=False)

    def _renew(self) -> None:
        for node in self.acting:
            self._log.append(LeaseRenewal(_LEASE, node.held.fence))
            node.held = HeldLease(_LEASE, node.held.fence, self._now + _TERM)

    def _decide(self) -> None:
        for node in self.acting:
            self._read(node)
            if node.fold.decided(_WINDOW) is None:
                record = UsageDecided(_WINDOW, node.fold.counted(_WINDOW))
                self._append([record], self._random.choice(("late", "late", "done")))

    def _send(self) -> None:
        for node in self.acting:
            self._read(node)
            counts = node.fold.decided(_WINDOW)
            if counts is not None:
                self.sent.append((node.name, node.held.fence, counts))

    def _append(self, records: list, outcome: str) -> None:
        if outcome in ("done", "unanswered"):
            self._log += records
        else:
            self._late += records

    def _read(self, node: _Node) -> None:
        for offset in range(node.read_to, len(self._log)):
            record = self._log[offset]
            node.leases = node.leases.apply(offset, record)
            if isinstance(record, UsageCounted | UsageDecided):
                node.fold.apply(record)
        node.read_to = len(self._log)
        node.watch.observe(node.leases.get(_LEASE), self._now)


def _completed_runs(make_fold: Callable[[], UsageFold]) -> list[_Run]:
    """
    Return completed runs, and check that at most one node may act after each step.
    """
    runs = [_Run(seed, make_fold) for seed in range(_RUNS)]
    for run in runs:
        for _ in range(_STEPS):
            run.step()
            assert len(run.acting) <= 1
    return runs


def _has_different_reports(run: _Run) -> bool:
    return any(counts != run.sent[0][2] for _, _, counts in run.sent)


def test_all_reports_of_a_window_are_equal():
    """
    In many runs several holders report the window; no two of them share a fence.
    """
    runs = _completed_runs(UsageFold)
    assert not any(_has_different_reports(run) for run in runs)
    holders = [{holder for holder, _, _ in run.sent} for run in runs]
    assert sum(len(distinct) > 1 for distinct in holders) > _RUNS / 10
    for run in runs:
        by_fence = {(fence, holder) for holder, fence, _ in run.sent}
        assert len(by_fence) == len({fence for fence, _ in by_fence})


def test_a_fold_that_takes_the_last_decision_is_detected():
    """
    This shows that the runs include decisions that reach the log after another one was
    sent.
    """
    assert (
        sum(_has_different_reports(run) for run in _completed_runs(_LastDecisionFold))
        >= 5
    )


def test_a_claimant_that_does_not_wait_for_the_term_is_detected(monkeypatch):
    """
    This shows that the runs include holders whose lease another node has claimed.
    """
    monkeypatch.setattr(LeaseWatch, "may_claim", lambda *_: True)
    with pytest.raises(AssertionError):
        _completed_runs(UsageFold)
