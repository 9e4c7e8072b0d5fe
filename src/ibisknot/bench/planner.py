"""How good a plan is at best that knows a day's requests in advance.

The limit is a linear program over a recorded day: work may be divided, batch
moves between slots for nothing, and all is known from the start, so that no
policy does better. The naive policy spreads requests evenly over the endpoints,
which serve them in order of arrival.
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
from ibisknot.bench import recorded

SLICE_S = 0.5
WIDTH_IN = 7.0


@dataclasses.dataclass(slots=True, frozen=True)
class Terms:
    """What requests are worth, and until when.

    Attributes:
        online_start_s: An online request that starts later than this after
            its arrival is late.
        online_patience_s: After this time its caller has left.
        batch_due_s: A batch item that ends later is late.
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
class Figures:
    """Fractions of the worth that was asked for.

    Attributes:
        naive: Of the naive policy.
        actual: Of what the log tells.
        limit: Of the best plan.
    """

    naive: float
    actual: float
    limit: float

    def reached(self) -> float:
        """Returns how much of the way from naive to the limit is reached.

        >>> Figures(0.5, 0.8, 0.9).reached()
        0.75
        """
        way = self.limit - self.naive
        return 1.0 if way <= 0.0 else round((self.actual - self.naive) / way, 4)


def compare(day: recorded.Day, terms: Terms) -> Figures:
    """Returns the figures of a day."""
    asked = sum(_worth(r, terms, late=False) for r in day.requests)
    return Figures(
        naive=naive(day, terms) / asked,
        actual=actual(day, terms) / asked,
        limit=limit(day, terms) / asked,
    )


def actual(day: recorded.Day, terms: Terms) -> float:
    """Returns the worth of what was served."""
    worth = 0.0
    for request in day.requests:
        if request.ended_s is None:
            continue
        if request.kind == admission.ONLINE:
            waited_s = request.started_s - request.arrived_s
            late = waited_s > terms.online_start_s
        else:
            late = request.ended_s - request.arrived_s > terms.batch_due_s
        worth += _worth(request, terms, late=late)
    return worth


def _worth(request: recorded.Request, terms: Terms, *, late: bool) -> float:
    if request.kind == admission.ONLINE:
        return terms.online_late if late else terms.online
    return terms.batch_late if late else terms.batch


def slots_at(day: recorded.Day, time_s: float) -> int:
    """Returns the number of slots at a time."""
    place = bisect.bisect_right(day.slots, (time_s, math.inf)) - 1
    return day.slots[max(0, place)][1]


def naive(day: recorded.Day, terms: Terms) -> float:
    """Returns the worth that the naive policy serves."""
    most = max(count for _, count in day.slots) // terms.endpoint_slots
    free_s = [[0.0] * terms.endpoint_slots for _ in range(max(1, most))]
    worth = 0.0
    for number, request in enumerate(day.requests):
        count = slots_at(day, request.arrived_s) // terms.endpoint_slots
        queue = free_s[number % max(1, count)]
        start_s = max(request.arrived_s, queue[0])
        waited_s = start_s - request.arrived_s
        if request.kind == admission.ONLINE:
            if waited_s > terms.online_patience_s:
                continue
            late = waited_s > terms.online_start_s
        else:
            late = waited_s + request.held_s > terms.batch_due_s
        heapq.heapreplace(queue, start_s + request.held_s)
        worth += _worth(request, terms, late=late)
    return worth


class _Program:
    """A linear program that is put together variable by variable."""

    def __init__(self, capacity: list[float]) -> None:
        self.bounds_above = list(capacity)
        self.rows: list[int] = []
        self.columns: list[int] = []
        self.factors: list[float] = []
        self.gains: list[float] = []
        self.most: list[float] = []

    def row(self, most: float) -> int:
        """Adds a constraint; returns its number."""
        self.bounds_above.append(most)
        return len(self.bounds_above) - 1

    def variable(
        self, gain: float, most: float, factors: dict[int, float]
    ) -> None:
        """Adds a variable with its factors by constraint."""
        column = len(self.gains)
        self.gains.append(gain)
        self.most.append(most)
        for row, factor in factors.items():
            self.rows.append(row)
            self.columns.append(column)
            self.factors.append(factor)

    def solve(self) -> float:
        """Returns the largest gain."""
        shape = (len(self.bounds_above), len(self.gains))
        matrix = sparse.csr_matrix(
            (self.factors, (self.rows, self.columns)), shape=shape
        )
        found = optimize.linprog(
            -np.array(self.gains),
            A_ub=matrix,
            b_ub=self.bounds_above,
            bounds=np.column_stack((np.zeros(shape[1]), self.most)),
            method="highs",
        )
        if not found.success:
            raise ArithmeticError(found.message)
        return float(-found.fun)


