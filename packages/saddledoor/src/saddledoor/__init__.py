# SPDX-License-Identifier: MIT

"""
Decision logic of saddledoor, without I/O, clocks or randomness.

Time, random values and messages are passed as arguments, so that every decision can be
tested, replayed and embedded.

The library holds two models of a configuration: `Deployment`, the project's own
deployment file, and `GatewayConfig`, the configuration of the gateway.
"""

from __future__ import annotations

from ._answers import Answer, AnswerBuilder, Part
from ._attempts import Attempts
from ._availability import (
    DEAD_REPORT_AGE,
    FAILURE_BACKOFF,
    BackendRequirement,
    is_eligible,
)
from ._burn import (
    BurnMeter,
    BurnRow,
    CountingGap,
    Observation,
    burn_rows,
    find_counting_gaps,
)
from ._claims import ClaimFold, IssuedKeys, key_digest, partition_of
from ._codes import Family, NotRun, OutcomeUnknown, ResultCode, describe
from ._config_fold import (
    NO_BASE,
    AcceptedConfig,
    ActiveConfig,
    ConfigFold,
    PublishResult,
)
from ._delivery import (
    Batch,
    FetchRequest,
    Resync,
    Sample,
    SampleSpec,
    Slot,
    StepDelivery,
)
from ._deployment import (
    Deployment,
    Engine,
    Instance,
    Limits,
    Model,
    Objective,
    Partner,
    Pool,
    Route,
    Service,
    Trainer,
    deployment_from_json,
    deployment_schema,
    deployment_to_json,
    token_digest,
    validate,
    validation_problems,
)
from ._drain import Drain, DrainStage
from ._engine_attempts import AttemptOutcome, EngineAttempt, EngineAttempts
from ._engine_crash_fold import EngineCrashFold, PoisonStatus, request_key
from ._engine_directory import EngineDirectory, EngineEntry
from ._engine_tables import EngineTable, EngineTables
from ._event_text import EventText, GeneratedEvent, TextSegment
from ._incarnation import Incarnation
from ._item_placement import PlacementCandidate, choose_placement, is_worth_moving
from ._job_fold import CheckpointedText, JobFold, JobState
from ._job_records import (
    decode_events,
    decode_job_items,
    decode_job_record,
    encode_events,
    encode_job_items,
    encode_job_record,
)
from ._jobs import (
    ItemCheckpoint,
    ItemFailed,
    ItemRejected,
    ItemResult,
    ItemResultRecorded,
    Job,
    JobEnded,
    JobItem,
    JobOpened,
    JobRecord,
    ScoreCall,
    StoredText,
)
from ._labels import VersionRun, append_part, is_fresh, is_fully_labelled
from ._leases import TAKEOVER_FACTOR, HeldLease, LeaseFold, LeaseWatch
from ._members import (
    BackendReport,
    MemberEntry,
    MemberTable,
    PoolSummary,
    SiteSummary,
)
from ._page_size import PageSize
from ._queueing import FairQueue, PushResult, WorkClass
from ._records import (
    BurnTotals,
    ClaimBatch,
    ClaimRelease,
    ConfigProposal,
    ConfigSnapshot,
    ConfigVerdict,
    EngineCrashed,
    KeyClaim,
    PendingProposal,
    Record,
    RequestsCleared,
    UsageCounted,
    UsageDecided,
    decode_record,
    encode_record,
    pack_document,
    unpack_document,
)
from ._retry import RetryBudget
from ._route_table import (
    GatewayConfig,
    GatewayLimits,
    GatewayRoute,
    GatewayService,
    RouteKind,
    RouteTable,
    ServiceShare,
)
from ._routing import (
    Candidate,
    RoutingPolicy,
    least_outstanding,
    least_outstanding_rendezvous,
    least_reported,
    rendezvous,
    rendezvous_order,
    round_robin,
    two_choices,
    uniform,
)
from ._step_order import StepOrder, in_order, longest_first, oldest_allowed
from ._swaps import EngineWeights, Order, next_orders
from ._text_lengths import TextLengthEstimator
from ._time_left import time_left
from ._usage import StableClock, UsageFold, UsageMeter, UsageWindows
from ._weight_loads import (
    ModelWeights,
    following_engines,
    max_concurrent_loads,
    plan_weight_loads,
)
from ._workspaces import Admitted, KeyFreshnessBounds, Workspace, WorkspaceTable, admit
from .eligibility import (
    Denial,
    EngineFacts,
    SendNeeds,
    check_send,
    intersect_regions,
)
from .leases import Lease, LeaseClaim, LeaseRelease, LeaseRenewal
from .scaling import ScalingLimits


