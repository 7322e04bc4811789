# SPDX-License-Identifier: MIT

"""
The nine promises over the pure decisions: green with the mechanism, red without.
"""

from __future__ import annotations

import pytest
from proofs import PROOFS


_IDS = [proof.machine.__module__.rpartition(".")[2] for proof in PROOFS]


@pytest.mark.parametrize("proof", PROOFS, ids=_IDS)
def test_the_promise_holds_with_its_mechanism(proof):
    """
    No sequence of the failures breaks the promise.
    """
    proof.run(guard=True)


@pytest.mark.parametrize("proof", PROOFS, ids=_IDS)
def test_the_proof_fails_without_the_mechanism(proof):
    """
    With the mechanism off the same machine finds a broken promise.
    """
    assert proof.breaks_without() is not None