def limit(day: recorded.Day, terms: Terms) -> float:
    """Returns the worth of the best plan."""
    begin_s = day.requests[0].arrived_s
    end_s = max(
        day.requests[-1].arrived_s + terms.batch_due_s,
        max(r.ended_s or 0.0 for r in day.requests),
    )
    count = math.ceil((end_s - begin_s) / SLICE_S) + 1
    capacity = [
        slots_at(day, begin_s + (n + 0.5) * SLICE_S) * SLICE_S
        for n in range(count)
    ]
    program = _Program(capacity)
    for request in day.requests:
        arrived_s = request.arrived_s - begin_s
        if request.kind == admission.ONLINE:
            _add_online(program, request, arrived_s, count, terms)
        else:
            _add_batch(program, request, arrived_s, count, terms)
    return program.solve()


def _add_online(
    program: _Program,
    request: recorded.Request,
    arrived_s: float,
    count: int,
    terms: Terms,
) -> None:
    """Adds a request that starts at once, or any time while it is late."""
    row = program.row(1.0)
    used = _spread(arrived_s, request.held_s, count)
    program.variable(terms.online, 1.0, used | {row: 1.0})
    held_s = max(request.held_s, 1e-3)
    first = int((arrived_s + terms.online_start_s) / SLICE_S)
    last = int((arrived_s + terms.online_patience_s) / SLICE_S)
    for number in range(first, min(last, count - 1) + 1):
        factors = {number: 1.0, row: 1.0 / held_s}
        program.variable(terms.online_late / held_s, SLICE_S, factors)


def _add_batch(
    program: _Program,
    request: recorded.Request,
    arrived_s: float,
    count: int,
    terms: Terms,
) -> None:
    """Adds an item that may be divided over all slices."""
    held_s = max(request.held_s, 1e-3)
    row = program.row(1.0)
    due = int((arrived_s + terms.batch_due_s) / SLICE_S)
    for number in range(int(arrived_s / SLICE_S), count):
        worth = terms.batch if number <= due else terms.batch_late
        factors = {number: 1.0, row: 1.0 / held_s}
        program.variable(worth / held_s, SLICE_S, factors)


def _spread(start_s: float, held_s: float, count: int) -> dict[int, float]:
    """Returns the seconds that a run without a break uses of each slice.

    >>> _spread(0.25, 0.5, 9)
    {0: 0.25, 1: 0.25}
    """
    used: dict[int, float] = {}
    number = int(start_s / SLICE_S)
    while held_s > 0.0 and number < count:
        share_s = min(held_s, (number + 1) * SLICE_S - start_s)
        used[number] = share_s
        start_s += share_s
        held_s -= share_s
        number += 1
    return used


def draw(days: dict[str, Figures], path: pathlib.Path) -> None:
    """Writes a plot of the figures of several days."""
    drawn = figure.Figure(
        figsize=(WIDTH_IN, 1.0 + 0.6 * len(days)), layout="tight"
    )
    axes = drawn.subplots()
    for offset, field in ((-0.25, "naive"), (0.0, "actual"), (0.25, "limit")):
        axes.barh(
            [place + offset for place in range(len(days))],
            [getattr(found, field) for found in days.values()],
            height=0.24,
            label=field,
        )
    axes.set_yticks(range(len(days)), list(days))
    axes.invert_yaxis()
    axes.set_xlabel("fraction of the worth that was asked for")
    axes.set_xlim(0.0, 1.0)
    axes.legend(loc="lower left")
    drawn.savefig(path, dpi=110)
