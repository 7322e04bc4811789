# SPDX-License-Identifier: MIT

"""
Checks of a deployment file that involve more than one field.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from .exceptions import Problem


if TYPE_CHECKING:
    from ._deployment import Deployment


__all__ = ["join_problems", "split_problems"]

#: Separators between the fields of a problem and between problems in one message.
_FIELD_SEPARATOR, _PROBLEM_SEPARATOR = "~", "|"


def join_problems(deployment: Deployment) -> str:
    """
    Return all problems of a deployment as one message, empty if there are none.
    """
    return _PROBLEM_SEPARATOR.join(_find_problems(deployment))


def split_problems(message: str) -> list[Problem]:
    """
    Return the problems in a message of `join_problems`.
    """
    return [
        Problem(*text.split(_FIELD_SEPARATOR))
        for text in message.split(_PROBLEM_SEPARATOR)
    ]


def _duplicates(place: str, names: Iterable[str]) -> Iterable[str]:
    seen: set[str] = set()
    for index, name in enumerate(names):
        if name in seen:
            yield f"{place}[{index}].name~duplicate {name!r}~a unique name"
        seen.add(name)


def _find_problems(deployment: Deployment) -> Iterable[str]:
    yield from _duplicates("pools", (p.name for p in deployment.pools))
    yield from _duplicates("services", (s.name for s in deployment.services))
    yield from _duplicates("partners", (p.name for p in deployment.partners))
    yield from _duplicates("trainers", (t.name for t in deployment.trainers))
    yield from _duplicates("objectives", (o.name for o in deployment.objectives))
    yield from _check_members(deployment)
    yield from _check_trainers(deployment)
    yield from _check_tokens(deployment)


def _check_members(deployment: Deployment) -> Iterable[str]:
    known = set(deployment.data_centres)
    seen: set[str] = set()
    groups = [
        *((f"pools[{i}].engines", p.engines) for i, p in enumerate(deployment.pools)),
        *(
            (f"services[{i}].instances", s.instances)
            for i, s in enumerate(deployment.services)
        ),
    ]
    for place, members in groups:
        for index, member in enumerate(members):
            path = f"{place}[{index}]"
            if member.name in seen:
                yield f"{path}.name~duplicate {member.name!r}~a unique name"
            seen.add(member.name)
            if member.data_centre not in known:
                yield (
                    f"{path}.data_centre~{member.data_centre!r}~one of {sorted(known)}"
                )


def _check_trainers(deployment: Deployment) -> Iterable[str]:
    for index, trainer in enumerate(deployment.trainers):
        pool = deployment.pool(trainer.pool)
        place = f"trainers[{index}]"
        if pool is None:
            allowed = sorted(p.name for p in deployment.pools)
            yield f"{place}.pool~{trainer.pool!r}~one of {allowed}"
        elif trainer.model not in {m.name for m in pool.models}:
            allowed = sorted(m.name for m in pool.models)
            yield f"{place}.model~{trainer.model!r}~one of {allowed}"


def _check_tokens(deployment: Deployment) -> Iterable[str]:
    seen: set[str] = set()
    for kind in ("partners", "trainers"):
        for index, owner in enumerate(getattr(deployment, kind)):
            if owner.token_sha256 in seen:
                yield f"{kind}[{index}].token_sha256~a duplicate token~a unique token"
            seen.add(owner.token_sha256)
