# SPDX-License-Identifier: MIT

"""
Probes of engines that have failed.
"""

from __future__ import annotations

import asyncio

from builders import make_engine_entry
from saddledoor import EngineTables, Incarnation
from saddledoord.ports import EngineState
from saddledoord.serving.unresponsive_engines import UnresponsiveEngines


class _Engines:
    """
    Engines that report their state after a number of probes.
    """

    def __init__(self, failed_probes: int) -> None:
        self.probes = 0
        self._failed_probes = failed_probes

    async def state(self, engine):
        self.probes += 1
        await asyncio.sleep(0.01)
        if self.probes <= self._failed_probes:
            return None
        return EngineState({}, False, 0)


def test_an_engine_is_excluded_until_it_answers():
    """
    It is probed once at a time, however many items it failed.
    """

    async def scenario():
        engines = _Engines(failed_probes=3)
        unresponsive = UnresponsiveEngines(engines, EngineTables())
        engine = make_engine_entry("e-1")
        for _ in range(5):
            unresponsive.probe(engine)
        assert Incarnation("e-1") in unresponsive
        assert Incarnation("e-2") not in unresponsive
        while Incarnation("e-1") in unresponsive:
            await asyncio.sleep(0.01)
        assert engines.probes == 4

    asyncio.run(scenario())


def test_an_engine_that_fails_again_is_probed_again():
    """
    An answered probe holds for one moment only.
    """

    async def scenario():
        engines = _Engines(failed_probes=0)
        unresponsive = UnresponsiveEngines(engines, EngineTables())
        for probes in (1, 2):
            unresponsive.probe(make_engine_entry("e-1"))
            await asyncio.sleep(0.05)
            assert Incarnation("e-1") not in unresponsive
            assert engines.probes == probes

    asyncio.run(scenario())


def test_an_engine_that_answers_no_probe_is_not_excluded_for_good(monkeypatch):
    """
    It may still serve requests.
    """
    monkeypatch.setattr("saddledoord.serving.unresponsive_engines._PROBE_LIMIT", 0.3)

    async def scenario():
        unresponsive = UnresponsiveEngines(_Engines(failed_probes=1000), EngineTables())
        unresponsive.probe(make_engine_entry("e-1"))
        await asyncio.sleep(0.2)
        assert Incarnation("e-1") in unresponsive
        await asyncio.sleep(0.3)
        assert Incarnation("e-1") not in unresponsive

    asyncio.run(scenario())
