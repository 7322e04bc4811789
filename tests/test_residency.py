# SPDX-License-Identifier: MIT

"""
Data residency: which regions a request may reach, and where a job's bytes are kept.

Guards against a request, or bytes of a job, that reach a region which the route or the
workspace excludes.
"""

from __future__ import annotations

import asyncio
from dataclasses import replace
from types import SimpleNamespace

import pytest
from fake_log import FakeLog
from function_engines import FunctionEngines, make_pass_through

from builders import (
    make_engine_entry,
    make_gateway_config,
    make_job,
    make_job_opened,
    make_request,
    make_route,
)
from saddledoor import (
    GatewayConfig,
    GatewayService,
    ItemCheckpoint,
    ItemResult,
    ItemResultRecorded,
    JobFold,
    NotRun,
    ResultCode,
    RouteKind,
    ScoreCall,
    ServiceShare,
    StoredText,
    Workspace,
    WorkspaceTable,
    decode_job_record,
    encode_job_record,
    restricted_share,
    share_regions,
    unservable_pairs,
)
from saddledoord._clock import boot_time
from saddledoord.cluster.change_notifier import ChangeNotifier
from saddledoord.cluster.evacuations import EvacuationKnowledge, RegistryReadState
from saddledoord.cluster.view import ClusterView
from saddledoord.jobs.record_writer import RecordWriter
from saddledoord.jobs.scoring import Scorer
from saddledoord.jobs.service import Accepted, JobService
from saddledoord.jobs.texts import TextStore, text_stream
from saddledoord.ports import EngineAnswer, KeyedEntry
from saddledoord.serving.gate import SendSettings


_NORTH = frozenset({"north"})
_SOUTH = frozenset({"south"})
_BOTH = _NORTH | _SOUTH
_NONE: frozenset[str] = frozenset()
_REGIONS = SendSettings({"dc-a": "north", "dc-b": "south"})


def _config(
    version: int = 1,
    job_regions: frozenset[str] | None = None,
    workspace_regions: frozenset[str] | None = None,
    keys: tuple[str, ...] = ("k",),
) -> GatewayConfig:
    """
    Return a configuration with the workspace ``w`` and a service that runs a model.
    """
    train = make_route(
        "/train/",
        kind=RouteKind.JOB,
        shares=(ServiceShare("pool", 1.0),),
        allowed_regions=job_regions,
    )
    look = make_route("/look/", allowed_regions=job_regions)
    config = make_gateway_config(version, [train, look])
    workspace = Workspace.from_keys("w", keys, allowed_regions=workspace_regions)
    pool = GatewayService("pool", 50, ("model-a",))
    return replace(
        config,
        services={**config.services, "pool": pool},
        workspaces=WorkspaceTable.from_workspaces([workspace]),
    )


def _view(config: GatewayConfig, own_region: str = "") -> ClusterView:
    view = ClusterView()
    view.residency.own_region = own_region
    view.apply_operator(KeyedEntry("config", 0, config))
    return view


def _job(workspace: str | None = "w", regions: tuple[str, ...] | None = None):
    job = replace(make_job(), workspace=workspace)
    return replace(make_job_opened(job), items=StoredText((0,), 100, regions))


@pytest.mark.parametrize(
    ("route", "workspace", "expected"),
    [
        (None, None, None),
        (_BOTH, None, _BOTH),
        (None, _NORTH, _NORTH),
        (_BOTH, _NORTH, _NORTH),
        (_SOUTH, _NORTH, _NONE),
    ],
)
def test_a_job_may_run_where_its_route_and_its_workspace_allow(
    route, workspace, expected
):
    """
    Both restrictions apply, also to a workspace whose keys are all revoked.
    """
    for keys in ((), ("k",)):
        view = _view(_config(1, route, workspace, keys))
        assert view.residency.job_regions(_job()) == expected


def test_a_workspace_that_is_gone_restricts_by_the_route_only():
    """
    Its jobs could otherwise run nowhere, or anywhere.
    """
    view = _view(_config(1, _NORTH, _SOUTH))
    assert view.residency.job_regions(_job("gone")) == _NORTH
    assert view.residency.job_regions(_job(None)) == _NORTH


def test_a_job_whose_route_is_gone_stays_where_it_was_accepted():
    """
    A removed route would otherwise lift the restriction.
    """
    config = replace(_config(), routes=())
    view = _view(config)
    assert view.residency.job_regions(_job(regions=("north",))) == _NORTH


@pytest.mark.parametrize("regions", [_NONE, _NORTH, _BOTH, frozenset({"a,b", "c|d"})])
def test_a_share_s_name_contains_its_regions(regions):
    """
    A VM tells from the name whether it may hold the share.
    """
    name = restricted_share("pool", regions)
    assert name != "pool"
    assert share_regions(name) == regions


