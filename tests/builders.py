# SPDX-License-Identifier: MIT

"""
Builders of test data.
"""

from __future__ import annotations

import copy

from saddledoor import (
    ConfigProposal,
    Deployment,
    EngineEntry,
    GatewayConfig,
    GatewayLimits,
    GatewayRoute,
    GatewayService,
    Job,
    JobItem,
    JobOpened,
    JobState,
    RouteKind,
    Sample,
    SampleSpec,
    ServiceShare,
    Slot,
    StoredText,
    VersionRun,
    deployment_to_json,
    pack_document,
    token_digest,
    validate,
)
from saddledoord.ports import ForwardedRequest


_DOCUMENT = {
    "schema_version": 1,
    "name": "test",
    "data_centres": ["dc-a", "dc-b"],
    "pools": [
        {
            "name": "pool-a",
            "models": [{"name": "model-a"}],
            "engines": [
                {
                    "name": "engine-1",
                    "data_centre": "dc-a",
                    "address": "127.0.0.1:8000",
                    "slots": 4,
                },
                {
                    "name": "engine-2",
                    "data_centre": "dc-b",
                    "address": "127.0.0.1:8001",
                    "slots": 4,
                },
            ],
        }
    ],
    "services": [
        {
            "name": "desk",
            "routes": [{"path": "/"}, {"path": "/book", "unrepeatable": True}],
            "instances": [],
        }
    ],
    "partners": [{"name": "partner-a", "token_sha256": token_digest("partner-a")}],
    "trainers": [
        {
            "name": "trainer-a",
            "token_sha256": token_digest("trainer-a"),
            "pool": "pool-a",
            "model": "model-a",
            "staleness_bound": 1,
        }
    ],
}


def make_document(**changes: object) -> dict:
    """
    Return a valid deployment document, with top-level fields changed.
    """
    return {**copy.deepcopy(_DOCUMENT), **changes}


def make_deployment(**changes: object) -> Deployment:
    return validate("test", make_document(**changes))


def make_packed(**changes: object) -> str:
    return pack_document(deployment_to_json(make_deployment(**changes)))


def make_proposal(name: str, base: int, document: str = "") -> ConfigProposal:
    """
    Return a proposal; the folds do not read its document.
    """
    return ConfigProposal(name, base, document or f"document of {name}")


def make_spec(group: int, index: int = 0, max_tokens: int = 4) -> SampleSpec:
    return SampleSpec(Slot(group, index), f"prompt {group}", max_tokens)


def make_sample(
    group: int, index: int = 0, tokens: int = 4, version: int = 1
) -> Sample:
    """
    Return a whole sample of one version.
    """
    runs = (VersionRun(version, 0, tokens - 1),)
    return Sample(Slot(group, index), "text", tokens, runs)


def make_job(items: int = 2, job_id: str = "job-a") -> Job:
    """
    Return a job whose items have no scoring call.
    """
    made = tuple(
        JobItem(f"item-{n}", f"/train/{n}", (("model", "m"),), b"prompt", 10, "g")
        for n in range(items)
    )
    return Job(job_id, "desk.example", "/train/x", "model-a", 1, 1, 1, made)


def make_job_opened(job: Job, *offsets: int) -> JobOpened:
    """
    Return the record that opens a job whose items stand at some offsets.
    """
    return JobOpened.of(job, StoredText(offsets or (0,), 100))


def make_job_state(job: Job, first_seen_at: float = 0.0) -> JobState:
    """
    Return a job whose items this node has read.
    """
    items = {item.item_id: item for item in job.items}
    return JobState(make_job_opened(job), 1, first_seen_at, items)


def make_route(prefix: str, **changes: object) -> GatewayRoute:
    fields = {
        "name": prefix,
        "host": "desk.example",
        "path_prefix": prefix,
        "kind": RouteKind.SAFE,
        "shares": (ServiceShare("desk", 1.0),),
        "timeout": 2.0,
        "objective": 0.2,
        "max_attempts": 3,
    }
    return GatewayRoute(**(fields | changes))


def make_engine_entry(engine_id: str, **changes: object) -> EngineEntry:
    """
    Return an instance of the service ``desk``.
    """
    fields = {
        "service": "desk",
        "address": "127.0.0.1:1",
        "data_centre": "dc-a",
        "slots": 4,
    }
    return EngineEntry(engine_id, **(fields | changes))


def make_gateway_config(version: int, routes: list[GatewayRoute]) -> GatewayConfig:
    """
    Return a configuration with the service ``desk``.
    """
    services = {"desk": GatewayService("desk", 50)}
    return GatewayConfig(
        version, tuple(routes), services, GatewayLimits(16_384, 100_000, 15.0)
    )


def make_request(target: str) -> ForwardedRequest:
    return ForwardedRequest("POST", "desk.example", target, (), b"body", "r-1")
