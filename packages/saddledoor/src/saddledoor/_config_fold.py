# SPDX-License-Identifier: MIT

"""
Decides which configuration is accepted: a pure fold over the configuration stream.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from ._records import (
    ConfigProposal,
    ConfigSnapshot,
    ConfigVerdict,
    PendingProposal,
    Record,
)


__all__ = ["NO_BASE", "AcceptedConfig", "ConfigFold", "ActiveConfig", "PublishResult"]

#: Stands for the offset of a configuration where there is none, for example the base
#: of a first proposal.
NO_BASE = -1

#: Maximum number of proposals whose result is kept for their author.
_MAX_RESULTS = 256


@dataclass(frozen=True)
class AcceptedConfig:
    """
    An accepted configuration.

    :param offset: Offset of its proposal, which identifies it everywhere.
    :param document: Canonical form of the file, packed by `pack_document`.
    """

    offset: int
    document: str


@dataclass(frozen=True)
class PublishResult:
    """
    Result of one proposal.

    :param state: ``pending``, ``accepted``, ``invalid``, or ``lost`` if another
        proposal was accepted first.
    :param winner: Offset of the configuration that was accepted instead.
    """

    state: str
    reason: str = ""
    winner: int = NO_BASE


@dataclass(frozen=True)
class ConfigFold:
    """
    State of the fold; the same on every node that read the same records.

    A node that starts after old records were dropped is not synced: it buffers the
    records that it reads, and decides nothing until a snapshot supplies the state at
    an offset from which it has read every record.

    :param next_offset: Offset of the next record to fold.
    :param synced: Whether ``accepted`` includes every record below ``next_offset``.
    :param pending: Proposals without a verdict, by offset.
    :param results: Offset and result of the newest proposals, by record id.
    :param buffered_records: Offsets and records that await a snapshot.
    :param first_offset: Oldest offset that the log had when the node started.
    """

    next_offset: int = 0
    synced: bool = True
    accepted: AcceptedConfig | None = None
    pending: dict[int, ConfigProposal] = field(default_factory=dict)
    results: dict[str, tuple[int, PublishResult]] = field(default_factory=dict)
    buffered_records: tuple[tuple[int, Record], ...] = ()
    first_offset: int = 0

    @classmethod
    def starting_at(cls, first: int) -> ConfigFold:
        """
        Return the initial state of a node whose log begins at offset ``first``.
        """
        return cls(next_offset=first, first_offset=first, synced=first == 0)

    def apply(self, offset: int, record: Record) -> ConfigFold:
        """
        Fold one record; one that was folded before has no effect.

        :param offset: Offset of the record; the caller passes every record that the log
            still has, in order.
        """
        if offset < self.next_offset:
            return self
        advanced = replace(self, next_offset=offset + 1)
        if self.synced:
            return _apply_synced(advanced, offset, record)
        advanced = replace(
            advanced, buffered_records=(*self.buffered_records, (offset, record))
        )
        if isinstance(record, ConfigSnapshot) and record.folded_to >= self.first_offset:
            return _sync_from_snapshot(advanced, record)
        return advanced

    def result_of(self, record_id: str) -> tuple[int, PublishResult] | None:
        """
        Return offset and result of a proposal, or None if it is unknown.
        """
        return self.results.get(record_id)

    def snapshot(self) -> ConfigSnapshot | None:
        """
        Return a snapshot record of the state, or None if nothing is accepted.
        """
        if not self.synced or self.accepted is None:
            return None
        pending = tuple(PendingProposal(o, p) for o, p in self.pending.items())
        return ConfigSnapshot(
            self.accepted.offset, self.next_offset, self.accepted.document, pending
        )


def _sync_from_snapshot(state: ConfigFold, snapshot: ConfigSnapshot) -> ConfigFold:
    # The snapshot holds the state at its writer's read position. The records between
    # that position and the snapshot are folded here.
    synced = replace(
        state,
        synced=True,
        accepted=AcceptedConfig(snapshot.offset, snapshot.document),
        pending={p.offset: p.proposal for p in snapshot.pending},
        buffered_records=(),
    )
    for offset, record in state.buffered_records:
        if offset >= snapshot.folded_to:
            synced = _apply_synced(synced, offset, record)
    return synced


def _apply_synced(state: ConfigFold, offset: int, record: Record) -> ConfigFold:
    match record:
        case ConfigProposal():
            return _apply_proposal(state, offset, record)
        case ConfigVerdict():
            return _apply_verdict(state, record)
        case _:
            return state


def _apply_proposal(
    state: ConfigFold, offset: int, record: ConfigProposal
) -> ConfigFold:
    # A proposal with an outdated base cannot be accepted and needs no verdict.
    accepted = _accepted_offset(state)
    if record.base != accepted:
        lost_result = PublishResult("lost", "", accepted)
        return _record_result(state, offset, record, lost_result)
    with_pending = replace(state, pending={**state.pending, offset: record})
    return _record_result(with_pending, offset, record, PublishResult("pending"))


def _apply_verdict(state: ConfigFold, verdict: ConfigVerdict) -> ConfigFold:
    proposal = state.pending.get(verdict.proposal)
    if proposal is None:
        return state
    others = {k: v for k, v in state.pending.items() if k != verdict.proposal}
    if not verdict.valid:
        invalid_result = PublishResult("invalid", verdict.reason)
        decided = replace(state, pending=others)
        return _record_result(decided, verdict.proposal, proposal, invalid_result)
    accepted = AcceptedConfig(verdict.proposal, proposal.document)
    decided = replace(state, accepted=accepted, pending={})
    lost_result = PublishResult("lost", "", verdict.proposal)
    for offset, lost_proposal in others.items():
        decided = _record_result(decided, offset, lost_proposal, lost_result)
    accepted_result = PublishResult("accepted")
    return _record_result(decided, verdict.proposal, proposal, accepted_result)


def _record_result(
    state: ConfigFold, offset: int, proposal: ConfigProposal, result: PublishResult
) -> ConfigFold:
    # The log may hold a proposal twice if its append was repeated. If one of the two
    # was accepted, that is the result.
    known = state.results.get(proposal.record_id)
    if known is not None and known[1].state == "accepted":
        return state
    results = {**state.results, proposal.record_id: (offset, result)}
    newest = list(results.items())[-_MAX_RESULTS:]
    return replace(state, results=dict(newest))


def _accepted_offset(state: ConfigFold) -> int:
    return state.accepted.offset if state.accepted else NO_BASE


@dataclass(frozen=True)
class ActiveConfig:
    """
    The configuration that a node uses; its offset never decreases.

    It comes from the node's own fold or from a peer that has read more of the log.

    :param accepted: The configuration, or None if none has been accepted.
    :param unusable: Newest accepted offset that this release cannot use; -1 for none.
    """

    accepted: AcceptedConfig | None = None
    unusable: int = NO_BASE

    @property
    def offset(self) -> int:
        """
        Offset of the active configuration, or -1.
        """
        return self.accepted.offset if self.accepted else NO_BASE

    def offer(
        self, accepted: AcceptedConfig | None, usable: bool = True
    ) -> ActiveConfig:
        """
        Activate a newer accepted configuration; an older or equal one has no effect.

        :param usable: Whether this release can use it; if not, the current one stays.
        """
        if accepted is None or accepted.offset <= max(self.offset, self.unusable):
            return self
        if not usable:
            return replace(self, unusable=accepted.offset)
        return ActiveConfig(accepted)
