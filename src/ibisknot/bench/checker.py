"""Exhaustive exploration of small systems that run the real decisions.

A system is an initial state, the steps that are possible in a state, and an
invariant. Message loss, delay, pause and lost answers are steps like any
other, so every interleaving of them up to the system's bounds is visited.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
from typing import Any
from typing import TypeVar

from ibisknot import errors

MAXIMUM_STATES = 2_000_000

State = TypeVar("State")
Step = tuple[str, Any]


class ViolationError(errors.IbisknotError):
    """An invariant does not hold.

    Attributes:
        trace: The steps that lead to the violation.
    """

    code = "invariant_violated"

    def __init__(self, message: str, trace: list[str]) -> None:
        super().__init__(f"{message}; steps: {', '.join(trace) or 'none'}")
        self.trace = trace


@dataclasses.dataclass(slots=True)
class Outcome:
    """What an exploration visited.

    Attributes:
        states: Number of distinct states.
        steps: Number of steps tried.
        final: Number of states without a further step.
    """

    states: int
    steps: int
    final: int


def explore(
    start: Any,
    steps: Callable[[Any], Iterable[Step]],
    check: Callable[[Any], str],
    *,
    maximum: int = MAXIMUM_STATES,
) -> Outcome:
    """Visits every state that can be reached.

    Args:
        start: The first state; states are hashable values.
        steps: Returns the name and the result of each possible step.
        check: Returns what is wrong with a state, or an empty text.
        maximum: Most states to visit.

    Raises:
        ViolationError: A state violates the invariant.
        UnavailableError: There are more states than `maximum`.

    >>> explore(0, lambda n: [("up", n + 1)] if n < 3 else [], lambda n: "")
    Outcome(states=4, steps=3, final=1)
    """
    came_from: dict[Any, tuple[Any, str] | None] = {start: None}
    waiting = [start]
    tried = final = 0
    while waiting:
        state = waiting.pop()
        wrong = check(state)
        if wrong:
            raise ViolationError(wrong, _trace(came_from, state))
        count = 0
        for name, following in steps(state):
            count += 1
            if following in came_from:
                continue
            came_from[following] = (state, name)
            waiting.append(following)
            if len(came_from) > maximum:
                message = f"more than {maximum} states"
                raise errors.UnavailableError(message)
        tried += count
        final += count == 0
    return Outcome(len(came_from), tried, final)


def _trace(
    came_from: dict[Any, tuple[Any, str] | None], state: Any
) -> list[str]:
    found = []
    origin = came_from[state]
    while origin is not None:
        state, name = origin
        found.append(name)
        origin = came_from[state]
    return found[::-1]
