# SPDX-License-Identifier: MIT

"""
Takes one guard at a time out of a scratch copy and runs the test that must notice.

A guard that no test misses is either not tested or not needed.
"""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path


__all__ = ["GUARDS", "Guard", "is_noticed"]

_ROOT = Path(__file__).parent.parent
_PACKAGES = ("saddledoor", "saddledoord", "saddledoorctl", "saddledoor-standins")
_LIBRARY = "packages/saddledoor/src/saddledoor"
_DAEMON = "packages/saddledoord/src/saddledoord"
_JOBS = "tests/adapter/test_edge_jobs.py"
_ITEMS = "tests/adapter/test_edge_items.py"
_WEIGHTS = "tests/adapter/test_edge_weights.py"
_REQUESTS = "tests/adapter/test_edge_requests.py"
_PROOFS = "tests/test_proofs.py"
_DECISIONS = "tests/test_gateway_decisions.py"
_PASS = "tests/test_pass_through.py"
_POOL = "tests/test_pool.py"
_SHARES = "tests/test_work_shares.py"
_WATCH = "tests/test_store_watch.py"
_PLACEMENT = "tests/test_item_placement.py"
_FOLLOW = "tests/test_follow.py"
_REGISTRY = "tests/adapter/test_registry.py"


@dataclass(frozen=True)
class Guard:
    """
    A guard, how it is taken out, and the test that has to fail then.

    :param test: File and expression of test names.
    """

    name: str
    path: str
    before: str
    after: str
    test: tuple[str, str]


