# SPDX-License-Identifier: MIT

"""
The promises over the pure decisions: green with the mechanism, red without.
"""

from __future__ import annotations

import pytest

from proofs import GATEWAY_PROOFS, PROOFS


_ALL = (*PROOFS, *GATEWAY_PROOFS)
_IDS = [proof.name for proof in _ALL]


@pytest.mark.parametrize("proof", _ALL, ids=_IDS)
def test_the_promise_holds_with_its_mechanism(proof, record_property):
    """
    No sequence of the failures breaks the promise.
    """
    record_property("promise", proof.name)
    proof.run(guard=True)


@pytest.mark.parametrize("proof", _ALL, ids=_IDS)
def test_the_proof_fails_without_the_mechanism(proof, record_property):
    """
    With the mechanism off the same machine finds a broken promise.
    """
    record_property("promise", proof.name)
    seen = proof.breaks_without()
    record_property("red", seen)
    assert seen is not None
