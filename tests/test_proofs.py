# SPDX-License-Identifier: MIT

"""
State machines for the promises of the pure decisions, with and without the mechanism.
"""

from __future__ import annotations

import pytest

from proofs import GATEWAY_PROOFS, PROOFS


_ALL = (*PROOFS, *GATEWAY_PROOFS)
_IDS = [proof.name for proof in _ALL]


@pytest.mark.parametrize("proof", _ALL, ids=_IDS)
def test_the_promise_holds_with_its_mechanism(proof, record_property):
    """
    No generated sequence of failures breaks the promise.
    """
    record_property("promise", proof.name)
    proof.run(guard=True)


@pytest.mark.parametrize("proof", _ALL, ids=_IDS)
def test_the_proof_fails_without_the_mechanism(proof, record_property):
    """
    With the mechanism disabled, the same state machine finds a violation.
    """
    record_property("promise", proof.name)
    violation = proof.find_violation()
    record_property("red", violation)
    assert violation is not None
