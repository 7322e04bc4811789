# SPDX-License-Identifier: MIT

"""
Claims in the log by which one node at a time starts a request that may crash engines.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from ._records import EngineCrashed, RequestsCleared, StartClaimed


__all__ = ["StartClaimFold"]

#: Longest time from a claim to the start that it allows, in seconds, as its node counts
#: it, from before the append.
_START_WITHIN = 1.0
#: Time after which a claim excludes no other one, in seconds, as other nodes count it,
#: from when they read it: the start, the crash 1.5 s later, and its report.
_TERM = 3.5
#: Maximum number of requests whose newest claim is remembered.
_MAX_CLAIMS = 4096


@dataclass
class _Claim:
    """
    The newest claim of a request.

    :param read_at: When it was read, monotonic, in seconds.
    :param is_over: Whether an engine has crashed since, with the request in flight.
    """

    claim_id: str
    read_at: float
    is_over: bool = False


class StartClaimFold:
    """
    The newest claims of requests, folded from the log.

    Of claims that name the same predecessor the first one in the log counts, for all
    nodes alike. If the predecessor is not known, any claim counts.
    """

    #: See `_START_WITHIN`.
    start_within = _START_WITHIN

    def __init__(self) -> None:
        self._claims: OrderedDict[str, _Claim] = OrderedDict()

    def __len__(self) -> int:
        return len(self._claims)

    def apply(self, record: object, now: float) -> None:
        """
        Fold one record; record types other than claims, crashes and clearances are
        ignored.

        :param now: Monotonic, in seconds.
        """
        match record:
            case StartClaimed():
                self._claim(record, now)
            case EngineCrashed():
                for key in record.requests:
                    if key in self._claims:
                        self._claims[key].is_over = True
            case RequestsCleared():
                for key in record.requests:
                    self._claims.pop(key, None)

    def newest(self, key: str) -> str:
        """
        Return the id of a request's newest claim; empty if none is known.
        """
        claim = self._claims.get(key)
        return "" if claim is None else claim.claim_id

    def excludes_others(self, key: str, now: float) -> bool:
        """
        Return whether only the node of the newest claim may start a request.

        :param now: Monotonic, in seconds.
        """
        claim = self._claims.get(key)
        return claim is not None and not claim.is_over and now <= claim.read_at + _TERM

    def _claim(self, record: StartClaimed, now: float) -> None:
        known = self._claims.get(record.request)
        if known is not None and known.claim_id != record.after:
            return
        self._claims[record.request] = _Claim(record.claim_id, now)
        self._claims.move_to_end(record.request)
        if len(self._claims) > _MAX_CLAIMS:
            self._claims.popitem(last=False)
