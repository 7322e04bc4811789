# SPDX-License-Identifier: MIT

"""
Which configuration is accepted: a pure fold over the log's configuration stream.
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

#: The base of a proposal that expects no configuration to be accepted yet.
NO_BASE = -1

#: Publications whose outcome is kept for their author, a count.
_RESULTS_KEPT = 256


@dataclass(frozen=True)
class AcceptedConfig:
    """
    An accepted configuration.

    :param offset: Offset of its proposal, which is its name everywhere.
    :param document: The packed canonical file.
    """

    offset: int
    document: str


@dataclass(frozen=True)
class PublishResult:
    """
    What became of one proposal.

    :param state: ``pending``, ``accepted``, ``invalid`` or ``lost`` (a race).
    :param winner: Offset that was accepted when a race was lost.
    """

    state: str
    reason: str = ""
    winner: int = NO_BASE


@dataclass(frozen=True)
class ConfigFold:
    """
    The fold's state. Every node that read the same records holds the same state.

    A node that starts when old records are gone is not anchored: it keeps what it
    reads and decides nothing until a snapshot tells the state at an offset that it
    has itself read on from.

    :param next_offset: Offset of the next record to fold.
    :param anchored: Whether ``accepted`` is the truth up to ``next_offset``.
    :param pending: Proposals without a verdict, by offset.
    :param results: Offset and outcome of the newest publications, by record id.
    """

    next_offset: int = 0
    anchored: bool = True
    accepted: AcceptedConfig | None = None
    pending: dict[int, ConfigProposal] = field(default_factory=dict)
    results: dict[str, tuple[int, PublishResult]] = field(default_factory=dict)
    unanchored: tuple[tuple[int, Record], ...] = ()
    first_offset: int = 0

    @classmethod
    def starting_at(cls, first: int) -> ConfigFold:
        """
        Return the state of a node whose log begins at ``first``.
        """
        return cls(next_offset=first, first_offset=first, anchored=first == 0)

    def apply(self, offset: int, record: Record) -> ConfigFold:
        """
        Fold one record; records that were folded before change nothing.

        :param offset: The record's offset; never skips one that the log still has.
        """
        if offset < self.next_offset:
            return self
        moved = replace(self, next_offset=offset + 1)
        if self.anchored:
            return _apply_anchored(moved, offset, record)
        moved = replace(moved, unanchored=(*self.unanchored, (offset, record)))
        if isinstance(record, ConfigSnapshot) and record.folded_to >= self.first_offset:
            return _anchor(moved, record)
        return moved

    def result_of(self, record_id: str) -> tuple[int, PublishResult] | None:
        """
        Return offset and outcome of a publication, or none if it was not read.
        """
        return self.results.get(record_id)

    def snapshot(self) -> ConfigSnapshot | None:
        """
        Return the record that lets others start here, or none without a state.
        """
        if not self.anchored or self.accepted is None:
            return None
        pending = tuple(PendingProposal(o, p) for o, p in self.pending.items())
        return ConfigSnapshot(
            self.accepted.offset, self.next_offset, self.accepted.document, pending
        )


def _anchor(state: ConfigFold, snapshot: ConfigSnapshot) -> ConfigFold:
    # The snapshot is the whole state at its writer's reading position; what came
    # between that position and the snapshot is folded again here, in order.
    anchored = replace(
        state,
        anchored=True,
        accepted=AcceptedConfig(snapshot.offset, snapshot.document),
        pending={p.offset: p.proposal for p in snapshot.pending},
        unanchored=(),
    )
    for offset, record in state.unanchored:
        if offset >= snapshot.folded_to:
            anchored = _apply_anchored(anchored, offset, record)
    return anchored


def _apply_anchored(state: ConfigFold, offset: int, record: Record) -> ConfigFold:
    match record:
        case ConfigProposal():
            return _propose(state, offset, record)
        case ConfigVerdict():
            return _decide(state, record)
        case _:
            return state


def _propose(state: ConfigFold, offset: int, record: ConfigProposal) -> ConfigFold:
    # Only a proposal that was edited from the accepted file can still win, so a loser
    # is told at once, without waiting for a verdict.
    accepted = _accepted_offset(state)
    if record.base != accepted:
        lost = PublishResult("lost", "", accepted)
        return _settle(state, offset, record, lost)
    waiting = replace(state, pending={**state.pending, offset: record})
    return _settle(waiting, offset, record, PublishResult("pending"))


def _decide(state: ConfigFold, verdict: ConfigVerdict) -> ConfigFold:
    proposal = state.pending.get(verdict.proposal)
    if proposal is None:
        return state
    others = {k: v for k, v in state.pending.items() if k != verdict.proposal}
    if not verdict.valid:
        refused = PublishResult("invalid", verdict.reason)
        decided = replace(state, pending=others)
        return _settle(decided, verdict.proposal, proposal, refused)
    accepted = AcceptedConfig(verdict.proposal, proposal.document)
    decided = replace(state, accepted=accepted, pending={})
    lost = PublishResult("lost", "", verdict.proposal)
    for offset, loser in others.items():
        decided = _settle(decided, offset, loser, lost)
    won = PublishResult("accepted")
    return _settle(decided, verdict.proposal, proposal, won)


def _settle(
    state: ConfigFold, offset: int, proposal: ConfigProposal, result: PublishResult
) -> ConfigFold:
    # An append whose answer was lost may stand in the log twice: what an accepted
    # one of the two came to is the publication's outcome.
    known = state.results.get(proposal.record_id)
    if known is not None and known[1].state == "accepted":
        return state
    results = {**state.results, proposal.record_id: (offset, result)}
    newest = list(results.items())[-_RESULTS_KEPT:]
    return replace(state, results=dict(newest))


def _accepted_offset(state: ConfigFold) -> int:
    return state.accepted.offset if state.accepted else NO_BASE


@dataclass(frozen=True)
class ActiveConfig:
    """
    The configuration that a node serves by; its offset never goes down.

    It may come from the node's own fold or from a peer that has folded further.

    :param unusable: Newest accepted offset that this release could not use.
    """

    accepted: AcceptedConfig | None = None
    unusable: int = NO_BASE

    @property
    def offset(self) -> int:
        """
        Offset in force, or -1.
        """
        return self.accepted.offset if self.accepted else NO_BASE

    def offer(
        self, accepted: AcceptedConfig | None, usable: bool = True
    ) -> ActiveConfig:
        """
        Take a newer accepted configuration; an older or equal one changes nothing.

        :param usable: Whether this release can use it; if not, the last one stays.
        """
        if accepted is None or accepted.offset <= max(self.offset, self.unusable):
            return self
        if not usable:
            return replace(self, unusable=accepted.offset)
        return ActiveConfig(accepted)
