# SPDX-License-Identifier: MIT

"""
Routing policies, fair queueing, retry budgets, weight waves, leases and membership.
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
    rendezvous_order,
)


_INTERACTIVE = WorkClass.INTERACTIVE
_TRAINING = WorkClass.TRAINING


def test_least_outstanding_takes_the_least_share_of_slots():
    """
    Requests in flight are counted per slot, so a larger engine gets more.
    """
    choose = least_outstanding(Random(1).random)
    small = Candidate("small", slots=2, own=1)
    large = Candidate("large", slots=8, own=2)
    assert choose([small, large]) is large


def test_least_outstanding_breaks_ties_at_random():
    """
    Nodes without requests in flight do not all choose the same engine.
    """
    choose = least_outstanding(Random(1).random)
    idle = [Candidate(str(n), slots=4, own=0) for n in range(4)]
    assert len({choose(idle).name for _ in range(50)}) == 4


def _count_connections_and_load(
    policies: list[RoutingPolicy], engines: int
) -> tuple[int, float]:
    """
    Send 30 requests from each node, a tenth of them while another is in flight.

    :returns: Number of connections opened, and the busiest engine's load relative to
        the mean.
    """
    rng = Random(7)
    used: set[tuple[int, str]] = set()
    served: Counter[str] = Counter()
    for node, choose in enumerate(policies):
        for _ in range(30):
            idle = [Candidate(f"e-{n}", slots=6, own=0) for n in range(engines)]
            name = choose(idle).name
            if rng.random() < 0.1:
                busy = [replace(c, own=int(c.name == name)) for c in idle]
                name = choose(busy).name
            used.add((node, name))
            served[name] += 1
    return len(used), max(served.values()) * engines / sum(served.values())


def test_nodes_keep_to_few_engines_of_many_in_orders_of_their_own():
    """
    Otherwise every node opens a connection to every engine. The load stays even.
    """
    nodes = [f"vm-{n}" for n in range(195)]
    before, _ = _count_connections_and_load(
        [least_outstanding(Random(n).random) for n in range(195)], 14
    )
    after, busiest = _count_connections_and_load(
        [least_outstanding_rendezvous(node) for node in nodes], 14
    )
    assert before > 2000
    assert after < 2.5 * len(nodes)
    assert busiest < 1.5


def test_a_hedge_goes_to_another_data_centre_and_stays_in_the_subset():
    """
    A node would otherwise open a connection to a further engine for it, or hedge where
    the first engine is slow because of its data centre.
    """
    centres = {f"e-{n}": f"dc-{n % 3}" for n in range(12)}
    for node in range(40):
        choose = least_outstanding_rendezvous(f"vm-{node}")
        idle = [Candidate(name, slots=6, own=0) for name in centres]
        first = choose(idle).name
        hedges = set()
        for _ in range(3):
            rest = [
                replace(c, is_centre_tried=centres[c.name] == centres[first])
                for c in idle
                if c.name != first
            ]
            hedges.add(choose(rest).name)
        (second,) = hedges
        assert centres[second] != centres[first]
        order = rendezvous_order(f"vm-{node}", centres)
        others = [e for e in order if centres[e] != centres[first]]
        assert second == others[0]


def test_a_hedge_stays_where_all_engines_are():
    """
    A service of one data centre has no other one to send it to.
    """
    choose = least_outstanding_rendezvous("vm-1")
    rest = [Candidate(f"e-{n}", 6, 0, is_centre_tried=True) for n in range(3)]
    assert choose(rest).name == rendezvous_order("vm-1", ["e-0", "e-1", "e-2"])[0]


def test_a_node_with_much_in_flight_uses_all_engines_alike():
    """
    The node's order only breaks ties.
    """
    choose = least_outstanding_rendezvous("vm-1")
    own: Counter[str] = Counter()
    for _ in range(28):
        candidates = [
            Candidate(f"e-{n}", slots=6, own=own[f"e-{n}"]) for n in range(14)
        ]
        own[choose(candidates).name] += 1
    assert set(own.values()) == {2}


def test_a_flood_delays_only_its_own_partner():
    """
    A partner's only request is served before the second one of a flood.
    """
    queue: FairQueue[str] = FairQueue(100)
    for number in range(50):
        queue.push(_INTERACTIVE, "flood", 10, 1, f"flood {number}")
    queue.push(_INTERACTIVE, "calm", 10, 1, "calm")
    assert "calm" in [queue.pop(), queue.pop()]


def test_a_flood_is_displaced_from_a_full_queue():
    """
    The request that would be served last is displaced; a later one is refused.
    """
    queue: FairQueue[str] = FairQueue(3)
    for number in range(3):
        assert queue.push(_INTERACTIVE, "flood", 10, 1, f"flood {number}").queued
    assert not queue.push(_INTERACTIVE, "flood", 10, 1, "flood 3").queued
    pushed = queue.push(_INTERACTIVE, "calm", 10, 1, "calm")
    assert (pushed.queued, pushed.displaced) == (True, "flood 2")


def test_fairness_is_by_cost_not_by_requests():
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
    While both classes wait, training gets one request in four.
    """
    queue: FairQueue[str] = FairQueue(100)
    for _ in range(20):
        queue.push(_INTERACTIVE, "guest", 1, 1, "guest")
        queue.push(_TRAINING, "trainer", 1, 1, "trainer")
    assert Counter(queue.pop() for _ in range(8))["trainer"] == 2


