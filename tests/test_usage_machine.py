# SPDX-License-Identifier: MIT

"""
Three nodes that hold the duty of usage in turn, over a log that delays and loses.

A node does what the reporter does, a step at a time, so that anything may come
between: claim, read, decide, send. A paused node goes on later with what it knew. Steps
are drawn evenly from fixed seeds; two broken twins show that the runs meet what they
are for.
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
_TERM = 3.0
_LEASE = "usage"
#: The window that is played.
_WINDOW = 0
_RUNS, _STEPS = 400, 80


class _LastDecisionBook(UsageFold):
    """
    A book that is wrong: the last decision on a window counts.
    """

    def apply(self, record: object) -> None:
        if isinstance(record, UsageDecided):
            self._decided.pop(record.window, None)
        super().apply(record)


@dataclass
class _Node:
    """
    What one process knows.

    :ivar read_to: Records of the log that it has folded, a count.
    :ivar claim_at: When its last claim was appended.
    """

    name: str
    book: UsageFold
    meter: UsageMeter = field(init=False)
    leases: LeaseFold = field(default_factory=LeaseFold)
    watch: LeaseWatch = field(default_factory=lambda: LeaseWatch(_TERM))
    read_to: int = 0
    claims: int = 0
    claim_at: float = 0.0
    held: HeldLease | None = None

    def __post_init__(self) -> None:
        self.meter = UsageMeter(self.name, _WINDOW)


class _Play:
    """
    One run; ``sent`` is what reached the platform: holder, fence, counts.
    """

    def __init__(self, seed: int, make_book: Callable[[], UsageFold]) -> None:
        self._draw = random.Random(seed)
        self._now = 0.0
        self._log: list[object] = []
        self._late: list[object] = []
        self._nodes = [_Node(f"vm-{n}", make_book()) for n in range(_NODES)]
        self.sent: list[tuple[str, int, dict[str, int]]] = []

    @property
    def acting(self) -> list[_Node]:
        """
        The nodes that may call the platform now.
        """
        return [n for n in self._nodes if n.held and n.held.may_act(self._now)]

    def step(self) -> None:
        """
        Do one thing, drawn from all that may come.
        """
        steps = (
            self._time_passes,
            self._count,
            self._late_append,
            lambda: self._read(self._any_node()),
            lambda: self._claim(paused=self._draw.random() < 0.5),
            self._pass_on,
            self._renew,
            self._decide,
            self._send,
        )
        self._draw.choice(steps)()

    def _any_node(self) -> _Node:
        return self._draw.choice(self._nodes)

    def _time_passes(self) -> None:
        self._now += self._draw.choice((0.1, 1.0))

    def _count(self) -> None:
        node = self._any_node()
        node.meter.count("red", _WINDOW)
        records = node.meter.take()
        fate = self._draw.choice(("done", "done", "unanswered", "late"))
        self._append(records, fate)
        if fate != "done":
            node.meter.requeue(records)

    def _late_append(self) -> None:
        if self._late:
            self._log.append(self._late.pop(0))

    def _claim(self, paused: bool) -> None:
        """
        Claim the lease, and learn at once or after a pause whether the claim stands.
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

    def _pass_on(self) -> None:
        """
        Have a node take over from one that has fallen silent.
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
            if node.book.decided(_WINDOW) is None:
                record = UsageDecided(_WINDOW, node.book.counted(_WINDOW))
                self._append([record], self._draw.choice(("late", "late", "done")))

    def _send(self) -> None:
        for node in self.acting:
            self._read(node)
            counts = node.book.decided(_WINDOW)
            if counts is not None:
                self.sent.append((node.name, node.held.fence, counts))

    def _append(self, records: list, fate: str) -> None:
        if fate in ("done", "unanswered"):
            self._log += records
        else:
            self._late += records

    def _read(self, node: _Node) -> None:
        for offset in range(node.read_to, len(self._log)):
            record = self._log[offset]
            node.leases = node.leases.apply(offset, record)
            if isinstance(record, UsageCounted | UsageDecided):
                node.book.apply(record)
        node.read_to = len(self._log)
        node.watch.observe(node.leases.get(_LEASE), self._now)


def _plays(make_book: Callable[[], UsageFold]) -> list[_Play]:
    """
    Return runs that have ended; none at whose steps two nodes might act.
    """
    plays = [_Play(seed, make_book) for seed in range(_RUNS)]
    for play in plays:
        for _ in range(_STEPS):
            play.step()
            assert len(play.acting) <= 1
    return plays


def _differ(play: _Play) -> bool:
    return any(counts != play.sent[0][2] for _, _, counts in play.sent)


def test_whoever_reports_a_window_reports_the_same():
    """
    Several holders report it in many of the runs, and no fence has two of them.
    """
    plays = _plays(UsageFold)
    assert not any(_differ(play) for play in plays)
    holders = [{holder for holder, _, _ in play.sent} for play in plays]
    assert sum(len(several) > 1 for several in holders) > _RUNS / 10
    for play in plays:
        by_fence = {(fence, holder) for holder, fence, _ in play.sent}
        assert len(by_fence) == len({fence for fence, _ in by_fence})


def test_a_book_that_takes_the_last_decision_is_found_out():
    """
    So the runs meet decisions that come late, behind another one that was sent.
    """
    assert sum(_differ(play) for play in _plays(_LastDecisionBook)) >= 5


def test_a_taker_that_does_not_wait_for_the_term_is_found_out(monkeypatch):
    """
    So the runs meet holders that another one has replaced.
    """
    monkeypatch.setattr(LeaseWatch, "may_claim", lambda *_: True)
    with pytest.raises(AssertionError):
        _plays(UsageFold)