__all__ = [
    "Denial",
    "EngineFacts",
    "ScalingLimits",
    "SendNeeds",
    "check_send",
    "intersect_regions",
    "request_key",
    "time_left",
    "RequestsCleared",
    "PoisonStatus",
    "EngineCrashed",
    "EngineCrashFold",
    "AcceptedConfig",
    "Admitted",
    "Answer",
    "AnswerBuilder",
    "AttemptOutcome",
    "Attempts",
    "BackendReport",
    "Batch",
    "BurnMeter",
    "BurnRow",
    "BurnTotals",
    "Candidate",
    "RoutingPolicy",
    "ClaimBatch",
    "ClaimFold",
    "ClaimRelease",
    "ConfigFold",
    "ConfigProposal",
    "ConfigSnapshot",
    "ConfigVerdict",
    "DEAD_REPORT_AGE",
    "Deployment",
    "Drain",
    "Engine",
    "EngineAttempt",
    "EngineAttempts",
    "EngineDirectory",
    "EngineEntry",
    "EngineTables",
    "EngineTable",
    "EngineWeights",
    "EventText",
    "FairQueue",
    "Family",
    "FetchRequest",
    "GatewayConfig",
    "GatewayLimits",
    "GatewayRoute",
    "GatewayService",
    "GeneratedEvent",
    "HeldLease",
    "CountingGap",
    "ActiveConfig",
    "Incarnation",
    "Instance",
    "IssuedKeys",
    "ItemFailed",
    "ItemRejected",
    "ItemCheckpoint",
    "ItemResultRecorded",
    "ItemResult",
    "Job",
    "JobFold",
    "JobEnded",
    "JobItem",
    "JobOpened",
    "JobRecord",
    "JobState",
    "CheckpointedText",
    "KeyFreshnessBounds",
    "TextSegment",
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
    "NO_BASE",
    "ModelWeights",
    "BackendRequirement",
    "NotRun",
    "Objective",
    "Observation",
    "Order",
    "OutcomeUnknown",
    "PageSize",
    "FAILURE_BACKOFF",
    "Part",
    "Partner",
    "PendingProposal",
    "Pool",
    "PoolSummary",
    "PublishResult",
    "PushResult",
    "Record",
    "ResultCode",
    "Resync",
    "RetryBudget",
    "Route",
    "RouteKind",
    "RouteTable",
    "StableClock",
    "UsageFold",
    "UsageCounted",
    "UsageDecided",
    "UsageMeter",
    "UsageWindows",
    "Workspace",
    "WorkspaceTable",
    "Sample",
    "SampleSpec",
    "ScoreCall",
    "PlacementCandidate",
    "Service",
    "ServiceShare",
    "SiteSummary",
    "Slot",
    "DrainStage",
    "StepDelivery",
    "StepOrder",
    "StoredText",
    "TAKEOVER_FACTOR",
    "TextLengthEstimator",
    "Trainer",
    "VersionRun",
    "WorkClass",
    "append_part",
    "burn_rows",
    "choose_placement",
    "decode_events",
    "decode_job_items",
    "decode_job_record",
    "decode_record",
    "deployment_from_json",
    "deployment_schema",
    "deployment_to_json",
    "describe",
    "encode_events",
    "encode_job_items",
    "encode_job_record",
    "encode_record",
    "max_concurrent_loads",
    "find_counting_gaps",
    "following_engines",
    "in_order",
    "is_fresh",
    "is_fully_labelled",
    "is_worth_moving",
    "key_digest",
    "least_outstanding",
    "least_reported",
    "longest_first",
    "admit",
    "is_eligible",
    "next_orders",
    "oldest_allowed",
    "least_outstanding_rendezvous",
    "pack_document",
    "partition_of",
    "validation_problems",
    "rendezvous",
    "rendezvous_order",
    "round_robin",
    "token_digest",
    "two_choices",
    "uniform",
    "unpack_document",
    "validate",
    "plan_weight_loads",
]