def test_a_share_without_regions_keeps_its_name():
    """
    VMs of the previous release hold it by this name.
    """
    assert restricted_share("pool", None) == "pool"
    assert share_regions("pool") is None
    assert share_regions("desk.example/model-a") is None


def test_restricted_jobs_are_a_share_of_their_own():
    """
    Only VMs in its regions may run it; the other jobs' share is the one of today.
    """
    plain = _view(_config(), "south")
    assert plain.share_of(_job()) == "pool"
    assert plain.permanent_shares() == {"pool"}
    restricted = _view(_config(1, _NORTH), "south")
    share = restricted.share_of(_job())
    assert share_regions(share) == _NORTH
    assert restricted.permanent_shares() == {"pool"}
    assert not restricted.residency.may_hold(share)
    assert not restricted.residency.may_run(_job())
    restricted.residency.own_region = "north"
    assert restricted.residency.may_hold(share)
    assert restricted.residency.may_run(_job())
    restricted.apply_operator(KeyedEntry("config", 1, _config(2, _SOUTH)))
    assert share_regions(restricted.share_of(_job())) == _SOUTH
    assert not restricted.residency.may_run(_job())


def test_restricted_shares_count_among_those_that_send_to_cold_engines():
    """
    The holders would otherwise exceed the limit of a cold engine together.
    """
    view = _view(_config(1, None, _NORTH))
    pool = view.config.services["pool"]
    assert view.shares_of(pool, [_job(None)]) == {"pool"}
    shares = view.shares_of(pool, [_job(None), _job("w")])
    assert shares == {"pool", restricted_share("pool", _NORTH)}


def test_pairs_without_a_common_region_are_found():
    """
    The operator would otherwise learn of them only by refused requests.
    """
    config = _config(1, _SOUTH, _NORTH)
    assert unservable_pairs(config) == {"/train/": ("w",), "/look/": ("w",)}
    assert unservable_pairs(_config(1, _BOTH, _NORTH)) == {}
    assert unservable_pairs(_config(1, None, None)) == {}
    assert unservable_pairs(_config(1, _NONE, None)) == {
        "/train/": ("", "w"),
        "/look/": ("", "w"),
    }


@pytest.mark.parametrize(
    ("config", "is_used"),
    [
        (_config(), False),
        (_config(1, _NORTH), True),
        (_config(1, None, _NORTH), True),
        (_config(1, None, _NONE, ()), True),
    ],
)
def test_a_restricted_vm_sends_only_by_a_recent_configuration(config, is_used):
    """
    A VM that was paused would send by the regions of before; without any restriction
    it sends as before.
    """
    view = _view(config)
    assert view.residency.is_used == is_used
    state = RegistryReadState(90.0, True, 90.0, 99.9)
    knowledge = EvacuationKnowledge(
        lambda: state,
        None,
        lambda: False,
        lambda: 3.0 if view.residency.is_used else None,
    )
    assert knowledge.is_recent(100.0) != is_used
    assert (knowledge.max_age is None) != is_used


def test_a_location_of_the_shared_stream_is_encoded_as_before():
    """
    VMs of the previous release read these records.
    """
    for record in (
        make_job_opened(make_job()),
        make_job_opened(replace(make_job(), workspace="w")),
        ItemResultRecorded("j", ItemResult("i", True, StoredText((7,), 3), (1,), "m")),
        ItemCheckpoint("j", "i", 1, 2, "", "c", (1,), StoredText((8,), 20)),
    ):
        data = encode_job_record(record)
        assert b"north" not in data
        assert decode_job_record(data) == record
    # A result as the release before this field encodes it.
    old = b"\x98\xa1r\xa1j\xa1i\xc3\x91\x01\xa1m\x91\x07\x03"
    decoded = decode_job_record(old)
    assert decoded.result.text == StoredText((7,), 3)
    assert encode_job_record(decoded) == old


@pytest.mark.parametrize("workspace", [None, "", "w"])
def test_a_location_in_a_stream_of_regions_survives_its_bytes(workspace):
    """
    Readers find the stream by the record.
    """
    stored = StoredText((3,), 10, ("north", "south"))
    job = replace(make_job(), workspace=workspace)
    for record in (
        replace(make_job_opened(job), items=stored),
        ItemResultRecorded("j", ItemResult("i", True, stored, (1,), "m")),
        ItemCheckpoint("j", "i", 1, 2, "", "c", (1,), stored),
    ):
        assert decode_job_record(encode_job_record(record)) == record


