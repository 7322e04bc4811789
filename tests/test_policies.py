# SPDX-License-Identifier: MIT

"""
Policies: choice of engine, fair queueing, retry budgets, waves, leases, membership.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from random import Random

from saddledoor import (
    BackendReport,
    BackendRequirement,
    Candidate,
    EngineWeights,
    FairQueue,
    HeldLease,
    LeaseClaim,
    LeaseFold,
    LeaseRelease,
    LeaseRenewal,
    LeaseWatch,
    MemberEntry,
    MemberTable,
    RetryBudget,
    RoutingPolicy,
    WorkClass,
    is_eligible,
    least_outstanding,
    least_outstanding_rendezvous,
    next_orders,
    rendezvous,
)


_INTERACTIVE = WorkClass.INTERACTIVE
_TRAINING = WorkClass.TRAINING


def test_least_outstanding_takes_the_least_share_of_slots():
    """
    Work in flight counts per slot, so a larger engine gets more.
    """
    choose = least_outstanding(Random(1).random)
    small = Candidate("small", slots=2, own=1)
    large = Candidate("large", slots=8, own=2)
    assert choose([small, large]) is large


def test_least_outstanding_breaks_ties_at_random():
    """
    Nodes with nothing in flight do not all take the same engine.
    """
    choose = least_outstanding(Random(1).random)
    idle = [Candidate(str(n), slots=4, own=0) for n in range(4)]
    assert len({choose(idle).name for _ in range(50)}) == 4


def _connections(policies: list[RoutingPolicy], engines: int) -> tuple[int, float]:
    """
    Return the connections that nodes open to engines for 30 requests each, a tenth of
    which come while another is under way, and the busiest engine over the mean.
    """
    chance = Random(7)
    used: set[tuple[int, str]] = set()
    served: Counter[str] = Counter()
    for node, choose in enumerate(policies):
        for _ in range(30):
            idle = [Candidate(f"e-{n}", slots=6, own=0) for n in range(engines)]
            name = choose(idle).name
            if chance.random() < 0.1:
                busy = [replace(c, own=int(c.name == name)) for c in idle]
                name = choose(busy).name
            used.add((node, name))
            served[name] += 1
    return len(used), max(served.values()) * engines / sum(served.values())


def test_nodes_keep_to_few_engines_of_many_in_orders_of_their_own():
    """
    195 nodes before 14 engines: 383 connections, and 2,406 with ties at random. The
    busiest engine has 1.2 times the mean.
    """
    nodes = [f"vm-{n}" for n in range(195)]
    before, _ = _connections(
        [least_outstanding(Random(n).random) for n in range(195)], 14
    )
    after, busiest = _connections(
        [least_outstanding_rendezvous(node) for node in nodes], 14
    )
    assert before > 2000
    assert after < 2.5 * len(nodes)
    assert busiest < 1.5


def test_a_node_with_much_in_flight_uses_all_engines_alike():
    """
    Its own order only decides between engines that have the same of it.
    """
    choose = least_outstanding_rendezvous("vm-1")
    own: Counter[str] = Counter()
    for _ in range(28):
        all_of = [Candidate(f"e-{n}", slots=6, own=own[f"e-{n}"]) for n in range(14)]
        own[choose(all_of).name] += 1
    assert set(own.values()) == {2}


def test_a_flood_only_lengthens_its_own_line():
    """
    A partner with one request is served before a flood's second.
    """
    queue: FairQueue[str] = FairQueue(100)
    for number in range(50):
        queue.push(_INTERACTIVE, "flood", 10, 1, f"flood {number}")
    queue.push(_INTERACTIVE, "calm", 10, 1, "calm")
    assert "calm" in [queue.pop(), queue.pop()]


def test_a_flood_gives_way_in_a_full_queue():
    """
    The request that would be served last is displaced; a later one is refused.
    """
    queue: FairQueue[str] = FairQueue(3)
    for number in range(3):
        assert queue.push(_INTERACTIVE, "flood", 10, 1, f"flood {number}").queued
    assert not queue.push(_INTERACTIVE, "flood", 10, 1, "flood 3").queued
    pushed = queue.push(_INTERACTIVE, "calm", 10, 1, "calm")
    assert (pushed.queued, pushed.displaced) == (True, "flood 2")


def test_cost_counts_not_requests():
    """
    A partner with long requests gets fewer of them through.
    """
    queue: FairQueue[str] = FairQueue(100)
    for _ in range(20):
        queue.push(_INTERACTIVE, "long", 40, 1, "long")
        queue.push(_INTERACTIVE, "short", 10, 1, "short")
    served = Counter(queue.pop() for _ in range(10))
    assert served["short"] == 8


def test_training_waits_but_does_not_starve():
    """
    With both classes waiting, training gets one grant in four.
    """
    queue: FairQueue[str] = FairQueue(100)
    for _ in range(20):
        queue.push(_INTERACTIVE, "guest", 1, 1, "guest")
        queue.push(_TRAINING, "trainer", 1, 1, "trainer")
    assert Counter(queue.pop() for _ in range(8))["trainer"] == 2


def test_a_blocked_class_does_not_block_the_other():
    """
    A sample that waits for a version lets guests pass.
    """
    queue: FairQueue[str] = FairQueue(10)
    queue.push(_TRAINING, "trainer", 1, 1, "trainer")
    queue.push(_INTERACTIVE, "guest", 1, 1, "guest")
    assert queue.pop(frozenset({_TRAINING})) == "guest"
    assert queue.pop(frozenset({_TRAINING})) is None


def test_retries_are_a_share_of_first_attempts():
    """
    With every attempt failing, 100 requests cause 10 retries and the burst.
    """
    budget = RetryBudget(0.1, 5.0)
    retries = 0
    for _ in range(100):
        budget.record_first_attempt()
        retries += budget.spend()
    assert 10 <= retries <= 15


def test_a_wave_leaves_capacity():
    """
    Everyone stages at once, and only a share activates.
    """
    engines = [EngineWeights(f"e{n}", 1, -1) for n in range(4)]
    assert {o.action for o in next_orders(engines, "m", 2, 0.5)} == {"stage"}
    staged = [EngineWeights(f"e{n}", 1, 2) for n in range(4)]
    assert len(next_orders(staged, "m", 2, 0.5)) == 2
    busy = [EngineWeights("e0", 1, 2, busy=True), *staged[1:]]
    assert len(next_orders(busy, "m", 2, 0.5)) == 1


def test_a_dead_engine_holds_up_no_wave():
    """
    It gets no order, and the others' wave does not wait for it.
    """
    engines = [EngineWeights("dead", -1, -1, alive=False), EngineWeights("e", 1, 2)]
    assert [o.engine for o in next_orders(engines, "m", 2, 0.5)] == ["e"]


def test_a_takeover_is_void_after_a_newer_renewal():
    """
    The holder renewed between what the taker saw and its claim.
    """
    fold = LeaseFold().apply(0, LeaseClaim("x", "l", "vm-a", -1))
    fold = fold.apply(1, LeaseRenewal("l", 0))
    fold = fold.apply(2, LeaseClaim("y", "l", "vm-b", 0))
    assert fold.get("l").holder == "vm-a"
    fold = fold.apply(3, LeaseClaim("z", "l", "vm-b", 1))
    assert (fold.get("l").holder, fold.get("l").fence) == ("vm-b", 3)


def test_an_old_holders_records_do_nothing():
    """
    Its renewal and release carry a fencing number that is not the lease's any more.
    """
    fold = LeaseFold().apply(0, LeaseClaim("x", "l", "vm-a", -1))
    fold = fold.apply(1, LeaseClaim("y", "l", "vm-b", 0))
    fold = fold.apply(2, LeaseRenewal("l", 0)).apply(3, LeaseRelease("l", 0))
    assert (fold.get("l").holder, fold.get("l").released) == ("vm-b", False)


def test_a_repeated_claim_takes_nothing_again():
    """
    An append whose answer was lost stands twice; the lease was released meanwhile.
    """
    claim = LeaseClaim("x", "l", "vm-a", -1)
    fold = LeaseFold().apply(0, claim).apply(1, LeaseRelease("l", 0)).apply(2, claim)
    assert fold.get("l").released


def test_the_taker_waits_longer_than_the_holder_acts():
    """
    The holder's term runs from before its append, the taker's from after its read.
    """
    held = HeldLease("l", 0, deadline=10.0 + 6.0)
    watch = LeaseWatch(6.0)
    lease = LeaseFold().apply(0, LeaseClaim("x", "l", "vm-a", -1)).get("l")
    watch.observe(lease, 10.1)
    assert held.may_act(15.9) and not held.may_act(15.9, margin=0.2)
    assert not watch.may_claim(lease, 16.0)
    assert watch.may_claim(lease, 10.1 + 6.0 * 1.1 + 0.01)


def _entry(seq: int, started: int = 1) -> MemberEntry:
    return MemberEntry("vm", started, seq, "dc-a", "", "", "serving", 0)


def test_an_entry_of_a_vms_next_process_wins():
    """
    A restart begins its numbers anew, and still replaces the last process's entry.
    """
    table = MemberTable(5.0)
    assert table.offer(_entry(9), 0.0)
    assert table.offer(_entry(1, started=2), 1.0)
    assert not table.offer(_entry(10), 2.0)


def test_a_silent_vm_is_dead_and_forgotten():
    """
    Entries that do not change expire.
    """
    table = MemberTable(5.0)
    table.offer(_entry(1), 0.0)
    assert table.live(4.0) and not table.live(6.0)
    table.forget_dead(100.0, 60.0)
    assert not table.ranks()


def test_rendezvous_moves_only_what_the_gone_node_had():
    """
    When a node goes, keys of the others stay where they were.
    """
    nodes = [f"vm-{n}" for n in range(8)]
    keys = [f"key-{n}" for n in range(200)]
    before = {key: rendezvous(key, nodes) for key in keys}
    after = {key: rendezvous(key, nodes[1:]) for key in keys}
    moved = [key for key in keys if before[key] != after[key]]
    assert all(before[key] == "vm-0" for key in moved)


def test_training_work_needs_a_version_that_the_engine_reported():
    """
    An engine that reported none, or an old one, gets no training work.
    """
    requirement = BackendRequirement("m", 3)
    new = BackendReport("e", True, 0.0, 0.0, versions={"m": 3})
    old = BackendReport("e", True, 0.0, 0.0, versions={"m": 2})
    assert is_eligible("serving", new, requirement, 0.0)
    assert not is_eligible("serving", old, requirement, 0.0)
    assert not is_eligible("serving", None, requirement, 0.0)
