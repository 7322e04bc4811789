# SPDX-License-Identifier: MIT

"""
Names of the work shares of jobs that only some regions may run.
"""

from __future__ import annotations

from urllib.parse import quote, unquote


__all__ = ["restricted_share", "share_regions"]

#: Separates a share's base name from its regions.
_SEPARATOR = "|regions="


def restricted_share(base: str, regions: frozenset[str] | None) -> str:
    """
    Return the name of the work share of jobs that a set of regions may run.

    :param base: Name of the share of jobs without a restriction, which is returned
        unchanged for these.
    """
    if regions is None:
        return base
    return base + _SEPARATOR + ",".join(sorted(quote(name, "") for name in regions))


def share_regions(share: str) -> frozenset[str] | None:
    """
    Return the regions in the name of a work share; none if any region may hold it.
    """
    _, separator, names = share.rpartition(_SEPARATOR)
    if not separator:
        return None
    return frozenset(unquote(name) for name in names.split(",") if name)
