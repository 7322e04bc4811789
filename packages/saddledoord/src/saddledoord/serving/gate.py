# SPDX-License-Identifier: MIT

"""
The gate of all sends to engines: checks them, and is the only maker of permits.
"""

from __future__ import annotations

import asyncio
import itertools
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from functools import partial

import structlog

from saddledoor import (
    Denial,
    EngineEntry,
    EngineFacts,
    EngineTable,
    NotRun,
    ResultCode,
    SendNeeds,
    TrackedSend,
    check_send,
)

from .._clock import boot_time
from ..cluster.evacuations import EvacuationKnowledge
from ..cluster.view import ClusterView
from ..ports import SendPermit
from .cold_engines import ColdEngines


__all__ = ["SendGate", "SendSettings"]

_log = structlog.get_logger()

#: When a caller may ask again after a refusal for a reason, in seconds; for a cold
#: engine, and for one that got as many requests as it bears, it is calculated.
_RETRY_AFTER = {
    Denial.LEAVING: 0.1,
    Denial.REGION: 5.0,
    Denial.EVACUATED: 5.0,
    Denial.OUTDATED: 0.2,
}
_MIN_RETRY_AFTER = 0.1
#: Longest wait of a request for the operator's registry to be read after a process
#: pause, and how often it checks, in seconds.
_MAX_WAIT = 0.5
_CHECK_INTERVAL = 0.02


@dataclass(frozen=True)
class SendSettings:
    """
    Settings of the gate.

    :param regions: Region of each data centre.
    :param cold_bounds: Factor and constant of the limit of requests that a cold engine
        gets in a second; see `saddledoor.ColdLimit`.
    :param evacuation_limit: Time after which an evacuation must have taken effect, in
        seconds; None if the settings give none.
    :param own_region: Region of this VM; empty if it is unknown.
    """

    regions: Mapping[str, str] = field(default_factory=dict)
    evacuation_limit: float | None = None
    cold_bounds: tuple[float, float] = (1.0, 0.0)
    own_region: str = ""


#: Settings without any restriction.
_NO_SETTINGS = SendSettings()


