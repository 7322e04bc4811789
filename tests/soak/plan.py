# SPDX-License-Identifier: MIT

"""
The faults of a run, drawn from one seed.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum


__all__ = [
    "DESKS",
    "EDGES",
    "HOLDER",
    "JOINER",
    "OPERATOR",
    "POOL",
    "STORE",
    "Fault",
    "Kind",
    "Series",
    "SoakPlan",
    "SoakSettings",
    "UnusableSoakError",
]

#: Targets of faults.
EDGES = ("edge-0", "edge-1", "edge-2")
POOL = ("engine-0", "engine-1")
DESKS = ("desk-0", "desk-1")
STORE = "store"
OPERATOR = "operator"
#: The edge that gave the last order to an engine.
HOLDER = "holder"
#: VMs that are added to the deployment, each a new one.
JOINER = "joiner"
#: Default and longest duration of fault injection, in seconds.
_DEFAULT_SECONDS, _MAX_SECONDS = 14.0, 120.0
#: Time without faults at the start, in seconds, so that requests are served first.
_FAULT_FREE_START = 0.5


class Kind(StrEnum):
    """
    Kinds of faults and of planned changes.
    """

    FREEZE = "freeze"
    FREEZE_HOLDER = "freeze_holder"
    KILL = "kill"
    STOP = "stop"
    FREEZE_KILL = "freeze_kill"
    #: SIGTERM while paused.
    FREEZE_STOP = "freeze_stop"
    #: SIGTERM soon after a pause.
    THAW_STOP = "thaw_stop"
    #: A second SIGTERM during a planned stop.
    STOP_TWICE = "stop_twice"
    CRASH = "crash"
    HANG = "hang"
    CUT = "cut"
    LATE_ORDER = "late_order"
    WRONG_ID = "wrong_id"
    UNSIGNED = "unsigned"
    REFUSE = "refuse"
    SLOW = "slow"
    BUSY = "busy"
    SILENT = "silent"
    RESET = "reset"
    #: Appends are carried out, but not answered.
    LOSE_DONE = "lose_done"
    #: Appends are neither answered nor carried out.
    LOSE_UNDONE = "lose_undone"
    #: Unanswered appends are carried out later.
    LOSE_LATE = "lose_late"
    #: A VM is added, and killed at the end of the fault.
    JOIN = "join"
    #: Orders to an engine arrive late, and not at all if their sender resets.
    HOLD_ORDERS = "hold_orders"
    #: The edges' open connections to the store turn silent.
    LOSE_CONNECTIONS = "lose_connections"
    #: The mark of each answer has a wrong bit.
    GARBLE_MARK = "garble_mark"
    #: Each answer is replaced by interim responses without end.
    POUR = "pour"
    CONFIGURE = "configure"
    NAME_VERSION = "name_version"


#: Kinds of faults by kind of process; repeated ones are drawn more often.
_EDGE_KINDS = (
    *(Kind.FREEZE,) * 3,
    *(Kind.KILL, Kind.STOP) * 2,
    Kind.FREEZE_KILL,
    Kind.FREEZE_STOP,
)
_POOL_KINDS = (
    *(Kind.CRASH,) * 3,
    *(Kind.HANG, Kind.CUT, Kind.LATE_ORDER) * 2,
    Kind.REFUSE,
)
_DESK_KINDS = (
    *(Kind.CRASH,) * 2,
    *(Kind.WRONG_ID, Kind.UNSIGNED, Kind.REFUSE, Kind.SLOW),
)
_STORE_KINDS = (
    *(Kind.BUSY, Kind.SILENT, Kind.RESET),
    *(Kind.LOSE_DONE, Kind.LOSE_DONE, Kind.LOSE_UNDONE, Kind.LOSE_LATE),
)
_OPERATOR_KINDS = (Kind.CONFIGURE, *(Kind.NAME_VERSION,) * 2)


#: Kinds of faults in a run of planned stops: edges with process pauses shorter than
#: their callers' timeout, and services that fail in turn.
_STOPS_EDGE_KINDS = (*(Kind.THAW_STOP,) * 3, Kind.STOP_TWICE)
_STOPS_DESK_KINDS = (Kind.WRONG_ID, Kind.UNSIGNED, Kind.REFUSE, Kind.SLOW)
_STOPS_LONGEST = 0.5
#: Kinds of faults in a run with links to the engines and the store.
_LINKS_EDGE_KINDS = (*(Kind.STOP,) * 3, Kind.KILL)
_LINKS_DESK_KINDS = (Kind.GARBLE_MARK, Kind.POUR)


class Series(StrEnum):
    """
    Selections of the faults of a run.
    """

    ALL = "all"
    STOPS = "stops"
    LINKS = "links"


class UnusableSoakError(ValueError):
    """
    A seed or a setting is invalid; the message names the field.
    """


@dataclass(frozen=True)
class SoakSettings:
    """
    Settings of a run.

    :param seconds: Duration of fault injection.
    """

    seconds: float = _DEFAULT_SECONDS
    series: Series = Series.ALL

    @classmethod
    def from_text(cls, seconds: str, series: str = Series.ALL) -> SoakSettings:
        """
        Parse and validate the settings.

        :raises UnusableSoakError: If one is invalid.
        """
        try:
            number = float(seconds)
        except ValueError:
            number = 0.0
        if not 1.0 <= number <= _MAX_SECONDS:
            wanted = f"a number from 1 to {_MAX_SECONDS:g} is needed"
            raise UnusableSoakError(f"seconds: {wanted}, not {seconds!r}")
        if series not in list(Series):
            wanted = " or ".join(Series)
            raise UnusableSoakError(f"series: {wanted} is needed, not {series!r}")
        return cls(number, Series(series))


@dataclass(frozen=True)
class Fault:
    """
    One fault.

    :param at: Start of the fault, in seconds after the start of the run.
    :param duration: Duration, in seconds; it sets the downtime of a stopped process.
    """

    at: float
    target: str
    kind: Kind
    duration: float


@dataclass(frozen=True)
class SoakPlan:
    """
    A series of faults for each process; series of different processes overlap.
    """

    seed: int
    faults: tuple[Fault, ...]

    @classmethod
    def from_seed(cls, seed: int, settings: SoakSettings) -> SoakPlan:
        """
        Draw the faults.
        """
        draw = random.Random(seed)
        if settings.series is Series.STOPS:
            return cls(seed, _draw_stops(draw, settings))
        if settings.series is Series.LINKS:
            return cls(seed, _draw_links(draw, settings))
        series = [
            *(_draw_series(draw, name, _EDGE_KINDS, 2.5, settings) for name in EDGES),
            *(_draw_series(draw, name, _POOL_KINDS, 2.0, settings) for name in POOL),
            *(_draw_series(draw, name, _DESK_KINDS, 2.0, settings) for name in DESKS),
            _draw_series(draw, STORE, _STORE_KINDS, 2.5, settings),
            _draw_series(draw, OPERATOR, _OPERATOR_KINDS, 0.6, settings),
            _draw_series(draw, HOLDER, (Kind.FREEZE_HOLDER,), 2.5, settings),
            _draw_series(draw, JOINER, (Kind.JOIN,), 2.5, settings),
        ]
        return cls(seed, _sort_faults(series))

    def of(self, target: str) -> list[Fault]:
        return [fault for fault in self.faults if fault.target == target]


def _draw_stops(draw: random.Random, settings: SoakSettings) -> tuple[Fault, ...]:
    edges = [
        _draw_series(draw, name, _STOPS_EDGE_KINDS, 1.0, settings, _STOPS_LONGEST)
        for name in EDGES
    ]
    desks = [
        _draw_series(draw, name, _STOPS_DESK_KINDS, 0.5, settings) for name in DESKS
    ]
    return _sort_faults([*edges, *desks])


def _draw_links(draw: random.Random, settings: SoakSettings) -> tuple[Fault, ...]:
    kinds = {
        **dict.fromkeys(EDGES, _LINKS_EDGE_KINDS),
        **dict.fromkeys(POOL, (Kind.HOLD_ORDERS,)),
        # One instance of the service is sound.
        DESKS[0]: _LINKS_DESK_KINDS,
        STORE: (Kind.LOSE_CONNECTIONS,),
        OPERATOR: (Kind.NAME_VERSION,),
    }
    return _sort_faults(
        [
            _draw_series(draw, target, chosen, 1.5, settings)
            for target, chosen in kinds.items()
        ]
    )


def _sort_faults(series: list[list[Fault]]) -> tuple[Fault, ...]:
    faults = [fault for one in series for fault in one]
    return tuple(sorted(faults, key=lambda fault: fault.at))


def _draw_series(
    draw: random.Random,
    target: str,
    kinds: Sequence[Kind],
    pause: float,
    settings: SoakSettings,
    longest: float = 2.4,
) -> list[Fault]:
    """
    Draw consecutive faults of one process.

    :param pause: Mean time between two faults, in seconds.
    :param longest: Longest duration of a fault, in seconds.
    """
    faults = []
    at = _FAULT_FREE_START + draw.uniform(0, pause)
    while at < settings.seconds:
        fault = Fault(at, target, draw.choice(kinds), draw.uniform(0.2, longest))
        faults.append(fault)
        at += fault.duration + draw.uniform(0.3, 1.7) * pause
    return faults
