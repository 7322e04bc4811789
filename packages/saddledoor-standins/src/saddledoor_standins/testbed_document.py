# SPDX-License-Identifier: MIT

"""
Builds the deployment document of a testbed from its shape.
"""

from __future__ import annotations

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass, field

from .fleet import Vm


__all__ = [
    "MODEL",
    "PARTNERS",
    "SHORT_TIMINGS",
    "SERVICE",
    "TRAINER",
    "Shape",
    "token_digest",
    "make_deployment",
    "make_vms",
]

MODEL = "model-a"
POOL = "pool-a"
SERVICE = "desk"
TRAINER = "trainer-a"
PARTNERS = ("partner-a", "partner-b")


def token_digest(token: str) -> str:
    """
    Return the digest of a token, as in a deployment file.
    """
    return hashlib.sha256(token.encode()).hexdigest()


#: Shortened durations for fast takeovers in tests, in seconds.
SHORT_TIMINGS = {
    "lease_term": 2.0,
    "order_timeout": 0.9,
    "lame_duck": 1.0,
    "member_expiry": 2.0,
    "log_wait": 2.0,
    "log_timeout": 1.0,
    "watch": 0.5,
}


@dataclass(frozen=True)
class Shape:
    """
    Size and options of a testbed.

    :param vms: Number of VMs by data centre.
    :param engines: Number of engines by data centre.
    :param services: Number of service instances by data centre.
    :param timings: Daemons' durations that differ from the defaults, in seconds.
    :param limits: Limits that differ from the defaults.
    :param settings: Daemons' settings that differ from the defaults.
    :param token_s: Engines' time per token of one request, in seconds.
    :param slots: Slots of each engine.
    :param staleness_bound: The trainer's bound, in weight versions.
    :param preference: The trainer's preference, ``idle`` or ``staleness``.
    :param traced: Whether daemons and services record traces.
    :param fenced: Whether engines refuse old fencing numbers.
    """

    vms: Mapping[str, int] = field(default_factory=lambda: {"dc-a": 2, "dc-b": 2})
    engines: Mapping[str, int] = field(default_factory=lambda: {"dc-a": 1, "dc-b": 1})
    services: Mapping[str, int] = field(default_factory=lambda: {"dc-a": 1, "dc-b": 1})
    timings: Mapping[str, float] = field(default_factory=dict)
    limits: Mapping[str, float] = field(default_factory=dict)
    settings: Mapping[str, object] = field(default_factory=dict)
    token_s: float = 0.004
    slots: int = 8
    staleness_bound: int = 1
    fenced: bool = True
    preference: str = "idle"
    traced: bool = False


def make_vms(shape: Shape, network: str) -> dict[str, Vm]:
    """
    Return the VMs by name, each with its own loopback address.
    """
    vms = {}
    for data_centre, count in shape.vms.items():
        for number in range(1, count + 1):
            name = f"{data_centre}-vm{number}"
            ip = f"{network}.1.{len(vms) + 1}"
            vms[name] = Vm(name, data_centre, ip)
    return vms


def _make_backends(
    shape: Shape, counts: Mapping[str, int], prefix: str, network: str
) -> list:
    names = [dc for dc, count in counts.items() for _ in range(count)]
    return [
        {
            "name": f"{prefix}-{number}",
            "data_centre": data_centre,
            "address": f"{network}.{number}:8000",
            "slots": shape.slots if prefix == "engine" else 32,
        }
        for number, data_centre in enumerate(names, 1)
    ]


def make_deployment(shape: Shape, network: str) -> dict:
    """
    Return the deployment document.
    """
    engines = _make_backends(shape, shape.engines, "engine", f"{network}.2")
    for engine in engines:
        engine["fenced"] = shape.fenced
    return {
        "schema_version": 1,
        "name": "testbed",
        "data_centres": list(shape.vms),
        "pools": [{"name": POOL, "models": [{"name": MODEL}], "engines": engines}],
        "services": [
            {
                "name": SERVICE,
                "routes": [
                    {"path": "/slots"},
                    {"path": "/book", "unrepeatable": True},
                ],
                "instances": _make_backends(
                    shape, shape.services, "desk", f"{network}.3"
                ),
            }
        ],
        "partners": [{"name": p, "token_sha256": token_digest(p)} for p in PARTNERS],
        "trainers": [
            {
                "name": TRAINER,
                "token_sha256": token_digest(TRAINER),
                "pool": POOL,
                "model": MODEL,
                "staleness_bound": shape.staleness_bound,
                "preference": shape.preference,
            }
        ],
        "limits": {"request_timeout_s": 5.0, **shape.limits},
    }
