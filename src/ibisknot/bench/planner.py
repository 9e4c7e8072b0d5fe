"""Compares a recorded day with an upper limit and the naive policy.

The limit is a linear program over the recorded day: work may be divided, batch
items move between slots at no cost, and all arrivals are given from the start,
so that no policy does better. The naive policy spreads requests evenly over the
endpoints, which serve them in order of arrival.
"""

import bisect
import dataclasses
import heapq
import math
import pathlib

from matplotlib import figure
import numpy as np
from scipy import optimize
from scipy import sparse

from ibisknot import admission
from ibisknot.bench import recording

SLICE_S = 0.5
"""Length of the slices of time of the linear program."""
WIDTH_IN = 7.0


@dataclasses.dataclass(slots=True, frozen=True)
class Valuation:
    """Worth of requests, in one arbitrary unit, and when they are late.

    Attributes:
        online: Worth of an online request that starts in time.
        online_late: Worth of an online request that starts late.
        batch: Worth of a batch item that ends in time.
        batch_late: Worth of a batch item that ends late.
        online_start_s: Time from its arrival after which the start of an
            online request is late, in seconds.
        online_patience_s: Time from its arrival after which the caller of an
            online request has disconnected, in seconds.
        batch_due_s: Time from its arrival after which the end of a batch item
            is late, in seconds.
        endpoint_slots: Slots of one endpoint, for the naive policy.
    """

    online: float = 3.1
    online_late: float = 0.47
    batch: float = 19.0
    batch_late: float = 1.9
    online_start_s: float = 0.25
    online_patience_s: float = 5.0
    batch_due_s: float = 18.0
    endpoint_slots: int = 8


@dataclasses.dataclass(slots=True, frozen=True)
class WorthFractions:
    """Worth served, as fractions of the worth of all requests if in time.

    Attributes:
        naive: Fraction that the naive policy serves.
        actual: Fraction that was served according to the log.
        limit: Fraction that the best plan serves.
    """

    naive: float
    actual: float
    limit: float

    def reached_fraction(self) -> float:
        """Returns the reached fraction of the gain from naive to limit.

        >>> WorthFractions(0.5, 0.8, 0.9).reached_fraction()
        0.75
        """
        possible_gain = self.limit - self.naive
        return (
            1.0
            if possible_gain <= 0.0
            else round((self.actual - self.naive) / possible_gain, 4)
        )


def compare(day: recording.Day, valuation: Valuation) -> WorthFractions:
    """Returns the fractions of a day."""
    requested_worth = sum(
        _request_worth(r, valuation, is_late=False) for r in day.requests
    )
    return WorthFractions(
        naive=naive_worth(day, valuation) / requested_worth,
        actual=actual_worth(day, valuation) / requested_worth,
        limit=limit_worth(day, valuation) / requested_worth,
    )


def actual_worth(day: recording.Day, valuation: Valuation) -> float:
    """Returns the worth of what was served according to the log."""
    worth = 0.0
    for request in day.requests:
        if request.completed_s is None:
            continue
        if request.kind == admission.ONLINE:
            waited_s = request.started_s - request.arrived_s
            is_late = waited_s > valuation.online_start_s
        else:
            is_late = (
                request.completed_s - request.arrived_s > valuation.batch_due_s
            )
        worth += _request_worth(request, valuation, is_late=is_late)
    return worth


def _request_worth(
    request: recording.Request, valuation: Valuation, *, is_late: bool
) -> float:
    if request.kind == admission.ONLINE:
        return valuation.online_late if is_late else valuation.online
    return valuation.batch_late if is_late else valuation.batch


def slots_at(day: recording.Day, time_s: float) -> int:
    """Returns the count of slots of all endpoints at a time."""
    index = bisect.bisect_right(day.slots, (time_s, math.inf)) - 1
    return day.slots[max(0, index)][1]


def naive_worth(day: recording.Day, valuation: Valuation) -> float:
    """Returns the worth that the naive policy serves of a day."""
    max_endpoints = (
        max(count for _, count in day.slots) // valuation.endpoint_slots
    )
    free_s = [
        [0.0] * valuation.endpoint_slots for _ in range(max(1, max_endpoints))
    ]
    worth = 0.0
    for index, request in enumerate(day.requests):
        endpoint_count = (
            slots_at(day, request.arrived_s) // valuation.endpoint_slots
        )
        endpoint_free_s = free_s[index % max(1, endpoint_count)]
        start_s = max(request.arrived_s, endpoint_free_s[0])
        waited_s = start_s - request.arrived_s
        if request.kind == admission.ONLINE:
            if waited_s > valuation.online_patience_s:
                continue
            is_late = waited_s > valuation.online_start_s
        else:
            is_late = waited_s + request.held_s > valuation.batch_due_s
        heapq.heapreplace(endpoint_free_s, start_s + request.held_s)
        worth += _request_worth(request, valuation, is_late=is_late)
    return worth