def test_a_blocked_class_does_not_block_the_other():
    """
    Interactive requests pass a sample that waits for a weight version.
    """
    queue: FairQueue[str] = FairQueue(10)
    queue.push(_TRAINING, "trainer", 1, 1, "trainer")
    queue.push(_INTERACTIVE, "guest", 1, 1, "guest")
    assert queue.pop(frozenset({_TRAINING})) == "guest"
    assert queue.pop(frozenset({_TRAINING})) is None


def test_retries_are_a_share_of_first_attempts():
    """
    If every attempt fails, 100 requests cause 10 retries plus the burst.
    """
    budget = RetryBudget(0.1, 5.0)
    retries = 0
    for _ in range(100):
        budget.record_first_attempt()
        retries += budget.spend()
    assert 10 <= retries <= 15


def test_a_wave_leaves_capacity():
    """
    All engines stage at once, but only a share of them activates.
    """
    engines = [EngineWeights(f"e{n}", 1, -1) for n in range(4)]
    assert {o.action for o in next_orders(engines, "m", 2, 0.5)} == {"stage"}
    staged = [EngineWeights(f"e{n}", 1, 2) for n in range(4)]
    assert len(next_orders(staged, "m", 2, 0.5)) == 2
    busy = [EngineWeights("e0", 1, 2, busy=True), *staged[1:]]
    assert len(next_orders(busy, "m", 2, 0.5)) == 1


def test_a_dead_engine_delays_no_wave():
    """
    A dead engine gets no order, and the other engines do not wait for it.
    """
    engines = [EngineWeights("dead", -1, -1, alive=False), EngineWeights("e", 1, 2)]
    assert [o.engine for o in next_orders(engines, "m", 2, 0.5)] == ["e"]


def test_a_takeover_is_void_after_a_newer_renewal():
    """
    The holder renewed the lease after the claimant last read it.
    """
    fold = LeaseFold().apply(0, LeaseClaim("x", "l", "vm-a", -1))
    fold = fold.apply(1, LeaseRenewal("l", 0))
    fold = fold.apply(2, LeaseClaim("y", "l", "vm-b", 0))
    assert fold.get("l").holder == "vm-a"
    fold = fold.apply(3, LeaseClaim("z", "l", "vm-b", 1))
    assert (fold.get("l").holder, fold.get("l").fence) == ("vm-b", 3)


def test_an_old_holders_records_do_nothing():
    """
    Its renewal and release carry an outdated fencing number.
    """
    fold = LeaseFold().apply(0, LeaseClaim("x", "l", "vm-a", -1))
    fold = fold.apply(1, LeaseClaim("y", "l", "vm-b", 0))
    fold = fold.apply(2, LeaseRenewal("l", 0)).apply(3, LeaseRelease("l", 0))
    assert (fold.get("l").holder, fold.get("l").released) == ("vm-b", False)


def test_a_repeated_claim_takes_nothing_again():
    """
    A claim that is appended again after a lost answer does not undo a release.
    """
    claim = LeaseClaim("x", "l", "vm-a", -1)
    fold = LeaseFold().apply(0, claim).apply(1, LeaseRelease("l", 0)).apply(2, claim)
    assert fold.get("l").released


def test_the_claimant_waits_longer_than_the_holder_acts():
    """
    The holder's term counts from before its append, the claimant's from after its read.
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
    A restarted VM numbers its entries anew; they still replace those of its previous
    process.
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


def test_rendezvous_moves_only_the_keys_of_a_removed_node():
    """
    Keys of the remaining nodes do not move.
    """
    nodes = [f"vm-{n}" for n in range(8)]
    keys = [f"key-{n}" for n in range(200)]
    before = {key: rendezvous(key, nodes) for key in keys}
    after = {key: rendezvous(key, nodes[1:]) for key in keys}
    moved = [key for key in keys if before[key] != after[key]]
    assert all(before[key] == "vm-0" for key in moved)


def test_training_work_needs_a_version_that_the_engine_reported():
    """
    An engine that reported no version or an older one gets no training work.
    """
    requirement = BackendRequirement("m", 3)
    new = BackendReport("e", True, 0.0, 0.0, versions={"m": 3})
    old = BackendReport("e", True, 0.0, 0.0, versions={"m": 2})
    assert is_eligible("serving", new, requirement, 0.0)
    assert not is_eligible("serving", old, requirement, 0.0)
    assert not is_eligible("serving", None, requirement, 0.0)
