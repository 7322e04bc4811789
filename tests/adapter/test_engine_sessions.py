# SPDX-License-Identifier: MIT

"""
Keep-alive sessions to engines.
"""

from __future__ import annotations

import asyncio
from contextlib import ExitStack

from hypothesis import given
from hypothesis import strategies as st

import engine_sessions
from builders import make_engine_entry
from engine_sessions import EngineSessions
from saddledoor import EngineEntry


class _Session:
    """
    Stand-in of a session, with the ids that it has carried.
    """

    def __init__(self) -> None:
        self.closed = False
        self.ids: list[str] = []

    async def close(self) -> None:
        self.closed = True


def _session_for(sessions: EngineSessions, engine: EngineEntry) -> _Session:
    with sessions.use(engine) as use:
        return use.session


def _sessions(open_session, single_use: _Session) -> EngineSessions:
    return EngineSessions(open_session, single_use, lambda _, __: None)


def test_connections_are_kept_for_one_life_of_one_engine():
    """
    A restarted engine, or another one at its address, gets a new session.
    """

    async def play():
        sessions = _sessions(_Session, _Session())
        first = _session_for(sessions, make_engine_entry("e-1", started_at=1))
        same = _session_for(sessions, make_engine_entry("e-1", started_at=1))
        assert same is first
        again = _session_for(sessions, make_engine_entry("e-1", started_at=2))
        other = _session_for(sessions, make_engine_entry("e-2", started_at=2))
        await asyncio.sleep(0)
        assert len({first, again, other}) == 3
        assert first.closed
        assert again.closed
        assert not other.closed
        await sessions.close()
        assert other.closed

    asyncio.run(play())


def test_connections_that_nobody_uses_are_given_up(monkeypatch):
    """
    Otherwise sessions would accumulate, since new engines have new addresses.
    """

    async def play():
        sessions = _sessions(_Session, _Session())
        entries = [
            make_engine_entry(f"e-{number}", address=f"127.0.0.1:{number}")
            for number in (1, 2, 3)
        ]
        unused = _session_for(sessions, entries[0])
        used = _session_for(sessions, entries[1])
        now = engine_sessions.boot_time()
        monkeypatch.setattr(engine_sessions, "boot_time", lambda: now + 121.0)
        _session_for(sessions, entries[1])
        _session_for(sessions, entries[2])
        await asyncio.sleep(0)
        assert unused.closed
        assert not used.closed
        await sessions.close()

    asyncio.run(play())


_SENDS = st.lists(
    st.tuples(
        st.sampled_from(["send", "end"]),
        st.integers(0, 12),
        st.sampled_from([1, 2]),
    ),
    max_size=80,
)


@given(_SENDS)
def test_a_session_carries_an_id_at_most_once(history):
    """
    A late copy of an answer would otherwise be taken for the answer of a later send.

    Also: a send gets a connection of its own only if its id was carried before, ids are
    remembered for a bounded number of requests, and a session that is replaced stays
    open until its last request has ended.
    """

    async def play():
        opened: list[_Session] = []

        def open_session() -> _Session:
            opened.append(_Session())
            return opened[-1]

        single_use = _Session()
        sessions = _sessions(open_session, single_use)
        sends: list[tuple[_Session, ExitStack]] = []
        for action, number, port in history:
            if action == "end":
                if sends:
                    sends.pop(number % len(sends))[1].close()
                continue
            entry = make_engine_entry(f"e-{port}", address=f"127.0.0.1:{port}")
            stack = ExitStack()
            session = stack.enter_context(sessions.use(entry, f"r-{number}")).session
            sends.append((session, stack))
            if session is not single_use:
                session.ids.append(f"r-{number}")
        await asyncio.sleep(0)
        for session in opened:
            assert len(set(session.ids)) == len(session.ids) <= 5
        assert not any(session.closed for session, _ in sends)
        for _, stack in sends:
            stack.close()
        await asyncio.sleep(0)
        assert all(s.closed == (len(s.ids) == 5) for s in opened)
        await sessions.close()
        assert all(session.closed for session in opened)

    limit, engine_sessions._MAX_CARRIED_IDS = engine_sessions._MAX_CARRIED_IDS, 5
    try:
        asyncio.run(play())
    finally:
        engine_sessions._MAX_CARRIED_IDS = limit


def test_a_new_connection_is_used_for_a_repeated_id_only():
    """
    New connections are the largest cost of a deployment.
    """

    async def play():
        single_use = _Session()
        sessions = _sessions(_Session, single_use)
        entry = make_engine_entry("e-1")
        used = []
        for request_id in ("r-1", "r-2", "r-1", "r-3", "r-3"):
            with sessions.use(entry, request_id) as use:
                used.append(use.session is single_use)
        assert used == [False, False, True, False, True]
        await sessions.close()

    asyncio.run(play())


def test_a_replaced_session_is_closed_after_its_last_request(monkeypatch):
    """
    Closing it earlier would cut the requests that are in flight.
    """
    monkeypatch.setattr(engine_sessions, "_MAX_CARRIED_IDS", 3)

    async def play():
        single_use = _Session()
        sessions = _sessions(_Session, single_use)
        entry = make_engine_entry("e-1")
        stacks = [ExitStack() for _ in range(3)]
        (first,) = {
            stack.enter_context(sessions.use(entry, f"r-{number}")).session
            for number, stack in enumerate(stacks)
        }
        with sessions.use(entry, "r-0") as use:
            # The new session has not carried it.
            assert use.session not in (first, single_use)
        for stack in stacks:
            await asyncio.sleep(0)
            assert not first.closed
            stack.close()
        await asyncio.sleep(0)
        assert first.closed
        await sessions.close()

    asyncio.run(play())
