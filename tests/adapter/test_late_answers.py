# SPDX-License-Identifier: MIT

"""
An engine that sends each answer a second time, where the next answer is expected.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager

import aiohttp
import pytest
from aiohttp.test_utils import TestServer
from send_permits import make_permit

from engines import EngineClient
from saddledoor import EngineEntry, NotRun, OutcomeUnknown
from saddledoord._clock import boot_time
from saddledoord.ports import (
    EngineAnswer,
    ForwardedRequest,
    Generation,
    GenerationFailedError,
    OrderOutcome,
    SendPermit,
    VersionOrder,
)
from standin_engine import engine_app


_ORDER = VersionOrder("model-a", 2, "edge-0", 1, 0, True)


class _Bed:
    """
    A client and one engine with the fault.
    """

    def __init__(self, client: EngineClient, address: str) -> None:
        self.client = client
        self.engine = EngineEntry("engine-a", "pool", address, "dc-a", 4)

    async def fake(self, **changes: object) -> None:
        url = f"http://{self.engine.address}/fake"
        async with aiohttp.ClientSession() as session:
            await (await session.post(url, json=changes)).read()

    async def call(self, request_id: str, *, repeatable: bool = True):
        request = ForwardedRequest(
            "POST", "a.example", "/look", (), b"score", request_id, repeatable
        )
        return await self.client.call(self._permit(), request, 5.0)

    async def generate(self, request_id: str, after: int = 0) -> list[str]:
        request = ForwardedRequest(
            "POST", "a.example", "/roll", (), b"text", request_id
        )
        stream = self.client.generate(
            self._permit(), Generation(request, after, 0), lambda: None
        )
        return [event.data async for event in stream]

    def _permit(self) -> SendPermit:
        return make_permit(self.engine, boot_time())


@asynccontextmanager
async def _open_bed(**faults: object):
    app = engine_app("", "engine-a", "pool", "", "model-a")
    async with TestServer(app, host="127.0.0.1") as server:
        client = EngineClient.open()
        bed = _Bed(client, f"127.0.0.1:{server.port}")
        try:
            await bed.fake(**(faults or {"late_copies": True}))
            yield bed
        finally:
            await client.close()


def _play(story: Callable[[_Bed], Awaitable[None]], **faults: object) -> None:
    async def play() -> None:
        async with _open_bed(**faults) as bed:
            await story(bed)

    asyncio.run(play())


@pytest.mark.parametrize("repeatable", [True, False])
def test_a_call_that_keeps_its_id_gets_its_own_answer(repeatable):
    """
    A scoring call or a plain request that is sent again would otherwise get the
    signature of the earlier run.
    """

    async def story(bed):
        for run in range(1, 4):
            answer = await bed.call("r-1", repeatable=repeatable)
            assert isinstance(answer, EngineAnswer)
            assert answer.signature == f"seal-r-1-{run}"

    _play(story)


def test_a_call_with_another_id_is_not_answered_by_a_copy():
    """
    The copy carries the id of the earlier call, so the outcome is unknown.
    """

    async def story(bed):
        assert (await bed.call("r-1")).signature == "seal-r-1-1"
        assert isinstance(await bed.call("r-2"), OutcomeUnknown)

    _play(story)


def test_the_copy_of_a_refusal_refuses_no_other_request():
    """
    The second request may have run, which must not be denied.
    """

    async def story(bed):
        await bed.fake(fail=503)
        await bed.call("r-1")
        await bed.fake(fail=0)
        assert isinstance(await bed.call("r-2"), OutcomeUnknown)

    _play(story)


@pytest.mark.parametrize("later", ["call", "state"])
def test_one_copy_costs_one_answer(later):
    """
    The connection would otherwise stay one answer behind for all later sends.
    """

    async def story(bed):
        await bed.call("r-0")
        await bed.fake(late_copies=False)
        usable = []
        for number in range(1, 5):
            if later == "call":
                answer = await bed.call(f"r-{number}")
                usable.append(isinstance(answer, EngineAnswer))
            else:
                usable.append(await bed.client.state(bed.engine) is not None)
        assert usable[1:] == [True] * 3

    _play(story)


@pytest.mark.parametrize("earlier", ["call", "generate"])
def test_the_copy_of_a_refusal_without_an_id_refuses_no_other_request(earlier):
    """
    No id tells it from a refusal of the second request.
    """

    async def story(bed):
        for number in range(2):
            await bed.fake(fail=503, late_copies=True, bare_refusals=True)
            if earlier == "call":
                assert isinstance(await bed.call(f"r-{number}"), NotRun)
            else:
                with pytest.raises(GenerationFailedError):
                    await bed.generate(f"r-{number}")
            await bed.fake(fail=0, late_copies=False)
            if number:
                assert isinstance(await bed.call("s-1"), EngineAnswer)
            else:
                assert len(await bed.generate("s-2")) == 5

    _play(story)


def test_a_call_without_an_id_gets_its_own_answer_and_no_invented_id():
    """
    Two such calls could not be told apart on a connection; an id that no caller sent
    must not reach an engine.
    """

    async def story(bed):
        for run in range(1, 4):
            answer = await bed.call("")
            assert answer.body == b"answer to "
            assert answer.signature == f"seal--{run}"

    _play(story)


@pytest.mark.parametrize("after", [0, 2])
def test_an_item_that_is_sent_again_gets_the_events_of_its_own_run(after):
    """
    In a later job, or resumed, under the same id.
    """

    async def story(bed):
        await bed.generate("i-1")
        texts = await bed.generate("i-1", after)
        assert texts == [f"i-1-{n}-2" for n in range(after + 1, 6)]

    _play(story)


def test_an_item_is_not_answered_by_the_copy_of_another_one():
    """
    Neither by its events nor by its refusal.
    """

    async def story(bed):
        await bed.generate("i-1")
        with pytest.raises(GenerationFailedError) as failure:
            await bed.generate("i-2")
        assert failure.value.outcome == GenerationFailedError.BROKEN
        await bed.fake(fail=503)
        with pytest.raises(GenerationFailedError):
            await bed.generate("i-3")
        await bed.fake(fail=0)
        with pytest.raises(GenerationFailedError) as failure:
            await bed.generate("i-4")
        assert failure.value.outcome == GenerationFailedError.BROKEN

    _play(story)


def test_a_report_is_never_the_one_asked_for_before():
    """
    It would tell a weight version that the engine no longer uses.
    """

    async def story(bed):
        answered = 0
        for version in range(1, 6):
            await bed.fake(version=version)
            state = await bed.client.state(bed.engine)
            assert state is None or state.versions == {"model-a": version}
            answered += state is not None
        # A refused answer closes its connection, so the next report is answered.
        assert answered == 3

    _play(story)


def test_an_order_is_not_answered_by_the_copy_of_another_one():
    """
    The copy of an acceptance would hide that the second order was refused. Its
    connection is closed, so the third order gets its own answer.
    """

    async def story(bed):
        orders = [
            await bed.client.order(bed.engine, _ORDER, boot_time()) for _ in range(3)
        ]
        assert orders == [
            OrderOutcome.ACCEPTED,
            OrderOutcome.UNKNOWN,
            OrderOutcome.CONFLICT,
        ]

    _play(story)


def test_a_report_or_an_order_s_answer_with_another_id_is_refused():
    """
    It belongs to something else; the order's outcome is unknown.
    """

    async def story(bed):
        assert await bed.client.state(bed.engine) is None
        outcome = await bed.client.order(bed.engine, _ORDER, boot_time())
        assert outcome == OrderOutcome.UNKNOWN

    _play(story, wrong_id=True)


def test_each_kind_of_send_after_each_other():
    """
    Whatever was sent before on the connection, an answer is the send's own or none.
    """

    async def story(bed):
        for round_number in range(1, 4):
            for earlier in ("call", "generate", "state"):
                await _send(bed, earlier, f"{earlier}-{round_number}")
                for later in ("call", "generate", "state"):
                    await _send(bed, later, f"{earlier}-{later}-{round_number}")

    async def _send(bed, kind: str, request_id: str) -> None:
        match kind:
            case "call":
                answer = await bed.call(request_id)
                assert getattr(answer, "body", request_id.encode()).endswith(
                    request_id.encode()
                )
            case "generate":
                try:
                    texts = await bed.generate(request_id)
                except GenerationFailedError:
                    return
                assert {text.rsplit("-", 2)[0] for text in texts} == {request_id}
            case "state":
                state = await bed.client.state(bed.engine)
                assert state is None or state.versions == {"model-a": 1}

    _play(story)
