# SPDX-License-Identifier: MIT

"""
Events of a recorded trace: what nodes took in, what they decided, and what back ends
and trainers saw.
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

Run = tuple[int, int, int]
SlotPair = tuple[int, int]


@dataclass(frozen=True)
class NodeStarted:
    """
    A daemon's process began; its memory is empty.
    """

    kind: Literal["node_began"] = "node_began"


@dataclass(frozen=True)
class RecordFolded:
    """
    A node read a record of the log.

    :param first: Oldest offset that the log had when the node began this stream.
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
    A peer passed on an accepted configuration.
    """

    offset: int
    kind: Literal["heard_config"] = "heard_config"


@dataclass(frozen=True)
class ConfigActivated:
    """
    A node put a configuration in force.
    """

    offset: int
    kind: Literal["put_in_force"] = "put_in_force"


@dataclass(frozen=True)
class ClaimDecided:
    """
    A node told who owns a key.
    """

    stream: str
    key: str
    owner: str
    kind: Literal["claim_decided"] = "claim_decided"


@dataclass(frozen=True)
class HandedOver:
    """
    A node hands a call to a back end.

    :param request_id: The request's name and the attempt's number.
    :param once: What may run only once: partner, service and key; empty if repeatable.
    """

    request_id: str
    backend: str
    once: str
    kind: Literal["handed_over"] = "handed_over"


@dataclass(frozen=True)
class CallEnded:
    """
    A node told a call's final outcome.

    :param code: The numbered result code.
    """

    request_id: str
    code: int
    kind: Literal["ended"] = "ended"


@dataclass(frozen=True)
class CallRan:
    """
    A service ran a call: its own word.
    """

    backend: str
    request_id: str
    kind: Literal["ran"] = "ran"


@dataclass(frozen=True)
class AnswerStreamed:
    """
    A completion was put together from parts.

    :param parts: Version (-1 for none) and tokens of each part.
    :param asked: Length asked for, in tokens.
    :param runs: The label that the node gave, or none if the answer is not whole.
    """

    attempt_id: str
    asked: int
    parts: tuple[tuple[int, int], ...]
    runs: tuple[Run, ...] | None
    kind: Literal["streamed"] = "streamed"


@dataclass(frozen=True)
class StepOpened:
    """
    A collector opened a step's book.

    :param reopened: Whether it goes on from its own earlier book.
    """

    trainer: str
    step: int
    fence: int
    bound: int
    slots: tuple[SlotPair, ...]
    received: tuple[SlotPair, ...]
    reopened: bool
    kind: Literal["step_opened"] = "step_opened"


@dataclass(frozen=True)
class SampleAdded:
    """
    A finished sample was offered to a step's book.
    """

    trainer: str
    step: int
    slot: SlotPair
    tokens: int
    runs: tuple[Run, ...]
    kind: Literal["sample_added"] = "sample_added"


@dataclass(frozen=True)
class StaleDropped:
    """
    A collector dropped the samples that are too old for this version.
    """

    trainer: str
    step: int
    version: int
    kind: Literal["stale_dropped"] = "stale_dropped"


@dataclass(frozen=True)
class FetchAnswered:
    """
    A collector answered a fetch.

    :param number: Number of the answer, or -1 for a resync.
    """

    trainer: str
    step: int
    fence: int
    cursor: int
    version: int
    limit: int
    number: int
    slots: tuple[SlotPair, ...]
    kind: Literal["fetched"] = "fetched"


@dataclass(frozen=True)
class SampleKept:
    """
    A trainer kept a sample: its own word.

    :param made: Version that made each token, as the engine wrote into the token.
    :param runs: The label that came with it.
    :param version: The version that the trainer named in the fetch.
    """

    trainer: str
    step: int
    slot: SlotPair
    asked: int
    made: tuple[int, ...]
    runs: tuple[Run, ...]
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
    A node gave a back end new work.
    """

    backend: str
    kind: Literal["granted"] = "granted"


@dataclass(frozen=True)
class StageChanged:
    """
    A node is on its way out.
    """

    stage: str
    kind: Literal["stage_changed"] = "stage_changed"


@dataclass(frozen=True)
class RequestIn:
    """
    A caller's request reached a node.
    """

    number: int
    kind: Literal["request_in"] = "request_in"


@dataclass(frozen=True)
class RequestOut:
    """
    A caller's request got its last byte.
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
    An event, where it happened and when.

    :param at: Seconds of the machine's monotonic clock.
    """

    at: float
    node: str
    event: Annotated[Event, Field(discriminator="kind")]
