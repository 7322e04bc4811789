# SPDX-License-Identifier: MIT

"""
Identify: find the partner or trainer that a bearer token belongs to.
"""

from __future__ import annotations

from dataclasses import dataclass

from saddledoor import Deployment, NotRun, ResultCode, Trainer, token_digest


__all__ = ["Caller", "identify"]

_SCHEME = "bearer "


@dataclass(frozen=True)
class Caller:
    """
    The sender of a request.

    :param name: The partner's name, or ``trainer:`` and the trainer's.
    :param weight: Share of the slots of saturated backend servers, relative to other
        partners' weights.
    :param trainer: The trainer; None if the caller is a partner.
    """

    name: str
    weight: float
    trainer: Trainer | None = None


def identify(
    deployment: Deployment | None, authorization: str | None
) -> Caller | NotRun:
    """
    Return the caller whose token is in an ``Authorization`` header, or a refusal.
    """
    if deployment is None:
        return NotRun(ResultCode.NO_CONFIGURATION, "no accepted configuration yet")
    if not authorization or not authorization.lower().startswith(_SCHEME):
        return NotRun(ResultCode.UNAUTHENTICATED, "a bearer token is needed", 0.0)
    digest = token_digest(authorization[len(_SCHEME) :].strip(" "))
    for partner in deployment.partners:
        if partner.token_sha256 == digest:
            return Caller(partner.name, partner.weight)
    for trainer in deployment.trainers:
        if trainer.token_sha256 == digest:
            return Caller(f"trainer:{trainer.name}", 1.0, trainer)
    return NotRun(ResultCode.UNAUTHENTICATED, "the token is not known", 0.0)
