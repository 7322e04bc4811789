# SPDX-License-Identifier: MIT

"""
Decides which texts leave an engine before it ends.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass


__all__ = ["LeavingText", "texts_to_move"]

#: Time before the announced end at which an engine may already be gone, in seconds: its
#: entry may be 0.8 s late.
_END_MARGIN = 0.8


@dataclass(frozen=True)
class LeavingText:
    """
    A text that runs at an engine that will end.

    :param name: Identifies the text.
    :param remaining: Expected time until it is finished there, in seconds.
    """

    name: str
    remaining: float


def texts_to_move(texts: Iterable[LeavingText], time_left: float) -> list[str]:
    """
    Return the names of the texts that will not be finished in time, longest first.

    :param time_left: Time until the end that the engine announced, in seconds.
    """
    late = [text for text in texts if text.remaining > time_left - _END_MARGIN]
    return [text.name for text in sorted(late, key=lambda t: (-t.remaining, t.name))]
