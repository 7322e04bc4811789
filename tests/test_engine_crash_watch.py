# SPDX-License-Identifier: MIT

"""
How a node handles interrupted requests, and what it reports to the other nodes.
"""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest
from crash_watches import FakeControlLog, make_crash_watch

from builders import make_engine_entry
from saddledoor import (
    EngineAttempts,
    EngineCrashed,
    EngineEntry,
    PoisonStatus,
    RequestsCleared,
    SendNeeds,
    decode_record,
)
from saddledoord._clock import boot_time
from saddledoord.cluster.view import ClusterView
from saddledoord.ports import KeyedEntry
from saddledoord.serving import engine_crash_watch, isolation
from saddledoord.serving.engine_choice import EngineChoice
from saddledoord.serving.engine_crash_watch import EngineCrashWatch


class _Clock:
    """
    The clock of the crash watch, which a test advances.
    """

    def __init__(self, monkeypatch) -> None:
        self._ahead = 0.0
        for module in (engine_crash_watch, isolation):
            monkeypatch.setattr(module, "boot_time", lambda: boot_time() + self._ahead)

    def advance(self, seconds: float) -> None:
        self._ahead += seconds


class _Node:
    """
    A crash watch whose engines have either all crashed or are all alive.
    """

    def __init__(
        self, has_crashed: bool = True, control_log: FakeControlLog | None = None
    ) -> None:
        self.control_log = control_log or FakeControlLog()
        self.view = ClusterView()
        self.watch: EngineCrashWatch = make_crash_watch(
            self.view, self.control_log, has_crashed
        )

    async def interrupt(self, index: int, *keys: str) -> None:
        """
        Interrupt all requests at an engine at the same time.
        """
        engine = make_engine_entry(f"engine-{index}")
        runs = [self.watch.track_run(engine.incarnation, key) for key in keys]
        for tracked in [run.__enter__() for run in runs]:
            tracked.record_interrupted(engine)
        await asyncio.sleep(0.01)
        for run in runs:
            run.__exit__(None, None, None)

    def poison_statuses(self, *keys: str) -> list[PoisonStatus]:
        return [self.watch.poison_status(key) for key in keys]

    async def flush(self) -> None:
        """
        Append pending records to the log.
        """
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.1):
                await self.watch.run()


def test_a_request_at_three_crashes_is_quarantined(monkeypatch):
    """
    Once it crashed an engine alone, the requests beside it are cleared.
    """
    clock = _Clock(monkeypatch)

    async def scenario() -> list[PoisonStatus]:
        node = _Node()
        await node.interrupt(0, "cause", "b", "c")
        await node.interrupt(1, "cause", "b")
        await node.interrupt(2, "cause", "b")
        assert node.poison_statuses("cause", "b") == [PoisonStatus.ISOLATED] * 2
        clock.advance(1.1)
        await node.interrupt(3, "cause")
        await node.flush()
        assert b'"isolated":"cause"' in node.control_log.records[-1]
        return node.poison_statuses("cause", "b", "c")

    expected = [PoisonStatus.QUARANTINED, PoisonStatus.CLEAN, PoisonStatus.CLEAN]
    assert asyncio.run(scenario()) == expected


@pytest.mark.parametrize(("seconds", "is_late"), [(0.3, False), (0.5, True)])
def test_a_crash_late_after_an_isolated_start_is_reported_as_such(
    monkeypatch, seconds, is_late
):
    """
    Such crashes do not end the retries of an item whose first event is late.
    """
    clock = _Clock(monkeypatch)

    async def scenario() -> EngineCrashed:
        node = _Node()
        await node.interrupt(0, "a")
        await node.interrupt(1, "a")
        clock.advance(1.1)
        engine = make_engine_entry("engine-2")
        with node.watch.track_run(engine.incarnation, "a") as run:
            clock.advance(seconds)
            run.record_interrupted(engine)
            await asyncio.sleep(0.01)
        await node.flush()
        return decode_record(node.control_log.records[-1])

    crash = asyncio.run(scenario())
    assert (crash.isolated, crash.late) == ("a", is_late)


def test_crashes_beside_other_requests_are_no_proof(monkeypatch):
    """
    A request that was not alone at its engine must not be quarantined.
    """
    clock = _Clock(monkeypatch)

    async def scenario() -> list[PoisonStatus]:
        node = _Node()
        for number in range(6):
            clock.advance(3.0)
            await node.interrupt(number, f"other-{number}", "a")
        return node.poison_statuses("a")

    assert asyncio.run(scenario()) == [PoisonStatus.ISOLATED]


