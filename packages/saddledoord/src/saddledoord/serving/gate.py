# SPDX-License-Identifier: MIT

"""
The gate of all sends to engines: checks them, and is the only maker of permits.
"""

from __future__ import annotations

import itertools
from collections import Counter
from collections.abc import Mapping

import structlog

from saddledoor import (
    Denial,
    EngineEntry,
    EngineFacts,
    EngineTable,
    NotRun,
    ResultCode,
    SendNeeds,
    check_send,
)

from .._clock import boot_time
from ..cluster.view import ClusterView
from ..ports import SendPermit


__all__ = ["SendGate"]

_log = structlog.get_logger()

#: When a caller may ask again after a refusal for a reason, in seconds.
_RETRY_AFTER = {
    Denial.LEAVING: 0.1,
    Denial.REGION: 5.0,
    Denial.EVACUATED: 5.0,
    Denial.COLD: 1.0,
    Denial.RATE: 0.2,
}


class SendGate:
    """
    Decides whether a request may be sent to an engine from this VM now.

    It is asked when an engine is chosen, and again right before the send, which needs
    a permit.

    :param regions: Region of each data centre.
    """

    @property
    def denials(self) -> Mapping[Denial, int]:
        """
        Number of denials so far, by reason; an engine that is passed over counts.
        """
        return self._denials

    def __init__(
        self, view: ClusterView, regions: Mapping[str, str] | None = None
    ) -> None:
        self._view = view
        self._regions = regions or {}
        self._denials: Counter[Denial] = Counter()
        #: The denial logged last, by the regions that were needed.
        self._logged: EngineTable[dict[SendNeeds, Denial]] = view.engine_tables.table(
            dict
        )
        self._checks = itertools.count(1)

    def facts(self, engine: EngineEntry, now: float) -> EngineFacts:
        """
        Return what decides whether an engine may get a request.
        """
        return EngineFacts(
            region=self._regions.get(engine.data_centre),
            is_usable=self._view.directory.is_usable(engine, now),
        )

    def is_allowed(self, engine: EngineEntry, needs: SendNeeds, now: float) -> bool:
        """
        Return whether a request may be sent to an engine; asked when one is chosen.
        """
        return self._check(engine, needs, now) is None

    def permit(
        self, engine: EngineEntry, needs: SendNeeds, decided_at: float
    ) -> SendPermit | Denial:
        """
        Return the permit to send a request to an engine now, or why there is none.

        :param decided_at: Time before all checks that allowed to send it, monotonic, in
            seconds.
        """
        denial = self._check(engine, needs, boot_time())
        if denial is not None:
            return denial
        return SendPermit(engine, decided_at, next(self._checks))

    def refusal(self, service: str, needs: SendNeeds) -> NotRun | None:
        """
        Return the refusal of a request that may go to no engine of a service; None if
        it may go to one, or if there is no engine.

        The caller may ask again when the reason of the first engine is expected to end;
        the reason of each engine is its longest-lasting one.
        """
        now = boot_time()
        denials = [
            check_send(needs, self.facts(engine, now))
            for engine in self._view.directory.usable(service, now)
        ]
        reasons = [denial for denial in denials if denial is not None]
        if not reasons or len(reasons) < len(denials):
            return None
        first = min(reasons, key=_RETRY_AFTER.__getitem__)
        detail = f"no engine may get it: {first.name.lower()}"
        return NotRun(ResultCode.NO_BACKEND, detail, _RETRY_AFTER[first])

    def _check(
        self, engine: EngineEntry, needs: SendNeeds, now: float
    ) -> Denial | None:
        denial = check_send(needs, self.facts(engine, now))
        if denial is not None:
            self._denials[denial] += 1
        self._log_change(engine, needs, denial)
        return denial

    def _log_change(
        self, engine: EngineEntry, needs: SendNeeds, denial: Denial | None
    ) -> None:
        logged = self._logged.get(engine.incarnation)
        previous = logged.get(needs) if logged else None
        # The rate is exceeded many times a second, so its end is not logged.
        if denial == previous or (denial is None and previous is Denial.RATE):
            return
        if denial is None:
            del logged[needs]
            _log.info("engine_allowed", engine=engine.engine_id, reason=previous.name)
            return
        self._logged[engine.incarnation][needs] = denial
        _log.info(
            "engine_denied",
            engine=engine.engine_id,
            data_centre=engine.data_centre,
            number=int(denial),
            reason=denial.name,
        )
