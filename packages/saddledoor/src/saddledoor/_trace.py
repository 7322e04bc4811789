# SPDX-License-Identifier: MIT

"""
Events of a recorded trace: inputs and decisions of nodes, and observations of back
ends and trainers.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated, Literal

from pydantic import Field


__all__ = [
    "ClaimDecided",
    "CallEnded",
    "Event",
    "FetchAnswered",
    "RecordFolded",
    "SlotGranted",
    "HandedOver",
    "ConfigReceived",
    "SampleKept",
    "NodeStarted",
    "ConfigActivated",
    "CallRan",
    "RequestIn",
    "RequestOut",
    "SampleAdded",
    "LeavingSeen",
    "StageChanged",
    "StaleDropped",
    "StepOpened",
    "AnswerStreamed",
    "TracedEvent",
]

#: Version, first and last token index of a `VersionRun`.
RunTuple = tuple[int, int, int]
#: Group and index of a `Slot`.
SlotTuple = tuple[int, int]


@dataclass(frozen=True)
class NodeStarted:
    """
    A node's process started, with empty memory.
    """

    kind: Literal["node_began"] = "node_began"


@dataclass(frozen=True)
class RecordFolded:
    """
    A node read a record of the log.

    :param at: When the record was appended, in seconds of the log's clock; 0 if unused.
    :param data: The encoded record.
    :param first: Oldest offset that the log had when the node started to read.
    """

    stream: str
    offset: int
    at: float
    data: str
    first: int = 0
    kind: Literal["folded"] = "folded"


@dataclass(frozen=True)
class ConfigReceived:
    """
    A node received an accepted configuration from a peer.
    """

    offset: int
    kind: Literal["heard_config"] = "heard_config"


@dataclass(frozen=True)
class ConfigActivated:
    """
    A node activated a configuration.
    """

    offset: int
    kind: Literal["put_in_force"] = "put_in_force"


@dataclass(frozen=True)
class ClaimDecided:
    """
    A node reported the owner of a key.

    :param owner: Identifier of the claim that owns the key.
    """

    stream: str
    key: str
    owner: str
    kind: Literal["claim_decided"] = "claim_decided"


@dataclass(frozen=True)
class HandedOver:
    """
    A node hands a call to a back end.

    :param request_id: Identifier of the request and number of the attempt.
    :param once: Partner, service and key of an unrepeatable call; empty if repeatable.
    """

    request_id: str
    backend: str
    once: str
    kind: Literal["handed_over"] = "handed_over"


@dataclass(frozen=True)
class CallEnded:
    """
    A node returned the final outcome of a call.

    :param request_id: Identifier of the request, without the number of an attempt.
    :param code: Numeric result code.
    """

    request_id: str
    code: int
    kind: Literal["ended"] = "ended"


@dataclass(frozen=True)
class CallRan:
    """
    A service reports that it ran a call.

    :param request_id: As in `HandedOver`.
    """

    backend: str
    request_id: str
    kind: Literal["ran"] = "ran"


@dataclass(frozen=True)
class AnswerStreamed:
    """
    A node assembled a completion from the parts of a stream.

    :param asked: Requested length, in tokens.
    :param parts: Version (-1 for none) and number of tokens of each part.
    :param runs: The resulting label, or None if the answer is incomplete.
    """

    attempt_id: str
    asked: int
    parts: tuple[tuple[int, int], ...]
    runs: tuple[RunTuple, ...] | None
    kind: Literal["streamed"] = "streamed"


@dataclass(frozen=True)
class StepOpened:
    """
    A collector started the delivery of a step.

    :param bound: Staleness bound of the trainer, in weight versions.
    :param received: Slots that the trainer holds.
    :param reopened: Whether it continues its own earlier delivery of the step.
    """

    trainer: str
    step: int
    fence: int
    bound: int
    slots: tuple[SlotTuple, ...]
    received: tuple[SlotTuple, ...]
    reopened: bool
    kind: Literal["step_opened"] = "step_opened"


@dataclass(frozen=True)
class SampleAdded:
    """
    A finished sample was added to the delivery of a step.
    """

    trainer: str
    step: int
    slot: SlotTuple
    tokens: int
    runs: tuple[RunTuple, ...]
    kind: Literal["sample_added"] = "sample_added"


@dataclass(frozen=True)
class StaleDropped:
    """
    A collector dropped the samples that are too old for a trainer's version.

    :param version: Current weight version of the trainer.
    """

    trainer: str
    step: int
    version: int
    kind: Literal["stale_dropped"] = "stale_dropped"


@dataclass(frozen=True)
class FetchAnswered:
    """
    A collector answered a fetch.

    :param number: Number of the batch, or -1 for a resync.
    """

    trainer: str
    step: int
    fence: int
    cursor: int
    version: int
    limit: int
    number: int
    slots: tuple[SlotTuple, ...]
    kind: Literal["fetched"] = "fetched"


@dataclass(frozen=True)
class SampleKept:
    """
    A trainer reports that it kept a sample.

    :param asked: Requested length, in tokens.
    :param made: Version that generated each token, as the engine wrote it into the
        token.
    :param runs: Label of the sample.
    :param version: Version that the trainer sent with the fetch.
    """

    trainer: str
    step: int
    slot: SlotTuple
    asked: int
    made: tuple[int, ...]
    runs: tuple[RunTuple, ...]
    version: int
    bound: int
    kind: Literal["kept"] = "kept"


@dataclass(frozen=True)
class LeavingSeen:
    """
    A node learned that a back end is leaving.
    """

    backend: str
    kind: Literal["saw_leaving"] = "saw_leaving"


@dataclass(frozen=True)
class SlotGranted:
    """
    A node granted a slot of a back end to new work.
    """

    backend: str
    kind: Literal["granted"] = "granted"


@dataclass(frozen=True)
class StageChanged:
    """
    A node entered another stage of its planned stop.

    :param stage: ``serving``, ``draining`` or ``stopped``.
    """

    stage: str
    kind: Literal["stage_changed"] = "stage_changed"


@dataclass(frozen=True)
class RequestIn:
    """
    A node received a request of a caller.
    """

    number: int
    kind: Literal["request_in"] = "request_in"


@dataclass(frozen=True)
class RequestOut:
    """
    A node sent the last byte of the answer to a caller's request.
    """

    number: int
    kind: Literal["request_out"] = "request_out"


Event = (
    NodeStarted
    | RecordFolded
    | ConfigReceived
    | ConfigActivated
    | ClaimDecided
    | HandedOver
    | CallEnded
    | CallRan
    | AnswerStreamed
    | StepOpened
    | SampleAdded
    | StaleDropped
    | FetchAnswered
    | SampleKept
    | LeavingSeen
    | SlotGranted
    | StageChanged
    | RequestIn
    | RequestOut
)


@dataclass(frozen=True)
class TracedEvent:
    """
    An event with the time and node of its occurrence.

    :param at: Time of the machine's monotonic clock, in seconds.
    """

    at: float
    node: str
    event: Annotated[Event, Field(discriminator="kind")]
