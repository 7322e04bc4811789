# SPDX-License-Identifier: MIT

"""
States that nodes fold from streams whose oldest records were dropped.

One reader starts at the beginning, others at the oldest record that is left. The states
on which they base their decisions are equal, or the later one reports that it does not
know the state. Faulty variants show that the runs reach the states in question.
"""

from __future__ import annotations

import os
from dataclasses import dataclass, field, replace

import pytest
from hypothesis import Phase, seed
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from builders import make_job, make_job_opened
from saddledoor import (
    EngineCrashed,
    EngineCrashFold,
    ItemCheckpoint,
    ItemFailed,
    ItemResult,
    ItemResultRecorded,
    JobEnded,
    JobFold,
    Lease,
    LeaseClaim,
    LeaseFold,
    LeaseRelease,
    LeaseRenewal,
    PoisonStatus,
    RequestsCleared,
    StoredText,
    UsageCounted,
    UsageDecided,
    UsageFold,
    decode_record,
    encode_record,
)
from saddledoor.leases import LeaseSnapshot, LeaseSnapshotRequest


#: Seeds of the examples; `make soak` sets its own.
_SEEDS = tuple(int(text) for text in os.environ.get("HISTORY_SEEDS", "1").split(","))
#: A failure is not made smaller, which takes minutes.
_SETTINGS = hypothesis_settings(
    max_examples=300,
    stateful_step_count=40,
    deadline=None,
    database=None,
    phases=[Phase.generate],
)
_LEASES = st.sampled_from(["orders", "share/pool"])
_NODES = st.sampled_from(["vm-a", "vm-b"])
_ITEMS = st.sampled_from(["item-0", "item-1", "item-2"])
_WORKSPACES = st.sampled_from(["red", "blue"])
_KEYS = "abc"
#: Share of a stream's records that is dropped.
_SHARES = st.sampled_from([0.0, 0.3, 0.6, 0.9, 1.0])
#: Windows after which the counts of a window are no longer written.
_LATE_WINDOWS = 2
_STREAMS = ("leases", "jobs", "usage", "crashes")


class _OldLeaseFold(LeaseFold):
    """
    The fold before snapshots: a reader considers all leases free that it has not read.
    """

    @classmethod
    def starting_at(cls, first: int) -> LeaseFold:
        return cls(next_offset=first)

    def apply(self, offset, record):
        if isinstance(record, LeaseSnapshot):
            return replace(self, next_offset=offset + 1)
        return super().apply(offset, record)


class _AnySnapshotFold(LeaseFold):
    """
    A faulty variant that takes a snapshot at any offset.
    """

    def apply(self, offset, record):
        if isinstance(record, LeaseSnapshot):
            record = replace(record, folded_to=offset)
        return super().apply(offset, record)


class _ReclaimingFold(LeaseFold):
    """
    A faulty variant in which a repeated append of a claim acquires the lease again.
    """

    def apply(self, offset, record):
        lease = self.leases.get(getattr(record, "name", ""))
        if isinstance(record, LeaseClaim) and lease is not None and lease.released:
            forgotten = {**self.leases, lease.name: replace(lease, claim_id="")}
            return LeaseFold.apply(replace(self, leases=forgotten), offset, record)
        return super().apply(offset, record)


class _TrustingUsageFold(UsageFold):
    """
    A faulty variant that relies on every window in a truncated history.
    """

    def knows(self, window: int) -> bool:
        return True


@dataclass
class _Folds:
    """
    The variants that a run uses.
    """

    leases: type[LeaseFold] = LeaseFold
    usage: type[UsageFold] = UsageFold


@dataclass
class _Reader:
    """
    A reader of all streams.

    :ivar first: Offset of its first record, by stream.
    """

    folds: _Folds
    first: dict[str, int]
    leases: LeaseFold = field(init=False)
    jobs: JobFold = field(default_factory=JobFold)
    usage: UsageFold = field(init=False)
    crashes: EngineCrashFold = field(default_factory=EngineCrashFold)

    def __post_init__(self) -> None:
        self.leases = self.folds.leases.starting_at(self.first["leases"])
        self.usage = self.folds.usage(_LATE_WINDOWS if self.first["usage"] else None)

    def apply(self, stream: str, offset: int, record) -> None:
        match stream:
            case "leases":
                self.leases = self.leases.apply(offset, record)
            case "jobs":
                self.jobs.apply(record)
            case "usage":
                self.usage.apply(record)
            case "crashes":
                self.crashes.apply(record, 0.0)