def test_a_request_that_delivered_events_is_not_blamed(monkeypatch):
    """
    An engine crashes about 0.1 s after a poison request begins; an item whose events
    arrived for longer was blamed for crashes beside it.
    """
    clock = _Clock(monkeypatch)

    async def run(seconds: float) -> list[PoisonStatus]:
        node = _Node()
        engine = make_engine_entry("engine-0")
        with node.watch.track_run(engine.incarnation, "a") as tracked:
            tracked.record_event()
            clock.advance(seconds)
            tracked.record_event()
            tracked.record_interrupted(engine)
            await asyncio.sleep(0.01)
        return node.poison_statuses("a")

    assert asyncio.run(run(0.2)) == [PoisonStatus.SUSPECT]
    assert asyncio.run(run(0.3)) == [PoisonStatus.CLEAN]


def test_an_isolated_start_waits_and_gets_an_engine_of_its_own(monkeypatch):
    """
    A crash there is a proof only if no other request of this node can have caused it:
    the engine gets none until the first events have arrived.
    """
    clock = _Clock(monkeypatch)
    engine = make_engine_entry("engine-7")

    def choose(excluded) -> EngineEntry | None:
        return None if engine.incarnation in set(excluded) else engine

    async def scenario() -> None:
        node = _Node()
        watch = node.watch
        await node.interrupt(0, "a")
        await node.interrupt(1, "a")
        assert watch.choose_isolated("a", choose) is None
        clock.advance(1.1)
        with watch.track_run(engine.incarnation, "b"):
            # The only engine has just begun another request: it is held, but not used.
            assert watch.choose_isolated("a", choose) is None
            assert watch.held_engines("b") == {engine.incarnation}
            assert not watch.may_start(engine.incarnation, "c")
            clock.advance(1.55)
            assert watch.choose_isolated("a", choose) is engine
        assert watch.may_start(engine.incarnation, "a")
        with watch.track_run(engine.incarnation, "a") as run:
            assert not watch.may_start(engine.incarnation, "b")
            assert not watch.may_start(engine.incarnation, "a")
            run.record_event()
            clock.advance(0.3)
            run.record_event()
            assert watch.may_start(engine.incarnation, "b")
            assert watch.held_engines("b") == set()
            assert node.poison_statuses("a") == [PoisonStatus.CLEAN]

    asyncio.run(scenario())


def test_an_isolated_start_is_not_at_an_engine_that_has_crashed(monkeypatch):
    """
    The entry of a crashed engine stays for some time; attempts there used up those that
    the route allows, so a request that may be retried did not reach an engine.
    """
    clock = _Clock(monkeypatch)
    engines = [make_engine_entry(f"engine-{number}") for number in range(3)]

    def choose_among(count: int):
        def choose(excluded) -> EngineEntry | None:
            taken = set(excluded)
            return next(
                (e for e in engines[:count] if e.incarnation not in taken), None
            )

        return choose

    async def scenario() -> list[EngineEntry | None]:
        node = _Node()
        await node.interrupt(0, "a")
        await node.interrupt(1, "a")
        clock.advance(1.6)
        return [node.watch.choose_isolated("a", choose_among(n)) for n in (3, 2)]

    assert asyncio.run(scenario()) == [engines[2], engines[0]]


def test_a_request_without_a_key_is_suspected_of_no_crash():
    """
    It avoids the engines that a suspect may crash, but waits for none.
    """
    engines = [make_engine_entry(f"engine-{number}") for number in range(2)]

    def choose_among(count: int):
        def choose(excluded) -> EngineEntry | None:
            taken = set(excluded)
            return next(
                (e for e in engines[:count] if e.incarnation not in taken), None
            )

        return choose

    async def scenario() -> None:
        node = _Node()
        for number in range(6):
            engine = make_engine_entry(f"crashed-{number}")
            with node.watch.track_run(engine.incarnation, None) as run:
                run.record_interrupted(engine)
                await asyncio.sleep(0.01)
        await node.flush()
        assert node.control_log.records == []
        assert node.watch.poison_status(None) is PoisonStatus.CLEAN
        await node.interrupt(2, "poison")
        with node.watch.track_run(engines[0].incarnation, "poison"):
            chosen = [
                node.watch.choose_unsuspected(choose_among(count)) for count in (2, 1)
            ]
            assert node.watch.may_start(engines[0].incarnation, None)
        assert chosen == [engines[1], engines[0]]

    asyncio.run(scenario())