GUARDS = (
    Guard(
        "items start only with a known log end",
        f"{_DAEMON}/jobs/runner.py",
        "if self._knows_ends():",
        "if True:",
        (_JOBS, "long_silence"),
    ),
    Guard(
        "nothing is taken up before the replay's end",
        f"{_DAEMON}/jobs/runner.py",
        "if not self._jobs.caught_up:",
        "if False:",
        (_JOBS, "reads_the_log_anew"),
    ),
    Guard(
        "a stopping node takes no share again",
        f"{_DAEMON}/cluster/work_shares.py",
        "        self._stopped = True\n",
        "",
        (_SHARES, "no_share_again"),
    ),
    Guard(
        "failed runs are counted before the log has them",
        f"{_DAEMON}/jobs/runner.py",
        "run.failures += 1",
        "run.failures = run.state.failures.get(item_id, 0)",
        (_ITEMS, "always_fails"),
    ),
    Guard(
        "an append without an answer is no refusal",
        f"{_DAEMON}/jobs/service.py",
        "may_be_there = True",
        "may_be_there = False",
        (_JOBS, "not_called_not_run"),
    ),
    Guard(
        "a stream without its end is not whole",
        "platform/engines.py",
        """            raise GenerationFailedError(
                GenerationFailedError.BROKEN, short(error)
            ) from None
""",
        "            return\n",
        (_ITEMS, "without_its_end_marker"),
    ),
    Guard(
        "an order names the count of orders taken",
        "platform/engines.py",
        '            "if_rev": order.orders_taken,\n',
        "",
        (_WEIGHTS, "carried_out_late"),
    ),
    Guard(
        "a request names the incarnation",
        "platform/engines.py",
        "        (wire.EXPECT_INSTANCE, engine.engine_id),\n    ]",
        "    ]",
        (_REQUESTS, "comes_back_as_another"),
    ),
    Guard(
        "an answer carries the request's id",
        "platform/engines.py",
        "return response.headers.get(wire.ATTEMPT_ID) == request.request_id",
        "return True",
        (_REQUESTS, "of_another_request"),
    ),
    Guard(
        "an unrepeatable request is not sent again",
        f"{_DAEMON}/serving/pass_through.py",
        """        case OutcomeUnknown():
            return route.kind is not RouteKind.SAFE""",
        """        case OutcomeUnknown():
            return False""",
        (_REQUESTS, "unrepeatable_request_runs_once"),
    ),
    Guard(
        "the engine stops when the caller leaves",
        "platform/front.py",
        "            work.cancel()\n",
        "",
        (_REQUESTS, "caller_leaves"),
    ),
    Guard(
        "a draining engine gets nothing",
        f"{_LIBRARY}/_engine_directory.py",
        "if entry.service == service and not entry.draining",
        "if entry.service == service",
        (_REQUESTS, "leaving_engine"),
    ),
    Guard(
        "entries that lapse with the store are bridged",
        f"{_LIBRARY}/_engine_directory.py",
        "            self._missing[engine_id] = (entry, returns_until)",
        "            pass",
        (_REQUESTS, "are_bridged"),
    ),
    Guard(
        "the configuration never goes back",
        f"{_DAEMON}/cluster/view.py",
        "config.version <= self._config.version",
        "False",
        (_REQUESTS, "never_goes_back"),
    ),
    Guard(
        "a second engine works beside a slow one",
        f"{_DAEMON}/serving/pass_through.py",
        "if not self._may_overlap(current):\n            return left",
        "if True:\n            return left",
        (_REQUESTS, "slow_engine"),
    ),
    Guard(
        "an item has one position",
        f"{_LIBRARY}/_job_book.py",
        "if result.item_id not in state.listed:",
        "if True:",
        (_PROOFS, "holds_with_its_mechanism and job_positions"),
    ),
    Guard(
        "kept events go on in the chain where the others end",
        f"{_LIBRARY}/_job_book.py",
        "record.first == before.count + 1 and record.follows == before.chain",
        "record.first == before.count + 1",
        (_PROOFS, "holds_with_its_mechanism and kept_texts"),
    ),
    Guard(
        "no event of weights that are too old",
        f"{_LIBRARY}/_event_text.py",
        "event.version is None or event.version < oldest_version",
        "event.version is None",
        (_PROOFS, "holds_with_its_mechanism and kept_texts"),
    ),
    Guard(
        "a whole text takes the place of a shorter one only",
        f"{_LIBRARY}/_job_book.py",
        "record.first == 1 and record.count > before.count",
        "record.first == 1",
        (_DECISIONS, "takes_the_place"),
    ),
    Guard(
        "another machine waits for the lease's term",
        f"{_DAEMON}/cluster/leases.py",
        "if machine == self._machine:",
        "if True:",
        (_WEIGHTS, "rising_fences"),
    ),
    Guard(
        "a short text stays where it is",
        f"{_DAEMON}/jobs/attempt.py",
        "and now - began_at >= _STAY_TIME",
        "and stayed",
        ("tests/test_attempt.py", "short_text"),
    ),
    Guard(
        "what is refused of a text is given again, whole",
        f"{_DAEMON}/jobs/item_run.py",
        '            self.kept, self.kept_chain = 0, ""\n',
        "            pass\n",
        ("tests/test_item_run.py", "another_run_s"),
    ),
    Guard(
        "what an engine still has is not called not run",
        f"{_DAEMON}/serving/pass_through.py",
        "if pending and current.last is None:",
        "if False:",
        (_PASS, "still_has"),
    ),
    Guard(
        "a success carries the engine's mark",
        "platform/engines.py",
        "if response.status < 300 and not mark:",
        "if False:",
        (_REQUESTS, "signature"),
    ),
    Guard(
        "a refusal holds for the model that was refused",
        f"{_DAEMON}/serving/pool.py",
        "self._refusals.get((engine.engine_id, kind))\n        return refusal is None",
        "self._refusals.get((engine.engine_id, ''))\n        return refusal is None",
        (_POOL, "refus"),
    ),
    Guard(
        "long texts are placed apart",
        f"{_LIBRARY}/_item_placement.py",
        "long_key if is_long else short_key",
        "short_key",
        (_PLACEMENT, "fastest_engine"),
    ),
    Guard(
        "short texts leave the engines of long ones alone",
        f"{_LIBRARY}/_item_placement.py",
        "long_key if is_long else short_key",
        "long_key",
        (_PLACEMENT, "no_long_one_runs"),
    ),
    Guard(
        "paused engines are asked rather than none",
        f"{_DAEMON}/serving/pool.py",
        "for engine in fast or rested or untried}",
        "for engine in fast or rested}",
        (_PASS, "rather_than_none"),
    ),
    Guard(
        "a scoring call fails no more often than allowed",
        f"{_DAEMON}/jobs/scoring.py",
        "left = min(_AT_ONCE, route.max_attempts - failures)",
        "left = _AT_ONCE",
        (_PASS, "as_often_as"),
    ),
    Guard(
        "a failure that is appended twice counts once",
        f"{_LIBRARY}/_job_book.py",
        "state.failed.add(record)",
        "state.failed.add(ItemFailed(record.job_id, record.item_id,"
        " str(len(state.failed)), record.scoring))",
        (_DECISIONS, "counts_once"),
    ),
    Guard(
        "an open job is kept",
        f"{_LIBRARY}/_job_book.py",
        "keep = ended_for if state.ended else open_for",
        "keep = ended_for",
        (_DECISIONS, "kept_while_it_is_open"),
    ),
    Guard(
        "a node knows the engines before it is ready",
        f"{_DAEMON}/gateway.py",
        "engines_known = self._entries.known",
        "engines_known = True",
        (_REQUESTS, "only_once_it_knows"),
    ),
    Guard(
        "a node that the store does not answer asks for no callers",
        f"{_DAEMON}/gateway.py",
        "return boot_time() - self._store.answered_at > _ALONE",
        "return False",
        (_REQUESTS, "without_an_answer_of_the_store"),
    ),
    Guard(
        "texts are not read before they are asked for",
        f"{_DAEMON}/jobs/service.py",
        "        self._changes.notify(job_id)\n",
        "        self._changes.notify(job_id)\n"
        "        for r in getattr(self._book.get(job_id), 'results', ()):\n"
        "            asyncio.ensure_future(self._texts.read([r.text]))\n",
        (_JOBS, "reads_no_texts"),
    ),
    Guard(
        "a text is cut into records that the store takes",
        f"{_DAEMON}/jobs/texts.py",
        "size = self._largest_record",
        "size = max(1, len(text))",
        (_ITEMS, "larger_than_a_record"),
    ),
    Guard(
        "a share does not move for an outage of the store",
        f"{_DAEMON}/cluster/work_shares.py",
        "boot_time() - regained_at < _TERM",
        "False",
        (_SHARES, "while_the_store_is_away"),
    ),
    Guard(
        "nobody claims a share while the store is away",
        f"{_DAEMON}/cluster/work_shares.py",
        "not self._leases.reached or ",
        "",
        (_SHARES, "nobody_claims"),
    ),
    Guard(
        "a lease is renewed while its holder reads on",
        f"{_DAEMON}/cluster/work_shares.py",
        "        if names:\n            self._renewed_at = now",
        "        if self._held:\n            self._renewed_at = now",
        (_SHARES, "reads_on"),
    ),
    Guard(
        "a stronger node takes a share",
        f"{_DAEMON}/cluster/work_shares.py",
        "delay = self._delay + ",
        "delay = ",
        (_SHARES, "stronger"),
    ),
    Guard(
        "a silent connection to the store is given up",
        f"{_DAEMON}/cluster/store_watch.py",
        "call.task.cancel()",
        "pass",
        (_WATCH, "silent_connection"),
    ),
    Guard(
        "a large page has the time it takes",
        f"{_DAEMON}/cluster/store_watch.py",
        "expected = wait + max(0.0, patience - USUAL_PATIENCE)",
        "expected = wait",
        (_WATCH, "large_page"),
    ),
    Guard(
        "a silent engine is left out until it answers",
        f"{_DAEMON}/jobs/placement.py",
        "if engine_id in self._silent:",
        "if False:",
        ("tests/test_placement.py", "gone_silent"),
    ),
    Guard(
        "items do not move to an engine that is falling silent",
        f"{_DAEMON}/jobs/placement.py",
        "return not streams or self._paces.silent_for(engine_id, now) <= _QUIET",
        "return True",
        ("tests/test_placement.py", "streams_have_stopped"),
    ),
    Guard(
        "a text that has moved moves again only for more",
        f"{_LIBRARY}/_item_placement.py",
        " * 2**moves",
        "",
        (_PLACEMENT, "only_for_more"),
    ),
    Guard(
        "a job that is opened twice is taken once",
        f"{_LIBRARY}/_job_book.py",
        "if job.job_id in self._jobs:",
        "if False:",
        (_DECISIONS, "opened_twice"),
    ),
    Guard(
        "each node has an order of engines of its own",
        f"{_LIBRARY}/_routing.py",
        "return ties[rendezvous_order(node, ties)[0]]",
        "return ties[min(ties)]",
        ("tests/test_policies.py", "few_engines"),
    ),
    Guard(
        "an engine that was overtaken comes after the others",
        f"{_DAEMON}/serving/pool.py",
        "self._overtaken.get(e.engine_id, 0.0) <= now",
        "True",
        (_POOL, "overtaken"),
    ),
    Guard(
        "an entry that was overwritten is not one that lapsed",
        f"{_DAEMON}/cluster/view.py",
        "self.directory.drop(entry.key)",
        "self.directory.remove(entry.key, boot_time())",
        (_REGISTRY, "spoilt"),
    ),
    Guard(
        "a reason is logged once, however often an engine writes",
        "platform/store.py",
        "if self._reasons.get(key) == reason:",
        "if False:",
        (_REGISTRY, "logged_once"),
    ),
    Guard(
        "less is asked for after a read that failed",
        f"{_DAEMON}/cluster/follow.py",
        "self._page_size.failed()",
        "pass",
        ("tests/test_page_size.py", "asks_for_less"),
    ),
    Guard(
        "news of jobs are gathered",
        f"{_DAEMON}/cluster/follow.py",
        "await asyncio.sleep(self._gather())",
        "pass",
        (_FOLLOW, "as_it_gathers"),
    ),
    Guard(
        "news of engines are gathered",
        f"{_DAEMON}/cluster/follow.py",
        "await asyncio.sleep(_REGISTRY_GATHER)",
        "pass",
        (_FOLLOW, "entries_that_change"),
    ),
    Guard(
        "a reader gets what was listed just now",
        f"{_DAEMON}/jobs/service.py",
        "if self._gather() and self.store_reached:",
        "if False:",
        (_FOLLOW, "listed_just_now"),
    ),
    Guard(
        "a settings file that needs a new process is refused",
        "platform/settings_file.py",
        "self._check_fixed(settings)",
        "pass",
        ("tests/adapter/test_edge_settings.py", "refused_whole"),
    ),
    Guard(
        "a settings file that changes is noticed without a signal",
        "platform/edge.py",
        "watching = asyncio.create_task(file.watch(changed))",
        "watching = asyncio.create_task(asyncio.sleep(3600))",
        ("tests/adapter/test_edge_settings.py", "taken_while"),
    ),
    Guard(
        "a planned stop waits for the store",
        f"{_DAEMON}/gateway.py",
        "while not await self.jobs.sync() and boot_time() < began + patience:",
        "while False:",
        (_WEIGHTS, "loses_no_text"),
    ),
    Guard(
        "a share is taken with what the node before left",
        f"{_DAEMON}/cluster/work_shares.py",
        "        await self._taken()\n",
        "",
        (_SHARES, "keeps_it"),
    ),
)