class _LinearProgram:
    """A linear program that is built variable by variable.

    Each constraint limits a weighted sum of variables. `coefficients[i]` is
    the weight of variable `variable_indices[i]` in constraint
    `constraint_indices[i]`.

    Attributes:
        constraint_limits: Upper limit of each constraint.
        constraint_indices: Constraint of each coefficient.
        variable_indices: Variable of each coefficient.
        coefficients: The weights other than 0.
        gains: Gain by a unit of each variable.
        max_values: Largest value of each variable; the smallest is 0.
    """

    def __init__(self, capacity: list[float]) -> None:
        self.constraint_limits = list(capacity)
        self.constraint_indices: list[int] = []
        self.variable_indices: list[int] = []
        self.coefficients: list[float] = []
        self.gains: list[float] = []
        self.max_values: list[float] = []

    def add_constraint(self, upper_limit: float) -> int:
        """Adds a constraint with an upper limit; returns its index."""
        self.constraint_limits.append(upper_limit)
        return len(self.constraint_limits) - 1

    def add_variable(
        self, gain: float, max_value: float, coefficients: dict[int, float]
    ) -> None:
        """Adds a variable with its coefficients by constraint index."""
        variable = len(self.gains)
        self.gains.append(gain)
        self.max_values.append(max_value)
        for constraint, coefficient in coefficients.items():
            self.constraint_indices.append(constraint)
            self.variable_indices.append(variable)
            self.coefficients.append(coefficient)

    def solve(self) -> float:
        """Returns the largest total gain.

        Raises:
            ArithmeticError: The solver found no solution.
        """
        shape = (len(self.constraint_limits), len(self.gains))
        matrix = sparse.csr_matrix(
            (
                self.coefficients,
                (self.constraint_indices, self.variable_indices),
            ),
            shape=shape,
        )
        solution = optimize.linprog(
            -np.array(self.gains),
            A_ub=matrix,
            b_ub=self.constraint_limits,
            bounds=np.column_stack((np.zeros(shape[1]), self.max_values)),
            method="highs",
        )
        if not solution.success:
            raise ArithmeticError(solution.message)
        return float(-solution.fun)


def limit_worth(day: recording.Day, valuation: Valuation) -> float:
    """Returns the worth that the best plan serves of a day.

    The first constraints of the program limit the slot-seconds that are used
    in each slice. One further constraint for each request limits it to one
    run.
    """
    begin_s = day.requests[0].arrived_s
    end_s = max(
        day.requests[-1].arrived_s + valuation.batch_due_s,
        max(r.completed_s or 0.0 for r in day.requests),
    )
    slice_count = math.ceil((end_s - begin_s) / SLICE_S) + 1
    capacity = [
        slots_at(day, begin_s + (n + 0.5) * SLICE_S) * SLICE_S
        for n in range(slice_count)
    ]
    program = _LinearProgram(capacity)
    for request in day.requests:
        arrival_offset_s = request.arrived_s - begin_s
        if request.kind == admission.ONLINE:
            _add_online(
                program, request, arrival_offset_s, slice_count, valuation
            )
        else:
            _add_batch(
                program, request, arrival_offset_s, slice_count, valuation
            )
    return program.solve()


def _add_online(
    program: _LinearProgram,
    request: recording.Request,
    arrival_offset_s: float,
    slice_count: int,
    valuation: Valuation,
) -> None:
    """Adds a request that runs from its arrival on, or late in any slices."""
    constraint = program.add_constraint(1.0)
    slot_seconds = _seconds_by_slice(
        arrival_offset_s, request.held_s, slice_count
    )
    program.add_variable(
        valuation.online, 1.0, slot_seconds | {constraint: 1.0}
    )
    held_s = max(request.held_s, 1e-3)
    first_slice = int((arrival_offset_s + valuation.online_start_s) / SLICE_S)
    last_slice = int((arrival_offset_s + valuation.online_patience_s) / SLICE_S)
    for slice_index in range(first_slice, min(last_slice, slice_count - 1) + 1):
        coefficients = {slice_index: 1.0, constraint: 1.0 / held_s}
        program.add_variable(
            valuation.online_late / held_s, SLICE_S, coefficients
        )


def _add_batch(
    program: _LinearProgram,
    request: recording.Request,
    arrival_offset_s: float,
    slice_count: int,
    valuation: Valuation,
) -> None:
    """Adds an item that may be divided over all slices from its arrival."""
    held_s = max(request.held_s, 1e-3)
    constraint = program.add_constraint(1.0)
    due_slice = int((arrival_offset_s + valuation.batch_due_s) / SLICE_S)
    for slice_index in range(int(arrival_offset_s / SLICE_S), slice_count):
        worth = (
            valuation.batch
            if slice_index <= due_slice
            else valuation.batch_late
        )
        coefficients = {slice_index: 1.0, constraint: 1.0 / held_s}
        program.add_variable(worth / held_s, SLICE_S, coefficients)


def _seconds_by_slice(
    start_s: float, held_s: float, slice_count: int
) -> dict[int, float]:
    """Returns the seconds of a run in each slice, by slice index.

    The run has no interruption; slices from `slice_count` on are left out.

    >>> _seconds_by_slice(0.25, 0.5, 9)
    {0: 0.25, 1: 0.25}
    """
    seconds_by_slice: dict[int, float] = {}
    slice_index = int(start_s / SLICE_S)
    while held_s > 0.0 and slice_index < slice_count:
        used_s = min(held_s, (slice_index + 1) * SLICE_S - start_s)
        seconds_by_slice[slice_index] = used_s
        start_s += used_s
        held_s -= used_s
        slice_index += 1
    return seconds_by_slice


def draw_fractions(days: dict[str, WorthFractions], path: pathlib.Path) -> None:
    """Writes a plot of the fractions of several days as a PNG file."""
    plot = figure.Figure(
        figsize=(WIDTH_IN, 1.0 + 0.6 * len(days)), layout="tight"
    )
    axes = plot.subplots()
    for offset, field in ((-0.25, "naive"), (0.0, "actual"), (0.25, "limit")):
        axes.barh(
            [index + offset for index in range(len(days))],
            [getattr(fractions, field) for fractions in days.values()],
            height=0.24,
            label=field,
        )
    axes.set_yticks(range(len(days)), list(days))
    axes.invert_yaxis()
    axes.set_xlabel("fraction of the worth of all requests")
    axes.set_xlim(0.0, 1.0)
    axes.legend(loc="lower left")
    plot.savefig(path, dpi=110)
