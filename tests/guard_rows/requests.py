# SPDX-License-Identifier: MIT

"""
Guards of requests that are passed through, and of answers and settings.
"""

from __future__ import annotations

from .guard import (
    DAEMON,
    ENGINE_RETRIES,
    EVENT_STREAM,
    GARBLED_ANSWERS,
    ITEMS,
    LATE_ANSWERS,
    LIBRARY,
    PASS_THROUGH,
    POOL,
    PROCESS_PAUSES,
    REQUESTS,
    RETRIES,
    SUPERVISION,
    WEIGHTS,
    Guard,
)


__all__ = ["GUARDS"]

GUARDS = (
    Guard(
        "a stream without its end is incomplete",
        "platform/engines.py",
        """            raise GenerationFailedError(
                GenerationFailedError.BROKEN, summarize_error(error)
            ) from None
""",
        "            return\n",
        (ITEMS, "without_its_end_marker"),
    ),
    Guard(
        "an order names the number of accepted orders",
        "platform/engines.py",
        '            "if_rev": order.accepted_orders,\n',
        "",
        (WEIGHTS, "carried_out_late"),
    ),
    Guard(
        "a request names the incarnation",
        "platform/engines.py",
        "        (wire.EXPECT_INSTANCE, engine.engine_id),\n    ]",
        "    ]",
        (REQUESTS, "comes_back_as_another"),
    ),
    Guard(
        "an answer carries the request's id",
        "platform/engine_answers.py",
        "return response.headers.get(wire.ATTEMPT_ID) == request.request_id",
        "return True",
        (REQUESTS, "of_another_request"),
    ),
    Guard(
        "a keep-alive connection carries an id once",
        "platform/engine_sessions.py",
        "if id_hash in current.carried_ids:",
        "if False:",
        (LATE_ANSWERS, "keeps_its_id or sent_again"),
    ),
    Guard(
        "the ids of a session are bounded",
        "platform/engine_sessions.py",
        "if len(current.carried_ids) >= _MAX_CARRIED_IDS:",
        "if False:",
        ("tests/adapter/test_engine_sessions.py", "at_most_once"),
    ),
    Guard(
        "a replaced session is closed after its last request",
        "platform/engine_sessions.py",
        "if current.is_retired and not current.in_flight:",
        "if current.is_retired:",
        ("tests/adapter/test_engine_sessions.py", "last_request"),
    ),
    Guard(
        "a refusal with another id refuses nothing",
        "platform/engine_answers.py",
        "return answered_id in (None, request.request_id)",
        "return True",
        (LATE_ANSWERS, "copy_of_a_refusal or copy_of_another_one"),
    ),
    Guard(
        "a report with another id is refused",
        "platform/engine_answers.py",
        "if response.headers.get(wire.ATTEMPT_ID, send_id) != send_id:",
        "if False:",
        (LATE_ANSWERS, "report"),
    ),
    Guard(
        "a refusal without an id is the last answer of its connection",
        "platform/engine_answers.py",
        "    if answered_id is None:\n",
        "    if False:\n",
        (LATE_ANSWERS, "without_an_id"),
    ),
    Guard(
        "the connection of another request's answer is closed",
        "platform/engine_answers.py",
        "            self._transport.close()\n",
        "            pass\n",
        (LATE_ANSWERS, "one_copy or without_an_id"),
    ),
    Guard(
        "a line of an event stream does not end at U+2028",
        "platform/event_stream.py",
        "for part in chunk.splitlines(keepends=True):",
        "for part in map(str.encode, chunk.decode().splitlines(keepends=True)):",
        (EVENT_STREAM, "what_the_engine_sent"),
    ),
    Guard(
        "a CRLF that is split by a chunk is one line end",
        "platform/event_stream.py",
        "self._skip_lf = part.endswith(_CR)",
        "self._skip_lf = False",
        (EVENT_STREAM, "cuts_change_nothing or passed_on"),
    ),
    Guard(
        "an unrepeatable request is not sent again",
        f"{DAEMON}/serving/outcomes.py",
        """        case OutcomeUnknown():
            return route.kind is not RouteKind.SAFE""",
        """        case OutcomeUnknown():
            return False""",
        (REQUESTS, "unrepeatable_request_runs_once"),
    ),
    Guard(
        "a request returns to a recovered engine",
        f"{DAEMON}/serving/engine_choice.py",
        "return min(times, default=None)",
        "return None",
        (RETRIES, "goes_again"),
    ),
    Guard(
        "a request does not return to an engine whose answer was interrupted",
        f"{LIBRARY}/_engine_attempts.py",
        "a.outcome in _RETRYABLE",
        "a.outcome is not AttemptOutcome.RUNNING",
        (ENGINE_RETRIES, "broke_off"),
    ),
    Guard(
        "an unrepeatable request does not return to an engine",
        f"{LIBRARY}/_engine_attempts.py",
        "if not self._repeatable or not",
        "if not",
        (ENGINE_RETRIES, "unrepeatable"),
    ),
    Guard(
        "a failing engine is retried by one request at a time",
        f"{DAEMON}/serving/pool.py",
        "self._load_of(engine).retry_at = boot_time() + _RETRY_INTERVAL",
        "pass",
        (ENGINE_RETRIES, "one_at_a_time"),
    ),
    Guard(
        "the time a request waited unread counts",
        f"{DAEMON}/serving/pass_through.py",
        "time_limit = time_left(limit, route.objective, read_delay)",
        "time_limit = limit",
        (PROCESS_PAUSES, "hears_within_its_time"),
    ),
    Guard(
        "a request that every engine refused is answered at once",
        f"{DAEMON}/serving/pass_through.py",
        "if not is_pending and current.last is None:\n            return False",
        "if False:\n            return False",
        (ENGINE_RETRIES, "refused_at_once"),
    ),
    Guard(
        "the engine's run is cancelled when the caller disconnects",
        "platform/front.py",
        "            answer_task.cancel()\n",
        "",
        (REQUESTS, "caller_leaves"),
    ),
    Guard(
        "a second engine runs in parallel to a slow one",
        f"{DAEMON}/serving/pass_through.py",
        "if not self._may_hedge(current):\n            return remaining",
        "if True:\n            return remaining",
        (REQUESTS, "slow_engine"),
    ),
    Guard(
        "a request that an engine may still run is not reported as not run",
        f"{DAEMON}/serving/pass_through.py",
        "if pending and current.last is None:",
        "if False:",
        (PASS_THROUGH, "still_has"),
    ),
    Guard(
        "a success carries the engine's signature",
        "platform/engine_answers.py",
        "if response.status < 300 and not _VISIBLE_ASCII.fullmatch(signature):",
        "if False:",
        (REQUESTS, "signature"),
    ),
    Guard(
        "a refusal holds for the model that was refused",
        f"{DAEMON}/serving/pool.py",
        "self.refusals.get(kind)\n        return refusal is None",
        "self.refusals.get('')\n        return refusal is None",
        (POOL, "refus"),
    ),
    Guard(
        "engines in backoff are asked rather than none",
        f"{DAEMON}/serving/pool.py",
        "for e in fast or eligible or untried}",
        "for e in fast or eligible}",
        (PASS_THROUGH, "rather_than_none"),
    ),
    Guard(
        "each node has an order of engines of its own",
        f"{LIBRARY}/_routing.py",
        "order = rendezvous_order(node, ties)",
        "order = sorted(ties)",
        ("tests/test_policies.py", "few_engines"),
    ),
    Guard(
        "a hedge goes to another data centre",
        f"{LIBRARY}/_routing.py",
        "return ties[min(order, key=lambda name: ties[name].is_centre_tried)]",
        "return ties[order[0]]",
        (POOL, "another_data_centre"),
    ),
    Guard(
        "the pool knows the data centres that were tried",
        f"{DAEMON}/serving/pool.py",
        "{e.data_centre for e in allowed if e.incarnation in tried},",
        "set(),",
        (POOL, "another_data_centre"),
    ),
    Guard(
        "the engine's idle timeout is applied",
        "platform/engine_transport.py",
        "session.connector.set_engine_timeout(int(told[1]))",
        "pass",
        ("tests/adapter/test_engine_connections.py", "as_long_as"),
    ),
    Guard(
        "an engine that was overtaken comes after the others",
        f"{DAEMON}/serving/pool.py",
        "self._load_of(e).overtaken_until <= now",
        "True",
        (POOL, "overtaken"),
    ),
    Guard(
        "a settings file that needs a restart is rejected",
        "platform/settings_file.py",
        "self._check_fixed(settings)",
        "pass",
        ("tests/adapter/test_edge_settings.py", "refused_whole"),
    ),
    Guard(
        "a signal before its handler is ignored",
        "platform/edge.py",
        "signal.signal(signal.SIGHUP, signal.SIG_IGN)\n\n",
        "",
        ("tests/adapter/test_edge_settings.py", "before_the_handler"),
    ),
    Guard(
        "a settings file that changes is noticed without a signal",
        "platform/edge.py",
        "watch_task = asyncio.create_task(file.watch(apply_settings))",
        "watch_task = asyncio.create_task(asyncio.sleep(3600))",
        ("tests/adapter/test_edge_settings.py", "taken_while"),
    ),
    Guard(
        "a mark that is no text is not passed on",
        "platform/engine_answers.py",
        "not _VISIBLE_ASCII.fullmatch(signature)",
        "not signature",
        (GARBLED_ANSWERS, "mark"),
    ),
    Guard(
        "an answer with an invalid head is not passed on",
        "platform/engine_answers.py",
        "if not _has_valid_head(response):",
        "if False:",
        (GARBLED_ANSWERS, "head"),
    ),
    Guard(
        "a loop that fails runs again",
        f"{DAEMON}/supervision.py",
        "        except Exception as error:",
        "        except ZeroDivisionError as error:",
        (SUPERVISION, "runs_again"),
    ),
    Guard(
        "a record that cannot be applied hides none behind it",
        f"{DAEMON}/cluster/follow.py",
        """            # Every node would fail at this record, at each start again.
            self._skip(offset, repr(error), exc_info=error)
""",
        "            raise\n",
        (SUPERVISION, "hides_none"),
    ),
    Guard(
        "an entry that cannot be applied hides no other one",
        f"{DAEMON}/cluster/follow.py",
        "            # Contained to this key, whose next change is applied again.\n",
        "            raise\n",
        (SUPERVISION, "hides_no_other"),
    ),
    Guard(
        "a record that cannot be encoded holds up no other one",
        f"{DAEMON}/jobs/record_writer.py",
        """        _log.error("record_not_encoded", record=repr(record), exc_info=error)
        return None
""",
        "        raise\n",
        (SUPERVISION, "cannot_be_encoded"),
    ),
    Guard(
        "a body that closes its connection is a failed call",
        "platform/failures.py",
        "ValueError, RuntimeError)",
        "ValueError)",
        (GARBLED_ANSWERS, "closes_its_connection"),
    ),
)
