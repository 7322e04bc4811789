# SPDX-License-Identifier: MIT

"""
Engines wanted, seen, booting and leaving, from the metrics of gateways.
"""

from __future__ import annotations

from collections.abc import Iterable

from prometheus_client.parser import text_string_to_metric_families


__all__ = ["merge_engine_counts", "render_engine_counts"]

_METRIC = "saddledoor_engines"
_STATES = ("wanted", "seen", "booting", "leaving")

#: Service, data centre and kind.
_Place = tuple[str, str, str]


def merge_engine_counts(pages: Iterable[str]) -> dict[_Place, dict[str, int]]:
    """
    Return the numbers of engines by state, from gateways' metrics.

    The engines wanted and booting are those of the gateway that orders; gateways may
    differ for a moment in those seen and leaving, of which the largest number counts.

    :param pages: Metrics in the Prometheus text format.
    """
    counts: dict[_Place, dict[str, int]] = {}
    for page in pages:
        for family in text_string_to_metric_families(page):
            for sample in family.samples if family.name == _METRIC else ():
                labels = sample.labels
                place = (labels["service"], labels["data_centre"], labels["kind"])
                states = counts.setdefault(place, {})
                state = labels["state"]
                states[state] = max(int(sample.value), states.get(state, 0))
    return counts


def render_engine_counts(counts: dict[_Place, dict[str, int]]) -> str:
    """
    Return a table; a dash where no gateway that answered orders engines.
    """
    heads = " ".join(f"{state.upper():>8}" for state in _STATES)
    lines = [f"{'SERVICE':<20} {'DATA CENTRE':<16} {'KIND':<10} {heads}"]
    for (service, data_centre, kind), states in sorted(counts.items()):
        numbers = " ".join(f"{states.get(state, '-'):>8}" for state in _STATES)
        lines.append(f"{service:<20} {data_centre:<16} {kind:<10} {numbers}")
    return "\n".join(lines)
