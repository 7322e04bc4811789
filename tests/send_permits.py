# SPDX-License-Identifier: MIT

"""
Permits to send requests to engines of tests.
"""

from __future__ import annotations

from saddledoor import EngineEntry, SendNeeds
from saddledoord.cluster.view import ClusterView
from saddledoord.ports import KeyedEntry, SendPermit
from saddledoord.serving.gate import SendGate


__all__ = ["make_permit"]


def make_permit(engine: EngineEntry, decided_at: float) -> SendPermit:
    """
    Return the permit that the gate makes for an engine without restrictions.
    """
    view = ClusterView()
    view.apply_engine(KeyedEntry(engine.engine_id, 0, engine))
    permit = SendGate(view).permit(engine, SendNeeds(), decided_at)
    assert isinstance(permit, SendPermit)
    return permit
