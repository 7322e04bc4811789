# SPDX-License-Identifier: MIT

"""
Schema of the deployment file that operators write, as validated frozen dataclasses.
"""

from __future__ import annotations

import hashlib
from typing import Annotated, Literal

from pydantic import ConfigDict, Field, TypeAdapter, ValidationError
from pydantic.dataclasses import dataclass
from pydantic_core import PydanticCustomError

from ._deployment_checks import join_problems, split_problems
from .exceptions import InvalidDocumentError, Problem


__all__ = [
    "Deployment",
    "Engine",
    "Instance",
    "Limits",
    "Model",
    "Objective",
    "Partner",
    "Pool",
    "Route",
    "Service",
    "Trainer",
    "deployment_from_json",
    "deployment_schema",
    "deployment_to_json",
    "token_digest",
    "validate",
]

_STRICT = ConfigDict(extra="forbid", strict=True)
_checked = dataclass(frozen=True, kw_only=True, config=_STRICT)

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
Address = Annotated[str, Field(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]
Digest = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
Seconds = Annotated[float, Field(gt=0, le=86_400, strict=False)]
Count = Annotated[int, Field(ge=1, le=1_000_000)]
NotNegative = Annotated[int, Field(ge=0)]


@_checked
class Engine:
    """
    An engine that serves the models of a pool.

    :param slots: Maximum number of concurrent requests.
    :param state: ``serving``, or ``leaving`` if it must receive no new work.
    :param fenced: Whether it rejects orders with an outdated fencing number.
    """

    name: Name
    data_centre: Name
    address: Address
    slots: Count
    state: Literal["serving", "leaving"] = "serving"
    fenced: bool = True


@_checked
class Model:
    """
    A model or adapter of a pool, and the weight version that it should have.

    :param version: A pinned version, or ``follow`` for the newest in the weight store.
    """

    name: Name
    version: NotNegative | Literal["follow"] = "follow"


@_checked
class Pool:
    """
    Engines that serve the same models.

    :param swap_share: Maximum share of a data centre's engines that swap at a time.
    """

    name: Name
    models: tuple[Model, ...] = Field(min_length=1)
    engines: tuple[Engine, ...] = ()
    swap_share: Annotated[float, Field(gt=0, le=1, strict=False)] = 0.5


@_checked
class Route:
    """
    A path prefix of a service.

    :param unrepeatable: Whether its calls must run at most once.
    """

    path: Annotated[str, Field(pattern=r"^/[A-Za-z0-9/_.-]*$")]
    unrepeatable: bool = False


@_checked
class Instance:
    """
    One process of a service.

    :param slots: Maximum number of concurrent requests.
    :param state: ``serving``, or ``leaving`` if it must receive no new work.
    """

    name: Name
    data_centre: Name
    address: Address
    slots: Count
    state: Literal["serving", "leaving"] = "serving"


@_checked
class Service:
    """
    A service to which calls are forwarded unchanged.
    """

    name: Name
    routes: tuple[Route, ...] = Field(min_length=1)
    instances: tuple[Instance, ...] = ()

    def route(self, path: str) -> Route | None:
        """
        Return the route with the longest path that is a prefix of ``path``, or None.
        """
        matching = [r for r in self.routes if _is_below(path, r.path)]
        return max(matching, key=lambda r: len(r.path), default=None)


@_checked
class Partner:
    """
    A client that sends requests.

    :param weight: Share of the capacity relative to the other partners.
    """

    name: Name
    token_sha256: Digest
    weight: Annotated[float, Field(gt=0, le=1000, strict=False)] = 1.0


@_checked
class Trainer:
    """
    A client that fetches training samples.

    :param staleness_bound: Maximum number of weight versions by which the oldest run
        of a sample may lag behind the trainer.
    :param preference: ``idle`` uses any engine within the bound; ``staleness`` waits
        for one with the trainer's version.
    """

    name: Name
    token_sha256: Digest
    pool: Name
    model: Name
    staleness_bound: NotNegative
    preference: Literal["idle", "staleness"] = "idle"


@_checked
class Objective:
    """
    A service-level objective of the burn report.

    :param kind: Measured value: ``latency`` (seconds until the complete answer),
        ``refusals`` (1 for a refused or failed request), ``idle`` (seconds that a
        trainer's fetch waited), ``freshness`` (weight versions that a sample lags).
    :param threshold: Largest value of a good event.
    :param target: Share of events that should be good.
    :param subject: A partner, ``trainer:NAME`` or ``pool:NAME``; empty for all.
    """

    name: Name
    kind: Literal["latency", "refusals", "idle", "freshness"]
    threshold: Annotated[float, Field(ge=0, strict=False)]
    target: Annotated[float, Field(gt=0, lt=1)]
    subject: Annotated[str, Field(max_length=80)] = ""

    def covers(self, subject: str) -> bool:
        """
        Return whether the objective counts events of a subject.
        """
        return self.subject in ("", subject)


@_checked
class Limits:
    """
    Limits of the whole deployment.

    :param choice: Policy that selects among back ends with a free slot.
    :param claim_remember_s: Retention of a caller's key, in seconds; the log must
        retain its records longer.
    """

    max_body_bytes: Annotated[int, Field(ge=1024, le=64_000_000)] = 1_000_000
    request_timeout_s: Seconds = 30.0
    body_timeout_s: Seconds = 5.0
    max_queue: Count = 256
    retry_ratio: Annotated[float, Field(ge=0, le=1, strict=False)] = 0.2
    retry_burst: Annotated[float, Field(ge=0, strict=False)] = 10.0
    choice: Literal["least_outstanding", "two_choices", "round_robin", "uniform"] = (
        "least_outstanding"
    )
    claim_partitions: Annotated[int, Field(ge=1, le=256)] = 4
    claim_remember_s: Seconds = 3600.0


@_checked
class Deployment:
    """
    The content of a deployment file.
    """

    schema_version: Literal[1]
    name: Name
    data_centres: tuple[Name, ...] = Field(min_length=1)
    pools: tuple[Pool, ...] = ()
    services: tuple[Service, ...] = ()
    partners: tuple[Partner, ...] = ()
    trainers: tuple[Trainer, ...] = ()
    objectives: tuple[Objective, ...] = ()
    limits: Limits = Limits()

    def __post_init__(self) -> None:
        problems = join_problems(self)
        if problems:
            raise PydanticCustomError("cross_check", "{text}", {"text": problems})

    def pool(self, name: str) -> Pool | None:
        return next((p for p in self.pools if p.name == name), None)

    def service(self, name: str) -> Service | None:
        return next((s for s in self.services if s.name == name), None)

    def trainer(self, name: str) -> Trainer | None:
        return next((t for t in self.trainers if t.name == name), None)


_ADAPTER = TypeAdapter(Deployment)


def token_digest(token: str) -> str:
    """
    Return the digest of a bearer token, which the deployment file stores instead.
    """
    return hashlib.sha256(token.encode()).hexdigest()


def validate(name: str, document: object) -> Deployment:
    """
    Validate a parsed document.

    :param name: Name of the document, for error messages.
    :param document: Dicts, lists and scalars.
    :raises InvalidDocumentError: With every problem found.
    """
    try:
        return _ADAPTER.validate_json(_PLAIN_ADAPTER.dump_json(document))
    except ValidationError as error:
        raise InvalidDocumentError(name, validation_problems(error)) from None


# JSON validation accepts lists as tuples, and applies strict rules to YAML scalars.
_PLAIN_ADAPTER = TypeAdapter(object)


def validation_problems(error: ValidationError) -> tuple[Problem, ...]:
    """
    Convert a validation error of pydantic into problems.
    """
    problems: list[Problem] = []
    for item in error.errors(include_url=False):
        path = "".join(
            f"[{part}]" if isinstance(part, int) else f".{part}" for part in item["loc"]
        )
        if item["type"] == "cross_check":
            problems += split_problems(item["msg"])
            continue
        found = repr(item.get("input"))
        if len(found) > 80:
            found = found[:77] + "..."
        if item["type"] == "missing":
            found = "nothing"
        problems.append(Problem(path.lstrip(".") or "document", found, item["msg"]))
    return tuple(problems)


def deployment_to_json(deployment: Deployment) -> bytes:
    """
    Encode a deployment in its canonical form, for a configuration record.
    """
    return _ADAPTER.dump_json(deployment)


def deployment_from_json(data: bytes) -> Deployment:
    """
    Decode a deployment from its canonical form.

    :raises InvalidDocumentError: If it is not valid for this release.
    """
    try:
        return _ADAPTER.validate_json(data)
    except ValidationError as error:
        raise InvalidDocumentError("record", validation_problems(error)) from None


def deployment_schema() -> dict[str, object]:
    """
    Return the JSON Schema of the deployment file, for editors.
    """
    return _ADAPTER.json_schema()


def _is_below(path: str, prefix: str) -> bool:
    trimmed = prefix.rstrip("/")
    return path == trimmed or path.startswith(trimmed + "/")
