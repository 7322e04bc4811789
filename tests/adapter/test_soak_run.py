# SPDX-License-Identifier: MIT

"""
A short soak test; ``make soak`` runs more and longer ones.
"""

from __future__ import annotations

from soak.plan import Series, SoakSettings
from soak.run import run_seed


def test_a_short_soak_keeps_every_promise(tmp_path):
    """
    Under faults of all kinds, callers and readers are served and all checks pass.
    """
    verdict = run_seed(1, SoakSettings(seconds=6.0), tmp_path / "soak")
    assert verdict.findings == ()
    assert sum(verdict.faults.values()) >= 10
    assert verdict.served > 100
    assert verdict.samples > 0


def test_a_short_soak_with_links_keeps_every_promise(tmp_path):
    """
    Orders arrive late, connections to the store are lost, marks are damaged, and one
    instance sends without end, while edges are stopped and killed.
    """
    settings = SoakSettings(seconds=6.0, series=Series.LINKS)
    verdict = run_seed(1, settings, tmp_path / "soak")
    assert verdict.findings == ()
    assert sum(verdict.faults.values()) >= 10
    assert verdict.served > 100
    assert verdict.samples > 0
