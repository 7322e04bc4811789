# SPDX-License-Identifier: MIT

"""
Callers by key: which workspace a request belongs to, and what a VM may decide of it.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from ._codes import NotRun, ResultCode


__all__ = ["Admitted", "KeyFreshnessBounds", "Workspace", "WorkspaceTable", "admit"]

#: When a caller should ask elsewhere whose key this VM cannot judge, in seconds.
_COME_BACK = 0.1


@dataclass(frozen=True)
class Workspace:
    """
    Whoever shares jobs, counts and priority under one name.

    :param key_digests: Of the keys that are in force, as `Workspace.digest` gives them.
    :param rank: 0 is the most urgent; goes before the rank of the route. None without
        one of its own.
    """

    name: str
    key_digests: frozenset[bytes]
    rank: int | None = None

    @classmethod
    def from_keys(
        cls, name: str, keys: Iterable[str], rank: int | None = None
    ) -> Workspace:
        """
        Return a workspace that keeps no key itself.
        """
        return cls(name, frozenset(cls.digest(key) for key in keys), rank)

    @staticmethod
    def digest(key: str) -> bytes:
        """
        Return what stands for a key: nothing that is compared tells of the key.
        """
        return hashlib.sha256(key.encode()).digest()


@dataclass(frozen=True)
class WorkspaceTable:
    """
    Finds the workspace of a key.
    """

    _by_digest: Mapping[bytes, Workspace] = field(default_factory=dict)

    @classmethod
    def from_workspaces(cls, workspaces: Iterable[Workspace]) -> WorkspaceTable:
        """
        Build the table.

        :raises ValueError: If two workspaces have a name or a key in common; the
            message names them.
        """
        names: set[str] = set()
        by_digest: dict[bytes, Workspace] = {}
        for workspace in workspaces:
            if workspace.name in names:
                raise ValueError(f"two workspaces are named {workspace.name!r}")
            names.add(workspace.name)
            for digest in workspace.key_digests:
                other = by_digest.setdefault(digest, workspace)
                if other is not workspace:
                    raise ValueError(
                        f"a key of {workspace.name!r} is one of {other.name!r}"
                    )
        return cls(by_digest)

    def find(self, key: str) -> Workspace | None:
        """
        Return the workspace that holds a key, or none.
        """
        return self._by_digest.get(Workspace.digest(key))


@dataclass(frozen=True)
class KeyFreshnessBounds:
    """
    How old what a VM knows of keys may be.

    :param propagation_limit: Every VM that the store reaches knows a key this long
        after it was put in force, in seconds.
    :param revocation_limit: No request that is sent later than this after its key was
        taken away may run, in seconds; none if only VMs that the store reaches have to
        know.
    """

    propagation_limit: float
    revocation_limit: float | None = None


@dataclass(frozen=True)
class Admitted:
    """
    A request may be served.

    :param workspace: Whose it is; empty if it needs no key and has none that is known,
        none if the configuration knows no workspaces.
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
    Decide on a request by its key.

    A VM that has not heard of the store for long serves the keys that it knows, unless
    it is to be sure that they are still in force. It does not call a key unknown that
    others may know by now: the caller would not ask anybody else.

    :param table: Of the newest configuration; none if that knows no workspaces.
    :param key: Empty without one.
    :param age: Of what this VM knows, in seconds: since it last had everything.
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
            return _unsure(f"a key not known here, where news is {age:.1f} s old")
        return NotRun(ResultCode.UNAUTHENTICATED, "the key is not known", 0.0)
    if bounds.revocation_limit is not None and age > bounds.revocation_limit:
        return _unsure(f"a key last known to be in force {age:.1f} s ago")
    return Admitted(workspace.name)


def _unsure(reason: str) -> NotRun:
    return NotRun(ResultCode.KEYS_UNSURE, reason, _COME_BACK)
