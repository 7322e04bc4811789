# SPDX-License-Identifier: MIT

"""
Data residency of a job's items at the node that runs them.

Guards against an item that is sent, or whose text is stored, by the regions of an older
configuration or by none.
"""

from __future__ import annotations

import asyncio
from unittest.mock import Mock

from builders import make_engine_entry, make_job, make_job_state, make_route
from saddledoor import Denial, GeneratedEvent, SendNeeds
from saddledoord._clock import boot_time
from saddledoord.jobs.item_run import ItemRun
from saddledoord.jobs.log_freshness import LogFreshness, LogReadState
from saddledoord.jobs.runner import JobRunner


_NORTH = frozenset({"north"})
_SOUTH = frozenset({"south"})


class _Node:
    """
    A node that holds all work shares and runs a job of one item.

    :ivar chosen_by: Regions by which an engine was chosen, in order.
    :ivar permitted_by: Regions by which a permit was asked for, in order.
    """

    def __init__(self, regions: frozenset[str] | None) -> None:
        self.chosen_by: list[frozenset[str] | None] = []
        self.permitted_by: list[frozenset[str] | None] = []
        self.engine = None
        self.on_load = lambda: None
        self.view = Mock(
            config=object(),
            route=lambda host, path: make_route("/train/", max_item_age=None),
        )
        self.view.residency = Mock(
            item_regions=lambda job, path: self.regions, may_run=lambda job: True
        )
        self.regions = regions
        state = make_job_state(make_job(1))
        read_state = LogReadState(boot_time(), True, float("-inf"))
        reservation = Mock(__enter__=Mock(), __exit__=Mock(return_value=False))
        self.runner = JobRunner(
            Mock(
                caught_up=True,
                open_jobs=lambda: [state],
                is_rejected=lambda key: False,
                failures=lambda key: 0,
            ),
            self.view,
            Mock(),
            Mock(permit=self._permit),
            Mock(),
            Mock(
                latest_start=lambda run: 0.0,
                choose=self._choose,
                reserve=lambda *_: reservation,
            ),
            Mock(),
            Mock(choose_unsuspected=lambda choose: choose(())),
            Mock(),
            Mock(read=self._load),
            Mock(),
            lambda share: True,
            LogFreshness(lambda: read_state, cancel_limit=3.0),
        )

    def configure(self, regions: frozenset[str] | None) -> None:
        """
        Put another configuration in force.
        """
        self.regions = regions
        self.view.config = object()

    async def run_until(self, check) -> None:
        task = asyncio.create_task(self.runner.run())
        try:
            async with asyncio.timeout(2.0):
                while not check():
                    await asyncio.sleep(0.005)
        finally:
            task.cancel()

    def _choose(self, run, route, exclude):
        self.chosen_by.append(run.needs.regions)
        return self.engine

    def _permit(self, engine, needs, decided_at, is_held) -> Denial:
        self.permitted_by.append(needs.regions)
        return Denial.REGION

    async def _load(self, parts) -> list[bytes]:
        self.on_load()
        return []


def test_the_engine_of_an_item_is_chosen_by_the_newest_regions():
    """
    An item that waits would otherwise be denied at each send without end.
    """

    async def scenario() -> None:
        node = _Node(_SOUTH)
        await node.run_until(lambda: node.chosen_by)
        assert set(node.chosen_by) == {_SOUTH}
        node.configure(_NORTH)
        node.chosen_by.clear()
        await node.run_until(lambda: node.chosen_by)
        assert set(node.chosen_by) == {_NORTH}

    asyncio.run(scenario())


def test_an_item_is_sent_by_the_regions_at_its_send():
    """
    The configuration may change while the item's stored events are read.
    """

    async def scenario() -> None:
        node = _Node(_SOUTH)
        node.engine = make_engine_entry("engine-0")
        node.on_load = lambda: node.configure(_NORTH)
        await node.run_until(lambda: node.permitted_by)
        assert node.permitted_by[0] == _NORTH

    asyncio.run(scenario())


def test_a_node_outside_the_regions_runs_no_item():
    """
    Also if it holds a share of the same name.
    """

    async def scenario() -> None:
        node = _Node(_SOUTH)
        node.view.residency.may_run = lambda job: False
        await node.run_until(lambda: node.view.share_of.called)
        assert node.chosen_by == []

    asyncio.run(scenario())


def test_events_of_a_restricted_item_are_stored_for_its_regions():
    """
    The stream of all regions would carry them elsewhere.
    """
    job = make_job(1)
    writer = Mock()
    for needs, expected in ((None, None), (SendNeeds(_NORTH), _NORTH)):
        run = ItemRun.create(make_job_state(job), job.items[0], needs)
        assert run.text.take(GeneratedEvent(1, "e1", 1), 1)
        run.persist(writer)
        *_, regions = writer.put_with_text.call_args.args
        assert regions == expected
