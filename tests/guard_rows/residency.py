# SPDX-License-Identifier: MIT

"""
Guards of data residency.
"""

from __future__ import annotations

from .guard import (
    DAEMON,
    EDGE_RESIDENCY,
    EVACUATIONS,
    LIBRARY,
    RESIDENCY,
    RESIDENCY_OF_ITEMS,
    WORK_SHARES,
    Guard,
)


__all__ = ["GUARDS"]

GUARDS = (
    Guard(
        "a workspace restricts the regions of its requests",
        f"{LIBRARY}/_route_table.py",
        "intersect_regions(allowed, found.allowed_regions if found else None)",
        "allowed",
        (RESIDENCY, "its_route_and_its_workspace"),
    ),
    Guard(
        "a plain request is checked against its regions",
        f"{DAEMON}/serving/pass_through.py",
        "            partial(self._needs, route, request, workspace),\n",
        "            SendNeeds,\n",
        (RESIDENCY, "plain_request_stays"),
    ),
    Guard(
        "a hedge obeys the newest configuration",
        f"{DAEMON}/cluster/residency.py",
        "newest = self._find_route(host, path) or route",
        "newest = route",
        (RESIDENCY, "change_with_the_configuration"),
    ),
    Guard(
        "a scoring call is restricted by the workspace of its job",
        f"{DAEMON}/jobs/scoring.py",
        "                workspace=workspace,\n",
        "                workspace=None,\n",
        (RESIDENCY, "scoring_call_stays"),
    ),
    Guard(
        "a request that no region may serve is refused at once",
        f"{DAEMON}/serving/pass_through.py",
        "if current.needs.regions == frozenset():",
        "if False:",
        (RESIDENCY, "no_region_may_serve"),
    ),
    Guard(
        "a job that no region may run is refused",
        f"{DAEMON}/jobs/service.py",
        "if regions == frozenset():",
        "if False:",
        (RESIDENCY, "no_region_may_run"),
    ),
    Guard(
        "a job whose route is gone stays in its regions",
        f"{DAEMON}/cluster/residency.py",
        "allowed = None if stored is None else frozenset(stored)",
        "allowed = None",
        (RESIDENCY, "stays_where_it_was_accepted"),
    ),
    Guard(
        "a waiting item is placed by the newest regions",
        f"{DAEMON}/jobs/runner.py",
        "if self._view.config is not self._needs_config:",
        "if False:",
        (RESIDENCY_OF_ITEMS, "chosen_by_the_newest"),
    ),
    Guard(
        "a new item is placed by its regions",
        f"{DAEMON}/jobs/runner.py",
        "ItemRun.create(state, item, self._needs(state, item))",
        "ItemRun.create(state, item)",
        (RESIDENCY_OF_ITEMS, "chosen_by_the_newest"),
    ),
    Guard(
        "an item is sent by the regions at its send",
        f"{DAEMON}/jobs/runner.py",
        "                    run.needs = self._needs(run.state, run.item)\n",
        "",
        (RESIDENCY_OF_ITEMS, "at_its_send"),
    ),
    Guard(
        "a VM outside the regions runs no item",
        f"{DAEMON}/jobs/runner.py",
        "            and self._view.residency.may_run(state.job)\n",
        "",
        (RESIDENCY_OF_ITEMS, "outside_the_regions"),
    ),
    Guard(
        "restricted jobs are a work share of their own",
        f"{DAEMON}/cluster/view.py",
        "return restricted_share(base, self.residency.job_regions(job))",
        "return base",
        (RESIDENCY, "share_of_their_own"),
    ),
    Guard(
        "a VM claims no share of other regions",
        f"{DAEMON}/cluster/work_shares.py",
        "            if not self._may_hold(share):\n                continue\n",
        "",
        (WORK_SHARES, "may_not_hold_is_left"),
    ),
    Guard(
        "a VM gives up a share that it no longer may hold",
        f"{DAEMON}/cluster/work_shares.py",
        "        await self._release_forbidden()\n",
        "",
        (WORK_SHARES, "no_longer_may_hold"),
    ),
    Guard(
        "texts of a set of regions are in a stream of their own",
        f"{DAEMON}/jobs/texts.py",
        "self._append(text_stream(names), pieces, deadline)",
        "self._append(TEXTS_STREAM, pieces, deadline)",
        (RESIDENCY, "in_a_stream_of_their_own"),
    ),
    Guard(
        "a VM elsewhere reads one record at a time",
        f"{DAEMON}/jobs/texts.py",
        "max_bytes=page_limit or self._page_size.current",
        "max_bytes=self._page_size.current",
        (RESIDENCY, "reads_only_the_records"),
    ),
    Guard(
        "events of a restricted item are stored for its regions",
        f"{DAEMON}/jobs/item_run.py",
        "            self.needs.regions,\n",
        "            None,\n",
        (RESIDENCY_OF_ITEMS, "stored_for_its_regions"),
    ),
    Guard(
        "results of a restricted item are stored for its regions",
        f"{DAEMON}/jobs/runner.py",
        "            run.needs.regions,\n",
        "            None,\n",
        (EDGE_RESIDENCY, "items_and_scoring_calls"),
    ),
    Guard(
        "a VM that was paused sends by the newest regions",
        f"{DAEMON}/gateway.py",
        "return self._config_limit if self.view.residency.is_used else None",
        "return None",
        (EDGE_RESIDENCY, "was_paused"),
    ),
    Guard(
        "a request waits for the registry right before its send",
        f"{DAEMON}/serving/pass_through.py",
        "        await self._gate.wait_until_up_to_date(current.deadline)\n",
        "",
        (RESIDENCY, "right_before"),
    ),
    Guard(
        "a read of the registry ends before what is known is outdated",
        f"{DAEMON}/cluster/follow.py",
        "return min(_READ_WAIT, max(0.0, max_age - _ANSWER_MARGIN) / 2)",
        "return _READ_WAIT",
        (EVACUATIONS, "stays_recent"),
    ),
)