class SendGate:
    """
    Decides whether a request may be sent to an engine from this VM now.

    It is asked when an engine is chosen, and again right before the send, which needs
    a permit.

    :param knowledge: Tells whether this VM would know of an evacuation; None if there
        are no evacuations.
    :param cold: The cold engines; None if no service has a limit for them.
    """

    @property
    def denials(self) -> Mapping[Denial, int]:
        """
        Number of denials so far, by reason; an engine that is passed over counts.
        """
        return self._denials

    def __init__(
        self,
        view: ClusterView,
        settings: SendSettings = _NO_SETTINGS,
        knowledge: EvacuationKnowledge | None = None,
        cold: ColdEngines | None = None,
    ) -> None:
        self._cold = cold
        self._view = view
        self._settings = settings
        self._knowledge = knowledge
        self._denials: Counter[Denial] = Counter()
        #: The denial logged last, by the regions that were needed.
        self._logged: EngineTable[dict[SendNeeds, Denial]] = view.engine_tables.table(
            dict
        )
        self._checks = itertools.count(1)

    def set_settings(self, settings: SendSettings) -> None:
        """
        Change the settings while the process runs.
        """
        self._settings = settings
        if self._knowledge is not None:
            self._knowledge.set_limit(settings.evacuation_limit)
        if self._cold is not None:
            self._cold.set_bounds(settings.cold_bounds)

    async def wait_until_up_to_date(self, deadline: float) -> None:
        """
        Wait a short time if evacuations or changed regions may be unknown, as after a
        process pause.

        :param deadline: Deadline of the request, monotonic, in seconds.
        """
        waited_until = min(deadline, boot_time() + _MAX_WAIT)
        while not self._is_up_to_date(boot_time()) and boot_time() < waited_until:
            await asyncio.sleep(_CHECK_INTERVAL)

    def is_unrestricted(self, service: str, needs: SendNeeds) -> bool:
        """
        Return whether nothing restricts the sends to the engines of a service.
        """
        return (
            needs.regions is None
            and not self._view.evacuated_data_centres()
            and not any(self._logged.rows())
            and (self._knowledge is None or self._knowledge.max_age is None)
            and (self._cold is None or not self._cold.is_limited(service))
        )

    def is_cold(self, engine: EngineEntry, now: float) -> bool:
        """
        Return whether an engine is known or presumed to be cold.
        """
        return self._cold is not None and self._cold.is_cold(engine, now)

    def hold(self, engine: EngineEntry) -> Callable[[], None]:
        """
        Hold a place within the limit of an engine for a request that is sent later;
        return the function that releases it.
        """
        return _nothing if self._cold is None else self._cold.hold(engine)

    def facts(
        self, engine: EngineEntry, now: float, is_held: bool = False
    ) -> EngineFacts:
        """
        Return what decides whether an engine may get a request.

        :param is_held: Whether a place is held for it; see `hold`.
        """
        cold = self._cold.facts(engine, now, is_held) if self._cold else None
        return EngineFacts(
            region=self._settings.regions.get(engine.data_centre),
            is_usable=self._view.directory.is_usable(engine, now),
            is_evacuated=engine.data_centre in self._view.evacuated_data_centres(),
            is_cold=cold is not None and cold.is_cold,
            may_send_to_cold=cold is None or cold.may_send_to_cold,
            sends_left=cold.sends_left if cold is not None else None,
            is_up_to_date=self._is_up_to_date(now),
        )

    def is_allowed(self, engine: EngineEntry, needs: SendNeeds, now: float) -> bool:
        """
        Return whether a request may be sent to an engine; asked when one is chosen.
        """
        return self._check(engine, needs, now) is None

    def permit(
        self,
        engine: EngineEntry,
        needs: SendNeeds,
        decided_at: float,
        is_held: bool = False,
    ) -> SendPermit | Denial:
        """
        Return the permit to send a request to an engine now, or why there is none.

        :param decided_at: Time before all checks that allowed to send it, monotonic, in
            seconds.
        :param is_held: Whether a place is held for the request; see `hold`.
        """
        now = boot_time()
        denial = self._check(engine, needs, now, is_held)
        if denial is not None:
            return denial
        check = next(self._checks)
        sent = self._cold.record_permit(engine, now) if self._cold else None
        if sent is None:
            return SendPermit(engine, decided_at, check)
        on_written = partial(_record_written, sent)
        return SendPermit(engine, decided_at, check, on_written)

    def refusal(self, service: str, needs: SendNeeds) -> NotRun | None:
        """
        Return the refusal of a request that may go to no engine of a service; None if
        it may go to one, or if there is no engine.

        The caller may ask again when the reason of the first engine is expected to end;
        the reason of each engine is its longest-lasting one.
        """
        now = boot_time()
        waits: list[tuple[float, Denial]] = []
        for engine in self._view.directory.usable(service, now):
            denial = check_send(needs, self.facts(engine, now))
            if denial is None:
                return None
            waits.append((self._retry_after(engine, denial, now), denial))
        if not waits:
            return None
        retry_after, reason = min(waits)
        detail = f"no engine may get it: {reason.name.lower()}"
        return NotRun(ResultCode.NO_BACKEND, detail, retry_after)

    def _retry_after(self, engine: EngineEntry, denial: Denial, now: float) -> float:
        cold = self._cold.facts(engine, now) if self._cold else None
        if cold is None or denial not in (Denial.COLD, Denial.RATE):
            return _RETRY_AFTER.get(denial, _MIN_RETRY_AFTER)
        at = cold.until if denial is Denial.COLD else cold.free_at
        return max(_MIN_RETRY_AFTER, at - now)

    def _is_up_to_date(self, now: float) -> bool:
        return self._knowledge is None or self._knowledge.is_recent(now)

    def _check(
        self, engine: EngineEntry, needs: SendNeeds, now: float, is_held: bool = False
    ) -> Denial | None:
        denial = check_send(needs, self.facts(engine, now, is_held))
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


def _record_written(sent: TrackedSend) -> None:
    sent.record_written(boot_time())


def _nothing() -> None:
    pass