def is_noticed(guard: Guard) -> bool:
    """
    Tell whether the guard's test fails without it.

    :raises ValueError: If the guard's text does not stand once in its file.
    """
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder)
        for name in ("packages", "platform", "tests"):
            ignore = shutil.ignore_patterns("__pycache__", "*.egg-info")
            shutil.copytree(_ROOT / name, copy / name, ignore=ignore)
        shutil.copy(_ROOT / "pyproject.toml", copy)
        path = copy / guard.path
        text = path.read_text()
        if text.count(guard.before) != 1:
            raise ValueError(f"{guard.name}: not once in {guard.path}")
        path.write_text(text.replace(guard.before, guard.after))
        sources = [str(copy / "packages" / name / "src") for name in _PACKAGES]
        file, expression = guard.test
        done = subprocess.run(
            [sys.executable, "-m", "pytest", "-q", "-x", file, "-k", expression],
            cwd=copy,
            env={**os.environ, "PYTHONPATH": os.pathsep.join(sources)},
            capture_output=True,
            check=False,
        )
        # 1 is pytest's status for failed tests; anything else is a fault of the table.
        if done.returncode not in (0, 1):
            raise ValueError(f"{guard.name}: pytest ended with {done.returncode}")
        return done.returncode == 1


def main() -> int:
    """
    Print a row per guard.

    :returns: 0 if every removal was noticed.
    """
    good = True
    for guard in GUARDS:
        noticed = is_noticed(guard)
        good = good and noticed
        print(f"{guard.name:<50} {'red' if noticed else 'NOT NOTICED'}", flush=True)
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
