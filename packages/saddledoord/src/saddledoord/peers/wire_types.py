# SPDX-License-Identifier: MIT

"""
Converts between the library's types and the messages between peers.
"""

from __future__ import annotations

from saddledoor import (
    BackendReport,
    Family,
    MemberEntry,
    NotRun,
    OutcomeUnknown,
    Part,
    PoolSummary,
    ResultCode,
    SiteSummary,
    WorkClass,
)

from .._clock import boot_time
from ..backends.client import CallAnswer
from ..filters.attempt import CompletionJob
from ..filters.call import ServiceJob
from ..wire import peer_pb2 as pb


__all__ = [
    "answer_from_wire",
    "answer_to_wire",
    "call_from_wire",
    "call_to_wire",
    "entry_from_wire",
    "entry_to_wire",
    "outcome_from_code",
    "part_from_wire",
    "part_to_wire",
    "site_from_wire",
    "site_to_wire",
    "work_from_wire",
    "work_to_wire",
]

#: Wire value of a part without a version.
_NO_VERSION = -1


def outcome_from_code(
    code: int, detail: str, retry_after: float
) -> NotRun | OutcomeUnknown:
    """
    Return the outcome of a result code.

    A code that this release does not know becomes `OutcomeUnknown`, never `NotRun`.
    """
    try:
        known = ResultCode(code)
    except ValueError:
        return OutcomeUnknown(ResultCode.OUTCOME_UNKNOWN, f"code {code}: {detail}")
    if known.family is Family.NOT_RUN:
        return NotRun(known, detail, retry_after)
    if known.family is Family.UNKNOWN:
        return OutcomeUnknown(known, detail)
    return OutcomeUnknown(ResultCode.OUTCOME_UNKNOWN, detail)


def answer_to_wire(result: CallAnswer | NotRun | OutcomeUnknown) -> pb.CallResult:
    if isinstance(result, CallAnswer):
        return pb.CallResult(
            code=ResultCode.DONE,
            status=result.status,
            content_type=result.content_type,
            body=result.body,
        )
    retry_after = result.retry_after if isinstance(result, NotRun) else 0.0
    return pb.CallResult(
        code=result.code, detail=result.detail, retry_after=retry_after
    )


def answer_from_wire(
    reply: pb.CallResult,
) -> CallAnswer | NotRun | OutcomeUnknown | None:
    """
    Decode a result; None if the peer does not know the request.
    """
    if reply.code == 0:
        return None
    if reply.code == ResultCode.DONE:
        return CallAnswer(reply.status, reply.content_type, reply.body)
    return outcome_from_code(reply.code, reply.detail, reply.retry_after)


def part_to_wire(part: Part | NotRun | OutcomeUnknown) -> pb.CompletionPart:
    if isinstance(part, Part):
        return pb.CompletionPart(
            text=part.text,
            tokens=part.tokens,
            version=_NO_VERSION if part.version is None else part.version,
            finish_reason=part.finish_reason or "",
        )
    retry_after = part.retry_after if isinstance(part, NotRun) else 0.0
    return pb.CompletionPart(
        code=part.code, detail=part.detail, retry_after=retry_after
    )


def part_from_wire(part: pb.CompletionPart) -> Part | NotRun | OutcomeUnknown:
    if part.code:
        return outcome_from_code(part.code, part.detail, part.retry_after)
    version = None if part.version == _NO_VERSION else part.version
    return Part(part.text, part.tokens, version, part.finish_reason or None)


def work_to_wire(job: CompletionJob, timeout: float) -> pb.CompletionWork:
    return pb.CompletionWork(
        attempt_id=job.attempt_id,
        partner=job.partner,
        pool=job.pool,
        model=job.model,
        prompt=job.prompt,
        max_tokens=job.max_tokens,
        min_version=job.min_version,
        timeout_s=timeout,
    )


def work_from_wire(work: pb.CompletionWork) -> CompletionJob:
    """
    Decode a completion; it is always training work and stays in this data centre.
    """
    return CompletionJob(
        attempt_id=work.attempt_id,
        partner=work.partner,
        weight=1.0,
        pool=work.pool,
        model=work.model,
        prompt=work.prompt,
        max_tokens=work.max_tokens,
        work=WorkClass.TRAINING,
        deadline=boot_time() + min(work.timeout_s, 600.0),
        min_version=work.min_version,
        local_only=True,
    )


def entry_to_wire(entry: MemberEntry, now: float) -> pb.Entry:
    reports = [
        pb.Report(
            name=r.name,
            alive=r.alive,
            load=r.load,
            age=now - r.at,
            leaving=r.leaving,
            versions=r.versions,
        )
        for r in entry.reports
    ]
    return pb.Entry(
        rank=pb.Rank(vm=entry.vm, started=entry.started, seq=entry.seq),
        data_centre=entry.data_centre,
        http=entry.http,
        grpc=entry.grpc,
        state=entry.state,
        config_offset=entry.config_offset,
        reports=reports,
        leases=entry.leases,
        grpc_outside=entry.grpc_outside,
    )


def entry_from_wire(entry: pb.Entry, now: float) -> MemberEntry:
    """
    Decode an entry; ages become times of this VM's clock.
    """
    reports = tuple(
        BackendReport(
            r.name, r.alive, r.load, now - max(0.0, r.age), r.leaving, dict(r.versions)
        )
        for r in entry.reports
    )
    return MemberEntry(
        vm=entry.rank.vm,
        started=entry.rank.started,
        seq=entry.rank.seq,
        data_centre=entry.data_centre,
        http=entry.http,
        grpc=entry.grpc,
        state=entry.state,
        config_offset=entry.config_offset,
        reports=reports,
        leases=tuple(entry.leases),
        grpc_outside=entry.grpc_outside,
    )


def site_to_wire(site: SiteSummary, now: float) -> pb.Site:
    return pb.Site(
        data_centre=site.data_centre,
        config_offset=site.config_offset,
        age=now - site.at,
        pools=[pb.PoolSlots(name=p.name, slots=p.slots) for p in site.pools],
        peers=site.peers,
        unusable=site.unusable,
    )


def site_from_wire(site: pb.Site, now: float) -> SiteSummary:
    """
    Decode a summary; its age becomes a time of this VM's clock.
    """
    return SiteSummary(
        data_centre=site.data_centre,
        config_offset=site.config_offset,
        at=now - max(0.0, site.age),
        pools=tuple(PoolSummary(p.name, p.slots) for p in site.pools),
        peers=tuple(site.peers),
        unusable=tuple(site.unusable),
    )


def call_to_wire(job: ServiceJob) -> pb.ServiceWork:
    return pb.ServiceWork(
        request_id=job.request_id,
        partner=job.partner,
        service=job.service,
        method=job.method,
        path=job.target,
        content_type=job.content_type,
        body=job.body,
        key=job.key,
        timeout_s=max(0.1, job.deadline - boot_time()),
    )


def call_from_wire(work: pb.ServiceWork) -> ServiceJob:
    """
    Decode a call with an issued key; it is always unrepeatable.
    """
    return ServiceJob(
        request_id=work.request_id,
        partner=work.partner,
        weight=1.0,
        service=work.service,
        method=work.method,
        target=work.path,
        content_type=work.content_type,
        body=work.body,
        unrepeatable=True,
        key=work.key,
        deadline=boot_time() + work.timeout_s,
    )
