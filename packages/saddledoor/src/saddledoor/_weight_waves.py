# SPDX-License-Identifier: MIT

"""
Which engines get a new weight version, where the weights load while an engine serves.
"""

from __future__ import annotations

import math
from collections.abc import Mapping


__all__ = ["engines_to_update"]

#: Share of the engines that follow a new version at once. The others keep serving the
#: steps that still allow theirs, and follow with the next version.
_FOLLOWING = 0.5


def engines_to_update(
    versions: Mapping[str, int], named: int, oldest_allowed: int
) -> list[str]:
    """
    Return the engines to bring to the named version, the most urgent first.

    Those too old for the jobs at hand come first, since they can do nothing. Beyond
    them only as many as bring half of the engines to the newest version: a load pauses
    an engine, and the next version would pause it again.

    :param versions: Weight version of each engine.
    :param named: The version that the trainer named last.
    :param oldest_allowed: Oldest version that the newest job allows.
    """
    behind = sorted(
        (version, name) for name, version in versions.items() if version < named
    )
    urgent = [name for version, name in behind if version < oldest_allowed]
    newest = len(versions) - len(behind)
    half = max(1, math.floor(len(versions) * _FOLLOWING))
    missing = half - newest - len(urgent)
    rest = [name for version, name in behind if version >= oldest_allowed]
    return urgent + rest[: max(0, missing)]