def test_an_engine_that_still_serves_speaks_against_nobody():
    """
    A closed connection to an engine that is alive is no crash.
    """

    async def scenario() -> tuple[list[PoisonStatus], list[bytes]]:
        node = _Node(has_crashed=False)
        for _ in range(5):
            await node.interrupt(0, "a")
        await node.flush()
        return node.poison_statuses("a"), node.control_log.records

    assert asyncio.run(scenario()) == ([PoisonStatus.CLEAN], [])


def test_an_interrupted_request_is_a_suspect_while_its_engine_is_checked():
    """
    So that requests that were interrupted together are not retried together.
    """

    async def scenario() -> list[PoisonStatus]:
        node = _Node()
        engine = make_engine_entry("engine-0")
        with node.watch.track_run(engine.incarnation, "a") as run:
            run.record_interrupted(engine)
            return node.poison_statuses("a", "b")

    assert asyncio.run(scenario()) == [PoisonStatus.SUSPECT, PoisonStatus.CLEAN]


def test_a_suspect_waits_for_a_quick_check(monkeypatch):
    """
    A crashed engine refuses the check at once; a retry before that ended a second
    engine at each node. An engine that is alive is checked for longer.
    """
    clock = _Clock(monkeypatch)

    async def scenario() -> list[bool]:
        node = _Node(has_crashed=False)
        engine = make_engine_entry("engine-0")
        may_start = []
        with node.watch.track_run(engine.incarnation, "a") as run:
            run.record_interrupted(engine)
            may_start.append(node.watch.may_start_suspect("a"))
            clock.advance(0.04)
            may_start.append(node.watch.may_start_suspect("a"))
        return may_start

    assert asyncio.run(scenario()) == [False, True]


def test_an_entry_of_a_later_incarnation_reports_a_crash():
    """
    The crash is detected without a check of the address.
    """

    async def scenario() -> list[PoisonStatus]:
        node = _Node(has_crashed=False)
        first = make_engine_entry("engine-0", started_at=1)
        node.view.apply_engine(KeyedEntry("engine-0", 0, first))
        with node.watch.track_run(first.incarnation, "a"):
            second = make_engine_entry("engine-0", started_at=2)
            node.view.apply_engine(KeyedEntry("engine-0", 1, second))
        return node.poison_statuses("a")

    assert asyncio.run(scenario()) == [PoisonStatus.SUSPECT]


def test_a_request_that_ran_for_long_is_not_blamed(monkeypatch):
    """
    A crash long after the request started has another cause.
    """
    monkeypatch.setattr(engine_crash_watch, "_CRASH_WINDOW", 0.05)

    async def scenario() -> list[PoisonStatus]:
        node = _Node()
        engine = make_engine_entry("engine-0")
        with node.watch.track_run(engine.incarnation, "a") as run:
            await asyncio.sleep(0.1)
            run.record_interrupted(engine)
            await asyncio.sleep(0.01)
        return node.poison_statuses("a")

    assert asyncio.run(scenario()) == [PoisonStatus.CLEAN]


def test_a_suspect_is_cleared_once_it_has_run_for_long(monkeypatch):
    """
    It is cleared while it still runs, and the other nodes are notified.
    """
    monkeypatch.setattr(engine_crash_watch, "_CRASH_WINDOW", 0.05)

    async def scenario() -> tuple[list[PoisonStatus], bool]:
        node = _Node()
        await node.interrupt(0, "a")
        with node.watch.track_run(make_engine_entry("engine-1").incarnation, "a"):
            await asyncio.sleep(0.1)
            poison_statuses = node.poison_statuses("a")
        await node.flush()
        return poison_statuses, node.control_log.has_record(RequestsCleared(("a",)))

    assert asyncio.run(scenario()) == ([PoisonStatus.CLEAN], True)


def test_a_standstill_clears_nobody(monkeypatch):
    """
    A timer that fires late after a process pause does not show that the engine lived.
    """
    monkeypatch.setattr(engine_crash_watch, "_CRASH_WINDOW", 0.05)
    slept = 0.0
    monkeypatch.setattr(engine_crash_watch, "boot_time", lambda: boot_time() + slept)

    async def scenario() -> list[PoisonStatus]:
        nonlocal slept
        node = _Node()
        await node.interrupt(0, "a")
        with node.watch.track_run(make_engine_entry("engine-1").incarnation, "a"):
            slept = 5.0
            await asyncio.sleep(0.1)
            return node.poison_statuses("a")

    assert asyncio.run(scenario()) == [PoisonStatus.SUSPECT]


