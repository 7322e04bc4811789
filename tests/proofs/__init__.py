# SPDX-License-Identifier: MIT

"""
One proof per promise: a state machine that passes with the mechanism on and must fail
with it off.
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

#: In the order in which the promises were taken.
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

#: Of the gateway; their broken twins are the stand-ins of `tests/adapter`, not traces.
GATEWAY_PROOFS = (job_positions.PROOF, kept_texts.PROOF)
