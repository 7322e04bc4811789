# SPDX-License-Identifier: MIT

"""
Keep-alive sessions to engines.
"""

from __future__ import annotations

import asyncio

import aiohttp

import engine_sessions
from builders import make_engine_entry
from engine_sessions import EngineSessions


def test_connections_are_kept_for_one_life_of_one_engine():
    """
    A restarted engine, or another one at its address, gets a new session.
    """

    async def play():
        sessions = EngineSessions(aiohttp.ClientSession)
        first = sessions.session_for(make_engine_entry("e-1", started_at=1))
        assert sessions.session_for(make_engine_entry("e-1", started_at=1)) is first
        again = sessions.session_for(make_engine_entry("e-1", started_at=2))
        other = sessions.session_for(make_engine_entry("e-2", started_at=2))
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
        sessions = EngineSessions(aiohttp.ClientSession)
        unused = sessions.session_for(make_engine_entry("e-1", address="127.0.0.1:1"))
        used = sessions.session_for(make_engine_entry("e-2", address="127.0.0.1:2"))
        now = engine_sessions.boot_time()
        monkeypatch.setattr(engine_sessions, "boot_time", lambda: now + 121.0)
        sessions.session_for(make_engine_entry("e-2", address="127.0.0.1:2"))
        sessions.session_for(make_engine_entry("e-3", address="127.0.0.1:3"))
        await asyncio.sleep(0)
        assert unused.closed
        assert not used.closed
        await sessions.close()

    asyncio.run(play())
