# SPDX-License-Identifier: MIT

"""
Coordination parts of a rollout service, free of I/O and clocks.

Time, randomness and messages come in as arguments, so every decision can be tested,
replayed and embedded.
"""

from __future__ import annotations

from ._answers import Answer, AnswerBuilder, Part
from ._attempts import Attempts
from ._availability import DEAD_REPORT_AGE, PENALTY, Need, may_use
from ._claims import ClaimFold, IssuedKeys, key_digest, partition_of
from ._codes import Family, NotRun, OutcomeUnknown, ResultCode, describe
from ._config_fold import NO_BASE, Accepted, ConfigFold, InForce, PublishResult
from ._delivery import (
    Batch,
    FetchRequest,
    Resync,
    Sample,
    SampleSpec,
    Slot,
    StepBook,
)
from ._deployment import (
    Deployment,
    Engine,
    Instance,
    Limits,
    Model,
    Partner,
    Pool,
    Route,
    Service,
    Trainer,
    deployment_from_json,
    deployment_schema,
    deployment_to_json,
    problems_of,
    token_digest,
    validate,
)
from ._drain import Drain, Stage
from ._labels import VersionRun, append_part, is_fresh, is_wholly_labelled
from ._leases import TAKEOVER_FACTOR, HeldLease, Lease, LeaseFold, LeaseWatch
from ._members import (
    BackendReport,
    MemberEntry,
    MemberTable,
    PoolSummary,
    SiteSummary,
)
from ._queueing import FairQueue, WorkClass
from ._records import (
    ClaimBatch,
    ClaimRelease,
    ConfigProposal,
    ConfigSnapshot,
    ConfigVerdict,
    KeyClaim,
    LeaseClaim,
    LeaseRelease,
    LeaseRenewal,
    PendingProposal,
    Record,
    decode_record,
    encode_record,
    pack_document,
    unpack_document,
)
from ._retry import RetryBudget
from ._routing import (
    Candidate,
    Choose,
    least_reported,
    rendezvous,
    rendezvous_order,
    round_robin,
    two_choices,
    uniform,
)
from ._swaps import EngineWeights, Order, next_orders


__all__ = [
    "Answer",
    "AnswerBuilder",
    "Attempts",
    "DEAD_REPORT_AGE",
    "Drain",
    "Need",
    "PENALTY",
    "Part",
    "Stage",
    "may_use",
    "NO_BASE",
    "TAKEOVER_FACTOR",
    "Accepted",
    "BackendReport",
    "Batch",
    "Candidate",
    "Choose",
    "ClaimBatch",
    "ClaimFold",
    "ClaimRelease",
    "ConfigFold",
    "ConfigProposal",
    "ConfigSnapshot",
    "ConfigVerdict",
    "Deployment",
    "Engine",
    "EngineWeights",
    "FairQueue",
    "Family",
    "FetchRequest",
    "HeldLease",
    "InForce",
    "Instance",
    "IssuedKeys",
    "KeyClaim",
    "Lease",
    "LeaseClaim",
    "LeaseFold",
    "LeaseRelease",
    "LeaseRenewal",
    "LeaseWatch",
    "Limits",
    "MemberEntry",
    "MemberTable",
    "Model",
    "NotRun",
    "Order",
    "OutcomeUnknown",
    "Partner",
    "PendingProposal",
    "Pool",
    "PoolSummary",
    "PublishResult",
    "Record",
    "Resync",
    "ResultCode",
    "RetryBudget",
    "Route",
    "Sample",
    "SampleSpec",
    "Service",
    "SiteSummary",
    "Slot",
    "StepBook",
    "Trainer",
    "VersionRun",
    "WorkClass",
    "append_part",
    "decode_record",
    "deployment_from_json",
    "deployment_schema",
    "deployment_to_json",
    "describe",
    "encode_record",
    "is_fresh",
    "is_wholly_labelled",
    "key_digest",
    "least_reported",
    "next_orders",
    "pack_document",
    "partition_of",
    "problems_of",
    "rendezvous",
    "rendezvous_order",
    "round_robin",
    "token_digest",
    "two_choices",
    "uniform",
    "unpack_document",
    "validate",
]