def _texts(log: FakeLog, own_region: str = "") -> TextStore:
    return TextStore(log, 1000, 4000, lambda: own_region)


def test_texts_of_a_set_of_regions_are_in_a_stream_of_their_own():
    """
    A page of the shared stream would carry them to other regions.
    """
    log = FakeLog()

    async def scenario():
        store = _texts(log, "north")
        plain = await store.write([b"plain"])
        (north,) = await store.write([b"north"], regions=_NORTH)
        (both,) = await store.write([b"both"], regions=_BOTH)
        texts = await _texts(log, "north").read([*plain, north, both])
        first = await _texts(log, "north").read_first([*plain, north, both], 1e12)
        return texts, first

    texts, first = asyncio.run(scenario())
    assert texts == first == [b"plain", b"north", b"both"]
    assert log.records["texts"] == [b"plain"]
    assert log.records[text_stream(("north",))] == [b"north"]
    assert log.records[text_stream(("north", "south"))] == [b"both"]
    assert text_stream(("north",)).startswith("texts/")


class _PagesLog(FakeLog):
    """
    A log that records the records of each page.
    """

    def __init__(self) -> None:
        super().__init__()
        self.pages: list[tuple[bytes, ...]] = []

    async def read(self, *args, **kwargs):
        page = await super().read(*args, **kwargs)
        self.pages.append(page.records)
        return page


@pytest.mark.parametrize("size", [5, 1000, 2500])
def test_a_vm_elsewhere_reads_only_the_records_that_it_is_asked_for(size):
    """
    Other records of the page would come to a region that they are excluded from.
    """
    log = _PagesLog()
    wanted = bytes([1]) * size

    async def scenario():
        await _texts(log).write([b"before"], regions=_NORTH)
        (stored,) = await _texts(log).write([wanted], regions=_NORTH)
        await _texts(log).write([b"after"] * 20, regions=_NORTH)
        elsewhere = await _texts(log, "south").read([stored])
        unknown = await _texts(log, "").read_first([stored], 1e12)
        return elsewhere, unknown

    assert asyncio.run(scenario()) == ([wanted], [wanted])
    assert all(len(page) == 1 for page in log.pages)
    assert b"".join(b"".join(page) for page in log.pages) == wanted * 2


def test_a_vm_in_the_regions_reads_whole_pages():
    """
    One read for each record would exceed the limit of calls to the store.
    """
    log = FakeLog()

    async def scenario():
        stored = await _texts(log).write([b"a"] * 50, regions=_NORTH)
        await _texts(log, "north").read(stored)

    asyncio.run(scenario())
    assert log.reads[text_stream(("north",))] == 1


def test_a_batch_of_records_is_split_by_the_regions_of_its_texts():
    """
    Results of several jobs are written together.
    """
    log = FakeLog()
    made: list[StoredText] = []

    def record(text: StoredText) -> ItemResultRecorded:
        made.append(text)
        return ItemResultRecorded("j", ItemResult(f"i{len(made)}", True, text))

    async def scenario():
        writer = RecordWriter(log, _texts(log))
        for name, regions in ((b"a", None), (b"b", _NORTH), (b"c", None)):
            writer.put_with_text(name, record, regions=regions)
        task = asyncio.create_task(writer.run())
        assert await writer.wait_until_flushed(2.0)
        task.cancel()

    asyncio.run(scenario())
    assert [text.regions for text in made] == [None, ("north",), None]
    assert log.records["texts"] == [b"a", b"c"]
    assert log.records[text_stream(("north",))] == [b"b"]
    assert len(log.records["jobs"]) == 3


def _service(log: FakeLog, view: ClusterView) -> JobService:
    return JobService(
        log,
        JobFold(),
        _texts(log),
        ChangeNotifier(),
        120.0,
        300.0,
        lambda: False,
        lambda: False,
        view.residency.job_regions,
    )


async def _submit(service: JobService, job):
    """
    Submit a job to a node that follows the log.
    """
    follow_task = asyncio.create_task(service.run())
    try:
        return await service.submit(job)
    finally:
        follow_task.cancel()


def test_a_job_s_items_are_kept_in_the_stream_of_its_regions():
    """
    The record tells readers the regions.
    """
    log = FakeLog()
    job = replace(make_job(), workspace="w")
    view = _view(_config(1, _BOTH, _NORTH))
    assert asyncio.run(_submit(_service(log, view), job)) == Accepted()
    assert log.records["texts"] == []
    assert len(log.records[text_stream(("north",))]) == 1
    opened = decode_job_record(log.records["jobs"][0])
    assert opened.items.regions == ("north",)


