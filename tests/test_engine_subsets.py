# SPDX-License-Identifier: MIT

"""
The measurement of docs/design/connections.md, in small.
"""

from __future__ import annotations

from engine_subsets import POLICIES, moved_pairs, simulate


def test_an_order_of_its_own_saves_a_vm_connections():
    """
    The choice of engines rests on this result; hedges leave the data centre.
    """
    results = {name: simulate(make, 20, 9, 0.3) for name, make in POLICIES.items()}
    chosen = results["rendezvous"]
    assert chosen.per_request < 0.6 * results["ties at random"].per_request
    assert chosen.per_request < 0.8 * results["deterministic, random in it"].per_request
    assert chosen.other_centre == 1.0


def test_the_order_of_a_vm_does_not_depend_on_other_vms():
    """
    A VM that joins or leaves would otherwise move the connections of all others.
    """
    moved = moved_pairs(40, 9)
    assert moved["rendezvous"][1] == 0.0
    assert moved["rendezvous"][0] < moved["deterministic"][0]