class _History(RuleBasedStateMachine):
    """
    Random records, truncations, and readers that start at the truncation.
    """

    folds = _Folds()

    @initialize()
    def start(self) -> None:
        self.log = {stream: [] for stream in _STREAMS}
        self.first = dict.fromkeys(_STREAMS, 0)
        self.full = _Reader(self.folds, dict(self.first))
        self.late: list[_Reader] = []
        self.claims: dict[str, LeaseClaim] = {}
        self.fences = [0]
        self.window = 0
        self.stale: list[LeaseSnapshot] = []
        self.highest: dict[str, int] = {}

    def append(self, stream: str, record) -> int:
        offset = len(self.log[stream])
        self.log[stream].append(record)
        for reader in (self.full, *self.late):
            reader.apply(stream, offset, record)
        return offset

    def teardown(self) -> None:
        """
        Compare a reader that starts at each record with the one that read all of them.
        """
        if not hasattr(self, "log"):
            return
        lengths = {stream: len(records) for stream, records in self.log.items()}
        for cut in range(max(lengths.values()) + 1):
            first = {stream: min(cut, length) for stream, length in lengths.items()}
            self.late = [self.reader_from(first)]
            self.leases_are_equal_or_unknown()
            self.jobs_are_equal_or_unknown()
            self.usage_is_equal_or_unknown()
            self.crashes_are_part_of_the_known_ones()

    def reader_from(self, first: dict[str, int]) -> _Reader:
        reader = _Reader(self.folds, dict(first))
        for stream in _STREAMS:
            for offset in range(first[stream], len(self.log[stream])):
                reader.apply(stream, offset, self.log[stream][offset])
        return reader

    @rule(shares=st.fixed_dictionaries(dict.fromkeys(_STREAMS, _SHARES)))
    def drop_and_join(self, shares: dict[str, float]) -> None:
        """
        Drop a share of the records of each stream; then a reader starts. It replaces
        the oldest one of several.
        """
        for stream in _STREAMS:
            kept = len(self.log[stream]) - self.first[stream]
            self.first[stream] += round(shares[stream] * kept)
        reader = self.reader_from(self.first)
        self.late = [*self.late[-2:], reader]

    # -------------------------------------------------------------- leases

    @rule(name=_LEASES, node=_NODES, read=st.booleans())
    def claim(self, name: str, node: str, read: bool) -> None:
        lease = self.full.leases.get(name)
        seen = lease.last_offset if lease and read else -1
        record = LeaseClaim(f"claim-{len(self.claims)}", name, node, seen)
        self.claims[record.record_id] = record
        self.fences.append(self.append("leases", record))

    @property
    def released(self) -> list[Lease]:
        return [v for v in self.full.leases.leases.values() if v.released]

    @rule(data=st.data())
    @precondition(lambda self: self.released)
    def repeat_claim(self, data) -> None:
        """
        The store carries out the claim of a released lease a second time.
        """
        lease = data.draw(st.sampled_from(self.released))
        self.append("leases", self.claims[lease.claim_id])
        assert self.full.leases.get(lease.name) == lease

    @rule(name=_LEASES, data=st.data())
    def renew(self, name: str, data) -> None:
        fence = data.draw(st.sampled_from(self.fences))
        self.append("leases", LeaseRenewal(name, fence))

    @rule(name=_LEASES)
    def renew_held(self, name: str) -> None:
        lease = self.full.leases.get(name)
        if lease is not None:
            self.append("leases", LeaseRenewal(name, lease.fence))

    @rule(name=_LEASES, data=st.data())
    def release(self, name: str, data) -> None:
        fence = data.draw(st.sampled_from(self.fences))
        self.append("leases", LeaseRelease(name, fence))

    @rule(data=st.data())
    def write_snapshot(self, data) -> None:
        """
        Any reader may write one, as an append on the condition of the stream's end.
        """
        reader = data.draw(st.sampled_from([self.full, *self.late]))
        record = reader.leases.snapshot(len(self.log["leases"]))
        self.stale.append(record)
        self.append("leases", decode_record(encode_record(record)))

    @property
    def outdated(self) -> list[LeaseSnapshot]:
        leases = self.full.leases.leases
        return [r for r in self.stale if {v.name: v for v in r.leases} != leases]

    @rule(data=st.data())
    @precondition(lambda self: self.outdated)
    def write_stale_snapshot(self, data) -> None:
        """
        A store that ignores the condition appends it all the same, with no effect.
        """
        leases = self.full.leases.leases
        self.append("leases", data.draw(st.sampled_from(self.outdated)))
        assert self.full.leases.leases == leases

    @rule(name=_LEASES)
    def release_held(self, name: str) -> None:
        lease = self.full.leases.get(name)
        if lease is not None:
            self.append("leases", LeaseRelease(name, lease.fence))

    @rule(node=_NODES)
    def request_snapshot(self, node: str) -> None:
        self.append("leases", LeaseSnapshotRequest(node))

    # ---------------------------------------------------------------- jobs

    @rule(repeats=st.integers(1, 2))
    def open_job(self, repeats: int) -> None:
        number = sum(getattr(r, "size", 0) > 0 for r in self.log["jobs"])
        job = replace(make_job_opened(make_job(3)), job_id=f"job-{number}")
        for _ in range(repeats):
            self.append("jobs", job)

    @rule(item=_ITEMS, data=st.data())
    @precondition(lambda self: self.log["jobs"])
    def change_job(self, item: str, data) -> None:
        job = data.draw(st.sampled_from(self.log["jobs"])).job_id
        text = StoredText((1,), 1)
        changes = [
            ItemResultRecorded(job, ItemResult(item, data.draw(st.booleans()))),
            ItemFailed(job, item, "failure-1", False),
            ItemCheckpoint(job, item, 1, 2, "", "run-1", (1,), text),
            ItemCheckpoint(job, item, 3, 1, "run-1", "run-1", (2,), text),
            JobEnded(job),
        ]
        self.append("jobs", data.draw(st.sampled_from(changes)))

    # --------------------------------------------------------------- usage

    @rule(windows=st.integers(1, 6))
    def pass_windows(self, windows: int) -> None:
        self.window += windows

    @rule(
        source=_NODES,
        late=st.integers(0, _LATE_WINDOWS - 1) | st.integers(_LATE_WINDOWS, 8),
        count=st.integers(1, 9),
        workspace=_WORKSPACES,
        whole=st.booleans(),
    )
    def count(self, source, late, count, workspace, whole) -> None:
        """
        Counts are written later than usual if the store was unavailable.
        """
        window = max(0, self.window - late)
        record = UsageCounted(source, window, {workspace: count}, whole, self.window)
        self.append("usage", record)

    @rule(late=st.integers(1, 4), count=st.integers(1, 9))
    def decide(self, late: int, count: int) -> None:
        window = self.window - late
        if window >= 0:
            self.append("usage", UsageDecided(window, {"red": count}))

    # ------------------------------------------------------------- crashes

    @rule(engine=st.integers(0, 5), requests=st.sets(st.sampled_from(_KEYS)))
    def crash(self, engine: int, requests: set[str]) -> None:
        record = EngineCrashed(f"engine-{engine}", 1, tuple(sorted(requests)))
        self.append("crashes", record)

    @rule(key=st.sampled_from(_KEYS))
    def clear(self, key: str) -> None:
        self.append("crashes", RequestsCleared((key,)))

    # ---------------------------------------------------------- invariants

    @invariant()
    def leases_are_equal_or_unknown(self) -> None:
        for reader in self.late:
            if reader.leases.is_complete:
                assert reader.leases.leases == self.full.leases.leases
            else:
                assert reader.leases.leases == {}

    @invariant()
    def fences_never_decrease(self) -> None:
        for name, lease in self.full.leases.leases.items():
            assert lease.fence >= self.highest.get(name, 0)
            self.highest[name] = lease.fence

    @invariant()
    def jobs_are_equal_or_unknown(self) -> None:
        """
        A reader with a truncated history answers that it does not know a job.
        """
        for reader in self.late:
            for job_id in {record.job_id for record in self.log["jobs"]}:
                state, known = reader.jobs.get(job_id), self.full.jobs.get(job_id)
                if state is None:
                    assert known is None or reader.first["jobs"]
                else:
                    assert state == replace(known, position=state.position)

    @invariant()
    def usage_is_equal_or_unknown(self) -> None:
        for reader in self.late:
            for window in range(self.window + 1):
                if reader.usage.knows(window):
                    assert _usage(reader, window) == _usage(self.full, window)

    @invariant()
    def crashes_are_part_of_the_known_ones(self) -> None:
        """
        A truncated reader suspects no request that the others do not suspect; it is
        equal to them if no report was dropped.
        """
        for reader in self.late:
            for key in _KEYS:
                if reader.crashes.is_implicated(key):
                    assert self.full.crashes.is_implicated(key)
                if not reader.first["crashes"]:
                    assert _status(reader, key) is _status(self.full, key)


