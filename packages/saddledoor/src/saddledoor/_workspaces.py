# SPDX-License-Identifier: MIT

"""
Admission of callers by API key, and the workspace that a request belongs to.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from ._codes import NotRun, ResultCode


__all__ = ["Admitted", "KeyFreshnessBounds", "Workspace", "WorkspaceTable", "admit"]

#: ``Retry-After`` for a caller whose key this VM cannot check, in seconds.
_RETRY_AFTER = 0.1


@dataclass(frozen=True)
class Workspace:
    """
    A group of callers that share jobs, usage counts and a priority.

    :param key_digests: Digests of the valid keys, made by `Workspace.digest`.
    :param rank: Priority; 0 is the most urgent. It overrides the route's rank; none
        applies the route's.
    :param allowed_regions: Regions that may serve and store its requests; none if any
        region may.
    """

    name: str
    key_digests: frozenset[bytes]
    rank: int | None = None
    allowed_regions: frozenset[str] | None = None

    @classmethod
    def from_keys(
        cls,
        name: str,
        keys: Iterable[str],
        rank: int | None = None,
        allowed_regions: frozenset[str] | None = None,
    ) -> Workspace:
        """
        Return a workspace that stores only the digests of its keys.
        """
        digests = frozenset(cls.digest(key) for key in keys)
        return cls(name, digests, rank, allowed_regions)

    @staticmethod
    def digest(key: str) -> bytes:
        """
        Return the digest of a key; keys are only compared by their digests.
        """
        return hashlib.sha256(key.encode()).digest()


@dataclass(frozen=True)
class WorkspaceTable:
    """
    Workspaces by the digests of their keys, and by name.
    """

    _by_digest: Mapping[bytes, Workspace] = field(default_factory=dict)
    _by_name: Mapping[str, Workspace] = field(default_factory=dict)

    @classmethod
    def from_workspaces(cls, workspaces: Iterable[Workspace]) -> WorkspaceTable:
        """
        Build the table.

        :raises ValueError: If two workspaces have a name or a key in common; the
            message names the workspaces.
        """
        by_name: dict[str, Workspace] = {}
        by_digest: dict[bytes, Workspace] = {}
        for workspace in workspaces:
            if workspace.name in by_name:
                raise ValueError(f"two workspaces are named {workspace.name!r}")
            by_name[workspace.name] = workspace
            for digest in workspace.key_digests:
                other = by_digest.setdefault(digest, workspace)
                if other is not workspace:
                    raise ValueError(
                        f"a key of {workspace.name!r} is one of {other.name!r}"
                    )
        return cls(by_digest, by_name)

    def names(self) -> list[str]:
        """
        Return the names of the workspaces.
        """
        return list(self._by_name)

    def named(self, name: str) -> Workspace | None:
        """
        Return a workspace by name, also if it has no valid key; none if there is none.
        """
        return self._by_name.get(name)

    def find(self, key: str) -> Workspace | None:
        """
        Return the workspace that holds a key, or none.
        """
        return self._by_digest.get(Workspace.digest(key))


@dataclass(frozen=True)
class KeyFreshnessBounds:
    """
    Freshness limits of a VM's knowledge of keys.

    :param propagation_limit: Time after which every VM with access to the store knows a
        new key, in seconds.
    :param revocation_limit: Time after which no VM may accept a revoked key, in
        seconds; none if VMs without access to the store may go on accepting it.
    """

    propagation_limit: float
    revocation_limit: float | None = None


@dataclass(frozen=True)
class Admitted:
    """
    The decision that a request may be served.

    :param workspace: Name of the caller's workspace; empty if the request needs no key
        and has no known one, none if no workspaces are configured.
    """

    workspace: str | None = None


def admit(
    table: WorkspaceTable | None,
    needs_key: bool,
    key: str,
    age: float,
    bounds: KeyFreshnessBounds,
) -> Admitted | NotRun:
    """
    Decide whether a request may be served, by its key.

    A VM whose keys are out of date serves the keys that it knows, unless revocation has
    a time limit. It answers an unknown key with `KEYS_UNSURE`, not `UNAUTHENTICATED`,
    so that the caller asks another VM, which may know the key.

    :param table: Table of the newest configuration; none if it has no workspaces.
    :param needs_key: Whether the route requires a key.
    :param key: The caller's API key; empty if it sent none.
    :param age: Time since this VM last had the newest configuration, in seconds.
    """
    if table is None:
        return Admitted()
    workspace = table.find(key) if key else None
    if not needs_key:
        return Admitted(workspace.name if workspace else "")
    if not key:
        return NotRun(ResultCode.UNAUTHENTICATED, "a key is needed", 0.0)
    if workspace is None:
        if age > bounds.propagation_limit:
            return _refuse_stale(f"a key not known here, where news is {age:.1f} s old")
        return NotRun(ResultCode.UNAUTHENTICATED, "the key is not known", 0.0)
    if bounds.revocation_limit is not None and age > bounds.revocation_limit:
        return _refuse_stale(f"a key last known to be in force {age:.1f} s ago")
    return Admitted(workspace.name)


def _refuse_stale(reason: str) -> NotRun:
    return NotRun(ResultCode.KEYS_UNSURE, reason, _RETRY_AFTER)
