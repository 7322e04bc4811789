# SPDX-License-Identifier: MIT

"""
Builders for the store's answers about a keyed topic.
"""

from __future__ import annotations

import base64
from collections.abc import Sequence

from json_fields import Fields
from saddledoord.ports import LogPage


__all__ = ["KeyedStore", "make_record", "make_row"]


def make_record(key: bytes, value: bytes) -> bytes:
    """
    Return a record of a keyed topic.
    """
    return bytes([len(key)]) + key + value


def make_row(key: str, value: bytes, offset: int = 0) -> dict:
    """
    Return a row of the newest values.
    """
    return {
        "private_key": key,
        "value": base64.b64encode(value).decode(),
        "offset": offset,
    }


class KeyedStore:
    """
    A store that answers with the given pages in turn.

    :param pages: Rows of the newest values, by page.
    :param records: Records of the topic's log.
    """

    def __init__(
        self, pages: Sequence[list] = ((),), records: Sequence[bytes] = ()
    ) -> None:
        self._pages = list(pages)
        self._records = tuple(records)
        self.asked: list[str | None] = []

    async def request_json(self, method: str, call: str, *, params: dict) -> Fields:
        index = len(self.asked) % len(self._pages)
        self.asked.append(params.get("since_rev"))
        rows = list(self._pages[index])
        more = index + 1 < len(self._pages)
        return Fields({"requests": rows, "has_more": more, "end": len(self._records)})

    async def read(self, topic: str, start: int, wait: float) -> LogPage:
        return LogPage(start, self._records[start:], len(self._records))