def _usage(reader: _Reader, window: int) -> tuple:
    usage = reader.usage
    return usage.decided(window), usage.counted(window), usage.is_complete(window)


def _status(reader: _Reader, key: str) -> PoisonStatus:
    return reader.crashes.poison_status(key, 0.0)


def _run(folds: _Folds, number: int) -> None:
    machine = seed(number)(type("_Machine", (_History,), {"folds": folds}))
    run_state_machine_as_test(machine, settings=_SETTINGS)


@pytest.mark.parametrize("number", _SEEDS)
def test_readers_of_a_truncated_log_have_the_state_of_the_others_or_know_none(number):
    """
    Guards against two holders of a lease, and different answers and reports of nodes
    that started before and after records were dropped.
    """
    _run(_Folds(), number)


@pytest.mark.parametrize("number", _SEEDS)
@pytest.mark.parametrize(
    "folds",
    [
        _Folds(leases=_OldLeaseFold),
        _Folds(leases=_AnySnapshotFold),
        _Folds(leases=_ReclaimingFold),
        _Folds(usage=_TrustingUsageFold),
    ],
    ids=[
        "leases without snapshots",
        "snapshot at any offset",
        "a claim that counts twice",
        "all usage known",
    ],
)
def test_faulty_folds_are_detected(folds, number):
    """
    This shows that the runs include leases, snapshots and windows that were dropped.
    """
    with pytest.raises(AssertionError):
        _run(folds, number)