def test_a_job_that_no_region_may_run_is_refused():
    """
    Its items would wait without end.
    """
    log = FakeLog()
    job = replace(make_job(), workspace="w")
    view = _view(_config(1, _SOUTH, _NORTH))
    outcome = asyncio.run(_service(log, view).submit(job))
    assert isinstance(outcome, NotRun)
    assert outcome.code.http_status == 503
    assert not any(log.records.values())


def _pass_through(answer, route_regions, workspace_regions=None):
    """
    Return a `PassThrough` with an engine in each region, of which the one in the south
    is chosen first.
    """
    engines = FunctionEngines(answer)
    route = make_route("/look/", allowed_regions=route_regions)
    pass_through, _, view = make_pass_through(engines, route, 0)
    for offset, (engine_id, data_centre) in enumerate(
        (("desk-0", "dc-b"), ("desk-1", "dc-a"))
    ):
        entry = make_engine_entry(engine_id, data_centre=data_centre)
        view.apply_engine(KeyedEntry(engine_id, offset, entry))
    _set_config(view, 2, route_regions, workspace_regions)
    pass_through._gate.set_settings(_REGIONS)
    return pass_through, engines, view


def _set_config(view, version, route_regions, workspace_regions=None) -> None:
    config = _config(version, route_regions, workspace_regions)
    view.apply_operator(KeyedEntry("config", version, config))


async def _answer(engine, request):
    return EngineAnswer(200, (), b"", "mark")


@pytest.mark.parametrize(
    ("route", "workspace"), [(_NORTH, None), (None, _NORTH), (_BOTH, _NORTH)]
)
def test_a_plain_request_stays_in_the_regions_of_its_route_and_its_caller(
    route, workspace
):
    """
    Also its hedge and its retries.
    """

    async def fail(engine, request):
        await asyncio.sleep(0.15)
        return NotRun(ResultCode.OVERLOADED, "busy", 0.1)

    pass_through, engines, _ = _pass_through(fail, route, workspace)
    asyncio.run(pass_through.serve(make_request("/look/x"), 0.5, "k"))
    assert set(engines.called) == {"desk-1"}


def test_a_request_that_no_region_may_serve_is_refused_at_once():
    """
    Its caller would otherwise wait for its deadline.
    """
    pass_through, engines, _ = _pass_through(_answer, _SOUTH, _NORTH)
    outcome = asyncio.run(pass_through.serve(make_request("/look/x"), 1.0, "k"))
    assert isinstance(outcome, NotRun)
    assert outcome.code.http_status == 503
    assert outcome.retry_after >= 1.0
    assert "both the route and the workspace" in outcome.detail
    assert engines.called == []


def test_the_regions_of_a_request_change_with_the_configuration():
    """
    A hedge or retry obeys the configuration at its send.
    """

    async def change_and_wait(engine, request):
        _set_config(view, 3, _NORTH)
        await asyncio.sleep(0.3 if len(engines.called) == 1 else 0.0)
        return EngineAnswer(200, (), b"", "mark")

    pass_through, engines, view = _pass_through(change_and_wait, _SOUTH)
    asyncio.run(pass_through.serve(make_request("/look/x"), 1.0, "k"))
    assert engines.called == ["desk-0", "desk-1"]


@pytest.mark.parametrize(
    ("route", "workspace"), [(_NORTH, None), (None, _NORTH), (_BOTH, _NORTH)]
)
def test_a_scoring_call_stays_in_the_regions_of_its_route_and_its_job_s_workspace(
    route, workspace
):
    """
    It carries no key, so the job tells the workspace.
    """
    pass_through, engines, view = _pass_through(_answer, route, workspace)
    call = ScoreCall("s-1", "desk.example", "/look/x", b"text")
    scorer = Scorer(view, pass_through)
    asyncio.run(scorer.score(call, 0, lambda: None, lambda: True, "w"))
    assert engines.called == ["desk-1"]


def test_a_request_waits_if_the_regions_may_be_outdated_right_before_its_send():
    """
    Guards against a refusal by a VM that reads the configuration again a moment later.
    """
    pass_through, engines, _ = _pass_through(_answer, _NORTH)
    choose_new, up_to_date_at = pass_through._choice.choose_new, []

    def choose_and_lapse(*arguments):
        engine = choose_new(*arguments)
        up_to_date_at.append(boot_time() + 0.2)
        return engine

    pass_through._choice.choose_new = choose_and_lapse
    pass_through._gate._knowledge = SimpleNamespace(
        max_age=1.5, is_recent=lambda now: not up_to_date_at or now >= up_to_date_at[0]
    )
    outcome = asyncio.run(pass_through.serve(make_request("/look/x"), 1.0, "k"))
    assert isinstance(outcome, EngineAnswer)
    assert engines.called == ["desk-1"]
