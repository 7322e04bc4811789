# SPDX-License-Identifier: MIT

"""
Engines that have failed are asked before they get items again.
"""

from __future__ import annotations

import asyncio

from builders import make_engine_entry
from saddledoor import EngineTables, Incarnation
from saddledoord.ports import EngineState
from saddledoord.serving.unresponsive_engines import UnresponsiveEngines


class _Engines:
    """
    Engines that answer reports after a number of tries.
    """

    def __init__(self, silent_for: int) -> None:
        self.asked = 0
        self._silent_for = silent_for

    async def state(self, engine):
        self.asked += 1
        await asyncio.sleep(0.01)
        if self.asked <= self._silent_for:
            return None
        return EngineState({}, False, 0)


def test_an_engine_is_left_out_until_it_answers():
    """
    It is asked one report at a time, however many items it failed.
    """

    async def play():
        engines = _Engines(silent_for=3)
        silent = UnresponsiveEngines(engines, EngineTables())
        engine = make_engine_entry("e-1")
        for _ in range(5):
            silent.probe(engine)
        assert Incarnation("e-1") in silent
        assert Incarnation("e-2") not in silent
        while Incarnation("e-1") in silent:
            await asyncio.sleep(0.01)
        assert engines.asked == 4

    asyncio.run(play())


def test_an_engine_that_fails_anew_is_asked_anew():
    """
    An answer says only that it lives at that moment.
    """

    async def play():
        engines = _Engines(silent_for=0)
        silent = UnresponsiveEngines(engines, EngineTables())
        for asked in (1, 2):
            silent.probe(make_engine_entry("e-1"))
            await asyncio.sleep(0.05)
            assert Incarnation("e-1") not in silent
            assert engines.asked == asked

    asyncio.run(play())


def test_an_engine_that_never_answers_reports_is_tried_in_the_end(monkeypatch):
    """
    It may serve all the same.
    """
    monkeypatch.setattr("saddledoord.serving.unresponsive_engines._LIMIT", 0.3)

    async def play():
        silent = UnresponsiveEngines(_Engines(silent_for=1000), EngineTables())
        silent.probe(make_engine_entry("e-1"))
        await asyncio.sleep(0.2)
        assert Incarnation("e-1") in silent
        await asyncio.sleep(0.3)
        assert Incarnation("e-1") not in silent

    asyncio.run(play())
