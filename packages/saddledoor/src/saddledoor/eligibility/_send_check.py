# SPDX-License-Identifier: MIT

"""
The check that every send of a request to an engine has to pass.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


__all__ = ["Denial", "EngineFacts", "SendNeeds", "check_send", "intersect_regions"]


class Denial(IntEnum):
    """
    Why a request may not be sent to an engine; the numbers appear in logs and metrics.
    """

    #: The engine is draining or has no entry.
    LEAVING = 1
    #: The engine is outside the regions that the route and the workspace allow.
    REGION = 2
    #: The engine's data centre is evacuated.
    EVACUATED = 3
    #: The engine is cold, and another VM sends to cold engines of the service.
    COLD = 4
    #: The engine has been sent as many requests in the last second as it bears.
    RATE = 5
    #: This VM has not read for too long which data centres are evacuated.
    OUTDATED = 6


@dataclass(frozen=True)
class SendNeeds:
    """
    What a request needs of an engine.

    :param regions: Regions that may serve it; none if any region may.
    """

    regions: frozenset[str] | None = None


@dataclass(frozen=True)
class EngineFacts:
    """
    What this VM knows of an engine when it is about to send a request.

    :param region: Region of its data centre; none if unknown.
    :param is_usable: Whether it has an entry and is not draining.
    :param is_evacuated: Whether its data centre is evacuated.
    :param is_cold: Whether it is cold, or presumed to be.
    :param may_send_to_cold: Whether this VM may send to cold engines of the service.
    :param sends_left: Requests that this VM may still send it within the current
        second; none for no limit.
    :param is_up_to_date: Whether this VM would know if its data centre were evacuated.
    """

    region: str | None = None
    is_usable: bool = True
    is_evacuated: bool = False
    is_cold: bool = False
    may_send_to_cold: bool = True
    sends_left: int | None = None
    is_up_to_date: bool = True


def check_send(needs: SendNeeds, engine: EngineFacts) -> Denial | None:
    """
    Return why a request may not be sent to an engine; none if it may.

    The reasons are checked from the most to the least lasting one.
    """
    if not engine.is_usable:
        return Denial.LEAVING
    if needs.regions is not None and engine.region not in needs.regions:
        return Denial.REGION
    if engine.is_evacuated:
        return Denial.EVACUATED
    if engine.is_cold and not engine.may_send_to_cold:
        return Denial.COLD
    if engine.sends_left is not None and engine.sends_left <= 0:
        return Denial.RATE
    if not engine.is_up_to_date:
        return Denial.OUTDATED
    return None


def intersect_regions(*allowed: frozenset[str] | None) -> frozenset[str] | None:
    """
    Return the regions that all of several restrictions allow; none if there is none.
    """
    regions: frozenset[str] | None = None
    for restriction in allowed:
        if restriction is not None:
            regions = restriction if regions is None else regions & restriction
    return regions
