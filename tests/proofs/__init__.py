# SPDX-License-Identifier: MIT

"""
One proof per promise: a state machine that passes with the mechanism enabled and must
fail with it disabled.
"""

from __future__ import annotations

from . import (
    answers,
    at_most_once,
    configuration,
    delivery,
    job_positions,
    kept_texts,
    labels,
    leaving,
    not_run,
    planned_stop,
    staleness,
)
from ._proof import Proof


__all__ = ["GATEWAY_PROOFS", "PROOFS", "Proof"]

#: Proofs of the project's own deployment.
PROOFS = (
    labels.PROOF,
    at_most_once.PROOF,
    not_run.PROOF,
    delivery.PROOF,
    staleness.PROOF,
    configuration.PROOF,
    answers.PROOF,
    leaving.PROOF,
    planned_stop.PROOF,
)

#: Proofs of the gateway; `tests/adapter` replaces the recorded traces for these.
GATEWAY_PROOFS = (job_positions.PROOF, kept_texts.PROOF)
