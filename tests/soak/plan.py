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

#: The processes: with the store eight, and the soak itself.
EDGES = ("edge-0", "edge-1", "edge-2")
POOL = ("engine-0", "engine-1")
DESKS = ("desk-0", "desk-1")
STORE = "store"
OPERATOR = "operator"
#: Whichever edge gave the last order to an engine.
HOLDER = "holder"
#: Time that faults are injected for, in seconds, by default and at most.
_SECONDS, _MOST_SECONDS = 14.0, 120.0
#: Time without faults at the start, in seconds, so that each run has served before.
_QUIET = 0.5


class Kind(StrEnum):
    """
    What goes wrong, or is changed.
    """

    FREEZE = "freeze"
    FREEZE_HOLDER = "freeze_holder"
    KILL = "kill"
    STOP = "stop"
    FREEZE_KILL = "freeze_kill"
    FREEZE_STOP = "freeze_stop"
    THAW_STOP = "thaw_stop"
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
    LOSE_DONE = "lose_done"
    LOSE_UNDONE = "lose_undone"
    LOSE_LATE = "lose_late"
    CONFIGURE = "configure"
    NAME_VERSION = "name_version"


#: What may happen to each kind of process.
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


#: What may happen in a run of planned stops: edges that stood still for so short that
#: their callers can still wait for a whole answer, and services that fail in turn.
_STOPS_EDGE_KINDS = (*(Kind.THAW_STOP,) * 3, Kind.STOP_TWICE)
_STOPS_DESK_KINDS = (Kind.WRONG_ID, Kind.UNSIGNED, Kind.REFUSE, Kind.SLOW)
_STOPS_LONGEST = 0.5


class Series(StrEnum):
    """
    Which faults a run has.
    """

    ALL = "all"
    STOPS = "stops"


class UnusableSoakError(ValueError):
    """
    A seed or a setting cannot be used; the message names the field.
    """


@dataclass(frozen=True)
class SoakSettings:
    """
    What a run may be told.

    :param seconds: How long faults are injected.
    """

    seconds: float = _SECONDS
    series: Series = Series.ALL

    @classmethod
    def from_text(cls, seconds: str, series: str = Series.ALL) -> SoakSettings:
        """
        Check the settings.

        :raises UnusableSoakError: If one cannot be used.
        """
        try:
            number = float(seconds)
        except ValueError:
            number = 0.0
        if not 1.0 <= number <= _MOST_SECONDS:
            wanted = f"a number from 1 to {_MOST_SECONDS:g} is needed"
            raise UnusableSoakError(f"seconds: {wanted}, not {seconds!r}")
        if series not in list(Series):
            wanted = " or ".join(Series)
            raise UnusableSoakError(f"series: {wanted} is needed, not {series!r}")
        return cls(number, Series(series))


@dataclass(frozen=True)
class Fault:
    """
    One fault.

    :param at: Its start, in seconds after that of the run.
    :param lasts: In seconds; of a process that ends, until it is started again.
    """

    at: float
    target: str
    kind: Kind
    lasts: float


@dataclass(frozen=True)
class SoakPlan:
    """
    One series of faults for each process; the series overlap.
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
            return cls(seed, _stops(draw, settings))
        series = [
            *(_series(draw, name, _EDGE_KINDS, 2.5, settings) for name in EDGES),
            *(_series(draw, name, _POOL_KINDS, 2.0, settings) for name in POOL),
            *(_series(draw, name, _DESK_KINDS, 2.0, settings) for name in DESKS),
            _series(draw, STORE, _STORE_KINDS, 2.5, settings),
            _series(draw, OPERATOR, _OPERATOR_KINDS, 0.6, settings),
            _series(draw, HOLDER, (Kind.FREEZE_HOLDER,), 2.5, settings),
        ]
        return cls(seed, _in_order(series))

    def of(self, target: str) -> list[Fault]:
        return [fault for fault in self.faults if fault.target == target]


def _stops(draw: random.Random, settings: SoakSettings) -> tuple[Fault, ...]:
    edges = [
        _series(draw, name, _STOPS_EDGE_KINDS, 1.0, settings, _STOPS_LONGEST)
        for name in EDGES
    ]
    desks = [_series(draw, name, _STOPS_DESK_KINDS, 0.5, settings) for name in DESKS]
    return _in_order([*edges, *desks])


def _in_order(series: list[list[Fault]]) -> tuple[Fault, ...]:
    faults = [fault for one in series for fault in one]
    return tuple(sorted(faults, key=lambda fault: fault.at))


def _series(
    draw: random.Random,
    target: str,
    kinds: Sequence[Kind],
    pause: float,
    settings: SoakSettings,
    longest: float = 2.4,
) -> list[Fault]:
    """
    Draw faults of one process that follow one another.

    :param pause: Mean time between two of them, in seconds.
    :param longest: A fault lasts so long at most, in seconds.
    """
    faults = []
    at = _QUIET + draw.uniform(0, pause)
    while at < settings.seconds:
        fault = Fault(at, target, draw.choice(kinds), draw.uniform(0.2, longest))
        faults.append(fault)
        at += fault.lasts + draw.uniform(0.3, 1.7) * pause
    return faults