@pytest.mark.parametrize("end", ["record_completed", "record_not_started"])
def test_what_the_engine_answered_before_its_end_is_not_blamed(end):
    """
    Neither a request that completed before the crash nor one that was refused.
    """

    async def scenario() -> list[PoisonStatus]:
        node = _Node()
        with node.watch.track_run(
            make_engine_entry("engine-0").incarnation, "a"
        ) as run:
            getattr(run, end)()
        await node.interrupt(0, "b")
        return node.poison_statuses("a", "b")

    assert asyncio.run(scenario()) == [PoisonStatus.CLEAN, PoisonStatus.SUSPECT]


def test_a_request_cancelled_just_before_a_crash_is_a_suspect():
    """
    The engine may have started a request that was cancelled.
    """

    async def scenario() -> list[PoisonStatus]:
        node = _Node()
        with node.watch.track_run(make_engine_entry("engine-0").incarnation, "a"):
            pass
        await node.interrupt(0, "b")
        return node.poison_statuses("a", "b")

    assert asyncio.run(scenario()) == [PoisonStatus.SUSPECT] * 2


def test_an_answer_is_reported_only_for_a_suspect():
    """
    Answers to other requests append no record.
    """

    async def scenario() -> list[bytes]:
        node = _Node()
        with node.watch.track_run(
            make_engine_entry("engine-1").incarnation, "a"
        ) as run:
            run.record_completed()
        await node.flush()
        return node.control_log.records

    assert asyncio.run(scenario()) == []


def test_a_paused_node_reads_the_control_stream_first():
    """
    After a process pause the control stream is read before a request is judged.
    """

    async def scenario() -> list[PoisonStatus]:
        node = _Node(control_log=FakeControlLog(last_read_at=boot_time() - 5.0))
        node.control_log.unread = [
            EngineCrashed(f"e-{n}", 1, ("a",), "a" if n == 2 else None)
            for n in range(3)
        ]
        assert not node.watch.is_current()
        await node.watch.refresh()
        assert node.watch.is_current()
        return node.poison_statuses("a")

    assert asyncio.run(scenario()) == [PoisonStatus.QUARANTINED]


def test_a_recent_read_without_answer_delays_no_request(monkeypatch):
    """
    During an outage of the store a recent read is enough; known crashes count.
    """
    clock = _Clock(monkeypatch)

    class _Unavailable(FakeControlLog):
        async def sync(self) -> bool:
            raise AssertionError("sync was called")

    async def scenario() -> list[PoisonStatus]:
        node = _Node(control_log=_Unavailable(last_read_at=boot_time() + 1.1))
        await node.interrupt(0, "a")
        await node.interrupt(1, "a")
        clock.advance(1.1)
        await node.interrupt(2, "a")
        await node.watch.refresh()
        return node.poison_statuses("a")

    assert asyncio.run(scenario()) == [PoisonStatus.QUARANTINED]


def test_an_unresponsive_store_delays_a_request_only_briefly():
    """
    A read that hangs delays a request by its timeout only.
    """

    class _Silent(FakeControlLog):
        async def sync(self) -> bool:
            await asyncio.sleep(60)
            return True

    async def scenario() -> float:
        node = _Node(control_log=_Silent(last_read_at=0.0))
        started_at = boot_time()
        await node.watch.refresh()
        return boot_time() - started_at

    assert 0.2 < asyncio.run(scenario()) < 0.6


def test_what_waits_for_the_store_is_bounded():
    """
    The newest records are kept.
    """

    async def scenario() -> list[bytes]:
        node = _Node()
        for number in range(300):
            await node.interrupt(number, f"key-{number}")
        await node.flush()
        return node.control_log.records

    records = asyncio.run(scenario())
    assert len(records) == 256
    assert b"key-299" in records[-1]


def test_no_engine_is_chosen_for_a_quarantined_request():
    """
    Guards against an engine that counts as tried, and is denied right before the send.
    """
    pool = SimpleNamespace(choose=lambda *_: make_engine_entry("engine-0"))
    watch = SimpleNamespace(
        poison_status=lambda key: PoisonStatus.QUARANTINED,
        held_engines=lambda key: set(),
        engines_with_suspects=lambda key: set(),
    )
    attempts = EngineAttempts(3, repeatable=True)
    choice = EngineChoice(pool, watch)
    assert choice.choose_new("desk", "key", attempts, SendNeeds()) is None
